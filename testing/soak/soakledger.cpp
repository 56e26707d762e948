#include "soakledger.h"

namespace mangodeck::soak {

void SoakLedger::count(std::uint64_t &Counter) {
  const std::lock_guard Lock(m_Mutex);
  ++Counter;
}

void SoakLedger::noteSent(const std::string &Id, const std::string &Daemon) {
  const std::lock_guard Lock(m_Mutex);
  m_DaemonByRequest[Id] = Daemon;
}

std::string SoakLedger::daemonOf(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_DaemonByRequest.find(Id);
  return Found == m_DaemonByRequest.end() ? std::string() : Found->second;
}

void SoakLedger::noteRun(const std::string &Id, bool MayRepeat) {
  const std::lock_guard Lock(m_Mutex);
  auto &Entry = m_Runs[Id];
  ++Entry.Count;
  Entry.MayRepeat = MayRepeat;
}

bool SoakLedger::hasRun(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  return m_Runs.contains(Id);
}

void SoakLedger::notePromise(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  m_Promised.insert(Id);
}

void SoakLedger::noteBroken(const std::string &What) {
  const std::lock_guard Lock(m_Mutex);
  m_Broken.push_back(What);
}

std::vector<std::string> SoakLedger::verdict() {
  const std::lock_guard Lock(m_Mutex);
  auto Broken = m_Broken;
  for (const auto &[Id, Entry] : m_Runs) {
    if (Entry.MayRepeat)
      continue;
    if (Entry.Count > 1)
      Broken.push_back("at most once: " + Id + " ran " +
                       std::to_string(Entry.Count) + " times");
    if (m_Promised.contains(Id))
      Broken.push_back("true refusal: " + Id + " ran, though refused");
  }
  return Broken;
}

} // namespace mangodeck::soak
