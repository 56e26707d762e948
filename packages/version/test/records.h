#ifndef MANGODECK_VERSION_TEST_RECORDS_H
#define MANGODECK_VERSION_TEST_RECORDS_H

#include "mangodeck/version/recordloader.h"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

namespace mangodeck {

/// A small site whose tier has \p Deadline seconds; tests tell revisions
/// apart by it.
inline RecordSet makeRecords(int Deadline, std::string_view More = "") {
  const auto Text = fmt::format("kind: tier\nschema: 1\nname: gold\nrank: 0\n"
                                "default-deadline: {}s\n{}",
                                Deadline, More);
  auto Records = parseRecords(Text, "test.yaml");
  CPPUNIT_ASSERT_MESSAGE(Records ? "" : toString(Records.error().front()),
                         Records);
  return *Records;
}

/// A site of the given numbers of records, with the fields of real ones.
inline RecordSet makeLargeSite(int Customers, int Targets, int Services) {
  std::string Text = "---\nkind: service\nschema: 2\nname: s0\ntype: model\n";
  for (int I = 1; I < Services; ++I)
    Text += fmt::format("---\nkind: service\nschema: 2\nname: s{}\n"
                        "type: model\nslices-per-domain: 4\n",
                        I);
  for (int I = 0; I < Targets; ++I)
    Text += fmt::format("---\nkind: target\nschema: 2\nname: runner-{:04}\n"
                        "service: s{}\nfailure-domain: luzon-south-a\n"
                        "address: 10.1.{}.{}:8000\nkv-tokens: 400000\n"
                        "hardware-generation: gen-2\nchecks-fencing: true\n",
                        I, I % Services, I / 200, I % 200 + 1);
  for (int I = 0; I < Customers; ++I)
    Text += fmt::format("---\nkind: customer\nschema: 2\n"
                        "name: customer-{:05}\nkey-hashes:\n  - {:064x}\n"
                        "  - {:064x}\nhighest-tier: gold\n"
                        "requests-per-second: 20\ntokens-per-second: 40000\n"
                        "services: [s0]\n",
                        I, 2 * I, 2 * I + 1);
  return makeRecords(60, Text);
}

} // namespace mangodeck

#endif
