#include "mangodeck/process/packetcodec.h"

#include "mangodeck/common/random.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace mangodeck {

namespace {

const std::string OldKey(16, 'o');
const std::string NewKey(16, 'n');

std::string randomText(RandomSource &Random, std::size_t MaxLength) {
  return std::string(Random.below(MaxLength + 1), 'x');
}

Member randomMember(RandomSource &Random) {
  Member Rumor;
  Rumor.Vm = VmName(randomText(Random, 20) + "v");
  Rumor.Address = randomText(Random, 21);
  Rumor.Domain = FailureDomain(randomText(Random, 12));
  Rumor.State = static_cast<MemberState>(Random.below(4));
  Rumor.Leaving = Random.below(2) == 1;
  Rumor.Started = Random.next() >> Random.below(64);
  Rumor.RefutationNumber =
      static_cast<std::uint32_t>(Random.next() >> (32 + Random.below(32)));
  return Rumor;
}

GossipEntry randomEntry(RandomSource &Random) {
  GossipEntry Entry;
  Entry.Kind = static_cast<EntryKind>(Random.below(5));
  Entry.Origin = VmName(randomText(Random, 20));
  Entry.Subject = randomText(Random, 30);
  Entry.Started = Random.next() >> Random.below(64);
  Entry.Version = Random.next() >> Random.below(64);
  Entry.Remaining = std::chrono::seconds(Random.below(86400));
  Entry.Direct = Random.below(2) == 1;
  Entry.Value = randomText(Random, 60);
  return Entry;
}

Packet randomPacket(RandomSource &Random) {
  Packet Message;
  Message.Kind = static_cast<PacketKind>(1 + Random.below(6));
  Message.Sequence = static_cast<std::uint32_t>(Random.next());
  Message.Sender = randomMember(Random);
  Message.ProbedVm = VmName(randomText(Random, 20));
  for (std::uint64_t I = Random.below(4); I > 0; --I)
    Message.Members.push_back(randomMember(Random));
  for (std::uint64_t I = Random.below(4); I > 0; --I)
    Message.Entries.push_back(randomEntry(Random));
  for (std::uint64_t I = Random.below(33); I > 0; --I)
    Message.Buckets.push_back(static_cast<std::uint32_t>(Random.next()));
  return Message;
}

} // namespace

class PacketCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PacketCodecTest);
  CPPUNIT_TEST(packet_random_roundTripsWithinSizeBound);
  CPPUNIT_TEST(packet_keyChange_bothKeysAreAccepted);
  CPPUNIT_TEST(packet_anyByteChanged_isDroppedAndCounted);
  CPPUNIT_TEST(packet_tooLong_isRejectedInBothDirections);
  CPPUNIT_TEST(packet_truncated_isDropped);
  CPPUNIT_TEST(packet_unknownKind_isDroppedAsMalformed);
  CPPUNIT_TEST(value_ofEachKind_roundTrips);
  CPPUNIT_TEST_SUITE_END();

public:
  void packet_random_roundTripsWithinSizeBound() {
    SeededRandom Random(1);
    PacketCodec Codec({NewKey});
    for (int I = 0; I < 2000; ++I) {
      const auto Message = randomPacket(Random);
      const auto Bytes = Codec.encode(Message);
      CPPUNIT_ASSERT(Bytes && Bytes->size() <= maxEncodedBytes(Message));
      const auto Read = Codec.decode(*Bytes);
      CPPUNIT_ASSERT(Read && Read->Sender == Message.Sender);
      CPPUNIT_ASSERT(Read->Members == Message.Members);
      CPPUNIT_ASSERT(Read->Buckets == Message.Buckets);
      CPPUNIT_ASSERT_EQUAL(Message.Entries.size(), Read->Entries.size());
      for (std::size_t E = 0; E < Read->Entries.size(); ++E) {
        CPPUNIT_ASSERT_EQUAL(Message.Entries[E].Value, Read->Entries[E].Value);
        CPPUNIT_ASSERT_EQUAL(Message.Entries[E].Version,
                             Read->Entries[E].Version);
        CPPUNIT_ASSERT(Message.Entries[E].Remaining ==
                       Read->Entries[E].Remaining);
      }
    }
  }

  void packet_keyChange_bothKeysAreAccepted() {
    const PacketCodec Before({OldKey});
    const PacketCodec After({NewKey});
    PacketCodec During({NewKey, OldKey});
    CPPUNIT_ASSERT(During.decode(*Before.encode(samplePacket())));
    CPPUNIT_ASSERT(During.decode(*After.encode(samplePacket())));
    PacketCodec Later({NewKey});
    CPPUNIT_ASSERT(!Later.decode(*Before.encode(samplePacket())));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Later.drops().NotAuthentic);
  }

  void packet_anyByteChanged_isDroppedAndCounted() {
    PacketCodec Codec({NewKey});
    const auto Encoded = *Codec.encode(samplePacket());
    for (std::size_t I = 0; I < Encoded.size(); ++I) {
      auto Changed = Encoded;
      Changed[I] = static_cast<char>(Changed[I] ^ 1);
      CPPUNIT_ASSERT(!Codec.decode(Changed));
    }
    const auto &Drops = Codec.drops();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Drops.Malformed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{Encoded.size() - 1}, Drops.NotAuthentic);
  }

  void packet_tooLong_isRejectedInBothDirections() {
    PacketCodec Codec({NewKey});
    auto Message = samplePacket();
    Message.Buckets.resize(MaxPacketBytes / 4);
    CPPUNIT_ASSERT(Codec.encode(Message).error() ==
                   make_error_code(Errc::LimitExceeded));
    CPPUNIT_ASSERT(!Codec.decode(std::string(MaxPacketBytes + 1, 'x')));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Codec.drops().TooLong);
  }

  void packet_truncated_isDropped() {
    PacketCodec Codec({NewKey});
    const auto Encoded = *Codec.encode(samplePacket());
    for (std::size_t Length = 0; Length < Encoded.size(); ++Length)
      CPPUNIT_ASSERT(
          !Codec.decode(std::string_view(Encoded).substr(0, Length)));
  }

  void packet_unknownKind_isDroppedAsMalformed() {
    PacketCodec Codec({NewKey});
    auto Message = samplePacket();
    Message.Kind = static_cast<PacketKind>(99);
    CPPUNIT_ASSERT(!Codec.decode(*Codec.encode(Message)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Codec.drops().Malformed);
  }

  void value_ofEachKind_roundTrips() {
    GroupSummary Summary;
    Summary.Group = {ServiceName("chat"), FailureDomain("a"), 3};
    Summary.Epoch = 9;
    Summary.FreeSequences = 4;
    Summary.WaitingPerTier = {1, 0, 7};
    Summary.LowestAdmitted = 2;
    Summary.QueueDelay = 1500ms;
    const auto Read =
        decodeValue(EntryKind::GroupSummary, encodeValue(Summary));
    const auto &Copy = std::get<GroupSummary>(*Read);
    CPPUNIT_ASSERT(Copy.Group == Summary.Group && Copy.Epoch == Summary.Epoch);
    CPPUNIT_ASSERT(Copy.WaitingPerTier == Summary.WaitingPerTier);
    CPPUNIT_ASSERT(Copy.QueueDelay == Summary.QueueDelay);
    CPPUNIT_ASSERT_EQUAL(Summary.FreeSequences, Copy.FreeSequences);
    assertRoundTrip(LeavingTarget{77});
    assertRoundTrip(Quarantine{~0ULL});
    assertRoundTrip(ConfigRevision{12, std::string(64, 'a')});
    assertRoundTrip(CustomerUsage{1.25, 800, 6});
    CPPUNIT_ASSERT(!decodeValue(EntryKind::Revision, "\xff\xff\xff"));
  }

private:
  static Packet samplePacket() {
    SeededRandom Random(3);
    auto Message = randomPacket(Random);
    Message.Kind = PacketKind::Gossip;
    return Message;
  }

  template <typename T> static void assertRoundTrip(const T &Value) {
    const auto Read = decodeValue(kindOf(Value), encodeValue(Value));
    CPPUNIT_ASSERT(Read && std::get<T>(*Read) == Value);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketCodecTest);

} // namespace mangodeck
