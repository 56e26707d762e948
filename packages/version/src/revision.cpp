#include "mangodeck/version/revision.h"

#include "recordjson.h"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>

namespace mangodeck {

namespace {

/// Layout of a revision's value; raised when an older program could not read
/// a newer value.
constexpr std::uint64_t FormatVersion = 1;
constexpr std::size_t DigestDigits = 64;
constexpr std::size_t MaxIdLength = 64;
constexpr std::size_t MaxAuthorLength = 128;
constexpr std::size_t MaxMessageLength = 4096;
constexpr std::size_t MaxImageParts = 1000;
constexpr int KeyDigits = 12;

Diagnostic makeFault(std::string Place, std::string_view Field,
                     std::string Found, std::string Allowed,
                     Errc Code = Errc::InvalidInput) {
  return {{std::move(Place), 0},
          std::string(Field),
          std::move(Found),
          std::move(Allowed),
          Code};
}

using DiagnosticResult = tl::unexpected<Diagnostic>;

DiagnosticResult fail(std::string Place, std::string_view Field,
                      std::string Found, std::string Allowed) {
  return DiagnosticResult(
      makeFault(std::move(Place), Field, std::move(Found), std::move(Allowed)));
}

bool isDigest(std::string_view Text) {
  return Text.size() == DigestDigits &&
         Text.find_first_not_of("0123456789abcdef") == Text.npos;
}

/// Decodes the records of a JSON array into \p Out.
void decodeRecords(const nlohmann::json &Array, std::string_view Place,
                   SchemaNumber MaxSchema, DecodedRecords &Out) {
  for (const auto &Object : Array)
    decodeRecord(toRawRecord(Object, Place), MaxSchema, Out);
}

/// Checks the fields that every revision has; std::nullopt when all is well.
std::optional<Diagnostic> checkHeader(const Revision &Change,
                                      RevisionNumber Expected,
                                      const std::string &Place) {
  if (Change.Number != Expected || Expected == 0)
    return makeFault(Place, "revision", std::to_string(Change.Number),
                     "the number of its key, " + std::to_string(Expected));
  if (!isDigest(Change.ParentDigest))
    return makeFault(Place, "parent", "no digest", "a SHA-256");
  if (!isDigest(Change.StateDigest))
    return makeFault(Place, "state", "no digest", "a SHA-256");
  if (Change.ChangeId.empty() || Change.ChangeId.size() > MaxIdLength)
    return makeFault(Place, "change", "no usable id", "1 to 64 characters");
  if (Change.Author.size() > MaxAuthorLength)
    return makeFault(Place, "author", "a long text", "at most 128 characters");
  if (Change.Message.size() > MaxMessageLength)
    return makeFault(Place, "message", "a long text",
                     "at most 4096 characters");
  return std::nullopt;
}

const nlohmann::json *arrayMember(const nlohmann::json &Object,
                                  const char *Name) {
  const auto It = Object.find(Name);
  return It != Object.end() && It->is_array() ? &*It : nullptr;
}

/// Adds the records and removals of a revision to \p Change.
std::optional<Diagnostic> readChanges(const nlohmann::json &Object,
                                      const std::string &Place,
                                      SchemaNumber MaxSchema,
                                      Revision &Change) {
  const auto *Put = arrayMember(Object, "put");
  const auto *Removed = arrayMember(Object, "remove");
  if (!Put || !Removed)
    return makeFault(Place, Put ? "remove" : "put", "no list", "a list");
  DecodedRecords Decoded;
  decodeRecords(*Put, Place, MaxSchema, Decoded);
  if (!Decoded.Faults.empty())
    return Decoded.Faults.front();
  for (auto &[Id, Entry] : Decoded.Records)
    Change.Put.push_back(std::move(Entry));
  for (const auto &Item : *Removed) {
    const auto Id = Item.is_string() ? parseRecordId(Item.get<std::string>())
                                     : std::nullopt;
    if (!Id)
      return makeFault(Place, "remove", "a bad entry", "KIND/NAME@SCHEMA");
    Change.Removed.push_back(*Id);
  }
  return std::nullopt;
}

/// One decoded part of an image.
struct ImagePart {
  std::size_t Part = 0;
  std::size_t Parts = 0;
  nlohmann::json Records;
};

std::optional<ImagePart> parseImagePart(std::string_view Value,
                                        RevisionNumber Number) {
  auto Object = parseStoreJson(Value);
  if (!Object || numberMember(*Object, "revision") != Number)
    return std::nullopt;
  const auto *Records = arrayMember(*Object, "records");
  ImagePart Result;
  Result.Part = numberMember(*Object, "part");
  Result.Parts = numberMember(*Object, "parts");
  if (!Records || Result.Part >= Result.Parts || Result.Parts > MaxImageParts)
    return std::nullopt;
  Result.Records = *Records;
  return Result;
}

} // namespace

std::string digestOf(std::string_view Bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Hash{};
  unsigned int Length = 0;
  const int Done = EVP_Digest(Bytes.data(), Bytes.size(), Hash.data(), &Length,
                              EVP_sha256(), nullptr);
  assert(Done == 1 && "SHA-256 is always available");
  (void)Done;
  std::string Text;
  Text.reserve(DigestDigits);
  for (unsigned int I = 0; I < Length; ++I)
    Text += fmt::format("{:02x}", Hash[I]);
  return Text;
}

std::string stateDigest(const RecordSet &Records) {
  std::string All;
  for (const auto &[Id, Entry] : Records)
    All += encodeRecord(Entry) + "\n";
  return digestOf(All);
}

std::string encodeRecord(const Record &Entry) {
  if (const auto *Opaque = std::get_if<OpaqueRecord>(&Entry.Body))
    return Opaque->Canonical;
  return dumpJson(toJson(Entry));
}

std::string encodeRevision(const Revision &Change) {
  nlohmann::json Out;
  Out["format"] = FormatVersion;
  Out["revision"] = Change.Number;
  Out["parent"] = Change.ParentDigest;
  Out["state"] = Change.StateDigest;
  Out["change"] = Change.ChangeId;
  Out["author"] = Change.Author;
  Out["message"] = Change.Message;
  Out["written"] = Change.WrittenAt;
  Out["put"] = nlohmann::json::array();
  for (const auto &Entry : Change.Put)
    Out["put"].push_back(toJson(Entry));
  Out["remove"] = nlohmann::json::array();
  for (const auto &Id : Change.Removed)
    Out["remove"].push_back(toString(Id));
  return dumpJson(Out);
}

tl::expected<Revision, Diagnostic> decodeRevision(const LogEntry &Entry,
                                                  SchemaNumber MaxSchema) {
  const auto Place = logKey(Entry.Number);
  if (Entry.Value.size() > MaxStoreValueBytes)
    return fail(Place, "", fmt::format("{} bytes", Entry.Value.size()),
                fmt::format("at most {}", MaxStoreValueBytes));
  const auto Object = parseStoreJson(Entry.Value);
  if (!Object)
    return fail(Place, "", "no JSON object of bounded depth",
                "a revision as this program writes it");
  const auto Format = numberMember(*Object, "format");
  if (Format != FormatVersion)
    return DiagnosticResult(makeFault(
        Place, "format", std::to_string(Format), std::to_string(FormatVersion),
        Format > FormatVersion ? Errc::UnknownSchema : Errc::InvalidInput));
  Revision Change;
  Change.Number = numberMember(*Object, "revision");
  Change.ParentDigest = stringMember(*Object, "parent");
  Change.StateDigest = stringMember(*Object, "state");
  Change.ChangeId = stringMember(*Object, "change");
  Change.Author = stringMember(*Object, "author");
  Change.Message = stringMember(*Object, "message");
  Change.WrittenAt =
      static_cast<WallMilliseconds>(numberMember(*Object, "written"));
  if (auto Fault = checkHeader(Change, Entry.Number, Place))
    return DiagnosticResult(std::move(*Fault));
  if (auto Fault = readChanges(*Object, Place, MaxSchema, Change))
    return DiagnosticResult(std::move(*Fault));
  return Change;
}

Revision makeChange(const RecordSet &Before, const RecordSet &After) {
  Revision Change;
  for (const auto &[Id, Entry] : After) {
    const auto It = Before.find(Id);
    if (It == Before.end() || encodeRecord(It->second) != encodeRecord(Entry))
      Change.Put.push_back(Entry);
  }
  for (const auto &[Id, Entry] : Before)
    if (!After.contains(Id))
      Change.Removed.push_back(Id);
  Change.StateDigest = stateDigest(After);
  return Change;
}

Expected<RecordSet> applyRevision(RecordSet Records, const Revision &Change) {
  for (const auto &Id : Change.Removed)
    if (Records.erase(Id) == 0)
      return unexpected(Errc::InvalidInput);
  for (const auto &Entry : Change.Put)
    Records.insert_or_assign(Entry.Id, Entry);
  if (stateDigest(Records) != Change.StateDigest)
    return unexpected(Errc::InvalidInput);
  return Records;
}

std::vector<std::string> encodeImage(RevisionNumber Number,
                                     const RecordSet &Records) {
  // Step 1. Fill one list of records after the other up to the bound.
  std::vector<std::string> Lists(1);
  for (const auto &[Id, Entry] : Records) {
    const auto Text = encodeRecord(Entry);
    if (!Lists.back().empty() &&
        Lists.back().size() + Text.size() > MaxImagePartBytes)
      Lists.emplace_back();
    Lists.back() += (Lists.back().empty() ? "" : ",") + Text;
  }
  // Step 2. Wrap each list; the count of parts is known only now.
  std::vector<std::string> Parts;
  for (std::size_t I = 0; I < Lists.size(); ++I)
    Parts.push_back(
        fmt::format(R"({{"part":{},"parts":{},"records":[{}],"revision":{}}})",
                    I, Lists.size(), Lists[I], Number));
  return Parts;
}

bool isImagePart(std::string_view Value) {
  return Value.starts_with(R"({"part":)");
}

tl::expected<RecordSet, Diagnostic>
decodeImage(RevisionNumber Number, std::span<const std::string> Parts,
            SchemaNumber MaxSchema) {
  const auto Place = snapshotKey(Number);
  DecodedRecords Decoded;
  std::set<std::size_t> Seen;
  std::size_t Expected = Parts.size();
  for (const auto &Value : Parts) {
    const auto Part = parseImagePart(Value, Number);
    if (!Part)
      return fail(Place, "", "a part that cannot be read",
                  "parts of this revision's image");
    Expected = Part->Parts;
    Seen.insert(Part->Part);
    decodeRecords(Part->Records, Place, MaxSchema, Decoded);
  }
  if (!Decoded.Faults.empty())
    return DiagnosticResult(Decoded.Faults.front());
  if (Parts.empty() || Seen.size() != Parts.size() || Expected != Parts.size())
    return fail(Place, "parts", std::to_string(Parts.size()),
                std::to_string(Expected));
  return std::move(Decoded.Records);
}

std::string logKey(RevisionNumber Number) {
  return fmt::format("{}{:0{}}", LogPrefix, Number, KeyDigits);
}

std::string snapshotKey(RevisionNumber Number) {
  return fmt::format("{}{:0{}}", SnapshotPrefix, Number, KeyDigits);
}

std::string snapshotPartPrefix(RevisionNumber Number) {
  return fmt::format("config/part/{:0{}}/", Number, KeyDigits);
}

std::string snapshotPartKey(RevisionNumber Number, std::size_t Part) {
  return fmt::format("{}{:04}", snapshotPartPrefix(Number), Part);
}

std::optional<RevisionNumber> parseRevisionKey(std::string_view Key) {
  const auto Slash = Key.rfind('/');
  const auto Digits = Slash == Key.npos ? Key : Key.substr(Slash + 1);
  RevisionNumber Number = 0;
  const auto *End = Digits.data() + Digits.size();
  const auto [Stop, Error] = std::from_chars(Digits.data(), End, Number);
  if (Error != std::errc() || Stop != End || Digits.empty())
    return std::nullopt;
  return Number;
}

} // namespace mangodeck
