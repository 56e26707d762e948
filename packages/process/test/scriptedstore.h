#ifndef MANGODECK_PROCESS_TEST_SCRIPTEDSTORE_H
#define MANGODECK_PROCESS_TEST_SCRIPTEDSTORE_H

#include "mangodeck/version/store.h"

#include <map>
#include <optional>
#include <vector>

namespace mangodeck {

/// What happens to a call to the store.
enum class CallFate {
  Answered,
  AnswerLost, ///< Takes effect; the caller sees a timeout.
  NeverSent,  ///< No effect; the caller sees a timeout.
  Delayed,    ///< The caller sees a timeout; may take effect later.
  AnswerLate, ///< Takes effect; deliverLate() delivers the answer.
};

/// Contents of an in-memory store, shared by the connections of several
/// daemons. Only advance() moves its time.
class ScriptedStore {
public:
  /// When set, a compare-and-swap always takes effect. Disables the guard that
  /// the protocols under test rely on.
  bool IgnoresExpectedRevision = false;

  StoreWriteResult apply(const StoreWrite &Write);
  std::vector<StoreEntry> read(std::string_view Key) const;
  std::int64_t grant(Duration TimeToLive);
  std::optional<Duration> keepAlive(std::int64_t Lease);
  bool revoke(std::int64_t Lease);
  void advance(Duration Span);
  bool erase(std::string_view Key);

private:
  struct GrantedLease {
    Duration TimeToLive{0};
    Duration RemainingTime{0};
  };
  struct StoredKey {
    StoreEntry Entry;
    std::int64_t Lease = 0;
  };

  void removeKeysOf(std::int64_t Lease);

  std::int64_t m_Revision = 0;
  std::int64_t m_NextLease = 0;
  std::map<std::string, StoredKey, std::less<>> m_Keys;
  std::map<std::int64_t, GrantedLease> m_Leases;
};

/// One daemon's connection. Each call stays pending until the test settles it.
class ScriptedConnection : public Store {
public:
  explicit ScriptedConnection(ScriptedStore &Shared) : m_Shared(Shared) {}

  std::size_t pending() const { return m_Calls.size(); }
  std::size_t delayed() const { return m_DelayedEffects.size(); }

  /// Settles the pending call at \p Index.
  void settle(std::size_t Index, CallFate Fate);

  /// Lets a delayed call take effect.
  void applyDelayed(std::size_t Index);

  /// Delivers the answers of calls settled with CallFate::AnswerLate.
  void deliverLate();

  /// The daemon has crashed: its pending calls become delayed ones, which may
  /// still take effect.
  void abandon();

  void get(std::string_view Key,
           Callback<std::vector<StoreEntry>> Done) override;
  void range(std::string_view Prefix, std::string_view From, std::int64_t Limit,
             Callback<std::vector<StoreEntry>> Done) override;
  void compareAndSwap(StoreWrite Write,
                      Callback<StoreWriteResult> Done) override;
  void remove(std::string_view Key, Callback<bool> Done) override;
  void grantLease(Duration TimeToLive, Callback<StoreLease> Done) override;
  void keepLeaseAlive(std::int64_t Lease, Callback<StoreLease> Done) override;
  void revokeLease(std::int64_t Lease, Callback<bool> Done) override;
  std::unique_ptr<StoreWatch> watch(
      std::string_view Prefix,
      std::function<void(Expected<std::vector<StoreEntry>>)> Changed) override;

private:
  struct Call {
    std::function<void()> Effect; ///< Applies the call and keeps its result.
    std::function<void()> Answer; ///< Passes the result to the caller.
    std::function<void()> Fail;   ///< Passes a timeout to the caller.
  };

  template <typename T>
  void add(std::function<Expected<T>()> Effect, Callback<T> Done);

  ScriptedStore &m_Shared;
  std::vector<Call> m_Calls;
  std::vector<std::function<void()>> m_DelayedEffects;
  std::vector<std::function<void()>> m_LateAnswers;
};

} // namespace mangodeck

#endif
