#ifndef MANGODECK_SOAK_SOAKTARGET_H
#define MANGODECK_SOAK_SOAKTARGET_H

#include "faultproxy.h"
#include "soakledger.h"
#include "soakstore.h"

#include <random>

namespace mangodeck::soak {

/// A stand-in target behind a proxy. It runs plain requests and streams, and
/// can lose, garble, double, unframe or reject answers.
class SoakTarget {
public:
  SoakTarget(std::string Id, std::string Domain, SoakLedger &Ledger,
             SoakStore &Store, const std::atomic<bool> &Calm,
             std::uint64_t Seed);

  FaultProxy &link() { return m_Link; }
  /// Share of the answers that are spoiled, in percent.
  void setSpoiled(unsigned Percent) { m_Spoiled = Percent; }
  /// Registers as ready or draining.
  void announce(bool Draining);

private:
  void serve(Socket &Caller);
  bool answer(Socket &Caller, const http::Request &Asked);
  bool stream(Socket &Caller, const std::string &Id, int After);
  unsigned draw(unsigned Below);

  std::string m_Id;
  std::string m_Domain;
  SoakLedger &m_Ledger;
  SoakStore &m_Store;
  const std::atomic<bool> &m_Calm; ///< No fault for a while.
  std::mutex m_Mutex;
  std::mt19937_64 m_Random;
  std::atomic<unsigned> m_Spoiled{0};
  std::atomic<Clock::rep> m_DrainingSince{0};
  ThreadedServer m_Server;
  FaultProxy m_Link;
};

/// Events of every stream.
inline constexpr int StreamEvents = 12;
/// Body of the answer to a request, which tells whose it is.
std::string bodyOf(const std::string &Id);

} // namespace mangodeck::soak

#endif
