#include "mangodeck/version/memorystore.h"

#include <algorithm>
#include <optional>

namespace mangodeck {

struct MemoryStore::State {
  struct Item {
    StoreEntry Entry;
    std::int64_t Lease = 0;
  };
  struct Lease {
    Duration TimeToLive;
    TimePoint Expiry;
  };
  struct Watcher {
    std::string Prefix;
    std::function<void(Expected<std::vector<StoreEntry>>)> Changed;
  };

  explicit State(const Clock &Time) : Time(Time) {}

  const Clock &Time;
  std::mutex Mutex;
  std::map<std::string, Item, std::less<>> Items;
  std::map<std::int64_t, Lease> Leases;
  std::map<std::int64_t, std::shared_ptr<Watcher>> Watchers;
  std::int64_t Revision = 0;
  std::int64_t NextId = 1;

  /// Removes what hangs on leases that ran out. Call with the mutex held.
  void expireLeases() {
    const auto Now = Time.now();
    std::erase_if(
        Leases, [Now](const auto &Pair) { return Pair.second.Expiry <= Now; });
    std::erase_if(Items, [this](const auto &Pair) {
      return Pair.second.Lease != 0 && !Leases.contains(Pair.second.Lease);
    });
  }

  std::vector<StoreEntry> collect(std::string_view Prefix,
                                  std::string_view From) {
    std::vector<StoreEntry> Result;
    const auto Start = std::max(Prefix, From);
    for (auto It = Items.lower_bound(Start);
         It != Items.end() && It->first.starts_with(Prefix); ++It)
      Result.push_back(It->second.Entry);
    return Result;
  }

  std::vector<std::shared_ptr<Watcher>> watchersOf(std::string_view Key) {
    std::vector<std::shared_ptr<Watcher>> Result;
    for (const auto &[Id, Entry] : Watchers)
      if (Key.starts_with(Entry->Prefix))
        Result.push_back(Entry);
    return Result;
  }
};

namespace {

/// Ends the watch by calling \p Stop once.
class Subscription : public StoreWatch {
public:
  explicit Subscription(std::function<void()> Stop) : m_Stop(std::move(Stop)) {}
  ~Subscription() override { m_Stop(); }

private:
  std::function<void()> m_Stop;
};

} // namespace

MemoryStore::MemoryStore(const Clock &Time)
    : m_State(std::make_shared<State>(Time)) {}

MemoryStore::~MemoryStore() = default;

void MemoryStore::get(std::string_view Key,
                      Callback<std::vector<StoreEntry>> Done) {
  std::vector<StoreEntry> Result;
  {
    const std::lock_guard Lock(m_State->Mutex);
    m_State->expireLeases();
    const auto It = m_State->Items.find(Key);
    if (It != m_State->Items.end())
      Result.push_back(It->second.Entry);
  }
  Done(std::move(Result));
}

void MemoryStore::range(std::string_view Prefix, std::string_view From,
                        std::int64_t Limit,
                        Callback<std::vector<StoreEntry>> Done) {
  std::vector<StoreEntry> Result;
  {
    const std::lock_guard Lock(m_State->Mutex);
    m_State->expireLeases();
    Result = m_State->collect(Prefix, From);
  }
  if (Limit > 0 && Result.size() > static_cast<std::size_t>(Limit))
    Result.resize(static_cast<std::size_t>(Limit));
  Done(std::move(Result));
}

void MemoryStore::last(std::string_view Prefix, std::int64_t Limit,
                       Callback<std::vector<StoreEntry>> Done) {
  Store::last(Prefix, Limit, std::move(Done));
}

void MemoryStore::compareAndSwap(StoreWrite Write,
                                 Callback<StoreWriteResult> Done) {
  StoreWriteResult Result;
  std::vector<std::shared_ptr<State::Watcher>> Notified;
  StoreEntry Entry;
  {
    const std::lock_guard Lock(m_State->Mutex);
    m_State->expireLeases();
    const auto It = m_State->Items.find(Write.Key);
    const bool Exists = It != m_State->Items.end();
    const auto Found = Exists ? It->second.Entry.ModRevision : 0;
    const bool HasLease =
        Write.Lease == 0 || m_State->Leases.contains(Write.Lease);
    if (Found == Write.ExpectedModRevision && HasLease) {
      const auto Revision = ++m_State->Revision;
      auto &Item = m_State->Items[Write.Key];
      const auto Created = Exists ? Item.Entry.CreateRevision : Revision;
      Item.Entry = {Write.Key, std::move(Write.Value), Created, Revision};
      Item.Lease = Write.Lease;
      Entry = Item.Entry;
      Result.Succeeded = true;
      Result.ModRevision = Revision;
      Notified = m_State->watchersOf(Write.Key);
    } else if (Exists) {
      Result.Current.push_back(It->second.Entry);
    }
  }
  Done(std::move(Result));
  for (const auto &Watcher : Notified)
    Watcher->Changed(std::vector<StoreEntry>{Entry});
}

void MemoryStore::remove(std::string_view Key, Callback<bool> Done) {
  bool Existed = false;
  {
    const std::lock_guard Lock(m_State->Mutex);
    m_State->expireLeases();
    const auto It = m_State->Items.find(Key);
    Existed = It != m_State->Items.end();
    if (Existed)
      m_State->Items.erase(It);
  }
  Done(Existed);
}

void MemoryStore::grantLease(Duration TimeToLive, Callback<StoreLease> Done) {
  StoreLease Result;
  {
    const std::lock_guard Lock(m_State->Mutex);
    m_State->expireLeases();
    Result = {m_State->NextId++, TimeToLive};
    m_State->Leases[Result.Id] = {TimeToLive, m_State->Time.now() + TimeToLive};
  }
  Done(Result);
}

void MemoryStore::keepLeaseAlive(std::int64_t Lease,
                                 Callback<StoreLease> Done) {
  std::optional<StoreLease> Result;
  {
    const std::lock_guard Lock(m_State->Mutex);
    m_State->expireLeases();
    const auto It = m_State->Leases.find(Lease);
    if (It != m_State->Leases.end()) {
      It->second.Expiry = m_State->Time.now() + It->second.TimeToLive;
      Result = StoreLease{Lease, It->second.TimeToLive};
    }
  }
  if (Result)
    Done(*Result);
  else
    Done(unexpected(Errc::LeaseLost));
}

void MemoryStore::revokeLease(std::int64_t Lease, Callback<bool> Done) {
  bool Existed = false;
  {
    const std::lock_guard Lock(m_State->Mutex);
    m_State->expireLeases();
    Existed = m_State->Leases.erase(Lease) > 0;
    m_State->expireLeases();
  }
  Done(Existed);
}

std::unique_ptr<StoreWatch> MemoryStore::watch(
    std::string_view Prefix,
    std::function<void(Expected<std::vector<StoreEntry>>)> Changed) {
  const std::lock_guard Lock(m_State->Mutex);
  const auto Id = m_State->NextId++;
  m_State->Watchers[Id] = std::make_shared<State::Watcher>(
      State::Watcher{std::string(Prefix), std::move(Changed)});
  return std::make_unique<Subscription>([Id, State = m_State] {
    const std::lock_guard Lock(State->Mutex);
    State->Watchers.erase(Id);
  });
}

} // namespace mangodeck
