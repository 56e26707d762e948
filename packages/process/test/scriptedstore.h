#ifndef MANGODECK_PROCESS_TEST_SCRIPTEDSTORE_H
#define MANGODECK_PROCESS_TEST_SCRIPTEDSTORE_H

#include "mangodeck/version/store.h"

#include <map>
#include <optional>
#include <vector>

namespace mangodeck {

/// What becomes of a call to the store.
enum class CallFate {
  Answered,
  AnswerLost, ///< Takes effect; the caller sees a timeout.
  NeverSent,  ///< No effect; the caller sees a timeout.
  Delayed,    ///< The caller sees a timeout; may take effect later.
  AnswerLate, ///< Takes effect; the answer waits for deliverLate().
};

/// The store's contents, shared by the connections of several daemons. Time
/// moves only by advance().
class ScriptedStore {
public:
  /// When set, a compare-and-swap always takes effect: the guard of the
  /// protocols under test is taken out.
  bool IgnoresExpectedRevision = false;

  StoreWriteResult apply(const StoreWrite &Write);
  std::vector<StoreEntry> read(std::string_view Key) const;
  std::int64_t grant(Duration TimeToLive);
  std::optional<Duration> keepAlive(std::int64_t Lease);
  bool revoke(std::int64_t Lease);
  void advance(Duration Span);
  bool erase(std::string_view Key);

private:
  struct Granted {
    Duration TimeToLive{0};
    Duration Left{0};
  };
  struct Held {
    StoreEntry Entry;
    std::int64_t Lease = 0;
  };

  void drop(std::int64_t Lease);

  std::int64_t m_Revision = 0;
  std::int64_t m_NextLease = 0;
  std::map<std::string, Held, std::less<>> m_Keys;
  std::map<std::int64_t, Granted> m_Leases;
};

/// One daemon's connection: calls wait until the test decides their fate.
class ScriptedConnection : public Store {
public:
  explicit ScriptedConnection(ScriptedStore &Shared) : m_Shared(Shared) {}

  std::size_t pending() const { return m_Calls.size(); }
  std::size_t delayed() const { return m_Delayed.size(); }

  /// Settles the call at \p Index.
  void settle(std::size_t Index, CallFate Fate);

  /// Lets a delayed call take effect.
  void applyDelayed(std::size_t Index);

  /// Hands out the answers that were held back.
  void deliverLate();

  /// The daemon is gone: its calls may still take effect.
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
    std::function<void()> Effect; ///< Applies it and keeps its result.
    std::function<void()> Answer; ///< Hands the result to the caller.
    std::function<void()> Fail;   ///< Hands a timeout to the caller.
  };

  template <typename T>
  void add(std::function<Expected<T>()> Effect, Callback<T> Done);

  ScriptedStore &m_Shared;
  std::vector<Call> m_Calls;
  std::vector<std::function<void()>> m_Delayed;
  std::vector<std::function<void()>> m_Late;
};

} // namespace mangodeck

#endif
