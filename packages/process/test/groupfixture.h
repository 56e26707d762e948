#ifndef MANGODECK_PROCESS_TEST_GROUPFIXTURE_H
#define MANGODECK_PROCESS_TEST_GROUPFIXTURE_H

#include "mangodeck/common/clock.h"
#include "mangodeck/process/dispatchgroup.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

namespace mangodeck {

/// Tests of one dispatch group with three tiers, driven in virtual time.
class GroupFixture : public CppUnit::TestFixture {
public:
  void setUp() override {
    m_Id = GroupId{ServiceName("assistant"), FailureDomain("a"), 0};
    m_Group = makeDispatchGroup(m_Id, 7, 1);
    m_NextNumber = 1;
    m_Out.clear();
  }

protected:
  /// A configuration with \p Targets targets of \p Sequences sequences each.
  Snapshot makeConfig(std::size_t Targets, std::uint32_t Sequences,
                      std::uint32_t QueueLimit = 100) const {
    Snapshot Config;
    for (TierRank Rank = 0; Rank < 3; ++Rank) {
      Tier Record;
      Record.Name = TierName(fmt::format("tier{}", Rank));
      Record.Rank = Rank;
      Config.Tiers.push_back(Record);
    }
    Service Model;
    Model.Name = m_Id.Service;
    Model.QueueLimit = QueueLimit;
    Config.Services.push_back(Model);
    for (std::size_t I = 0; I < Targets; ++I) {
      Target Record;
      Record.Name = TargetName(fmt::format("t{}", I));
      Record.Service = m_Id.Service;
      Record.Domain = m_Id.Domain;
      Record.MaxSequences = Sequences;
      Config.Targets.push_back(Record);
    }
    return Config;
  }

  void configure(Snapshot Config) {
    Config.index();
    m_Group->configure(std::make_shared<Snapshot>(std::move(Config)), now(),
                       m_Out);
  }

  Ticket makeTicket(TierRank Tier, std::string_view Customer = "c") {
    Ticket Request;
    Request.Id = RequestId{0, m_NextNumber};
    Request.Entry = VmName("vm1");
    Request.Customer = CustomerName(Customer);
    Request.Service = m_Id.Service;
    Request.Tier = Tier;
    Request.Arrival = now();
    Request.Deadline = now() + 60s;
    Request.PromptTokens = 100;
    Request.OutputTokens = 50;
    Request.Fingerprint = 1000 + m_NextNumber;
    ++m_NextNumber;
    return Request;
  }

  RequestId submit(Ticket Request) {
    const RequestId Id = Request.Id;
    m_Group->submit(std::move(Request), now(), m_Out);
    return Id;
  }

  void finish(const RequestId &Id, FinishKind Kind = FinishKind::Completed) {
    const auto *Item = findGrant(Id);
    CPPUNIT_ASSERT_MESSAGE("finished request was not granted", Item);
    FinishReport Report;
    Report.Request = Id;
    Report.Target = Item->Target;
    Report.Kind = Kind;
    Report.PromptTokens = 100;
    Report.OutputTokens = 50;
    Report.TimeToFirstToken = 100ms;
    Report.DecodeTime = 1s;
    m_Group->finish(Report, now(), m_Out);
  }

  /// Advances the clock by \p Span, then ticks the group.
  void advanceAndTick(Duration Span) {
    m_Clock.advance(Span);
    m_Group->tick(now(), m_Out);
  }

  void sendLoadReport(std::string_view Name, Incarnation Started,
                      bool Leaving = false) {
    LoadReport Report;
    Report.Target = TargetName(Name);
    Report.TargetIncarnation = Started;
    Report.Leaving = Leaving;
    m_Group->reportLoad(Report, now(), m_Out);
  }

  /// The last grant of a request; null if it was not granted.
  const Grant *findGrant(const RequestId &Id) const {
    const Grant *Result = nullptr;
    for (const auto &Action : m_Out)
      if (const auto *Granted = std::get_if<GrantAction>(&Action))
        if (Granted->Granted.Request == Id)
          Result = &Granted->Granted;
    return Result;
  }

  std::size_t countGrants(const RequestId &Id) const {
    std::size_t Count = 0;
    for (const auto &Action : m_Out)
      if (const auto *Granted = std::get_if<GrantAction>(&Action))
        Count += Granted->Granted.Request == Id;
    return Count;
  }

  const Refusal *findRefusal(const RequestId &Id) const {
    for (const auto &Action : m_Out)
      if (const auto *Refused = std::get_if<RefuseAction>(&Action))
        if (Refused->Request == Id)
          return &Refused->Details;
    return nullptr;
  }

  const SpillAction *findSpill(const RequestId &Id) const {
    for (const auto &Action : m_Out)
      if (const auto *Spilled = std::get_if<SpillAction>(&Action))
        if (Spilled->Request.Id == Id)
          return Spilled;
    return nullptr;
  }

  TimePoint now() const { return m_Clock.now(); }

  GroupId m_Id;
  std::unique_ptr<DispatchGroup> m_Group;
  ManualClock m_Clock;
  DispatchGroup::Actions m_Out;
  std::uint64_t m_NextNumber = 1;
};

} // namespace mangodeck

#endif
