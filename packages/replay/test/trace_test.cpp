#include "mangodeck/replay/deployment.h"
#include "mangodeck/replay/trace.h"
#include "mangodeck/replay/tracegenerator.h"
#include "mangodeck/version/compile.h"
#include "mangodeck/version/recordloader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace mangodeck {

class TraceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TraceTest);
  CPPUNIT_TEST(trace_writtenAndRead_isEqual);
  CPPUNIT_TEST(trace_wrongFields_areAllNamedWithLine);
  CPPUNIT_TEST(trace_unknownFieldAndFault_areRefused);
  CPPUNIT_TEST(trace_emptyFile_isRefused);
  CPPUNIT_TEST(generator_sameSeed_givesSameTrace);
  CPPUNIT_TEST(deployment_recordsAsYaml_loadAndCompile);
  CPPUNIT_TEST_SUITE_END();

public:
  void trace_writtenAndRead_isEqual() {
    const auto Text = textOf(1);
    std::istringstream In(Text);
    const auto Read = readTrace(In, "t.jsonl");
    CPPUNIT_ASSERT(Read);
    std::ostringstream Again;
    writeTrace(*Read, Again);
    CPPUNIT_ASSERT(Again.str() == Text);
  }

  void trace_wrongFields_areAllNamedWithLine() {
    auto Text = textOf(1);
    Text = Text.substr(0, Text.find('\n') + 1);
    Text += R"({"at":-1,"customer":"c","service":"s","deadline":5})"
            "\n[1]\n";
    std::istringstream In(Text);
    const auto Read = readTrace(In, "t.jsonl");
    CPPUNIT_ASSERT(!Read);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Read.error().size());
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "t.jsonl:2: at: found -1; allowed: a number from 0 to 86400000"),
        toString(Read.error()[0]));
    CPPUNIT_ASSERT_EQUAL(std::string("tier"), Read.error()[1].Field);
    CPPUNIT_ASSERT_EQUAL(3, Read.error()[2].Place.Line);
  }

  void trace_unknownFieldAndFault_areRefused() {
    auto Text = textOf(1);
    Text = Text.substr(0, Text.find('\n') + 1);
    Text += R"({"at":1,"fault":"flood","target":"t","for":5})"
            "\n"
            R"({"at":1,"fault":"store-outage","for":5,"zone":"a"})"
            "\n";
    std::istringstream In(Text);
    const auto Read = readTrace(In, "t.jsonl");
    CPPUNIT_ASSERT(!Read);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Read.error().size());
    CPPUNIT_ASSERT_EQUAL(std::string("fault"), Read.error()[0].Field);
    CPPUNIT_ASSERT_EQUAL(std::string("zone"), Read.error()[1].Field);
  }

  void trace_emptyFile_isRefused() {
    std::istringstream In("");
    CPPUNIT_ASSERT(!readTrace(In, "t.jsonl"));
  }

  void generator_sameSeed_givesSameTrace() {
    CPPUNIT_ASSERT(textOf(1) == textOf(1));
    CPPUNIT_ASSERT(textOf(1) != textOf(2));
  }

  void deployment_recordsAsYaml_loadAndCompile() {
    for (const auto *Name : {"san-alonso", "vltavska"}) {
      const auto Site = *makeDeployment(Name);
      const auto Records = parseRecords(Site.recordsYaml(), "records.yaml");
      CPPUNIT_ASSERT(Records);
      const auto Compiled = compile(*Records, 1);
      CPPUNIT_ASSERT(Compiled);
      CPPUNIT_ASSERT_EQUAL(Site.Targets.size(), (*Compiled)->Targets.size());
      CPPUNIT_ASSERT_EQUAL(Site.Tiers[2].Reserve,
                           (*Compiled)->Tiers[2].Reserve);
    }
  }

private:
  static std::string textOf(std::uint64_t Seed) {
    std::ostringstream Out;
    writeTrace(
        generateTrace(*makeDeployment("san-alonso"), "burst-with-faults", Seed),
        Out);
    return Out.str();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TraceTest);

} // namespace mangodeck
