#ifndef MANGODECK_SOAK_SOAKSTORE_H
#define MANGODECK_SOAK_SOAKSTORE_H

#include "httpserver.h"
#include "soakledger.h"

#include <condition_variable>
#include <nlohmann/json.hpp>

namespace mangodeck::soak {

/// A stand-in of the platform's store: keys, leases, watches and a history
/// that can be dropped.
class SoakStore {
public:
  SoakStore();

  std::uint16_t port() const { return m_Server.port(); }
  /// Writes a key as the operator or a target does.
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  /// The value of a key; empty if it does not exist.
  std::string get(const std::string &Key);
  /// Share of the writes whose answer is lost though they take effect, in
  /// percent.
  void setLostAnswers(unsigned Percent) { m_LostAnswers = Percent; }
  /// Answers 503 to everything.
  void setDown(bool Down) { m_Down = Down; }
  /// Answers to older watches are 410 from now on.
  void dropHistory();
  /// Returns to the state of the last saveCopy() in a new era: later changes
  /// and all leases are lost, and revisions are given out again. What the
  /// operator and the targets wrote since is written again after
  /// \p RewriteDelay.
  void restoreCopy(std::chrono::milliseconds RewriteDelay);
  void saveCopy();
  void stop();

private:
  struct Item {
    std::string Value;
    std::int64_t Revision = 0;
    std::int64_t Lease = 0;
  };
  using Json = nlohmann::json;
  struct Reply {
    int Status = 200;
    Json Body = Json::object();
  };

  void serve(Socket &Caller);
  Reply answer(const http::Request &Asked);
  Reply watch(std::int64_t After, std::chrono::milliseconds Wait);
  Reply range(const std::string &After);
  void change(const std::string &Key, const std::string *Value,
              std::int64_t Lease);
  void expire();
  std::string eraField();

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, Item> m_Items;
  std::map<std::int64_t, Clock::time_point> m_Leases;
  std::map<std::int64_t, Json> m_History;
  std::int64_t m_Revision = 1;
  std::uint64_t m_Era = 1;
  /// State at the last saveCopy().
  std::map<std::string, Item> m_CopiedItems;
  std::int64_t m_CopiedRevision = 1;
  std::int64_t m_Dropped = 0; ///< History up to here is gone.
  std::int64_t m_NextLease = 1;
  std::atomic<bool> m_Down{false};
  std::atomic<unsigned> m_LostAnswers{0};
  unsigned m_Writes = 0;
  std::atomic<bool> m_Stopped{false};
  ThreadedServer m_Server;
};

} // namespace mangodeck::soak

#endif
