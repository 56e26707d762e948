#ifndef MANGODECK_APPS_MANGODECK_CHANGERUNNER_H
#define MANGODECK_APPS_MANGODECK_CHANGERUNNER_H

#include "command.h"

#include "mangodeck/common/clock.h"
#include "mangodeck/connection/etcdstore.h"
#include "mangodeck/version/revisionwriter.h"

#include <functional>
#include <string>
#include <vector>

namespace mangodeck {

/// The status that a daemon reports at /status.
struct DaemonStatus {
  std::string Address;
  std::string Vm;
  std::string Domain;
  RevisionNumber Revision = 0; ///< In force.
  std::string Digest;
  std::string Error; ///< Why there is no usable answer; else empty.
};

DaemonStatus fetchStatus(const std::string &Address);

/// Access of an operator's command to the store.
class StoreAccess {
public:
  /// Declares --store.
  void declare(CLI::App &App);

  /// Returns the client of the store, which the first call creates.
  Store &open();

  /// Reads the newest configuration; prints the error if that fails.
  Expected<StoredConfiguration> read();

private:
  std::vector<std::string> m_Urls;
  DeviceRandom m_Random;
  std::unique_ptr<EtcdStore> m_Store;
};

/// The part that apply, drain and adopt share: declares the options, writes the
/// new revision, sends it to the daemons, and waits until it is in force.
class ChangeRunner {
public:
  /// Returns the changed records, given the current configuration;
  /// std::nullopt, after printing the reason, if the change is not possible.
  using Edit =
      std::function<std::optional<RecordSet>(const StoredConfiguration &)>;

  /// Declares --store, --daemon, --wait, --author, --message and --json.
  void declare(CLI::App &App);

  /// Applies \p Change to the newest configuration. Writes the result, if it
  /// differs, to the store as a new revision and sends that to the daemons
  /// given with --daemon. With --wait, waits at most that long until they have
  /// it in force. Returns an ExitCode.
  int run(const Edit &Change);

  void setDefaultMessage(std::string Message);
  const std::string &author() const { return m_Author; }

private:
  int checkStoreAgainstDaemons(const StoredConfiguration &State) const;
  int report(const AcceptanceResult &Result) const;
  void sendToDaemons(const LogEntry &Entry) const;
  int waitForDaemons(const AcceptanceResult &Result) const;

  StoreAccess m_Store;
  std::vector<std::string> m_Daemons;
  std::string m_WaitLimit;
  std::string m_Author;
  std::string m_Message;
  bool m_Json = false;
};

} // namespace mangodeck

#endif
