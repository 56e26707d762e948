#ifndef MANGODECK_GATEWAY_ORIGINHOLDERS_H
#define MANGODECK_GATEWAY_ORIGINHOLDERS_H

#include "mangodeck/common/ids.h"
#include "mangodeck/gateway/originmessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mangodeck {

/// Chooses the daemons that keep the origin of a stream: in each failure domain
/// those with the highest weight, a hash of the stream and the daemon
/// (rendezvous hashing). Daemons whose views of the fleet differ by a few
/// members choose nearly the same, and more are asked than were told.
class OriginHolders {
public:
  OriginHolders(std::string OwnVm, FailureDomain OwnDomain);

  void add(const std::string &Vm, const FailureDomain &Domain);
  void remove(const std::string &Vm);

  /// The daemons to which the origin of \p Stream is sent, without this one: a
  /// fixed number, of which some are in other failure domains, so that a part
  /// survives the loss of this domain.
  std::vector<std::string> recipientsOf(StreamId Stream) const;
  /// The daemons to ask for the origin of \p Stream, without this one: a fixed
  /// number in each failure domain.
  std::vector<std::string> candidatesOf(StreamId Stream) const;

private:
  struct Daemon {
    std::string Vm;
    std::uint64_t Hash = 0; ///< Of the name.
  };
  /// Appends the first \p Count daemons of a domain to \p Result.
  static void appendFirst(const std::vector<Daemon> &Domain, StreamId Stream,
                          std::size_t Count, std::vector<std::string> &Result);

  std::string m_OwnVm;
  FailureDomain m_OwnDomain;
  std::map<std::string, std::vector<Daemon>> m_ByDomain;
};

} // namespace mangodeck

#endif
