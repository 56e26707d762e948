#include "mangodeck/version/recordloader.h"

#include "recorddecoder.h"

#include "mangodeck/version/compile.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace mangodeck {

namespace {

constexpr std::uintmax_t MaxFileBytes = 16 << 20;

int lineOf(const YAML::Node &Node) { return Node.Mark().line + 1; }

RawValue readValue(const YAML::Node &Node) {
  RawValue Value;
  Value.Line = lineOf(Node);
  if (Node.IsScalar()) {
    Value.Shape = RawShape::Scalar;
    Value.Text = Node.Scalar();
  } else if (Node.IsSequence()) {
    Value.Shape = RawShape::List;
    for (const auto &Item : Node) {
      if (!Item.IsScalar())
        Value.Shape = RawShape::Other;
      else
        Value.Items.push_back(Item.Scalar());
    }
  }
  return Value;
}

void readDocument(const YAML::Node &Document, int LinesBefore,
                  std::string_view File, SchemaNumber MaxSchema,
                  DecodedRecords &Out) {
  if (Document.IsNull())
    return;
  RawRecord Raw;
  Raw.Place = {std::string(File), LinesBefore + lineOf(Document)};
  if (!Document.IsMap()) {
    Out.Faults.push_back({Raw.Place, "", "a document that is no mapping",
                          "one record: a mapping of fields to values"});
    return;
  }
  for (const auto &Pair : Document) {
    const auto Name = Pair.first.IsScalar() ? Pair.first.Scalar() : "?";
    RawValue Value = readValue(Pair.second);
    Value.Line = LinesBefore + lineOf(Pair.first);
    Raw.Fields.push_back({Name, std::move(Value)});
  }
  decodeRecord(Raw, MaxSchema, Out);
}

/// Reads one document, which starts after line \p LinesBefore of its file.
/// yaml-cpp throws on a syntax error; it is caught here and becomes a
/// diagnostic.
void readChunk(const std::string &Text, int LinesBefore, std::string_view File,
               SchemaNumber MaxSchema, DecodedRecords &Out) {
  try {
    readDocument(YAML::Load(Text), LinesBefore, File, MaxSchema, Out);
  } catch (const YAML::Exception &Error) {
    Out.Faults.push_back(
        {{std::string(File), LinesBefore + Error.mark.line + 1},
         "",
         "a syntax error (" + Error.msg + ")",
         "YAML documents of one record each"});
  }
}

/// Reads all documents of a text. They are split here, at lines of "---",
/// which bounds their number: YAML::LoadAll takes memory without end on some
/// malformed texts.
void readText(const std::string &Text, std::string_view File,
              SchemaNumber MaxSchema, DecodedRecords &Out) {
  std::istringstream In(Text);
  std::string Line;
  std::string Chunk;
  int LineNumber = 0;
  int LinesBefore = 0;
  while (std::getline(In, Line)) {
    ++LineNumber;
    if (Line.starts_with("...")) {
      Out.Faults.push_back({{std::string(File), LineNumber},
                            "",
                            "a line of \"...\"",
                            "\"---\" between documents"});
      Line.clear();
    }
    if (!Line.starts_with("---")) {
      Chunk += Line + "\n";
      continue;
    }
    readChunk(Chunk, LinesBefore, File, MaxSchema, Out);
    Chunk = Line.substr(3) + "\n";
    LinesBefore = LineNumber - 1;
  }
  readChunk(Chunk, LinesBefore, File, MaxSchema, Out);
}

void readFile(const std::filesystem::path &Path, SchemaNumber MaxSchema,
              DecodedRecords &Out) {
  std::error_code Error;
  const auto Size = std::filesystem::file_size(Path, Error);
  std::ifstream In(Path, std::ios::binary);
  if (Error || !In) {
    Out.Faults.push_back(
        {{Path.string(), 0}, "", "no readable file", "a readable file"});
    return;
  }
  if (Size > MaxFileBytes) {
    Out.Faults.push_back({{Path.string(), 0},
                          "",
                          std::to_string(Size) + " bytes",
                          "at most " + std::to_string(MaxFileBytes)});
    return;
  }
  std::ostringstream Text;
  Text << In.rdbuf();
  readText(Text.str(), Path.string(), MaxSchema, Out);
}

/// Checks the records against each other and hands over the result.
tl::expected<RecordSet, Diagnostics> finish(DecodedRecords Decoded) {
  auto Faults = validateRecords(Decoded.Records, Decoded.Faulty);
  Faults.insert(Faults.end(), Decoded.Faults.begin(), Decoded.Faults.end());
  if (Faults.empty())
    return std::move(Decoded.Records);
  sortDiagnostics(Faults);
  return tl::unexpected<Diagnostics>(std::move(Faults));
}

/// The *.yaml files of a directory, by name.
std::vector<std::filesystem::path> listFiles(std::string_view Directory) {
  std::vector<std::filesystem::path> Files;
  std::error_code Error;
  std::filesystem::directory_iterator It(std::string(Directory), Error);
  const std::filesystem::directory_iterator End;
  while (!Error && It != End) {
    if (It->path().extension() == ".yaml")
      Files.push_back(It->path());
    It.increment(Error);
  }
  std::sort(Files.begin(), Files.end());
  return Files;
}

} // namespace

tl::expected<RecordSet, Diagnostics> loadRecords(std::string_view Directory,
                                                 SchemaNumber MaxSchema) {
  DecodedRecords Decoded;
  const auto Files = listFiles(Directory);
  if (Files.empty())
    Decoded.Faults.push_back({{std::string(Directory), 0},
                              "",
                              "no *.yaml file",
                              "a directory with at least one *.yaml file"});
  for (const auto &File : Files)
    readFile(File, MaxSchema, Decoded);
  return finish(std::move(Decoded));
}

tl::expected<RecordSet, Diagnostics> parseRecords(std::string_view Text,
                                                  std::string_view File,
                                                  SchemaNumber MaxSchema) {
  DecodedRecords Decoded;
  readText(std::string(Text), File, MaxSchema, Decoded);
  return finish(std::move(Decoded));
}

} // namespace mangodeck
