#ifndef MANGODECK_TESTING_SESSION_FLEET_H
#define MANGODECK_TESTING_SESSION_FLEET_H

#include "httpcall.h"
#include "mangodeck/testing/childprocess.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

namespace mangodeck::testing {

/// Shape of a fleet of real processes on loopback, in one failure domain.
struct FleetOptions {
  std::size_t Daemons = 1;
  std::size_t Models = 1;
  std::size_t Plains = 0;
  unsigned MaxSequences = 4;
  unsigned QueueLimit = 1000;
  std::vector<std::string> TargetFlags;
  std::string BalancerLag = "200ms";
  std::uint64_t WaitingBytes = 64 << 20; ///< Of bodies, in each daemon.
  bool HasStore = false; ///< A stand-in store instead of one in each daemon.
};

/// Starts daemons, stand-in targets and, if wanted, a stand-in store. All are
/// ended with the object.
class Fleet {
public:
  explicit Fleet(FleetOptions Options);
  ~Fleet();

  /// Waits until every daemon is ready and sees all others and the targets.
  bool waitUntilReady();

  ChildProcess &daemon(std::size_t Index) { return *m_Daemons[Index].Process; }
  ChildProcess &target(std::size_t Index) { return *m_Targets[Index]; }
  ChildProcess &store() { return *m_Store; }
  const std::string &folder() const { return m_Folder; }
  std::string adminUrl(std::size_t Index) const;
  std::string storeUrl() const { return "http://" + m_Store->address(); }

  /// Whether a daemon takes itself for the owner of \p Service's group.
  bool owns(std::size_t Daemon, const std::string &Service);

  /// Index of the daemon that owns the dispatch group of \p Service.
  std::size_t ownerOf(const std::string &Service);

  /// Sends a completion through a daemon. The prompt makes the answer.
  HttpReply complete(std::size_t Daemon, const std::string &Prompt,
                     unsigned Tokens, bool Streaming = true,
                     std::vector<std::string> Headers = {});
  std::future<HttpReply> completeAsync(std::size_t Daemon, std::string Prompt,
                                       unsigned Tokens,
                                       std::vector<std::string> Headers = {});
  HttpReply pay(std::size_t Daemon, const std::string &Key,
                const std::string &Body = R"({"permit":17})");

  nlohmann::json status(std::size_t Daemon);
  /// What a target counted: "total", and "most" for one request id.
  nlohmann::json dispatches(std::size_t Target);
  void setFaults(std::size_t Target, const std::string &Json);

  /// A metric's value as text; empty if there is none of that name.
  std::string metric(std::size_t Daemon, const std::string &Name);

private:
  struct DaemonPart {
    std::string Vm;
    std::string PeerAddress;
    std::string AdminAddress;
    std::string CallerAddress;
    std::unique_ptr<ChildProcess> Process;
  };

  void startTargets();
  void writeRecords();
  void writeSettings(std::size_t Index);
  void startDaemon(std::size_t Index);
  void seedStore();

  FleetOptions m_Options;
  std::string m_Folder;
  std::unique_ptr<ChildProcess> m_Store;
  std::vector<std::unique_ptr<ChildProcess>> m_Targets;
  std::vector<DaemonPart> m_Daemons;
};

/// Waits until \p Holds, at most \p LimitSeconds.
bool waitUntil(const std::function<bool()> &Holds, unsigned LimitSeconds = 30);

} // namespace mangodeck::testing

#endif
