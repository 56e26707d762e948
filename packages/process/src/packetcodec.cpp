#include "mangodeck/process/packetcodec.h"

#include "generated/gossip.pb.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cassert>
#include <optional>

namespace mangodeck {

namespace {

constexpr char FormatVersion = 1;
constexpr std::size_t MacBytes = 16;
constexpr std::size_t HeaderBytes = 1 + MacBytes;
constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxSubjectBytes = 128;
constexpr std::size_t MaxValueBytes = 512;
constexpr std::uint32_t MaxRemainingSeconds = 24 * 3600;

/// Bytes for the tags and lengths of a rumor in a datagram and of its strings.
constexpr std::size_t RumorFixedBytes = 3 + 3 * 2;
/// The same for an entry, including its small numbers. Strings, incarnation and
/// version are added to this.
constexpr std::size_t EntryFixedBytes = 3 + 2 + 2 * 2 + 3 + 6 + 2;
constexpr std::size_t PacketFixedBytes = HeaderBytes + 2 + 6 + 2 + 3;
constexpr std::size_t BucketBytes = 4;

/// Encoded bytes of a numeric field; 0 if its value is 0.
std::size_t fieldBytes(std::uint64_t Value) {
  constexpr int BitsPerByte = 7;
  const auto Bits = static_cast<std::size_t>(std::bit_width(Value));
  return Value == 0 ? 0 : 1 + (Bits + BitsPerByte - 1) / BitsPerByte;
}

std::array<char, MacBytes> computeMac(std::string_view Key,
                                      std::string_view Body) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned int Length = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Body.data()), Body.size(),
       Digest.data(), &Length);
  std::array<char, MacBytes> Mac{};
  std::copy_n(Digest.begin(), MacBytes, Mac.begin());
  return Mac;
}

void toWire(const Member &Rumor, gossipwire::MemberRumor &Wire) {
  Wire.set_vm(Rumor.Vm.Text);
  Wire.set_address(Rumor.Address);
  Wire.set_domain(Rumor.Domain.Text);
  Wire.set_state(static_cast<std::uint32_t>(Rumor.State));
  Wire.set_leaving(Rumor.Leaving);
  Wire.set_started(Rumor.Started);
  Wire.set_refutation(Rumor.RefutationNumber);
}

void toWire(const GossipEntry &Entry, gossipwire::Entry &Wire) {
  Wire.set_kind(static_cast<std::uint32_t>(Entry.Kind));
  Wire.set_origin(Entry.Origin.Text);
  Wire.set_subject(Entry.Subject);
  Wire.set_started(Entry.Started);
  Wire.set_version(Entry.Version);
  Wire.set_remaining_seconds(static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, Entry.Remaining / 1s)));
  Wire.set_value(Entry.Value);
  Wire.set_direct(Entry.Direct);
}

std::optional<Member> fromWire(const gossipwire::MemberRumor &Wire) {
  const bool IsValid = !Wire.vm().empty() && Wire.vm().size() <= MaxNameBytes &&
                       Wire.address().size() <= MaxNameBytes &&
                       Wire.domain().size() <= MaxNameBytes &&
                       Wire.state() <= static_cast<int>(MemberState::Left);
  if (!IsValid)
    return std::nullopt;
  Member Rumor;
  Rumor.Vm = VmName(Wire.vm());
  Rumor.Address = Wire.address();
  Rumor.Domain = FailureDomain(Wire.domain());
  Rumor.State = static_cast<MemberState>(Wire.state());
  Rumor.Leaving = Wire.leaving();
  Rumor.Started = Wire.started();
  Rumor.RefutationNumber = Wire.refutation();
  return Rumor;
}

/// Converts an entry. Returns std::nullopt for an entry of an unknown kind,
/// which a newer daemon may send, or beyond the size limits; the rest of the
/// datagram stays valid.
std::optional<GossipEntry> fromWire(const gossipwire::Entry &Wire) {
  const bool IsValid =
      Wire.kind() <= static_cast<std::uint32_t>(EntryKind::CustomerUsage) &&
      Wire.origin().size() <= MaxNameBytes &&
      Wire.subject().size() <= MaxSubjectBytes &&
      Wire.value().size() <= MaxValueBytes;
  if (!IsValid)
    return std::nullopt;
  GossipEntry Entry;
  Entry.Kind = static_cast<EntryKind>(Wire.kind());
  Entry.Origin = VmName(Wire.origin());
  Entry.Subject = Wire.subject();
  Entry.Started = Wire.started();
  Entry.Version = Wire.version();
  Entry.Remaining =
      std::min(Wire.remaining_seconds(), MaxRemainingSeconds) * 1s;
  Entry.Value = Wire.value();
  Entry.Direct = Wire.direct();
  return Entry;
}

std::optional<Packet> fromWire(const gossipwire::Packet &Wire) {
  const auto Sender = fromWire(Wire.sender());
  const bool HasKnownKind =
      Wire.kind() >= static_cast<std::uint32_t>(PacketKind::Probe) &&
      Wire.kind() <= static_cast<std::uint32_t>(PacketKind::SyncAnswer);
  if (!Sender || !HasKnownKind || Wire.target().size() > MaxNameBytes)
    return std::nullopt;
  Packet Message;
  Message.Kind = static_cast<PacketKind>(Wire.kind());
  Message.Sequence = Wire.sequence();
  Message.Sender = *Sender;
  Message.ProbedVm = VmName(Wire.target());
  for (const auto &Item : Wire.members()) {
    if (auto Rumor = fromWire(Item))
      Message.Members.push_back(std::move(*Rumor));
  }
  for (const auto &Item : Wire.entries()) {
    if (auto Entry = fromWire(Item))
      Message.Entries.push_back(std::move(*Entry));
  }
  Message.Buckets.assign(Wire.buckets().begin(), Wire.buckets().end());
  return Message;
}

} // namespace

std::size_t maxEncodedBytes(const Member &Rumor) {
  return RumorFixedBytes + Rumor.Vm.Text.size() + Rumor.Address.size() +
         Rumor.Domain.Text.size() +
         fieldBytes(static_cast<std::uint64_t>(Rumor.State)) +
         fieldBytes(Rumor.Leaving ? 1 : 0) + fieldBytes(Rumor.Started) +
         fieldBytes(Rumor.RefutationNumber);
}

std::size_t maxEncodedBytes(const GossipEntry &Entry) {
  return EntryFixedBytes + Entry.Origin.Text.size() + Entry.Subject.size() +
         Entry.Value.size() + fieldBytes(Entry.Started) +
         fieldBytes(Entry.Version);
}

std::size_t maxEncodedBytes(const Packet &Message) {
  std::size_t Bytes = PacketFixedBytes + maxEncodedBytes(Message.Sender) +
                      Message.ProbedVm.Text.size() +
                      BucketBytes * Message.Buckets.size();
  for (const auto &Rumor : Message.Members)
    Bytes += maxEncodedBytes(Rumor);
  for (const auto &Entry : Message.Entries)
    Bytes += maxEncodedBytes(Entry);
  return Bytes;
}

PacketCodec::PacketCodec(std::vector<std::string> Keys)
    : m_Keys(std::move(Keys)) {
  assert(!m_Keys.empty() && "settings are checked to have a peer key");
}

Expected<std::string> PacketCodec::encode(const Packet &Message) const {
  gossipwire::Packet Wire;
  Wire.set_kind(static_cast<std::uint32_t>(Message.Kind));
  Wire.set_sequence(Message.Sequence);
  toWire(Message.Sender, *Wire.mutable_sender());
  Wire.set_target(Message.ProbedVm.Text);
  for (const auto &Rumor : Message.Members)
    toWire(Rumor, *Wire.add_members());
  for (const auto &Entry : Message.Entries)
    toWire(Entry, *Wire.add_entries());
  for (const auto Bucket : Message.Buckets)
    Wire.add_buckets(Bucket);

  const auto Body = Wire.SerializeAsString();
  if (Body.size() + HeaderBytes > MaxPacketBytes)
    return unexpected(Errc::LimitExceeded);
  const auto Mac = computeMac(m_Keys.front(), Body);
  std::string Bytes;
  Bytes.reserve(HeaderBytes + Body.size());
  Bytes.push_back(FormatVersion);
  Bytes.append(Mac.data(), Mac.size());
  Bytes.append(Body);
  return Bytes;
}

bool PacketCodec::isAuthentic(std::string_view Mac,
                              std::string_view Body) const {
  return std::any_of(m_Keys.begin(), m_Keys.end(), [&](const std::string &Key) {
    const auto ExpectedMac = computeMac(Key, Body);
    return CRYPTO_memcmp(ExpectedMac.data(), Mac.data(), MacBytes) == 0;
  });
}

Expected<Packet> PacketCodec::decode(std::string_view Bytes) {
  if (Bytes.size() > MaxPacketBytes) {
    ++m_Drops.TooLong;
    return unexpected(Errc::LimitExceeded);
  }
  if (Bytes.size() < HeaderBytes || Bytes.front() != FormatVersion) {
    ++m_Drops.Malformed;
    return unexpected(Errc::InvalidInput);
  }
  const auto Body = Bytes.substr(HeaderBytes);
  if (!isAuthentic(Bytes.substr(1, MacBytes), Body)) {
    ++m_Drops.NotAuthentic;
    return unexpected(Errc::InvalidInput);
  }
  gossipwire::Packet Wire;
  const bool Parsed =
      Wire.ParseFromArray(Body.data(), static_cast<int>(Body.size()));
  auto Message = Parsed ? fromWire(Wire) : std::nullopt;
  if (!Message) {
    ++m_Drops.Malformed;
    return unexpected(Errc::InvalidInput);
  }
  return std::move(*Message);
}

} // namespace mangodeck
