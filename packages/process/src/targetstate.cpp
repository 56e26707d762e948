#include "targetstate.h"

#include <algorithm>
#include <cassert>

namespace mangodeck {

namespace {

/// Share of a target's KV cache that grants may fill.
constexpr double KvFillShare = 0.95;
/// How far back own grants are remembered to correct stale reports.
constexpr Duration HistorySpan = 30s;
constexpr Duration IdleAfter = 5s;

} // namespace

GrantedWork workOf(const Ticket &Request) {
  GrantedWork Work;
  Work.PrefillTokens = Request.PromptTokens;
  Work.KvTokens = Request.PromptTokens + Request.OutputTokens;
  const auto Common = static_cast<TokenCount>(Request.PrefixBlocks.size()) *
                      Request.TokensPerBlock;
  if (Common > 0 && Common <= Request.PromptTokens) {
    Work.PrefixId = Request.PrefixBlocks.back();
    Work.PrefixKvTokens = Common;
    Work.KvTokens -= Common;
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
  return m_Record.Draining || (m_Leaving && m_Incarnation <= m_LeavingThrough);
}

bool TargetState::isUsable(TimePoint Now) const {
  return m_Configured && !m_Down && !isLeaving() && Now >= m_BackOffUntil &&
         Health.state() != TargetHealth::State::Ejected;
}

bool TargetState::hasFreeSequence(TimePoint Now) const {
  return isUsable(Now) && freeSequences() > 0;
}

std::uint32_t TargetState::freeSequences() const {
  const auto Used = runningSequences();
  const bool Probing = Health.state() == TargetHealth::State::Probing;
  const auto Most = Probing ? 1 : Limit.sequences();
  return Most > Used ? Most - Used : 0;
}

TokenCount TargetState::kvTokenLimit() const {
  const auto Total =
      m_Record.KvTokens > 0 ? m_Record.KvTokens : m_ReportedKvTotal;
  return static_cast<TokenCount>(KvFillShare * static_cast<double>(Total));
}

bool TargetState::fits(const GrantedWork &Work) const {
  const bool Shared = Work.PrefixId != 0 && m_Prefixes.contains(Work.PrefixId);
  const auto Added = Work.KvTokens + (Shared ? 0 : Work.PrefixKvTokens);
  return kvTokenLimit() == 0 || m_Kv + m_ForeignKv + Added <= kvTokenLimit();
}

bool TargetState::fitsWhenEmpty(const GrantedWork &Work) const {
  return kvTokenLimit() == 0 ||
         Work.KvTokens + Work.PrefixKvTokens <= kvTokenLimit();
}

Duration TargetState::addGrant(const GrantedWork &Work, TimePoint Now) {
  const Duration Ahead = pendingPrefillTime(Now);
  m_PrefillUntil = Now + Ahead + Speed.prefillTime(Work.PrefillTokens);
  m_LastGrant = Now;
  ++m_Sequences;
  m_Kv += Work.KvTokens;
  if (Work.PrefixId != 0) {
    auto &Shared = m_Prefixes[Work.PrefixId];
    if (Shared.Users++ == 0)
      Shared.KvTokens = Work.PrefixKvTokens;
    m_Kv += Shared.Users == 1 ? Shared.KvTokens : 0;
  }
  noteChange(Now);
  return Ahead;
}

void TargetState::removeGrant(const GrantedWork &Work, TimePoint Now) {
  assert(m_Sequences > 0 && "grant removed twice");
  --m_Sequences;
  m_Kv -= Work.KvTokens;
  const auto Shared = m_Prefixes.find(Work.PrefixId);
  if (Shared != m_Prefixes.end() && --Shared->second.Users == 0) {
    m_Kv -= Shared->second.KvTokens;
    m_Prefixes.erase(Shared);
  }
  noteChange(Now);
}

void TargetState::noteChange(TimePoint Now) {
  m_Changes.push_back({Now, m_Sequences, m_Kv});
  while (m_Changes.size() > 1 && m_Changes[1].At < Now - HistorySpan)
    m_Changes.pop_front();
}

/// Own grants in progress at \p Time. Logarithmic in the changes remembered.
TargetState::Change TargetState::ownAt(TimePoint Time) const {
  auto It = std::upper_bound(
      m_Changes.begin(), m_Changes.end(), Time,
      [](TimePoint T, const Change &Entry) { return T < Entry.At; });
  if (It == m_Changes.begin())
    return {Time, 0, 0};
  return *std::prev(It);
}

/// A report tells the load at the time it was made. What it shows above the
/// own grants of that time is others' work; own grants made since are known
/// here already.
bool TargetState::applyReport(const LoadReport &Report, TimePoint Now) {
  const TimePoint MadeAt = Now - Report.Age;
  const bool Outdated =
      m_Down ? MadeAt < m_DownSince : Report.Started < m_Incarnation;
  if (Outdated)
    return false;
  if (m_Leaving && m_LeavingThrough == 0)
    m_LeavingThrough = Report.Started;
  if (Report.Started > m_Incarnation && m_Incarnation != 0) {
    Speed.demoteToPrior();
    Health.recordSuccess();
    beginGeneration();
  }
  m_Incarnation = Report.Started;
  m_Down = false;
  const Change Own = ownAt(MadeAt);
  const auto Sequences = Report.RunningSequences + Report.WaitingSequences;
  m_Foreign = Sequences > Own.Sequences ? Sequences - Own.Sequences : 0;
  m_ForeignKv = std::max<TokenCount>(0, Report.KvTokensUsed - Own.KvTokens);
  m_ReportedKvTotal = Report.KvTokensTotal;
  if (Report.Leaving)
    markLeaving(Report.Started);
  return true;
}

void TargetState::markLeaving(Incarnation Started) {
  const auto Through = Started == 0 ? m_Incarnation : Started;
  m_Leaving = true;
  m_LeavingThrough = std::max(m_LeavingThrough, Through);
}

void TargetState::markDown(TimePoint Now) {
  m_Down = true;
  m_DownSince = Now;
  m_PrefillUntil = Now;
  m_Foreign = 0;
  m_ForeignKv = 0;
}

bool TargetState::isIdle(TimePoint Now) const {
  return m_Sequences == 0 && Now - m_LastGrant >= IdleAfter;
}

void TargetState::backOff(TimePoint Until) {
  m_BackOffUntil = std::max(m_BackOffUntil, Until);
}

Duration TargetState::pendingPrefillTime(TimePoint Now) const {
  return std::max<Duration>(Duration(0), m_PrefillUntil - Now);
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
