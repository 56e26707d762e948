#include "mangodeck/version/recordloader.h"

#include "mangodeck/version/compile.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <unistd.h>

namespace mangodeck {

namespace {

constexpr std::string_view Base = R"(kind: tier
schema: 1
name: gold
rank: 0
---
kind: service
schema: 1
name: chat
type: model
---
kind: target
schema: 1
name: t1
service: chat
failure-domain: a
address: 127.0.0.1:7901
)";

std::string withBase(std::string_view More) {
  return std::string(Base) + "---\n" + std::string(More);
}

std::string sourceFolder() {
  const char *Folder = std::getenv("MANGODECK_SOURCE");
  return Folder ? Folder : ".";
}

Diagnostics faultsOf(std::string_view Text, SchemaNumber Max = LatestSchema) {
  auto Result = parseRecords(Text, "r.yaml", Max);
  CPPUNIT_ASSERT(!Result);
  return Result.error();
}

} // namespace

class RecordLoaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordLoaderTest);
  CPPUNIT_TEST(record_severalFaults_allReportedWithPlaceFoundAndAllowed);
  CPPUNIT_TEST(record_fieldOfNewerSchema_isUnknownInOlder);
  CPPUNIT_TEST(record_unknownSchema_isReportedAsSuch);
  CPPUNIT_TEST(record_reference_mustExist);
  CPPUNIT_TEST(record_sameKeyTwice_isRefused);
  CPPUNIT_TEST(text_syntaxError_isReportedWithLine);
  CPPUNIT_TEST(text_emptyDocument_doesNotHideThoseAfterIt);
  CPPUNIT_TEST(schemas_sideBySideWithoutAdoption_olderIsInForce);
  CPPUNIT_TEST(schemas_adopted_newerIsInForce);
  CPPUNIT_TEST(adoption_ofMissingSchema_isRefused);
  CPPUNIT_TEST(directory_oneBadAmong500_isRefusedWithOneFault);
  CPPUNIT_TEST(examples_loadAndCompile_succeed);
  CPPUNIT_TEST_SUITE_END();

public:
  void record_severalFaults_allReportedWithPlaceFoundAndAllowed() {
    const auto Faults = faultsOf(withBase(R"(kind: target
schema: 1
name: t2
service: chat
failure-domain: a
address: localhost:80
max-sequences: many
colour: red
)"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Faults.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("r.yaml:23: address: found \"localhost:80\"; allowed: "
                    "IP:PORT, an IPv6 address in brackets"),
        toString(Faults[0]));
    CPPUNIT_ASSERT_EQUAL(
        std::string("r.yaml:24: max-sequences: found \"many\"; allowed: an "
                    "integer from 1 to 100000"),
        toString(Faults[1]));
    CPPUNIT_ASSERT_EQUAL(std::string("colour"), Faults[2].Field);
    CPPUNIT_ASSERT_EQUAL(25, Faults[2].Place.Line);
  }

  void record_fieldOfNewerSchema_isUnknownInOlder() {
    const auto Faults = faultsOf("kind: tier\nschema: 1\nname: gold\n"
                                 "rank: 0\nreserve: 0.1\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Faults.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a field unknown in schema 1"),
                         Faults[0].Found);
  }

  void record_unknownSchema_isReportedAsSuch() {
    const auto Faults = faultsOf(
        "kind: tier\nschema: 2\nname: gold\nrank: 0\nreserve: 0.1\n", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Faults.size());
    CPPUNIT_ASSERT(Faults[0].Code == Errc::UnknownSchema);
  }

  void record_reference_mustExist() {
    const auto Faults = faultsOf(withBase("kind: target\nschema: 1\nname: t2\n"
                                          "service: absent\n"
                                          "failure-domain: a\n"
                                          "address: 127.0.0.1:7902\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Faults.size());
    CPPUNIT_ASSERT_EQUAL(std::string("service"), Faults[0].Field);
    CPPUNIT_ASSERT_EQUAL(std::string("the name of a service record"),
                         Faults[0].Allowed);
  }

  void record_sameKeyTwice_isRefused() {
    const std::string Hash(64, 'a');
    std::string Text(Base);
    for (const char *Name : {"c1", "c2"})
      Text += std::string("---\nkind: customer\nschema: 1\nname: ") + Name +
              "\nkey-hashes: [" + Hash + "]\nhighest-tier: gold\n";
    const auto Faults = faultsOf(Text);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Faults.size());
    CPPUNIT_ASSERT_EQUAL(std::string("key-hashes"), Faults[0].Field);
  }

  void text_syntaxError_isReportedWithLine() {
    const auto Faults = faultsOf("kind: tier\nname: [gold\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Faults.size());
    CPPUNIT_ASSERT(Faults[0].Place.Line >= 2);
  }

  void text_emptyDocument_doesNotHideThoseAfterIt() {
    const auto Records = parseRecords(
        "---\n---\n# nothing\n---\nkind: tier\nschema: 1\nname: gold\n"
        "rank: 0\n",
        "r.yaml");
    CPPUNIT_ASSERT(Records);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Records->size());
    CPPUNIT_ASSERT_EQUAL(5, Records->begin()->second.Place.Line);
  }

  void schemas_sideBySideWithoutAdoption_olderIsInForce() {
    const auto Config = compileText(withBase(Newer));
    CPPUNIT_ASSERT(!Config->findTarget(TargetName("t1"))->ChecksFencing);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Config->Targets.size());
  }

  void schemas_adopted_newerIsInForce() {
    const auto Config = compileText(withBase(
        std::string(Newer) + "---\nkind: adoption\nschema: 1\nname: target/t1\n"
                             "in-force: 2\n"));
    CPPUNIT_ASSERT(Config->findTarget(TargetName("t1"))->ChecksFencing);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Config->Targets.size());
  }

  void adoption_ofMissingSchema_isRefused() {
    const auto Faults =
        faultsOf(withBase("kind: adoption\nschema: 1\nname: target/t1\n"
                          "in-force: 2\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Faults.size());
    CPPUNIT_ASSERT_EQUAL(std::string("in-force"), Faults[0].Field);
  }

  void directory_oneBadAmong500_isRefusedWithOneFault() {
    const auto Folder =
        std::filesystem::temp_directory_path() /
        ("mangodeck-recordloader-test-" + std::to_string(getpid()));
    std::filesystem::remove_all(Folder);
    std::filesystem::create_directories(Folder);
    std::ofstream Out(Folder / "all.yaml");
    Out << Base;
    for (int I = 0; I < 500; ++I)
      Out << "---\nkind: target\nschema: 1\nname: x" << I
          << "\nservice: chat\nfailure-domain: a\naddress: 127.0.1.1:"
          << (I == 250 ? 99999 : 1000 + I) << "\n";
    Out.close();
    const auto Result = loadRecords(Folder.string());
    std::filesystem::remove_all(Folder);
    CPPUNIT_ASSERT(!Result);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Result.error().size());
    CPPUNIT_ASSERT_EQUAL(std::string("address"), Result.error()[0].Field);
  }

  void examples_loadAndCompile_succeed() {
    for (const char *Site : {"san-alonso", "vltavska"}) {
      const auto Records =
          loadRecords(sourceFolder() + "/examples/" + Site + "/records");
      CPPUNIT_ASSERT_MESSAGE(Records ? "" : toString(Records.error().front()),
                             Records);
      const auto Config = compile(*Records, 1, "digest");
      CPPUNIT_ASSERT(Config);
      CPPUNIT_ASSERT_EQUAL(std::size_t{5}, (*Config)->Customers.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, (*Config)->Tiers.size());
    }
  }

private:
  static constexpr std::string_view Newer = R"(kind: target
schema: 2
name: t1
service: chat
failure-domain: a
address: 127.0.0.1:7901
hardware-generation: gen-1
kv-tokens: 1000
checks-fencing: true
)";

  static SnapshotPtr compileText(std::string_view Text) {
    const auto Records = parseRecords(Text, "r.yaml");
    CPPUNIT_ASSERT_MESSAGE(Records ? "" : toString(Records.error().front()),
                           Records);
    const auto Config = compile(*Records);
    CPPUNIT_ASSERT(Config);
    return *Config;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordLoaderTest);

} // namespace mangodeck
