#include "targetstate.h"

#include <algorithm>
#include <cassert>

namespace mangodeck {

namespace {

/// Share of a target's KV cache that grants may fill.
constexpr double MaxGrantedKvShare = 0.95;
/// Own load is recorded for this long, so that a report can be compared with
/// the own load at the time the report was made.
constexpr Duration OwnLoadHistorySpan = 30s;
constexpr Duration IdleTimeout = 5s;

} // namespace

GrantedWork workOf(const Ticket &Request) {
  GrantedWork Work;
  Work.PrefillTokens = Request.PromptTokens;
  Work.KvTokens = Request.PromptTokens + Request.OutputTokens;
  const auto CommonTokens =
      static_cast<TokenCount>(Request.PrefixBlocks.size()) *
      Request.TokensPerBlock;
  if (CommonTokens > 0 && CommonTokens <= Request.PromptTokens) {
    Work.PrefixId = Request.PrefixBlocks.back();
    Work.PrefixKvTokens = CommonTokens;
    Work.KvTokens -= CommonTokens;
  }
  return Work;
}

TargetState::TargetState(const Target &Record)
    : Limit(Record.MaxSequences), m_Record(Record) {}

void TargetState::configure(const Target &Record) {
  m_Record = Record;
  m_Configured = true;
  Limit.setMax(Record.MaxSequences);
}

bool TargetState::isLeaving() const {
  return m_Record.Draining ||
         (m_Leaving && m_Incarnation <= m_LastLeavingIncarnation);
}

bool TargetState::isUsable(TimePoint Now) const {
  return m_Configured && !m_Down && !isLeaving() && Now >= m_BackOffUntil &&
         Health.state() != TargetHealth::State::Ejected;
}

bool TargetState::hasFreeSequence(TimePoint Now) const {
  return isUsable(Now) && freeSequences() > 0;
}

std::uint32_t TargetState::freeSequences() const {
  const auto Running = runningSequences();
  const bool Probing = Health.state() == TargetHealth::State::Probing;
  const auto MaxRunning = Probing ? 1 : Limit.sequences();
  return MaxRunning > Running ? MaxRunning - Running : 0;
}

TokenCount TargetState::kvTokenLimit() const {
  const auto TotalKvTokens =
      m_Record.KvTokens > 0 ? m_Record.KvTokens : m_ReportedKvTotal;
  return static_cast<TokenCount>(MaxGrantedKvShare *
                                 static_cast<double>(TotalKvTokens));
}

bool TargetState::fits(const GrantedWork &Work) const {
  const bool Shared = Work.PrefixId != 0 && m_Prefixes.contains(Work.PrefixId);
  const auto AddedKvTokens = Work.KvTokens + (Shared ? 0 : Work.PrefixKvTokens);
  return kvTokenLimit() == 0 ||
         m_OwnKvTokens + m_ForeignKvTokens + AddedKvTokens <= kvTokenLimit();
}

bool TargetState::fitsWhenEmpty(const GrantedWork &Work) const {
  return kvTokenLimit() == 0 ||
         Work.KvTokens + Work.PrefixKvTokens <= kvTokenLimit();
}

Duration TargetState::addGrant(const GrantedWork &Work, TimePoint Now) {
  const Duration PendingPrefill = pendingPrefillTime(Now);
  m_PrefillEndsAt =
      Now + PendingPrefill + Speed.prefillTime(Work.PrefillTokens);
  m_LastGrant = Now;
  ++m_OwnSequences;
  m_OwnKvTokens += Work.KvTokens;
  if (Work.PrefixId != 0) {
    auto &Shared = m_Prefixes[Work.PrefixId];
    if (Shared.Sequences++ == 0)
      Shared.KvTokens = Work.PrefixKvTokens;
    m_OwnKvTokens += Shared.Sequences == 1 ? Shared.KvTokens : 0;
  }
  recordOwnLoad(Now);
  return PendingPrefill;
}

void TargetState::removeGrant(const GrantedWork &Work, TimePoint Now) {
  assert(m_OwnSequences > 0 && "grant removed twice");
  --m_OwnSequences;
  m_OwnKvTokens -= Work.KvTokens;
  const auto Shared = m_Prefixes.find(Work.PrefixId);
  if (Shared != m_Prefixes.end() && --Shared->second.Sequences == 0) {
    m_OwnKvTokens -= Shared->second.KvTokens;
    m_Prefixes.erase(Shared);
  }
  recordOwnLoad(Now);
}

void TargetState::recordOwnLoad(TimePoint Now) {
  m_OwnLoadHistory.push_back({Now, m_OwnSequences, m_OwnKvTokens});
  while (m_OwnLoadHistory.size() > 1 &&
         m_OwnLoadHistory[1].Since < Now - OwnLoadHistorySpan)
    m_OwnLoadHistory.pop_front();
}

/// Load from own grants at \p Time. Logarithmic in the recorded changes.
TargetState::OwnLoad TargetState::ownLoadAt(TimePoint Time) const {
  auto It = std::upper_bound(
      m_OwnLoadHistory.begin(), m_OwnLoadHistory.end(), Time,
      [](TimePoint T, const OwnLoad &Entry) { return T < Entry.Since; });
  if (It == m_OwnLoadHistory.begin())
    return {Time, 0, 0};
  return *std::prev(It);
}

/// A report holds the load at the time it was made. The part that exceeds the
/// own grants of that time is the work of other dispatchers; own grants made
/// since then are already counted here.
bool TargetState::applyReport(const LoadReport &Report, TimePoint Now) {
  const TimePoint ReportMadeAt = Now - Report.Age;
  const bool IsOutdated = m_Down ? ReportMadeAt < m_DownSince
                                 : Report.TargetIncarnation < m_Incarnation;
  if (IsOutdated)
    return false;
  if (m_Leaving && m_LastLeavingIncarnation == 0)
    m_LastLeavingIncarnation = Report.TargetIncarnation;
  if (Report.TargetIncarnation > m_Incarnation && m_Incarnation != 0) {
    Speed.demoteToPrior();
    Health.recordSuccess();
    beginGeneration();
  }
  m_Incarnation = Report.TargetIncarnation;
  m_Down = false;
  const OwnLoad Own = ownLoadAt(ReportMadeAt);
  const auto Sequences = Report.RunningSequences + Report.WaitingSequences;
  m_ForeignSequences =
      Sequences > Own.Sequences ? Sequences - Own.Sequences : 0;
  m_ForeignKvTokens =
      std::max<TokenCount>(0, Report.KvTokensUsed - Own.KvTokens);
  m_ReportedKvTotal = Report.KvTokensTotal;
  if (Report.Leaving)
    markLeaving(Report.TargetIncarnation);
  return true;
}

void TargetState::markLeaving(Incarnation Started) {
  const auto LastLeaving = Started == 0 ? m_Incarnation : Started;
  m_Leaving = true;
  m_LastLeavingIncarnation = std::max(m_LastLeavingIncarnation, LastLeaving);
}

void TargetState::markDown(TimePoint Now) {
  m_Down = true;
  m_DownSince = Now;
  m_PrefillEndsAt = Now;
  m_ForeignSequences = 0;
  m_ForeignKvTokens = 0;
}

bool TargetState::isIdle(TimePoint Now) const {
  return m_OwnSequences == 0 && Now - m_LastGrant >= IdleTimeout;
}

void TargetState::backOff(TimePoint Until) {
  m_BackOffUntil = std::max(m_BackOffUntil, Until);
}

Duration TargetState::pendingPrefillTime(TimePoint Now) const {
  return std::max<Duration>(Duration(0), m_PrefillEndsAt - Now);
}

Duration TargetState::expectedTimeToFirstToken(TokenCount PrefillTokens,
                                               TimePoint Now) const {
  return pendingPrefillTime(Now) + Speed.timeToFirstToken(PrefillTokens);
}

double TargetState::loadScore() const {
  const double Share =
      static_cast<double>(runningSequences() + 1) / m_Record.MaxSequences;
  return toSeconds(Speed.tokenGap()) * (1.0 + Share);
}

} // namespace mangodeck
