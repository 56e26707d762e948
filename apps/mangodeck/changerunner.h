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

/// What a daemon says of itself.
struct DaemonStatus {
  std::string Address;
  std::string Vm;
  std::string Domain;
  RevisionNumber Revision = 0; ///< In force.
  std::string Digest;
  std::string Error; ///< Why there is no answer; empty if there is one.
};

DaemonStatus fetchStatus(const std::string &Address);

/// The store of an operator's command.
class StoreAccess {
public:
  /// Declares --store.
  void declare(CLI::App &App);

  /// The client; made by the first call.
  Store &open();

  /// Reads the newest configuration; prints the reason if it cannot.
  Expected<StoredConfiguration> read();

private:
  std::vector<std::string> m_Urls;
  DeviceRandom m_Random;
  std::unique_ptr<EtcdStore> m_Store;
};

/// The part that apply, drain and adopt share: options, writing, handing the
/// revision to daemons, and waiting until it is in force.
class ChangeRunner {
public:
  /// Makes the wanted records out of the present ones; std::nullopt, after
  /// printing why, if that cannot be done.
  using Edit =
      std::function<std::optional<RecordSet>(const StoredConfiguration &)>;

  /// Declares --store, --daemon, --wait, --author, --message and --json.
  void declare(CLI::App &App);

  /// Runs the change; returns an exit code.
  int run(const Edit &Change);

  void setDefaultMessage(std::string Message);
  const std::string &author() const { return m_Author; }

private:
  int checkFleet(const StoredConfiguration &State) const;
  int report(const AcceptanceResult &Result) const;
  void handOver(const LogEntry &Entry) const;
  int waitForFleet(const AcceptanceResult &Result) const;

  StoreAccess m_Store;
  std::vector<std::string> m_Daemons;
  std::string m_Wait;
  std::string m_Author;
  std::string m_Message;
  bool m_Json = false;
};

} // namespace mangodeck

#endif
