#include "etcdmessages.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace mangodeck::etcd {

namespace {

using Json = nlohmann::json;

constexpr int MaxDepth = 12;
constexpr std::int64_t MinLeaseSeconds = 1;

/// Parses an object of bounded depth; std::nullopt for anything else.
std::optional<Json> parseObject(std::string_view Body) {
  bool IsTooDeep = false;
  const auto LimitDepth = [&IsTooDeep](int Depth, Json::parse_event_t, Json &) {
    IsTooDeep = IsTooDeep || Depth > MaxDepth;
    return Depth <= MaxDepth;
  };
  auto Value = Json::parse(Body, LimitDepth, false);
  if (IsTooDeep || !Value.is_object())
    return std::nullopt;
  return Value;
}

const Json *findMember(const Json &Object, const char *Name) {
  if (!Object.is_object())
    return nullptr;
  const auto It = Object.find(Name);
  return It == Object.end() ? nullptr : &*It;
}

/// A 64-bit number, written as a string or as a number; 0 if it is left out,
/// as the gateway does with zeros.
std::optional<std::int64_t> readNumber(const Json &Object, const char *Name) {
  const auto *Member = findMember(Object, Name);
  if (!Member)
    return 0;
  if (Member->is_number_integer())
    return Member->get<std::int64_t>();
  if (!Member->is_string())
    return std::nullopt;
  const auto &Text = Member->get_ref<const std::string &>();
  std::int64_t Number = 0;
  const auto *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Number);
  if (Error != std::errc() || Stop != End || Text.empty())
    return std::nullopt;
  return Number;
}

bool readFlag(const Json &Object, const char *Name) {
  const auto *Member = findMember(Object, Name);
  return Member && Member->is_boolean() && Member->get<bool>();
}

std::optional<std::string> readBytes(const Json &Object, const char *Name) {
  const auto *Member = findMember(Object, Name);
  if (!Member)
    return std::string();
  if (!Member->is_string())
    return std::nullopt;
  return decodeBase64(Member->get_ref<const std::string &>());
}

std::optional<StoreEntry> readEntry(const Json &Object) {
  const auto Key = readBytes(Object, "key");
  auto Value = readBytes(Object, "value");
  const auto Created = readNumber(Object, "create_revision");
  const auto Modified = readNumber(Object, "mod_revision");
  if (!Key || Key->empty() || !Value || !Created || !Modified)
    return std::nullopt;
  return StoreEntry{*Key, std::move(*Value), *Created, *Modified};
}

std::optional<std::vector<StoreEntry>> readEntries(const Json &Object) {
  std::vector<StoreEntry> Entries;
  const auto *Members = findMember(Object, "kvs");
  if (!Members)
    return Entries;
  if (!Members->is_array())
    return std::nullopt;
  for (const auto &Member : *Members) {
    auto Entry = readEntry(Member);
    if (!Entry)
      return std::nullopt;
    Entries.push_back(std::move(*Entry));
  }
  return Entries;
}

/// The lease of \p Object; Errc::LeaseLost when its time is up.
Expected<StoreLease> readLease(const Json &Object) {
  const auto Id = readNumber(Object, "ID");
  const auto Seconds = readNumber(Object, "TTL");
  if (!Id || *Id == 0 || !Seconds)
    return unexpected(Errc::WrongAnswer);
  if (*Seconds <= 0)
    return unexpected(Errc::LeaseLost);
  return StoreLease{
      *Id, std::chrono::seconds(std::min<std::int64_t>(*Seconds, 1000000))};
}

/// Events of type PUT; deletions are of no interest to watchers here.
std::optional<std::vector<StoreEntry>> readEvents(const Json &Result) {
  std::vector<StoreEntry> Changed;
  const auto *Events = findMember(Result, "events");
  if (!Events)
    return Changed;
  if (!Events->is_array())
    return std::nullopt;
  for (const auto &Event : *Events) {
    const auto *Type = findMember(Event, "type");
    if (Type && *Type == "DELETE")
      continue;
    const auto *Member = findMember(Event, "kv");
    auto Entry = Member ? readEntry(*Member) : std::nullopt;
    if (!Entry)
      return std::nullopt;
    Changed.push_back(std::move(*Entry));
  }
  return Changed;
}

} // namespace

std::string endOfPrefix(std::string_view Prefix) {
  std::string End(Prefix);
  while (!End.empty() && End.back() == '\xff')
    End.pop_back();
  if (End.empty())
    return std::string(1, '\0');
  ++End.back();
  return End;
}

std::string encodeRange(const RangeRequest &Request) {
  Json Out{{"key", encodeBase64(Request.Key)}};
  if (!Request.End.empty())
    Out["range_end"] = encodeBase64(Request.End);
  if (Request.Limit > 0)
    Out["limit"] = std::to_string(Request.Limit);
  if (Request.Order == KeyOrder::Descending) {
    Out["sort_order"] = "DESCEND";
    Out["sort_target"] = "KEY";
  }
  if (Request.KeysOnly)
    Out["keys_only"] = true;
  return Out.dump();
}

std::string encodeWrite(const StoreWrite &Write) {
  const auto Key = encodeBase64(Write.Key);
  Json Put{{"key", Key}, {"value", encodeBase64(Write.Value)}};
  if (Write.Lease != 0)
    Put["lease"] = std::to_string(Write.Lease);
  const Json Compare{
      {"key", Key},
      {"target", "MOD"},
      {"result", "EQUAL"},
      {"mod_revision", std::to_string(Write.ExpectedModRevision)}};
  const Json Out{
      {"compare", Json::array({Compare})},
      {"success", Json::array({Json{{"request_put", Put}}})},
      {"failure", Json::array({Json{{"request_range", {{"key", Key}}}}})}};
  return Out.dump();
}

std::string encodeRemove(std::string_view Key) {
  return Json{{"key", encodeBase64(Key)}}.dump();
}

std::string encodeLeaseGrant(Duration TimeToLive) {
  const auto Seconds =
      std::chrono::ceil<std::chrono::seconds>(TimeToLive).count();
  return Json{{"TTL", std::to_string(std::max(Seconds, MinLeaseSeconds))}}
      .dump();
}

std::string encodeLeaseId(std::int64_t Lease) {
  return Json{{"ID", std::to_string(Lease)}}.dump();
}

std::string encodeWatch(std::string_view Prefix) {
  const Json Request{{"key", encodeBase64(Prefix)},
                     {"range_end", encodeBase64(endOfPrefix(Prefix))},
                     {"progress_notify", true}};
  return Json{{"create_request", Request}}.dump();
}

Expected<std::vector<StoreEntry>> parseRange(std::string_view Body) {
  const auto Object = parseObject(Body);
  auto Entries = Object ? readEntries(*Object) : std::nullopt;
  if (!Entries)
    return unexpected(Errc::WrongAnswer);
  return std::move(*Entries);
}

Expected<StoreWriteResult> parseWrite(std::string_view Body) {
  const auto Object = parseObject(Body);
  const auto *Header = Object ? findMember(*Object, "header") : nullptr;
  const auto Revision = Header ? readNumber(*Header, "revision") : std::nullopt;
  if (!Revision)
    return unexpected(Errc::WrongAnswer);
  StoreWriteResult Result;
  Result.Succeeded = readFlag(*Object, "succeeded");
  if (Result.Succeeded) {
    Result.ModRevision = *Revision;
    return Result;
  }
  const auto *Responses = findMember(*Object, "responses");
  if (!Responses || !Responses->is_array() || Responses->empty())
    return unexpected(Errc::WrongAnswer);
  const auto *Range = findMember(Responses->front(), "response_range");
  auto Entries = Range ? readEntries(*Range) : std::nullopt;
  if (!Entries)
    return unexpected(Errc::WrongAnswer);
  Result.Current = std::move(*Entries);
  return Result;
}

Expected<bool> parseRemove(std::string_view Body) {
  const auto Object = parseObject(Body);
  const auto Deleted = Object ? readNumber(*Object, "deleted") : std::nullopt;
  if (!Deleted)
    return unexpected(Errc::WrongAnswer);
  return *Deleted > 0;
}

Expected<StoreLease> parseLeaseGrant(std::string_view Body) {
  const auto Object = parseObject(Body);
  if (!Object)
    return unexpected(Errc::WrongAnswer);
  return readLease(*Object);
}

Expected<StoreLease> parseKeepAlive(std::string_view Body) {
  const auto Object = parseObject(Body.substr(0, Body.find('\n')));
  const auto *Result = Object ? findMember(*Object, "result") : nullptr;
  if (!Result)
    return unexpected(Errc::WrongAnswer);
  return readLease(*Result);
}

Expected<WatchMessage> parseWatch(std::string_view Line) {
  const auto Object = parseObject(Line);
  const auto *Result = Object ? findMember(*Object, "result") : nullptr;
  auto Changed = Result ? readEvents(*Result) : std::nullopt;
  if (!Changed)
    return unexpected(Errc::WrongAnswer);
  WatchMessage Message;
  Message.Created = readFlag(*Result, "created");
  Message.Cancelled = readFlag(*Result, "canceled");
  Message.Changed = std::move(*Changed);
  return Message;
}

} // namespace mangodeck::etcd
