#ifndef MANGODECK_CONNECTION_PEERHANDSHAKE_H
#define MANGODECK_CONNECTION_PEERHANDSHAKE_H

#include "mangodeck/common/error.h"
#include "mangodeck/common/ids.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// Which end opened a connection.
enum class PeerRole : std::uint8_t { Dialer, Acceptor };

/// Mutual proof that both ends of a new connection know a shared key. Three
/// frames: the dialer names both ends and sends a nonce; the acceptor answers
/// with its nonce and a MAC over names and nonces; the dialer sends its MAC.
/// Does no input or output.
class PeerHandshake {
public:
  /// \p Expected is the peer that is dialed; empty for an acceptor. \p Nonce
  /// must be fresh and random. Messages are deflated if both ends are for it.
  PeerHandshake(VmName Own, std::vector<std::string> Keys, PeerRole Role,
                VmName Expected, std::string Nonce, bool Deflates);

  /// The dialer's first frame.
  std::string start() const;

  /// Takes the other end's next frame; returns the frame to answer with,
  /// which may be empty. Errc::InvalidInput for a malformed frame or a wrong
  /// name, Errc::Closed if the MAC fits no key.
  Expected<std::string> receive(std::string_view Frame);

  /// The other end has proved that it knows a key.
  bool isDone() const { return m_Done; }

  /// Whether messages are deflated; valid when isDone().
  bool deflates() const { return m_Deflates; }

  PeerRole role() const { return m_Role; }

  /// Name of the other end; empty until it is known.
  const VmName &peer() const { return m_Peer; }

private:
  Expected<std::string> receiveFirst(std::string_view Frame);
  std::string transcript(PeerRole Signer) const;
  std::string sign(std::string_view Key, PeerRole Signer) const;
  bool verify(std::string_view Mac, PeerRole Signer) const;

  VmName m_Own;
  std::vector<std::string> m_Keys;
  PeerRole m_Role;
  VmName m_Peer;
  std::string m_Nonce;
  std::string m_PeerNonce;
  bool m_Deflates;
  bool m_Done = false;
};

/// Bytes of a nonce.
constexpr std::size_t HandshakeNonceBytes = 16;

} // namespace mangodeck

#endif
