#include "mangodeck/replay/enginemodel.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class EngineModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineModelTest);
  CPPUNIT_TEST(engine_secondRequestOfPrefix_usesCache);
  CPPUNIT_TEST(engine_prefixComputedElsewhere_isDuplicate);
  CPPUNIT_TEST(engine_cacheFull_evictsAndCountsIt);
  CPPUNIT_TEST(engine_batchFull_queuesInOrder);
  CPPUNIT_TEST(engine_poison_crashesAndLosesAll);
  CPPUNIT_TEST(engine_slow_takesFactorTimesAsLong);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Computed.clear();
    m_Record.Name = TargetName("t");
    m_Record.MaxSequences = 2;
    m_Record.KvTokens = 4096;
    m_Record.HardwareGeneration = "gen-2";
  }

  void engine_secondRequestOfPrefix_usesCache() {
    EngineModel Engine(m_Record, ServiceKind::Model, m_Computed);
    CPPUNIT_ASSERT_EQUAL(TokenCount(0), runOne(Engine, 1, 7).Cached);
    const auto Use = runOne(Engine, 2, 7);
    CPPUNIT_ASSERT_EQUAL(TokenCount(1024), Use.Cached);
    CPPUNIT_ASSERT_EQUAL(TokenCount(76), Use.Prefilled);
  }

  void engine_prefixComputedElsewhere_isDuplicate() {
    EngineModel First(m_Record, ServiceKind::Model, m_Computed);
    EngineModel Second(m_Record, ServiceKind::Model, m_Computed);
    runOne(First, 1, 7);
    CPPUNIT_ASSERT_EQUAL(TokenCount(1024), runOne(Second, 2, 7).Duplicate);
  }

  void engine_cacheFull_evictsAndCountsIt() {
    EngineModel Engine(m_Record, ServiceKind::Model, m_Computed);
    for (std::uint64_t Prefix = 1; Prefix <= 5; ++Prefix)
      runOne(Engine, Prefix, Prefix);
    CPPUNIT_ASSERT_EQUAL(TokenCount(1024), runOne(Engine, 6, 1).Evicted);
    CPPUNIT_ASSERT(!Engine.takeCacheChanges().Evicted.empty());
  }

  void engine_batchFull_queuesInOrder() {
    EngineModel Engine(m_Record, ServiceKind::Model, m_Computed);
    for (std::uint64_t Id = 1; Id <= 3; ++Id)
      Engine.admit(makeRequest(Id, Id));
    CPPUNIT_ASSERT_EQUAL(2u, Engine.load().RunningSequences);
    CPPUNIT_ASSERT_EQUAL(1u, Engine.load().WaitingSequences);
  }

  void engine_poison_crashesAndLosesAll() {
    EngineModel Engine(m_Record, ServiceKind::Model, m_Computed);
    auto Request = makeRequest(1, 1);
    Request.Poison = true;
    Engine.admit(makeRequest(2, 2));
    Engine.admit(Request);
    bool Crashed = false;
    while (!Crashed && Engine.begin())
      for (const auto &Event : Engine.step())
        Crashed = Crashed || Event.What == EngineEvent::Kind::Crashed;
    CPPUNIT_ASSERT(Crashed);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Engine.crash().size());
    CPPUNIT_ASSERT_EQUAL(Incarnation(2), Engine.incarnation());
  }

  void engine_slow_takesFactorTimesAsLong() {
    EngineModel Fast(m_Record, ServiceKind::Model, m_Computed);
    EngineModel Slow(m_Record, ServiceKind::Model, m_Computed);
    Slow.setSlowness(4);
    Fast.admit(makeRequest(1, 1));
    Slow.admit(makeRequest(1, 1));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4 * toSeconds(*Fast.begin()),
                                 toSeconds(*Slow.begin()), 1e-6);
  }

private:
  static EngineRequest makeRequest(std::uint64_t Id, std::uint64_t Prefix) {
    EngineRequest Request;
    Request.Id = RequestId{1, 1000 + Id};
    Request.Prompt = 1100;
    Request.Output = 3;
    Request.TokensPerBlock = 512;
    Request.PrefixBlocks = {Prefix * 10, Prefix * 10 + 1};
    return Request;
  }

  static PrefillUse runOne(EngineModel &Engine, std::uint64_t Id,
                           std::uint64_t Prefix) {
    Engine.admit(makeRequest(Id, Prefix));
    while (Engine.begin())
      for (const auto &Event : Engine.step())
        if (Event.What == EngineEvent::Kind::Completed)
          return *Engine.cancel(Event.Request);
    return {};
  }

  Target m_Record;
  ComputedBlocks m_Computed;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineModelTest);

} // namespace mangodeck
