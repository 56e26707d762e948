#include "scriptedstore.h"

#include <utility>

namespace mangodeck {

StoreWriteResult ScriptedStore::apply(const StoreWrite &Write) {
  const auto It = m_Keys.find(Write.Key);
  const auto Present = It == m_Keys.end() ? 0 : It->second.Entry.ModRevision;
  StoreWriteResult Result;
  if (Present != Write.ExpectedModRevision && !IgnoresExpectedRevision) {
    Result.Current = read(Write.Key);
    return Result;
  }
  auto &Target = m_Keys[Write.Key];
  Target.Entry.Key = Write.Key;
  Target.Entry.Value = Write.Value;
  Target.Entry.ModRevision = ++m_Revision;
  if (Present == 0)
    Target.Entry.CreateRevision = m_Revision;
  Target.Lease = Write.Lease;
  Result.Succeeded = true;
  Result.ModRevision = m_Revision;
  return Result;
}

std::vector<StoreEntry> ScriptedStore::read(std::string_view Key) const {
  const auto It = m_Keys.find(Key);
  if (It == m_Keys.end())
    return {};
  return {It->second.Entry};
}

std::int64_t ScriptedStore::grant(Duration TimeToLive) {
  m_Leases[++m_NextLease] = {TimeToLive, TimeToLive};
  return m_NextLease;
}

std::optional<Duration> ScriptedStore::keepAlive(std::int64_t Lease) {
  const auto It = m_Leases.find(Lease);
  if (It == m_Leases.end())
    return std::nullopt;
  It->second.RemainingTime = It->second.TimeToLive;
  return It->second.TimeToLive;
}

bool ScriptedStore::revoke(std::int64_t Lease) {
  removeKeysOf(Lease);
  return m_Leases.erase(Lease) > 0;
}

void ScriptedStore::removeKeysOf(std::int64_t Lease) {
  std::erase_if(
      m_Keys, [Lease](const auto &Item) { return Item.second.Lease == Lease; });
}

void ScriptedStore::advance(Duration Span) {
  for (auto It = m_Leases.begin(); It != m_Leases.end();) {
    It->second.RemainingTime -= Span;
    if (It->second.RemainingTime > Duration(0)) {
      ++It;
      continue;
    }
    removeKeysOf(It->first);
    It = m_Leases.erase(It);
  }
}

bool ScriptedStore::erase(std::string_view Key) {
  const auto It = m_Keys.find(Key);
  if (It == m_Keys.end())
    return false;
  m_Keys.erase(It);
  return true;
}

template <typename T>
void ScriptedConnection::add(std::function<Expected<T>()> Effect,
                             Callback<T> Done) {
  auto Result = std::make_shared<Expected<T>>(unexpected(Errc::Timeout));
  m_Calls.push_back({[=] { *Result = Effect(); }, [=] { Done(*Result); },
                     [=] { Done(unexpected(Errc::Timeout)); }});
}

void ScriptedConnection::settle(std::size_t Index, CallFate Fate) {
  const auto Settled = m_Calls[Index];
  m_Calls.erase(m_Calls.begin() + static_cast<std::ptrdiff_t>(Index));
  if (Fate != CallFate::NeverSent && Fate != CallFate::Delayed)
    Settled.Effect();
  if (Fate == CallFate::AnswerLate) {
    m_LateAnswers.push_back(Settled.Answer);
    return;
  }
  if (Fate == CallFate::Delayed)
    m_DelayedEffects.push_back(Settled.Effect);
  Fate == CallFate::Answered ? Settled.Answer() : Settled.Fail();
}

void ScriptedConnection::applyDelayed(std::size_t Index) {
  const auto Effect = m_DelayedEffects[Index];
  m_DelayedEffects.erase(m_DelayedEffects.begin() +
                         static_cast<std::ptrdiff_t>(Index));
  Effect();
}

void ScriptedConnection::deliverLate() {
  const auto Answers = std::exchange(m_LateAnswers, {});
  for (const auto &Answer : Answers)
    Answer();
}

void ScriptedConnection::abandon() {
  for (auto &Each : m_Calls)
    m_DelayedEffects.push_back(Each.Effect);
  m_Calls.clear();
}

void ScriptedConnection::get(std::string_view Key,
                             Callback<std::vector<StoreEntry>> Done) {
  add<std::vector<StoreEntry>>(
      [this, Name = std::string(Key)] { return m_Shared.read(Name); },
      std::move(Done));
}

void ScriptedConnection::range(std::string_view, std::string_view, std::int64_t,
                               Callback<std::vector<StoreEntry>> Done) {
  Done(unexpected(Errc::Unavailable));
}

void ScriptedConnection::compareAndSwap(StoreWrite Write,
                                        Callback<StoreWriteResult> Done) {
  add<StoreWriteResult>([this, Write] { return m_Shared.apply(Write); },
                        std::move(Done));
}

void ScriptedConnection::remove(std::string_view Key, Callback<bool> Done) {
  add<bool>([this, Name = std::string(Key)] { return m_Shared.erase(Name); },
            std::move(Done));
}

void ScriptedConnection::grantLease(Duration TimeToLive,
                                    Callback<StoreLease> Done) {
  add<StoreLease>(
      [this, TimeToLive]() -> Expected<StoreLease> {
        return StoreLease{m_Shared.grant(TimeToLive), TimeToLive};
      },
      std::move(Done));
}

void ScriptedConnection::keepLeaseAlive(std::int64_t Lease,
                                        Callback<StoreLease> Done) {
  add<StoreLease>(
      [this, Lease]() -> Expected<StoreLease> {
        const auto TimeToLive = m_Shared.keepAlive(Lease);
        if (!TimeToLive)
          return unexpected(Errc::NotFound);
        return StoreLease{Lease, *TimeToLive};
      },
      std::move(Done));
}

void ScriptedConnection::revokeLease(std::int64_t Lease, Callback<bool> Done) {
  add<bool>([this, Lease] { return m_Shared.revoke(Lease); }, std::move(Done));
}

std::unique_ptr<StoreWatch> ScriptedConnection::watch(
    std::string_view, std::function<void(Expected<std::vector<StoreEntry>>)>) {
  return nullptr;
}

} // namespace mangodeck
