#include "mangodeck/common/random.h"
#include "mangodeck/gateway/crashcauses.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <memory>
#include <set>

namespace mangodeck {

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Duration Step = 10ms;

constexpr CauseId FirstPart = 0xa;
constexpr CauseId FirstCrashingPart = 0xbad0;

/// The platform's bounds: with a part that crashes targets, at most
/// MaxLateRequests requests reach targets later than the contact time after
/// the fifth crash.
constexpr std::size_t CrashesUntilKnown = 5;
constexpr std::size_t MaxLateRequests = 3;
/// Share of the sound requests that may be refused, since evidence of other
/// daemons is under way.
constexpr double MaxRefusedShare = 0.01;

/// A fleet of daemons in virtual time.
struct FleetSize {
  int Daemons = 0;
  int Domains = 0;
  int Targets = 0;
  double SoundPerSecond = 0;
  Duration ContactTime{0};
  Duration ReportPeriod{0};
};

constexpr FleetSize Pair{2, 1, 6, 30, 3s, 100ms};
constexpr FleetSize Small{8, 3, 18, 130, 3s, 100ms};
constexpr FleetSize Grown{60, 3, 90, 600, 4s, 200ms};
constexpr FleetSize Large{295, 5, 160, 1400, 5s, 400ms};

/// Which daemons exchange evidence.
enum class Cut { None, OneDomain, AllDaemons };

struct Scenario {
  FleetSize Size;
  Cut Links = Cut::None;
  int CrashingParts = 1;
  double CrashingPerSecond = 8; ///< Requests with one of these parts.
  double OtherCrashesPerSecond = 1;
  std::uint64_t Seed = 1;
};

/// Plays requests at the real conclusions of all daemons: a request waits at a
/// target for its answer; a target that crashes fails all that wait there.
class Fleet {
public:
  explicit Fleet(const Scenario &Played)
      : m_Played(Played), m_Random(Played.Seed),
        m_DownUntil(static_cast<std::size_t>(Played.Size.Targets)),
        m_Incarnation(static_cast<std::size_t>(Played.Size.Targets)) {
    for (int Number = 0; Number < Played.Size.Daemons; ++Number) {
      m_Daemons.push_back(
          std::make_unique<CrashCauses>(fmt::format("d-{}", Number)));
      m_Daemons.back()->setSettleTime(600ms + 4 * Played.Size.ReportPeriod);
    }
    m_CrashTimes.resize(static_cast<std::size_t>(Played.CrashingParts));
    m_Arrivals.resize(static_cast<std::size_t>(Played.CrashingParts));
  }

  void run(Duration Span) {
    for (const auto End = Start + Span; m_Now < End; m_Now += Step) {
      for (int Count = drawCount(m_Played.Size.SoundPerSecond); Count > 0;
           --Count)
        sendSound();
      if (m_Now >= Start + 2s)
        for (int Count = drawCount(m_Played.CrashingPerSecond); Count > 0;
             --Count)
          sendCrashing();
      for (int Count = drawCount(m_Played.OtherCrashesPerSecond); Count > 0;
           --Count)
        crash(draw(m_Played.Size.Targets), std::nullopt);
      answerWaiting();
      exchangeEvidence();
    }
  }

  /// Requests with part \p Part that reached targets after the bound, from
  /// daemons that are not cut off.
  std::size_t lateRequests(std::size_t Part) const {
    const auto &Crashes = m_CrashTimes[Part];
    if (Crashes.size() < CrashesUntilKnown)
      return 0;
    const auto Bound =
        Crashes[CrashesUntilKnown - 1] + m_Played.Size.ContactTime;
    return static_cast<std::size_t>(
        std::count_if(m_Arrivals[Part].begin(), m_Arrivals[Part].end(),
                      [&](TimePoint At) { return At > Bound; }));
  }
  std::size_t crashes(std::size_t Part) const {
    return m_CrashTimes[Part].size();
  }
  double refusedShare() const {
    return static_cast<double>(m_SoundRefused) /
           static_cast<double>(m_SoundAsked);
  }

private:
  struct Request {
    int Daemon = 0;
    int Target = 0;
    std::uint64_t Number = 0;
    std::vector<CauseId> Parts;
    TimePoint AnswerAt;
    std::optional<std::size_t> Crashing; ///< Index of its crashing part.
    bool Answered = false;
  };

  int draw(int Below) { return static_cast<int>(m_Random.uniform() * Below); }
  int drawCount(double PerSecond) {
    const auto Mean = PerSecond * toSeconds(Step);
    const auto Whole = static_cast<int>(Mean);
    return Whole + (m_Random.uniform() < Mean - Whole ? 1 : 0);
  }
  int domainOf(int Daemon) const { return Daemon % m_Played.Size.Domains; }
  bool isCutOff(int Daemon) const {
    return m_Played.Links == Cut::AllDaemons ||
           (m_Played.Links == Cut::OneDomain && domainOf(Daemon) == 0);
  }

  /// A prompt of the first part, a session's part and, perhaps, \p Crashing.
  std::vector<CauseId> drawParts(std::optional<CauseId> Crashing) {
    const auto Sessions = 4 * m_Played.Size.Daemons;
    std::vector<CauseId> Parts = {
        FirstPart, 0x1000 + static_cast<CauseId>(draw(Sessions))};
    if (Crashing)
      Parts.push_back(*Crashing);
    std::sort(Parts.begin(), Parts.end());
    return Parts;
  }

  void sendSound() {
    const int Daemon = draw(m_Played.Size.Daemons);
    auto Parts = drawParts(std::nullopt);
    ++m_SoundAsked;
    if (m_Daemons[static_cast<std::size_t>(Daemon)]->refuseNew(Parts, m_Now))
      ++m_SoundRefused;
    else
      place(Daemon, std::move(Parts), std::nullopt);
  }

  void sendCrashing() {
    const int Daemon = draw(m_Played.Size.Daemons);
    const auto Index = static_cast<std::size_t>(draw(m_Played.CrashingParts));
    auto Parts = drawParts(FirstCrashingPart + Index);
    if (m_Daemons[static_cast<std::size_t>(Daemon)]->refuseNew(Parts, m_Now))
      return;
    if (!isCutOff(Daemon))
      m_Arrivals[Index].push_back(m_Now);
    place(Daemon, std::move(Parts), Index);
  }

  void place(int Daemon, std::vector<CauseId> Parts,
             std::optional<std::size_t> Crashing) {
    const int Target = draw(m_Played.Size.Targets);
    if (m_DownUntil[static_cast<std::size_t>(Target)] > m_Now)
      return; // Refused connections are no evidence.
    const auto Delay = fromSeconds(0.05 + 0.2 * m_Random.uniform());
    m_Running.push_back({Daemon, Target, m_NextNumber++, std::move(Parts),
                         m_Now + Delay, Crashing});
  }

  /// \p Target ends with all that runs there, because of \p Cause or for
  /// another reason.
  void crash(int Target, std::optional<std::size_t> Cause) {
    const auto Index = static_cast<std::size_t>(Target);
    if (m_DownUntil[Index] > m_Now)
      return;
    m_DownUntil[Index] = m_Now + 3s;
    if (Cause)
      m_CrashTimes[*Cause].push_back(m_Now);
    const auto Id =
        (static_cast<std::uint64_t>(Target) << 32) + ++m_Incarnation[Index];
    std::erase_if(m_Running, [&](const Request &Each) {
      if (Each.Target != Target)
        return false;
      if (!Each.Answered)
        m_Daemons[static_cast<std::size_t>(Each.Daemon)]->recordCrash(
            Id, Each.Number, Each.Parts, m_Now, m_Now);
      return true;
    });
  }

  void answerWaiting() {
    // Step 1. Crashing requests end their targets as they begin to answer.
    std::vector<std::pair<int, std::size_t>> Crashes;
    for (const auto &Each : m_Running)
      if (Each.Crashing && Each.AnswerAt <= m_Now)
        Crashes.emplace_back(Each.Target, *Each.Crashing);
    for (const auto &[Target, Part] : Crashes)
      crash(Target, Part);

    // Step 2. The others begin their answers, and go on for a while.
    constexpr Duration SoundTime = 300ms;
    std::erase_if(m_Running, [&](Request &Each) {
      Each.Answered = Each.AnswerAt <= m_Now;
      if (Each.AnswerAt + SoundTime > m_Now)
        return false;
      m_Daemons[static_cast<std::size_t>(Each.Daemon)]->recordSoundAnswer(
          Each.Parts, Each.AnswerAt, m_Now);
      return true;
    });
  }

  /// Each daemon reports to the first of its domain, which reports to the
  /// others there and to the first of each other domain. One message in twenty
  /// is lost.
  void exchangeEvidence() {
    if (m_Now - m_LastExchange < m_Played.Size.ReportPeriod)
      return;
    m_LastExchange = m_Now;
    const auto Domains = m_Played.Size.Domains;
    std::vector<std::vector<CauseEvidence>> Reports;
    for (auto &Each : m_Daemons)
      Reports.push_back(Each->takeReport(m_Now));
    const auto Send = [&](int From, int To) {
      const bool Crosses = domainOf(From) != domainOf(To);
      const auto &Report = Reports[static_cast<std::size_t>(From)];
      if (From == To || Report.empty() || m_Random.uniform() < 0.05 ||
          m_Played.Links == Cut::AllDaemons ||
          (Crosses && (isCutOff(From) || isCutOff(To))))
        return;
      m_Daemons[static_cast<std::size_t>(To)]->merge(Report, m_Now);
    };
    for (int Daemon = 0; Daemon < m_Played.Size.Daemons; ++Daemon) {
      Send(Daemon, domainOf(Daemon));
      Send(domainOf(Daemon), Daemon);
    }
    for (int From = 0; From < Domains; ++From)
      for (int To = 0; To < Domains; ++To)
        Send(From, To);
    for (auto &Each : m_Daemons)
      Each->update(m_Now);
  }

  Scenario m_Played;
  SeededRandom m_Random;
  TimePoint m_Now = Start;
  TimePoint m_LastExchange{};
  std::uint64_t m_NextNumber = 1;
  std::vector<std::unique_ptr<CrashCauses>> m_Daemons;
  std::vector<TimePoint> m_DownUntil;
  std::vector<std::uint64_t> m_Incarnation;
  std::vector<Request> m_Running;
  std::vector<std::vector<TimePoint>> m_CrashTimes; ///< By crashing part.
  std::vector<std::vector<TimePoint>> m_Arrivals;   ///< By crashing part.
  std::size_t m_SoundAsked = 0;
  std::size_t m_SoundRefused = 0;
};

} // namespace

class CrashCausesFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashCausesFleetTest);
  CPPUNIT_TEST(fleets_connected_keepTheBoundAndServeSoundRequests);
  CPPUNIT_TEST(fleets_oneDomainCutOff_keepTheBoundAndServeSoundRequests);
  CPPUNIT_TEST(fleets_allDaemonsCutOff_serveSoundRequests);
  CPPUNIT_TEST(fleets_twoCrashingParts_keepTheBoundAndServeSoundRequests);
  CPPUNIT_TEST(fleets_onlyOtherCrashes_refuseNothing);
  CPPUNIT_TEST(fleets_rareCrashingRequests_keepTheBound);
  CPPUNIT_TEST_SUITE_END();

public:
  void fleets_connected_keepTheBoundAndServeSoundRequests() {
    for (const auto &Size : {Pair, Small, Grown, Large})
      for (std::uint64_t Seed = 1; Seed <= 3; ++Seed)
        assertBounds({.Size = Size, .Seed = Seed});
  }

  void fleets_oneDomainCutOff_keepTheBoundAndServeSoundRequests() {
    for (const auto &Size : {Small, Grown, Large})
      for (std::uint64_t Seed = 1; Seed <= 3; ++Seed)
        assertBounds({.Size = Size, .Links = Cut::OneDomain, .Seed = Seed});
  }

  /// A daemon that is cut off has its own evidence only, so the sum of the
  /// crashes is not bounded; but none refuses sound requests.
  void fleets_allDaemonsCutOff_serveSoundRequests() {
    for (const auto &Size : {Pair, Small, Grown, Large})
      assertBounds({.Size = Size, .Links = Cut::AllDaemons});
  }

  void fleets_twoCrashingParts_keepTheBoundAndServeSoundRequests() {
    for (const auto &Size : {Pair, Small, Grown, Large})
      assertBounds({.Size = Size, .CrashingParts = 2, .CrashingPerSecond = 16});
  }

  void fleets_onlyOtherCrashes_refuseNothing() {
    for (const auto &Size : {Pair, Small, Grown, Large})
      assertBounds({.Size = Size,
                    .CrashingPerSecond = 0,
                    .OtherCrashesPerSecond = Size.Targets * 0.1});
  }

  void fleets_rareCrashingRequests_keepTheBound() {
    for (const auto &Size : {Pair, Small, Grown, Large})
      assertBounds({.Size = Size, .CrashingPerSecond = 0.5});
  }

private:
  static void assertBounds(const Scenario &Played) {
    Fleet Fleet(Played);
    Fleet.run(Played.CrashingPerSecond < 1 ? 30s : 14s);
    const auto Name =
        fmt::format("{} daemons, cut {}, seed {}: ", Played.Size.Daemons,
                    static_cast<int>(Played.Links), Played.Seed);
    for (std::size_t Part = 0;
         Part < static_cast<std::size_t>(Played.CrashingParts); ++Part)
      CPPUNIT_ASSERT_MESSAGE(fmt::format("{}{} late requests, {} crashes", Name,
                                         Fleet.lateRequests(Part),
                                         Fleet.crashes(Part)),
                             Fleet.lateRequests(Part) <= MaxLateRequests);
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{}{:.4f} of the sound requests refused",
                                       Name, Fleet.refusedShare()),
                           Fleet.refusedShare() <= MaxRefusedShare);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashCausesFleetTest);

} // namespace mangodeck
