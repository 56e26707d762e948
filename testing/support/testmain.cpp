#include <cppunit/Exception.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <fmt/format.h>

#include <fstream>
#include <set>
#include <string>

namespace {

/// Prints one line for each test and counts verdicts.
class VerdictListener : public CppUnit::TestListener {
public:
  explicit VerdictListener(std::set<std::string> KnownRed)
      : m_KnownRed(std::move(KnownRed)) {}

  void startTest(CppUnit::Test *) override { m_CurrentFailed = false; }

  void addFailure(const CppUnit::TestFailure &Failure) override {
    m_CurrentFailed = true;
    fmt::print("{}: {}:{}: {}\n", Failure.failedTestName(),
               Failure.sourceLine().fileName(),
               Failure.sourceLine().lineNumber(),
               Failure.thrownException()->what());
  }

  void endTest(CppUnit::Test *Test) override {
    const std::string Name = Test->getName();
    if (!m_CurrentFailed) {
      ++m_Passed;
    } else if (isKnownRed(Name)) {
      ++m_Red;
      fmt::print("known red: {}\n", Name);
    } else {
      ++m_Failed;
    }
    fmt::print("{} {}\n", m_CurrentFailed ? "FAIL" : "ok  ", Name);
    std::fflush(stdout);
  }

  int passed() const { return m_Passed; }
  int failed() const { return m_Failed; }

private:
  bool isKnownRed(const std::string &Name) const {
    const auto Colon = Name.rfind(':');
    const auto Short =
        Colon == std::string::npos ? Name : Name.substr(Colon + 1);
    return m_KnownRed.contains(Short) || m_KnownRed.contains(Name);
  }

  std::set<std::string> m_KnownRed;
  bool m_CurrentFailed = false;
  int m_Passed = 0;
  int m_Failed = 0;
  int m_Red = 0;
};

/// The first word of each entry line of KNOWN-RED.txt is a test's name.
std::set<std::string> readKnownRed(const char *Path) {
  std::set<std::string> Names;
  std::ifstream In(Path);
  std::string Line;
  while (std::getline(In, Line)) {
    const auto End = Line.find_first_of(" ,|");
    if (!Line.empty() && Line[0] != '#')
      Names.insert(Line.substr(0, End));
  }
  return Names;
}

} // namespace

/// Usage: PROGRAM [--known-red FILE] [--list] [TEST-PATH]
int main(int Argc, char **Argv) {
  std::set<std::string> KnownRed;
  std::string Path;
  for (int I = 1; I < Argc; ++I) {
    const std::string Arg = Argv[I];
    if (Arg == "--known-red" && I + 1 < Argc)
      KnownRed = readKnownRed(Argv[++I]);
    else
      Path = Arg;
  }
  CppUnit::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  CppUnit::TestResult Result;
  VerdictListener Listener(std::move(KnownRed));
  Result.addListener(&Listener);
  try {
    Runner.run(Result, Path);
  } catch (const std::exception &Error) {
    fmt::print("no such test: {}\n", Path);
    return 2;
  }
  fmt::print("{} passed, {} failed\n", Listener.passed(), Listener.failed());
  return Listener.failed() == 0 ? 0 : 1;
}
