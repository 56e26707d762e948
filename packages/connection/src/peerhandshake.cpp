#include "peerhandshake.h"

#include "generated/peer.pb.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

namespace mangodeck {

namespace {

constexpr std::size_t MaxNameBytes = 64;

bool parse(proto::Hello &Out, std::string_view Frame) {
  return Out.ParseFromArray(Frame.data(), static_cast<int>(Frame.size()));
}

bool isPrintable(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C > ' ' && C < 0x7f; });
}

} // namespace

PeerHandshake::PeerHandshake(VmName Own, std::vector<std::string> Keys,
                             PeerRole Role, VmName Expected, std::string Nonce,
                             bool Deflates)
    : m_Own(std::move(Own)), m_Keys(std::move(Keys)), m_Role(Role),
      m_Peer(std::move(Expected)), m_Nonce(std::move(Nonce)),
      m_Deflates(Deflates) {}

std::string PeerHandshake::start() const {
  proto::Hello Out;
  Out.set_from(m_Own.Text);
  Out.set_to(m_Peer.Text);
  Out.set_nonce(m_Nonce);
  Out.set_deflate(m_Deflates);
  return Out.SerializeAsString();
}

Expected<std::string> PeerHandshake::receive(std::string_view Frame) {
  if (m_Role == PeerRole::Acceptor && m_Peer.empty())
    return receiveFirst(Frame);
  proto::Hello In;
  if (!parse(In, Frame))
    return unexpected(Errc::InvalidInput);
  proto::Hello Out;
  if (m_Role == PeerRole::Dialer) {
    if (In.from() != m_Peer.Text || In.to() != m_Own.Text ||
        In.nonce().size() != HandshakeNonceBytes)
      return unexpected(Errc::InvalidInput);
    m_PeerNonce = In.nonce();
    m_Deflates = m_Deflates && In.deflate();
    Out.set_mac(sign(m_Keys.front(), PeerRole::Dialer));
  }
  const auto Signer =
      m_Role == PeerRole::Dialer ? PeerRole::Acceptor : PeerRole::Dialer;
  if (!verify(In.mac(), Signer))
    return unexpected(Errc::Closed);
  m_Done = true;
  return Out.SerializeAsString();
}

/// The acceptor's answer to the dialer's first frame. The name that the dialer
/// gives is not proved yet.
Expected<std::string> PeerHandshake::receiveFirst(std::string_view Frame) {
  proto::Hello In;
  if (!parse(In, Frame) || In.to() != m_Own.Text || In.from() == m_Own.Text ||
      In.from().empty() || In.from().size() > MaxNameBytes ||
      !isPrintable(In.from()) || In.nonce().size() != HandshakeNonceBytes)
    return unexpected(Errc::InvalidInput);
  m_Peer = VmName(In.from());
  m_PeerNonce = In.nonce();
  m_Deflates = m_Deflates && In.deflate();
  proto::Hello Out;
  Out.set_deflate(m_Deflates);
  Out.set_from(m_Own.Text);
  Out.set_to(m_Peer.Text);
  Out.set_nonce(m_Nonce);
  Out.set_mac(sign(m_Keys.front(), PeerRole::Acceptor));
  return Out.SerializeAsString();
}

/// What a MAC covers: the signer's role, both names and both nonces, each with
/// its length or of fixed length, so that no two handshakes share one text.
std::string PeerHandshake::transcript(PeerRole Signer) const {
  const bool IsDialer = m_Role == PeerRole::Dialer;
  const auto &Dialer = IsDialer ? m_Own : m_Peer;
  const auto &Acceptor = IsDialer ? m_Peer : m_Own;
  std::string Text = "mangodeck peer 1 ";
  Text += Signer == PeerRole::Dialer ? 'd' : 'a';
  Text += static_cast<char>(Dialer.Text.size()) + Dialer.Text;
  Text += static_cast<char>(Acceptor.Text.size()) + Acceptor.Text;
  Text += IsDialer ? m_Nonce + m_PeerNonce : m_PeerNonce + m_Nonce;
  return Text;
}

std::string PeerHandshake::sign(std::string_view Key, PeerRole Signer) const {
  const auto Text = transcript(Signer);
  unsigned char Mac[EVP_MAX_MD_SIZE];
  unsigned Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(), Mac,
       &Size);
  return {reinterpret_cast<const char *>(Mac), Size};
}

bool PeerHandshake::verify(std::string_view Mac, PeerRole Signer) const {
  return std::any_of(m_Keys.begin(), m_Keys.end(), [&](const auto &Key) {
    const auto Right = sign(Key, Signer);
    return Mac.size() == Right.size() &&
           CRYPTO_memcmp(Mac.data(), Right.data(), Right.size()) == 0;
  });
}

} // namespace mangodeck
