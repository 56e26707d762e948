#include "mangodeck/connection/callerserver.h"
#include "mangodeck/connection/etcdstore.h"
#include "mangodeck/testing/childprocess.h"
#include "mangodeck/version/revisionwriter.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>

namespace mangodeck {

namespace {

struct CommandResult {
  int Code = -1;
  std::string Output;
};

/// A daemon's admin listener that has a fixed revision in force.
class StatusServer : public CallerHandler {
public:
  StatusServer() { CPPUNIT_ASSERT(!m_Server.start()); }

  void handle(std::shared_ptr<CallerExchange> Exchange) override {
    if (Exchange->request().Path == "/revisions")
      ++HandedOver;
    Exchange->respond(200, {},
                      fmt::format(R"({{"vm":"vm-a","failure_domain":"a",)"
                                  R"("revision":{},"digest":"0"}})",
                                  Revision.load()));
  }

  std::string address() const {
    return fmt::format("127.0.0.1:{}", m_Server.port());
  }

  std::atomic<RevisionNumber> Revision{0};
  std::atomic<int> HandedOver{0};

private:
  CallerServer m_Server{{}, *this};
};

} // namespace

class ConfigurationCommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationCommandsTest);
  CPPUNIT_TEST(apply_oneBadAmong500_exitsInvalidAndWritesNothing);
  CPPUNIT_TEST(apply_answerLost_isAccepted);
  CPPUNIT_TEST(apply_afterAnotherAuthor_conflictsUntilBaseIsGiven);
  CPPUNIT_TEST(apply_storeOlderThanDaemon_isRefused);
  CPPUNIT_TEST(apply_daemonBehind_handsOverAndExitsUnconfirmed);
  CPPUNIT_TEST(drainAndUndo_target_areRevisions);
  CPPUNIT_TEST(adopt_schema_isRevision);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Folder = std::filesystem::temp_directory_path() /
               fmt::format("mangodeck-commands-{}", ::getpid());
    std::filesystem::remove_all(m_Folder);
    std::filesystem::create_directories(m_Folder);
    writeRecords(3);
  }

  void tearDown() override { std::filesystem::remove_all(m_Folder); }

  void apply_oneBadAmong500_exitsInvalidAndWritesNothing() {
    writeRecords(500, 250);
    const auto Result = run("apply " + m_Folder.string(), "ana");
    CPPUNIT_ASSERT_EQUAL(2, Result.Code);
    CPPUNIT_ASSERT(Result.Output.find("address: found") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(RevisionNumber{0}, stored().Number);
    CPPUNIT_ASSERT_EQUAL(2, run("check " + m_Folder.string()).Code);
  }

  void apply_answerLost_isAccepted() {
    restartStore({"--lose-writes", "1"});
    CPPUNIT_ASSERT_EQUAL(0, run("apply " + m_Folder.string(), "ana").Code);
    CPPUNIT_ASSERT_EQUAL(RevisionNumber{1}, stored().Number);
  }

  void apply_afterAnotherAuthor_conflictsUntilBaseIsGiven() {
    run("apply " + m_Folder.string(), "ana");
    writeRecords(4);
    const auto Result = run("apply " + m_Folder.string(), "ben");
    CPPUNIT_ASSERT_EQUAL(3, Result.Code);
    CPPUNIT_ASSERT(Result.Output.find("by ana") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(
        3, run("apply " + m_Folder.string() + " --base 0", "ben").Code);
    CPPUNIT_ASSERT_EQUAL(
        0, run("apply " + m_Folder.string() + " --base 1", "ben").Code);
    CPPUNIT_ASSERT_EQUAL(RevisionNumber{2}, stored().Number);
  }

  void apply_storeOlderThanDaemon_isRefused() {
    StatusServer Daemon;
    Daemon.Revision = 5;
    const auto Result = run(
        "apply " + m_Folder.string() + " --daemon " + Daemon.address(), "ana");
    CPPUNIT_ASSERT_EQUAL(4, Result.Code);
    CPPUNIT_ASSERT_EQUAL(RevisionNumber{0}, stored().Number);
  }

  void apply_daemonBehind_handsOverAndExitsUnconfirmed() {
    StatusServer Daemon;
    const auto Result = run("apply " + m_Folder.string() +
                                " --wait 300ms --daemon " + Daemon.address(),
                            "ana");
    CPPUNIT_ASSERT_EQUAL(5, Result.Code);
    CPPUNIT_ASSERT_EQUAL(1, Daemon.HandedOver.load());
    Daemon.Revision = 1;
    CPPUNIT_ASSERT_EQUAL(0, run("status --daemon " + Daemon.address()).Code);
  }

  void drainAndUndo_target_areRevisions() {
    run("apply " + m_Folder.string(), "ana");
    CPPUNIT_ASSERT_EQUAL(0, run("drain x1", "ben").Code);
    CPPUNIT_ASSERT(isDraining("x1"));
    CPPUNIT_ASSERT_EQUAL(0, run("drain x1 --undo", "ben").Code);
    CPPUNIT_ASSERT(!isDraining("x1"));
    CPPUNIT_ASSERT_EQUAL(2, run("drain absent", "ben").Code);
    const auto Log = run("log --store " + url());
    CPPUNIT_ASSERT(Log.Output.find("undrain x1") != std::string::npos);
  }

  void adopt_schema_isRevision() {
    std::ofstream(m_Folder / "newer.yaml")
        << "kind: tier\nschema: 2\nname: gold\nrank: 0\nreserve: 0.1\n";
    run("apply " + m_Folder.string(), "ana");
    CPPUNIT_ASSERT_EQUAL(0, run("adopt tier/gold --schema 2", "ana").Code);
    CPPUNIT_ASSERT(stored().Records.contains(
        RecordId{RecordKind::Adoption, "tier/gold", 1}));
    CPPUNIT_ASSERT_EQUAL(2, run("adopt tier/gold --schema 3", "ana").Code);
  }

private:
  /// Writes \p Targets targets; the one numbered \p Bad has a bad address.
  void writeRecords(int Targets, int Bad = -1) {
    std::ofstream Out(m_Folder / "all.yaml");
    Out << "kind: tier\nschema: 1\nname: gold\nrank: 0\n"
        << "---\nkind: service\nschema: 1\nname: chat\ntype: model\n";
    for (int I = 0; I < Targets; ++I)
      Out << "---\nkind: target\nschema: 1\nname: x" << I
          << "\nservice: chat\nfailure-domain: a\naddress: 127.0.1.1:"
          << (I == Bad ? 99999 : 1000 + I) << "\n";
  }

  void restartStore(std::vector<std::string> Options) {
    Options.insert(Options.begin(), testing::findProgram("standin-store"));
    m_Process = std::make_unique<testing::ChildProcess>(std::move(Options));
    CPPUNIT_ASSERT(!m_Process->address().empty());
  }

  std::string url() {
    if (!m_Process)
      restartStore({});
    return "http://" + m_Process->address();
  }

  /// Runs a command; with an author it is one that writes to the store.
  CommandResult run(const std::string &Arguments,
                    const std::string &Author = "") {
    auto Line = testing::findProgram("mangodeck") + " " + Arguments;
    if (!Author.empty())
      Line += " --store " + url() + " --author " + Author;
    CommandResult Result;
    FILE *Pipe = ::popen((Line + " 2>&1 </dev/null").c_str(), "r");
    std::array<char, 4096> Buffer{};
    while (const auto Count = std::fread(Buffer.data(), 1, Buffer.size(), Pipe))
      Result.Output.append(Buffer.data(), Count);
    const int Status = ::pclose(Pipe);
    Result.Code = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
    return Result;
  }

  StoredConfiguration stored() {
    SeededRandom Random(1);
    EtcdStoreOptions Options;
    Options.Endpoints = {url()};
    EtcdStore Client(Options, Random);
    const auto State = readConfiguration(Client);
    CPPUNIT_ASSERT(State);
    return *State;
  }

  bool isDraining(const std::string &Name) {
    const auto State = stored();
    const auto &Entry = State.Records.at({RecordKind::Target, Name, 1});
    return std::get<TargetRecord>(Entry.Body).Fields.Draining;
  }

  std::filesystem::path m_Folder;
  std::unique_ptr<testing::ChildProcess> m_Process;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationCommandsTest);

} // namespace mangodeck
