#ifndef MANGODECK_VERSION_RECORDLOADER_H
#define MANGODECK_VERSION_RECORDLOADER_H

#include "mangodeck/version/record.h"

#include <string_view>

namespace mangodeck {

/// Reads every *.yaml file of \p Directory, each with any number of documents
/// of one record, and checks them against each other. Returns the records, or
/// every fault found in any of them.
tl::expected<RecordSet, Diagnostics>
loadRecords(std::string_view Directory, SchemaNumber MaxSchema = LatestSchema);

/// Reads the records of one YAML text. \p File is used in diagnostics only.
tl::expected<RecordSet, Diagnostics>
parseRecords(std::string_view Text, std::string_view File,
             SchemaNumber MaxSchema = LatestSchema);

} // namespace mangodeck

#endif
