#include "soakstore.h"

#include "mangodeck/common/base64.h"

namespace mangodeck::soak {

namespace {

using std::chrono::milliseconds;

/// Life of a lease; longer than a stand-still of the soak.
constexpr milliseconds LeaseLife{6000};

std::string queryValue(const std::string &Target, const std::string &Name) {
  const auto At = Target.find(Name + "=");
  if (At == std::string::npos)
    return "";
  const auto Start = At + Name.size() + 1;
  return Target.substr(Start, Target.find('&', Start) - Start);
}

} // namespace

SoakStore::SoakStore()
    : m_Server("127.0.0.1", [this](Socket &Caller) { serve(Caller); }) {}

void SoakStore::stop() {
  m_Stopped = true;
  m_Changed.notify_all();
  m_Server.stop();
}

void SoakStore::serve(Socket &Caller) {
  RequestReader Reader(Caller);
  http::Request Asked;
  while (!m_Stopped && Reader.next(Asked)) {
    const auto Result = m_Down ? Reply{503, Json::object()} : answer(Asked);
    const auto Body = Result.Body.dump();
    http::ResponseHead Head;
    Head.Status = Result.Status;
    Head.Fields.add("Store-Era", eraField());
    Head.Fields.add("Content-Length", std::to_string(Body.size()));
    if (!writeAll(Caller, http::serialize(Head) + Body))
      return;
  }
}

std::string SoakStore::eraField() {
  const std::lock_guard Lock(m_Mutex);
  return std::to_string(m_Era);
}

SoakStore::Reply SoakStore::answer(const http::Request &Asked) {
  const auto &Target = Asked.Head.Target;
  if (Target.starts_with("/kv-watch"))
    return watch(std::stoll(queryValue(Target, "AfterRevision")),
                 milliseconds(std::stoll(queryValue(Target, "WaitMs"))));
  const std::lock_guard Lock(m_Mutex);
  expire();
  if (Target.starts_with("/kv-range"))
    return range(queryValue(Target, "AfterRevision"));
  if (Target.starts_with("/kv-lease")) {
    m_Leases[m_NextLease] = Clock::now() + LeaseLife;
    return {200, {{"Lease", m_NextLease++}, {"TtlMs", LeaseLife.count()}}};
  }
  if (Target.starts_with("/kv-keep/")) {
    const auto Found = m_Leases.find(std::stoll(Target.substr(9)));
    if (Found == m_Leases.end())
      return {404, Json::object()};
    Found->second = Clock::now() + LeaseLife;
    return {200, {{"TtlMs", LeaseLife.count()}}};
  }
  if (Target == "/kv-txn") {
    const auto Body = Json::parse(Asked.Body.view());
    Json Current = Json::array();
    bool IsMet = true;
    for (const auto &Each : Body["Precondition"]) {
      const auto Found = m_Items.find(Each["Key"].get<std::string>());
      const bool Exists = Found != m_Items.end();
      IsMet &= Each["Revision"] == (Exists ? Found->second.Revision : 0);
      if (Exists)
        Current.push_back({{"Key", Found->first},
                           {"Value", Found->second.Value},
                           {"Revision", Found->second.Revision}});
    }
    if (!IsMet)
      return {412, {{"Items", Current}}};
    for (const auto &Put : Body["Puts"]) {
      const auto Lease = Put["Lease"].get<std::int64_t>();
      if (Lease != 0 && !m_Leases.contains(Lease))
        return {404, Json::object()};
      const auto Value = Put["Value"].get<std::string>();
      change(Put["Key"].get<std::string>(), &Value, Lease);
    }
    // As if the answer was lost on its way.
    if (++m_Writes % 100 < m_LostAnswers)
      return {503, Json::object()};
    return {200, {{"Revision", m_Revision}}};
  }
  return {404, Json::object()};
}

SoakStore::Reply SoakStore::range(const std::string &After) {
  Json Items = Json::array();
  for (auto At = m_Items.upper_bound(After); At != m_Items.end(); ++At)
    Items.push_back({{"Key", At->first},
                     {"Value", At->second.Value},
                     {"Revision", At->second.Revision}});
  return {200, {{"Items", Items}, {"HasMore", false}, {"AsOf", m_Revision}}};
}

SoakStore::Reply SoakStore::watch(std::int64_t After, milliseconds Wait) {
  std::unique_lock Lock(m_Mutex);
  const auto Era = m_Era;
  m_Changed.wait_for(Lock, Wait, [&] {
    expire();
    return m_Revision > After || m_Stopped || m_Dropped > After || m_Era != Era;
  });
  if (After < m_Dropped || After > m_Revision || m_Era != Era)
    return {410, Json::object()};
  Json Events = Json::array();
  for (auto At = m_History.upper_bound(After); At != m_History.end(); ++At)
    Events.push_back(At->second);
  return {200, {{"events", Events}, {"AsOf", m_Revision}}};
}

void SoakStore::change(const std::string &Key, const std::string *Value,
                       std::int64_t Lease) {
  ++m_Revision;
  if (Value) {
    m_Items[Key] = {*Value, m_Revision, Lease};
    m_History[m_Revision] = {
        {"Key", Key}, {"Value", *Value}, {"Revision", m_Revision}};
  } else {
    m_Items.erase(Key);
    m_History[m_Revision] = {
        {"Key", Key}, {"Revision", m_Revision}, {"Deleted", true}};
  }
  m_Changed.notify_all();
}

void SoakStore::expire() {
  const auto Now = Clock::now();
  std::vector<std::string> Gone;
  for (const auto &[Key, Entry] : m_Items)
    if (Entry.Lease != 0 && m_Leases[Entry.Lease] < Now)
      Gone.push_back(Key);
  for (const auto &Key : Gone)
    change(Key, nullptr, 0);
}

void SoakStore::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard Lock(m_Mutex);
  const auto Text = encodeBase64(Value);
  change(Key, &Text, 0);
}

std::string SoakStore::get(const std::string &Key) {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Items.find(Key);
  return Found == m_Items.end()
             ? std::string()
             : decodeBase64(Found->second.Value).value_or("");
}

void SoakStore::remove(const std::string &Key) {
  const std::lock_guard Lock(m_Mutex);
  change(Key, nullptr, 0);
}

void SoakStore::saveCopy() {
  const std::lock_guard Lock(m_Mutex);
  m_CopiedItems = m_Items;
  m_CopiedRevision = m_Revision;
}

void SoakStore::restoreCopy(milliseconds RewriteDelay) {
  std::map<std::string, Item> Before;
  {
    const std::lock_guard Lock(m_Mutex);
    Before = m_Items;
    m_Items.clear();
    for (const auto &[Key, Entry] : m_CopiedItems)
      if (Entry.Lease == 0)
        m_Items[Key] = Entry;
    m_Revision = m_CopiedRevision;
    m_Leases.clear();
    m_History.clear();
    m_Dropped = m_Revision;
    ++m_Era;
    m_Changed.notify_all();
  }
  std::this_thread::sleep_for(RewriteDelay);
  const std::lock_guard Lock(m_Mutex);
  // The operator and the targets write their keys again; what the daemons wrote
  // is lost. A target that has left does not register again.
  for (const auto &[Key, Entry] : Before)
    if (Entry.Lease == 0 && !Key.starts_with("mangodeck/") &&
        (!m_CopiedItems.contains(Key) ||
         m_CopiedItems[Key].Value != Entry.Value))
      change(Key, &Entry.Value, 0);
  for (const auto &[Key, Entry] : m_CopiedItems)
    if (Key.starts_with("servers/") && !Before.contains(Key))
      change(Key, nullptr, 0);
}

void SoakStore::dropHistory() {
  const std::lock_guard Lock(m_Mutex);
  m_Dropped = m_Revision;
  m_History.clear();
  m_Changed.notify_all();
}

} // namespace mangodeck::soak
