#ifndef MANGODECK_CONNECTION_EXCHANGEREGISTRY_H
#define MANGODECK_CONNECTION_EXCHANGEREGISTRY_H

#include <restinio/all.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace mangodeck {

class HttpExchange;

/// Knows the open connections and the unanswered exchanges of each.
class ExchangeRegistry {
public:
  void add(restinio::connection_id_t Connection,
           const std::shared_ptr<HttpExchange> &Entry) {
    auto &Part = shardOf(Connection);
    const std::lock_guard Lock(Part.Mutex);
    Part.ByConnection[Connection].push_back({Entry.get(), Entry});
  }

  /// Compares addresses only: taking a reference here could make it the last
  /// one, whose end calls remove() again.
  void remove(restinio::connection_id_t Connection, const HttpExchange *Entry) {
    auto &Part = shardOf(Connection);
    const std::lock_guard Lock(Part.Mutex);
    const auto It = Part.ByConnection.find(Connection);
    if (It == Part.ByConnection.end())
      return;
    std::erase_if(It->second, [Entry](const Item &Candidate) {
      return Candidate.Key == Entry;
    });
    if (It->second.empty())
      Part.ByConnection.erase(It);
  }

  /// Notes an accepted connection.
  void open(restinio::connection_id_t Connection) {
    auto &Part = shardOf(Connection);
    const std::lock_guard Lock(Part.Mutex);
    Part.Open.insert(Connection);
    ++m_OpenCount;
  }

  std::size_t openCount() const { return m_OpenCount; }

  /// Forgets a connection and returns its unanswered exchanges. RESTinio may
  /// report more than once that a connection closed.
  std::vector<std::shared_ptr<HttpExchange>>
  close(restinio::connection_id_t Connection) {
    auto &Part = shardOf(Connection);
    std::vector<std::shared_ptr<HttpExchange>> Result;
    const std::lock_guard Lock(Part.Mutex);
    m_OpenCount -= Part.Open.erase(Connection);
    const auto It = Part.ByConnection.find(Connection);
    if (It == Part.ByConnection.end())
      return Result;
    for (const auto &Entry : It->second)
      if (auto Live = Entry.Live.lock())
        Result.push_back(std::move(Live));
    Part.ByConnection.erase(It);
    return Result;
  }

private:
  static constexpr std::size_t RegistryShards = 16;

  struct Item {
    const HttpExchange *Key;
    std::weak_ptr<HttpExchange> Live;
  };

  struct Shard {
    std::mutex Mutex;
    std::unordered_map<restinio::connection_id_t, std::vector<Item>>
        ByConnection;
    std::unordered_set<restinio::connection_id_t> Open;
  };

  Shard &shardOf(restinio::connection_id_t Connection) {
    return m_Shards[Connection % RegistryShards];
  }

  std::array<Shard, RegistryShards> m_Shards;
  std::atomic<std::size_t> m_OpenCount{0};
};

using ExchangeRegistryPtr = std::shared_ptr<ExchangeRegistry>;

} // namespace mangodeck

#endif
