#include "standinkeyvalue.h"

#include <openssl/evp.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace mangodeck::testing {

namespace {

using Json = nlohmann::json;

std::string toBase64(const std::string &Bytes) {
  std::string Text(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  Text.resize(static_cast<std::size_t>(
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()))));
  return Text;
}

std::string fromBase64(const std::string &Text) {
  std::string Bytes(Text.size() / 4 * 3 + 1, '\0');
  const int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  const auto Padding =
      static_cast<int>(std::count(Text.begin(), Text.end(), '='));
  Bytes.resize(static_cast<std::size_t>(std::max(0, Length - Padding)));
  return Bytes;
}

std::string textOf(const Json &Object, const char *Name) {
  const auto It = Object.find(Name);
  return It != Object.end() && It->is_string() ? It->get<std::string>() : "";
}

std::string bytesOf(const Json &Object, const char *Name) {
  return fromBase64(textOf(Object, Name));
}

std::int64_t numberOf(const Json &Object, const char *Name) {
  const auto It = Object.find(Name);
  if (It == Object.end())
    return 0;
  return It->is_string()
             ? std::strtoll(It->get<std::string>().c_str(), nullptr, 10)
             : It->get<std::int64_t>();
}

/// Whether \p Key lies in a range; an end of one zero byte is open.
bool isInRange(const std::string &Key, const std::string &From,
               const std::string &End) {
  if (End.empty())
    return Key == From;
  return Key >= From && (End == std::string(1, '\0') || Key < End);
}

TimePoint now() { return std::chrono::steady_clock::now(); }

} // namespace

void StandInKeyValue::expireLeases() {
  const auto Now = now();
  std::erase_if(m_Leases,
                [Now](const auto &Pair) { return Pair.second.Expiry <= Now; });
  std::erase_if(m_Items, [this](const auto &Pair) {
    return Pair.second.Lease != 0 && !m_Leases.contains(Pair.second.Lease);
  });
}

Json StandInKeyValue::header() const {
  return {{"revision", std::to_string(m_Revision)}};
}

Json StandInKeyValue::describe(const std::string &Key, const Item &Entry,
                               bool KeysOnly) const {
  Json Out{{"key", toBase64(Key)},
           {"create_revision", std::to_string(Entry.Created)},
           {"mod_revision", std::to_string(Entry.Modified)}};
  if (!KeysOnly)
    Out["value"] = Entry.Value;
  if (Entry.Lease != 0)
    Out["lease"] = std::to_string(Entry.Lease);
  return Out;
}

Json StandInKeyValue::rangeLocked(const Json &Request) {
  const auto From = bytesOf(Request, "key");
  const auto End = bytesOf(Request, "range_end");
  const bool KeysOnly = Request.value("keys_only", false);
  Json Found = Json::array();
  for (auto It = m_Items.lower_bound(From);
       It != m_Items.end() && isInRange(It->first, From, End); ++It)
    Found.push_back(describe(It->first, It->second, KeysOnly));
  const auto Count = Found.size();
  if (textOf(Request, "sort_order") == "DESCEND")
    std::reverse(Found.begin(), Found.end());
  const auto Limit = static_cast<std::size_t>(numberOf(Request, "limit"));
  if (Limit > 0 && Found.size() > Limit)
    Found.erase(Found.begin() + static_cast<std::ptrdiff_t>(Limit),
                Found.end());
  Json Out{{"header", header()}};
  if (!Found.empty())
    Out["kvs"] = std::move(Found);
  if (Count > 0)
    Out["count"] = std::to_string(Count);
  return Out;
}

Json StandInKeyValue::range(const Json &Request) {
  const std::lock_guard Lock(m_Mutex);
  expireLeases();
  return rangeLocked(Request);
}

bool StandInKeyValue::compare(const Json &Condition) const {
  const auto It = m_Items.find(bytesOf(Condition, "key"));
  const bool Exists = It != m_Items.end();
  const auto Target = textOf(Condition, "target");
  if (Target == "MOD")
    return (Exists ? It->second.Modified : 0) ==
           numberOf(Condition, "mod_revision");
  if (Target == "CREATE")
    return (Exists ? It->second.Created : 0) ==
           numberOf(Condition, "create_revision");
  return false;
}

void StandInKeyValue::put(const Json &Request) {
  const auto Key = bytesOf(Request, "key");
  auto &Entry = m_Items[Key];
  Entry.Value = textOf(Request, "value");
  Entry.Modified = m_Revision;
  if (Entry.Created == 0)
    Entry.Created = m_Revision;
  Entry.Lease = numberOf(Request, "lease");
  notify(Key, Entry);
}

Json StandInKeyValue::apply(const Json &Operation) {
  if (const auto It = Operation.find("request_put"); It != Operation.end()) {
    ++m_Revision;
    put(*It);
    return {{"response_put", {{"header", header()}}}};
  }
  if (const auto It = Operation.find("request_range"); It != Operation.end())
    return {{"response_range", rangeLocked(*It)}};
  return Json::object();
}

Json StandInKeyValue::transact(const Json &Request) {
  const std::lock_guard Lock(m_Mutex);
  expireLeases();
  bool Holds = true;
  for (const auto &Condition : Request.value("compare", Json::array()))
    Holds = Holds && compare(Condition);
  Json Responses = Json::array();
  for (const auto &Operation :
       Request.value(Holds ? "success" : "failure", Json::array()))
    Responses.push_back(apply(Operation));
  Json Out{{"header", header()}, {"responses", std::move(Responses)}};
  if (Holds)
    Out["succeeded"] = true;
  return Out;
}

Json StandInKeyValue::remove(const Json &Request) {
  const std::lock_guard Lock(m_Mutex);
  const auto Count = m_Items.erase(bytesOf(Request, "key"));
  m_Revision += static_cast<std::int64_t>(Count);
  Json Out{{"header", header()}};
  if (Count > 0)
    Out["deleted"] = std::to_string(Count);
  return Out;
}

Json StandInKeyValue::grantLease(const Json &Request) {
  const std::lock_guard Lock(m_Mutex);
  const auto Seconds = std::max<std::int64_t>(numberOf(Request, "TTL"), 1);
  const auto Id = m_NextLease++;
  const Duration TimeToLive = std::chrono::seconds(Seconds);
  m_Leases[Id] = {TimeToLive, now() + TimeToLive};
  return {{"header", header()},
          {"ID", std::to_string(Id)},
          {"TTL", std::to_string(Seconds)}};
}

Json StandInKeyValue::keepAlive(const Json &Request) {
  const std::lock_guard Lock(m_Mutex);
  expireLeases();
  const auto Id = numberOf(Request, "ID");
  Json Result{{"header", header()}, {"ID", std::to_string(Id)}};
  const auto It = m_Leases.find(Id);
  if (It != m_Leases.end()) {
    It->second.Expiry = now() + It->second.TimeToLive;
    Result["TTL"] = std::to_string(
        std::chrono::duration_cast<std::chrono::seconds>(It->second.TimeToLive)
            .count());
  }
  return {{"result", std::move(Result)}};
}

bool StandInKeyValue::revoke(const Json &Request) {
  const std::lock_guard Lock(m_Mutex);
  const bool Existed = m_Leases.erase(numberOf(Request, "ID")) > 0;
  expireLeases();
  return Existed;
}

std::uint64_t StandInKeyValue::watch(const Json &CreateRequest, Send Write) {
  const std::lock_guard Lock(m_Mutex);
  Write(Json{{"result", {{"header", header()}, {"created", true}}}}.dump() +
        "\n");
  const auto Id = m_NextWatch++;
  m_Watches[Id] = {bytesOf(CreateRequest, "key"),
                   bytesOf(CreateRequest, "range_end"), std::move(Write)};
  return Id;
}

void StandInKeyValue::unwatch(std::uint64_t Id) {
  const std::lock_guard Lock(m_Mutex);
  m_Watches.erase(Id);
}

std::size_t StandInKeyValue::watches() {
  const std::lock_guard Lock(m_Mutex);
  return m_Watches.size();
}

void StandInKeyValue::dropWatches(
    const std::function<void(std::uint64_t)> &End) {
  std::map<std::uint64_t, Watch> Dropped;
  {
    const std::lock_guard Lock(m_Mutex);
    Dropped.swap(m_Watches);
  }
  for (const auto &[Id, Entry] : Dropped)
    End(Id);
}

void StandInKeyValue::silenceWatches() {
  const std::lock_guard Lock(m_Mutex);
  for (auto &[Id, Entry] : m_Watches)
    Entry.IsSilent = true;
}

void StandInKeyValue::notify(const std::string &Key, const Item &Entry) {
  const Json Event{{"kv", describe(Key, Entry, false)}};
  const auto Line =
      Json{{"result", {{"header", header()}, {"events", {Event}}}}}.dump() +
      "\n";
  for (const auto &[Id, Watcher] : m_Watches)
    if (!Watcher.IsSilent && isInRange(Key, Watcher.From, Watcher.End))
      Watcher.Write(Line);
}

void StandInKeyValue::saveCopy() {
  const std::lock_guard Lock(m_Mutex);
  m_Copy = m_Items;
  m_CopyRevision = m_Revision;
}

void StandInKeyValue::restoreCopy() {
  const std::lock_guard Lock(m_Mutex);
  m_Items = m_Copy;
  m_Revision = m_CopyRevision;
}

} // namespace mangodeck::testing
