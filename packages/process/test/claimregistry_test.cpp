#include "mangodeck/process/claimregistry.h"

#include "explorer.h"
#include "scriptedstore.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace mangodeck {

namespace {

/// Counts up from a start value: distinct numbers for distinct daemons.
class CountingRandom : public RandomSource {
public:
  explicit CountingRandom(std::uint64_t First) : m_Last(First << 32) {}
  std::uint64_t next() override { return ++m_Last; }

private:
  std::uint64_t m_Last;
};

/// Always the same number, so that all daemons use the same nonce.
class ConstantRandom : public RandomSource {
public:
  std::uint64_t next() override { return 7; }
};

struct DisabledGuards {
  bool SharedNonce = false;
  bool StoreOverwrites = false;
  bool LostMeansGranted = false; ///< The caller treats Unreachable as granted.
};

/// Two daemons that each receive the same keyed request once. The explorer
/// chooses the order in which store calls are settled, their fates, and when a
/// daemon crashes.
class ClaimScenario {
public:
  ClaimScenario(Explorer &Choices, DisabledGuards Disabled)
      : m_Choices(Choices), m_Disabled(Disabled) {
    m_Store.IgnoresExpectedRevision = Disabled.StoreOverwrites;
    for (std::size_t I = 0; I < m_Daemons.size(); ++I)
      start(I);
  }

  void run() {
    while (step()) {
    }
  }

  int dispatches() const { return m_Dispatches; }
  bool answersCorrect() const { return m_AnswersCorrect; }

private:
  static constexpr int FaultBudget = 3;

  struct Daemon {
    std::unique_ptr<ScriptedConnection> Connection;
    std::unique_ptr<CountingRandom> Random;
    std::unique_ptr<ClaimRegistry> Registry;
    bool Alive = true;
  };

  void start(std::size_t Index) {
    auto &Each = m_Daemons[Index];
    Each.Connection = std::make_unique<ScriptedConnection>(m_Store);
    Each.Random = std::make_unique<CountingRandom>(Index + 1);
    ClaimOptions Options;
    Options.Vm = VmName(fmt::format("vm-{}", Index));
    Options.Started = 1;
    Options.MaxCalls = 2;
    RandomSource &Random = m_Disabled.SharedNonce
                               ? static_cast<RandomSource &>(m_Constant)
                               : *Each.Random;
    Each.Registry =
        std::make_unique<ClaimRegistry>(Options, *Each.Connection, Random);
    Each.Registry->claim(
        {CustomerName("coop"), "key", 1}, TimePoint(),
        [this, Index](ClaimOutcome Result) { onClaim(Index, Result); });
  }

  void onClaim(std::size_t Index, const ClaimOutcome &Result) {
    auto &Registry = *m_Daemons[Index].Registry;
    const bool TreatAsGranted = m_Disabled.LostMeansGranted &&
                                Result.Status == ClaimStatus::Unreachable;
    if (Result.Status == ClaimStatus::Granted ||
        (TreatAsGranted && Result.Held)) {
      ++m_Dispatches;
      Registry.finish(*Result.Held, {200, "text/plain", "paid"},
                      [](std::error_code) {});
      return;
    }
    if (Result.Status == ClaimStatus::Finished)
      m_AnswersCorrect = m_AnswersCorrect && m_Dispatches == 1 &&
                         Result.Answer && Result.Answer->Body == "paid";
    if (Result.Status == ClaimStatus::Unreachable && Result.Held)
      Registry.release(*Result.Held, [](std::error_code) {});
  }

  /// Takes one of the possible next steps; false if there is none.
  bool step() {
    std::vector<std::function<void()>> Steps;
    for (std::size_t I = 0; I < m_Daemons.size(); ++I)
      addSteps(I, Steps);
    if (Steps.empty())
      return false;
    Steps[m_Choices.choose(Steps.size())]();
    return true;
  }

  void addSteps(std::size_t Index, std::vector<std::function<void()>> &Steps) {
    auto &Each = m_Daemons[Index];
    auto &Connection = *Each.Connection;
    if (Connection.pending() > 0) {
      Steps.push_back([&] { Connection.settle(0, CallFate::Answered); });
      const auto Fates = {CallFate::AnswerLost, CallFate::NeverSent,
                          CallFate::Delayed};
      for (const auto Fate : Fates) {
        if (m_FaultsUsed < FaultBudget)
          Steps.push_back([this, &Connection, Fate] {
            ++m_FaultsUsed;
            Connection.settle(0, Fate);
          });
      }
    }
    if (Connection.delayed() > 0)
      Steps.push_back([&] { Connection.applyDelayed(0); });
    if (Each.Alive && Connection.pending() > 0 && m_FaultsUsed < FaultBudget)
      Steps.push_back([this, &Each] {
        ++m_FaultsUsed;
        Each.Alive = false;
        Each.Registry.reset();
        Each.Connection->abandon();
      });
  }

  Explorer &m_Choices;
  DisabledGuards m_Disabled;
  ScriptedStore m_Store;
  ConstantRandom m_Constant;
  std::array<Daemon, 2> m_Daemons;
  int m_FaultsUsed = 0;
  int m_Dispatches = 0;
  bool m_AnswersCorrect = true;
};

struct Findings {
  std::size_t Runs = 0;
  std::size_t DoubleRuns = 0;
  std::size_t WrongAnswers = 0;
};

Findings explore(DisabledGuards Disabled, std::size_t MaxRuns,
                 bool StopAtDoubleRun) {
  Findings Result;
  Explorer Choices;
  do {
    ClaimScenario Scenario(Choices, Disabled);
    Scenario.run();
    Result.DoubleRuns += Scenario.dispatches() > 1 ? 1 : 0;
    Result.WrongAnswers += Scenario.answersCorrect() ? 0 : 1;
    if (StopAtDoubleRun && Result.DoubleRuns > 0)
      break;
  } while (Choices.advance() && Choices.runs() < MaxRuns);
  Result.Runs = Choices.runs();
  return Result;
}

constexpr std::size_t AllRuns = 20'000'000;

} // namespace

class ClaimRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimRegistryTest);
  CPPUNIT_TEST(claim_allOrdersAndFaults_runsAtMostOnce);
  CPPUNIT_TEST(claim_guardDisabled_explorerFindsDoubleRun);
  CPPUNIT_TEST(claim_finishedBefore_storedAnswerIsReturned);
  CPPUNIT_TEST(claim_withoutResult_isUnknown);
  CPPUNIT_TEST(claim_otherBody_isKeyInUse);
  CPPUNIT_TEST(claim_releasedBefore_isGranted);
  CPPUNIT_TEST(claim_unreachableThenReleased_lateWriteHasNoEffect);
  CPPUNIT_TEST(claim_longAnswer_isStoredWithoutBody);
  CPPUNIT_TEST_SUITE_END();

public:
  void claim_allOrdersAndFaults_runsAtMostOnce() {
    const auto Found = explore({}, AllRuns, false);
    fmt::print("claims: {} runs explored\n", Found.Runs);
    CPPUNIT_ASSERT(Found.Runs > 1000 && Found.Runs < AllRuns);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Found.DoubleRuns);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Found.WrongAnswers);
  }

  void claim_guardDisabled_explorerFindsDoubleRun() {
    constexpr std::size_t MaxRunsToFind = 200'000;
    CPPUNIT_ASSERT(
        explore({true, false, false}, MaxRunsToFind, true).DoubleRuns > 0);
    CPPUNIT_ASSERT(
        explore({false, true, false}, MaxRunsToFind, true).DoubleRuns > 0);
    CPPUNIT_ASSERT(
        explore({false, false, true}, MaxRunsToFind, true).DoubleRuns > 0);
  }

  void claim_finishedBefore_storedAnswerIsReturned() {
    const StoredAnswer Answer{201, "application/json", "{}"};
    const auto First = claim("key", 1);
    finish(*First.Held, Answer);
    const auto Second = claim("key", 1);
    CPPUNIT_ASSERT(Second.Status == ClaimStatus::Finished);
    CPPUNIT_ASSERT(Second.Answer == Answer);
  }

  void claim_withoutResult_isUnknown() {
    claim("key", 1);
    CPPUNIT_ASSERT(claim("key", 1).Status == ClaimStatus::Unknown);
  }

  void claim_otherBody_isKeyInUse() {
    claim("key", 1);
    CPPUNIT_ASSERT(claim("key", 2).Status == ClaimStatus::KeyInUse);
    CPPUNIT_ASSERT(claim("other", 2).Status == ClaimStatus::Granted);
  }

  void claim_releasedBefore_isGranted() {
    const auto First = claim("key", 1);
    m_Registry.release(*First.Held, [](std::error_code) {});
    answerAll();
    CPPUNIT_ASSERT(claim("key", 1).Status == ClaimStatus::Granted);
  }

  void claim_unreachableThenReleased_lateWriteHasNoEffect() {
    ClaimOutcome First;
    m_Registry.claim({CustomerName("coop"), "key", 1}, TimePoint(),
                     [&](ClaimOutcome Result) { First = std::move(Result); });
    m_Connection.settle(0, CallFate::Answered);
    while (m_Connection.pending() > 0)
      m_Connection.settle(0, CallFate::Delayed);
    CPPUNIT_ASSERT(First.Status == ClaimStatus::Unreachable && First.Held);
    m_Registry.release(*First.Held, [](std::error_code) {});
    answerAll();
    while (m_Connection.delayed() > 0)
      m_Connection.applyDelayed(0);
    CPPUNIT_ASSERT(claim("key", 1).Status == ClaimStatus::Granted);
  }

  void claim_longAnswer_isStoredWithoutBody() {
    const auto First = claim("key", 1);
    finish(*First.Held, {200, "text/plain", std::string(1 << 20, 'x')});
    const auto Second = claim("key", 1);
    CPPUNIT_ASSERT(Second.Status == ClaimStatus::Finished);
    CPPUNIT_ASSERT(Second.Answer->BodyOmitted && Second.Answer->Body.empty());
  }

private:
  void answerAll() {
    while (m_Connection.pending() > 0)
      m_Connection.settle(0, CallFate::Answered);
  }

  ClaimOutcome claim(std::string_view Key, std::uint64_t Fingerprint) {
    ClaimOutcome Last;
    m_Registry.claim({CustomerName("coop"), std::string(Key), Fingerprint},
                     TimePoint(),
                     [&](ClaimOutcome Result) { Last = std::move(Result); });
    answerAll();
    return Last;
  }

  void finish(const Claim &Held, StoredAnswer Answer) {
    std::error_code Last = Errc::Unavailable;
    m_Registry.finish(Held, std::move(Answer),
                      [&](std::error_code Error) { Last = Error; });
    answerAll();
    CPPUNIT_ASSERT(!Last);
  }

  ScriptedStore m_Store;
  ScriptedConnection m_Connection{m_Store};
  SeededRandom m_Random{1};
  ClaimRegistry m_Registry{{VmName("vm-1"), 1}, m_Connection, m_Random};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimRegistryTest);

} // namespace mangodeck
