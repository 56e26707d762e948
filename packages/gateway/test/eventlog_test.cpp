#include "mangodeck/gateway/eventlog.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace mangodeck {

class EventLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLogTest);
  CPPUNIT_TEST(write_specialCharacters_areEscapedInOneJsonObject);
  CPPUNIT_TEST(write_readerStops_doesNotBlockAndKeepsImportantLines);
  CPPUNIT_TEST(setMinLevel_important_omitsOrdinaryLines);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    CPPUNIT_ASSERT_EQUAL(0, ::pipe2(m_Pipe, O_NONBLOCK));
  }
  void tearDown() override {
    ::close(m_Pipe[0]);
    ::close(m_Pipe[1]);
  }

  void write_specialCharacters_areEscapedInOneJsonObject() {
    EventLog Log(m_Pipe[1], "vm-1", "42", 10000);
    Log.write("refused", {{"id", "a\"b\n"}, {"status", 503}});
    Log.flush();
    const auto Line = nlohmann::json::parse(readAll());
    CPPUNIT_ASSERT_EQUAL(std::string("refused"),
                         Line["event"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("a\"b\n"), Line["id"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("vm-1"), Line["vm"].get<std::string>());
  }

  /// Writes far more bytes than the pipe and the buffer hold while nothing
  /// reads the pipe. A blocking write would never return.
  void write_readerStops_doesNotBlockAndKeepsImportantLines() {
    EventLog Log(m_Pipe[1], "vm-1", "42", 20000);
    const std::string Filler(400, 'x');
    for (int I = 0; I < 2000; ++I)
      Log.write("answered", {{"filler", Filler}}, LogLevel::Ordinary);
    const auto Dropped = Log.droppedLines();
    CPPUNIT_ASSERT(Dropped > 1000);
    Log.write("failed", {{"id", "last"}});
    CPPUNIT_ASSERT_EQUAL(Dropped, Log.droppedLines());
    std::string Output;
    for (int I = 0; I < 20; ++I) {
      Output += readAll();
      Log.flush();
    }
    CPPUNIT_ASSERT(Output.find("\"last\"") != Output.npos);
    CPPUNIT_ASSERT(Output.find("log_dropped") != Output.npos);
  }

  void setMinLevel_important_omitsOrdinaryLines() {
    EventLog Log(m_Pipe[1], "vm-1", "42", 20000);
    Log.setMinLevel(LogLevel::Important);
    Log.write("well", {{"id", "1"}}, LogLevel::Ordinary);
    Log.write("failed", {{"id", "2"}});
    Log.flush();
    const auto Output = readAll();
    CPPUNIT_ASSERT(Output.find("\"well\"") == Output.npos);
    CPPUNIT_ASSERT(Output.find("\"failed\"") != Output.npos);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Log.droppedLines());
  }

private:
  std::string readAll() {
    std::string Bytes;
    std::array<char, 65536> Buffer;
    const auto Count = ::read(m_Pipe[0], Buffer.data(), Buffer.size());
    if (Count > 0)
      Bytes.assign(Buffer.data(), static_cast<std::size_t>(Count));
    return Bytes;
  }

  int m_Pipe[2] = {-1, -1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);

} // namespace mangodeck
