#include "mangodeck/testing/childprocess.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <thread>

namespace mangodeck {

namespace {

constexpr std::size_t Daemons = 8;
constexpr std::size_t Domains = 3;
constexpr std::chrono::seconds WaitLimit(60);

/// Ports that were free a moment ago, for TCP and UDP; taken from the system.
std::vector<int> findFreePorts(std::size_t Count) {
  std::vector<int> Ports;
  std::vector<int> Sockets;
  while (Ports.size() < Count) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(Address);
    auto *Generic = reinterpret_cast<sockaddr *>(&Address);
    const int Tcp = ::socket(AF_INET, SOCK_STREAM, 0);
    const int Udp = ::socket(AF_INET, SOCK_DGRAM, 0);
    Sockets.insert(Sockets.end(), {Tcp, Udp});
    if (::bind(Tcp, Generic, Length) != 0 ||
        ::getsockname(Tcp, Generic, &Length) != 0)
      continue;
    if (::bind(Udp, Generic, Length) == 0)
      Ports.push_back(ntohs(Address.sin_port));
  }
  for (const auto Socket : Sockets)
    ::close(Socket);
  return Ports;
}

/// Real daemons on loopback, which log to files.
class Fleet {
public:
  Fleet()
      : m_Folder(std::filesystem::temp_directory_path() /
                 fmt::format("mangodeck-fleet-{}", ::getpid())),
        m_Ports(findFreePorts(3 * Daemons)), m_Processes(Daemons),
        m_Starts(Daemons, 0) {
    std::filesystem::create_directories(m_Folder);
    for (std::size_t I = 0; I < Daemons; ++I)
      start(I);
  }

  ~Fleet() {
    m_Processes.clear();
    std::error_code Ignored;
    std::filesystem::remove_all(m_Folder, Ignored);
  }

  void start(std::size_t Index) {
    ++m_Starts[Index];
    const auto Settings = (m_Folder / fmt::format("{}.yaml", Index)).string();
    std::ofstream(Settings) << settingsOf(Index);
    m_Processes[Index] =
        std::make_unique<testing::ChildProcess>(std::vector<std::string>{
            "/bin/sh", "-c",
            fmt::format("echo started=1; exec {} --settings {} 2>{}",
                        testing::findProgram("mangodeckd"), Settings,
                        logOf(Index).string())});
  }

  testing::ChildProcess &at(std::size_t Index) { return *m_Processes[Index]; }

  /// Last state that daemon \p Viewer logged of \p Subject; empty if none.
  std::string stateAt(std::size_t Viewer, std::size_t Subject) const {
    std::ifstream In(logOf(Viewer));
    const auto Wanted = fmt::format("event=member_changed vm=vm-{} ", Subject);
    std::string Line;
    std::string State;
    while (std::getline(In, Line)) {
      const auto Field = Line.find("state=");
      if (Line.find(Wanted) == std::string::npos || Field == std::string::npos)
        continue;
      const auto Begin = Field + std::string("state=").size();
      State = Line.substr(Begin, Line.find(' ', Begin) - Begin);
    }
    return State;
  }

  /// Waits until each of \p Viewers has \p Subject in \p State.
  bool waitFor(const std::vector<std::size_t> &Viewers, std::size_t Subject,
               const std::string &State) const {
    const auto Limit = std::chrono::steady_clock::now() + WaitLimit;
    const auto Holds = [&] {
      return std::all_of(Viewers.begin(), Viewers.end(), [&](auto Viewer) {
        return Viewer == Subject || stateAt(Viewer, Subject) == State;
      });
    };
    while (!Holds() && std::chrono::steady_clock::now() < Limit)
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    return Holds();
  }

  /// Whether a daemon ever took \p Subject for dead.
  bool everDead(std::size_t Viewer, std::size_t Subject) const {
    std::ifstream In(logOf(Viewer));
    const auto Wanted = fmt::format("vm=vm-{} state=dead", Subject);
    std::string Line;
    while (std::getline(In, Line)) {
      if (Line.find(Wanted) != std::string::npos)
        return true;
    }
    return false;
  }

private:
  std::filesystem::path logOf(std::size_t Index) const {
    return m_Folder / fmt::format("{}-{}.log", Index, m_Starts[Index]);
  }

  std::string settingsOf(std::size_t Index) const {
    auto Text = fmt::format("vm: vm-{}\n"
                            "failure_domain: zone-{}\n"
                            "region: test\n"
                            "listen:\n"
                            "  callers: 127.0.0.1:{}\n"
                            "  admin: 127.0.0.1:{}\n"
                            "  peers: 127.0.0.1:{}\n"
                            "peer_keys: [0123456789abcdef]\n"
                            "seeds:\n",
                            Index, Index % Domains, m_Ports[3 * Index],
                            m_Ports[3 * Index + 1], m_Ports[3 * Index + 2]);
    for (std::size_t I = 0; I < Domains; ++I)
      Text += fmt::format("  - vm: vm-{}\n"
                          "    address: 127.0.0.1:{}\n"
                          "    failure_domain: zone-{}\n",
                          I, m_Ports[3 * I + 2], I);
    return Text;
  }

  std::filesystem::path m_Folder;
  std::vector<int> m_Ports;
  std::vector<std::unique_ptr<testing::ChildProcess>> m_Processes;
  std::vector<int> m_Starts;
};

} // namespace

class FleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetTest);
  CPPUNIT_TEST(fleet_killedStoppedAndRestarted_membersFollow);
  CPPUNIT_TEST_SUITE_END();

public:
  void fleet_killedStoppedAndRestarted_membersFollow() {
    Fleet Running;
    const std::vector<std::size_t> All{0, 1, 2, 3, 4, 5, 6, 7};
    for (const auto Each : All)
      CPPUNIT_ASSERT(Running.waitFor(All, Each, "alive"));

    // A seed is killed.
    Running.at(0).kill(SIGKILL);
    const std::vector<std::size_t> Left{1, 2, 3, 4, 5, 6, 7};
    CPPUNIT_ASSERT(Running.waitFor(Left, 0, "dead"));

    // One stands still beyond the suspicion, and comes back.
    Running.at(5).send(SIGSTOP);
    const std::vector<std::size_t> Others{1, 2, 3, 4, 6, 7};
    CPPUNIT_ASSERT(Running.waitFor(Others, 5, "dead"));
    Running.at(5).send(SIGCONT);
    CPPUNIT_ASSERT(Running.waitFor(Others, 5, "alive"));

    // The killed one is replaced.
    Running.start(0);
    CPPUNIT_ASSERT(Running.waitFor(Left, 0, "alive"));
    for (const auto Viewer : Left) {
      for (const auto Subject : Others)
        CPPUNIT_ASSERT(!Running.everDead(Viewer, Subject));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);

} // namespace mangodeck
