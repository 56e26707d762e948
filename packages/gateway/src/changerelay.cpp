#include "mangodeck/gateway/changerelay.h"

#include "mangodeck/common/boundedjson.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace mangodeck {

namespace {

using Json = nlohmann::json;

/// First element of the array; differs from the tags of slot messages.
constexpr int RelayTag = 4;
/// First byte of a MessagePack array of up to 15 elements, plus their number.
constexpr unsigned char ArrayMarker = 0x90;
/// Elements of a message with gaps, to a subscriber, to a failure domain, of
/// one that does not state when it was sent, and of one that does not state its
/// sender.
constexpr std::size_t GapFields = 12;
constexpr std::size_t SubscriberFields = 11;
constexpr std::size_t TimedRelayFields = 10;
constexpr std::size_t RelayFields = 8;
constexpr std::size_t AnonymousRelayFields = 6;
/// Size of the keys and values in a message; a datagram of this size and the
/// other fields stays below the receivers' buffers.
constexpr std::size_t MaxMessageBytes = 8192;
/// Messages that repeat a change after the first one with it.
constexpr std::size_t RepeatedMessages = 4;
/// Size up to which changes are repeated: a few changes of the configuration.
constexpr std::size_t MaxRepeatedBytes = 4096;
/// Fits into the 32 bits of the field.
constexpr Duration MaxStatedAge = 3600s;

std::size_t sizeOf(const RelayedChange &Relayed) {
  constexpr std::size_t OtherFieldsBytes = 32;
  return OtherFieldsBytes + Relayed.Change.Key.size() +
         Relayed.Change.Value.size() +
         (Relayed.Delta ? Relayed.Delta->Bytes.size() : 0);
}

Json encodeDelta(const ValueDelta &Delta) {
  return Json::array({Delta.BaseRevision, Delta.ValueHash, Delta.PrefixBytes,
                      Delta.ValueBytes, Delta.Bytes});
}

Json encodeGaps(const std::vector<RevisionGap> &Gaps) {
  Json Numbers = Json::array();
  for (const auto &Each : Gaps) {
    Numbers.push_back(Each.From.Number);
    Numbers.push_back(Each.To.Number);
  }
  return Numbers;
}

std::vector<RevisionGap> decodeGaps(const Json &Numbers, std::uint64_t Era) {
  std::vector<RevisionGap> Gaps;
  for (std::size_t I = 0; I < Numbers.size(); I += 2)
    Gaps.push_back({{Era, Numbers.at(I).get<std::int64_t>()},
                    {Era, Numbers.at(I + 1).get<std::int64_t>()}});
  return Gaps;
}

ValueDelta decodeDelta(const Json &Fields) {
  ValueDelta Delta;
  Delta.BaseRevision = Fields.at(0).get<std::int64_t>();
  Delta.ValueHash = Fields.at(1).get<std::uint64_t>();
  Delta.PrefixBytes = Fields.at(2).get<std::uint32_t>();
  Delta.ValueBytes = Fields.at(3).get<std::uint32_t>();
  Delta.Bytes = Fields.at(4).get_ref<const std::string &>();
  return Delta;
}

} // namespace

std::string encodeRelayedChanges(const RelayedChanges &Message) {
  Json Changes = Json::array();
  for (const auto &[Change, ValueOmitted, AfterOutage, Delta] :
       Message.Changes) {
    auto Item =
        Json::array({Change.Key, Change.Revision.Number, Change.Removed,
                     AfterOutage, ValueOmitted ? Json() : Json(Change.Value)});
    if (ValueOmitted && Delta)
      Item.push_back(encodeDelta(*Delta));
    Changes.push_back(std::move(Item));
  }
  const auto Age = std::chrono::duration_cast<std::chrono::microseconds>(
      std::min<Duration>(Message.Age, MaxStatedAge));
  Json Fields = Json::array({RelayTag, Message.To.Era, Message.From.Number,
                             Message.To.Number, Age.count(), std::move(Changes),
                             Message.Vm, Message.Incarnation});
  const bool HasGaps = !Message.Gaps.empty();
  if (Message.SentAt != Duration{0} || HasGaps) {
    Fields.push_back(
        std::chrono::duration_cast<std::chrono::microseconds>(Message.SentAt)
            .count());
    Fields.push_back(Message.Suspensions);
    if (Message.Receiver != UnknownIncarnation || HasGaps)
      Fields.push_back(Message.Receiver);
    if (HasGaps)
      Fields.push_back(encodeGaps(Message.Gaps));
  }
  std::string Bytes;
  Json::to_msgpack(Fields, Bytes);
  return Bytes;
}

std::optional<RelayedChanges> decodeRelayedChanges(std::string_view Bytes) {
  if (Bytes.size() < 2 || Bytes[1] != RelayTag)
    return std::nullopt;
  const auto Marker = static_cast<unsigned char>(Bytes[0]);
  if (Marker != ArrayMarker + GapFields &&
      Marker != ArrayMarker + SubscriberFields &&
      Marker != ArrayMarker + TimedRelayFields &&
      Marker != ArrayMarker + RelayFields &&
      Marker != ArrayMarker + AnonymousRelayFields)
    return std::nullopt;
  const auto Fields = parseBoundedMessagePack(Bytes);
  if (!Fields.is_array())
    return std::nullopt;
  // The library throws if a value has the wrong type or is missing.
  try {
    RelayedChanges Message;
    const auto Era = Fields[1].get<std::uint64_t>();
    Message.From = {Era, Fields[2].get<std::int64_t>()};
    Message.To = {Era, Fields[3].get<std::int64_t>()};
    Message.Age = std::chrono::microseconds(Fields[4].get<std::uint32_t>());
    for (const auto &Item : Fields[5]) {
      RelayedChange Relayed;
      Relayed.Change.Key = Item.at(0).get_ref<const std::string &>();
      Relayed.Change.Revision = {Era, Item.at(1).get<std::int64_t>()};
      Relayed.Change.Removed = Item.at(2).get<bool>();
      Relayed.AfterOutage = Item.at(3).get<bool>();
      Relayed.ValueOmitted = Item.at(4).is_null();
      if (!Relayed.ValueOmitted)
        Relayed.Change.Value = Item.at(4).get_ref<const std::string &>();
      else if (Item.size() > 5)
        Relayed.Delta = decodeDelta(Item[5]);
      Message.Changes.push_back(std::move(Relayed));
    }
    if (Fields.size() >= RelayFields) {
      Message.Vm = Fields[6].get<std::string>();
      Message.Incarnation = Fields[7].get<IncarnationId>();
    }
    if (Fields.size() >= TimedRelayFields) {
      Message.SentAt = std::chrono::microseconds(Fields[8].get<std::int64_t>());
      Message.Suspensions = Fields[9].get<std::uint32_t>();
    }
    if (Fields.size() >= SubscriberFields)
      Message.Receiver = Fields[10].get<IncarnationId>();
    if (Fields.size() >= GapFields)
      Message.Gaps = decodeGaps(Fields[11], Era);
    return Message;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

void RelayWindow::restart(StoreRevision Known) {
  m_Sent.clear();
  m_From = Known;
  m_Gaps.clear();
  forgetUntil(Known);
  m_LastHeartbeats.clear();
}

void RelayWindow::forgetUntil(StoreRevision Known) {
  std::erase_if(m_Changes, [&](const RelayedChange &Each) {
    return Each.Change.Revision <= Known;
  });
  if (m_LatestOmitted > Known)
    return; // The next messages leave a gap up to it.
  m_Bytes = 0;
  for (const auto &Each : m_Changes)
    m_Bytes += sizeOf(Each);
}

void RelayWindow::append(RelayedChange Relayed) {
  m_Bytes += sizeOf(Relayed);
  if (m_Bytes <= MaxMessageBytes)
    m_Changes.push_back(std::move(Relayed));
  else
    m_LatestOmitted = std::max(m_LatestOmitted, Relayed.Change.Revision);
}

RelayWindow::Batch RelayWindow::takeBatch(StoreRevision Known) {
  Batch Taken{std::exchange(m_From, Known), {}, std::exchange(m_Gaps, {}), 0};
  if (m_Bytes > MaxMessageBytes) {
    Taken.Bytes = m_Bytes;
    forgetUntil(Known);
    return Taken;
  }
  // A change can be known before all that precede it are, as from a listing in
  // progress.
  const auto Later = std::stable_partition(
      m_Changes.begin(), m_Changes.end(),
      [&](const RelayedChange &Each) { return Each.Change.Revision <= Known; });
  Taken.Changes.assign(std::make_move_iterator(m_Changes.begin()),
                       std::make_move_iterator(Later));
  m_Changes.erase(m_Changes.begin(), Later);
  for (const auto &Each : Taken.Changes)
    Taken.Bytes += sizeOf(Each);
  m_Bytes -= Taken.Bytes;
  return Taken;
}

void RelayWindow::record(const KeyChange &Change, bool AfterOutage,
                         std::optional<ValueDelta> Delta) {
  const auto Heartbeat = m_LastHeartbeats.find(Change.Key);
  if (Heartbeat != m_LastHeartbeats.end()) {
    if (Change.Removed)
      append({Heartbeat->second, false, false});
    m_LastHeartbeats.erase(Heartbeat);
  }
  RelayedChange Relayed{Change, Change.Value.size() > MaxRelayedValueBytes,
                        AfterOutage};
  if (Relayed.ValueOmitted) {
    Relayed.Change.Value.clear();
    if (Delta && Delta->Bytes.size() <= MaxRelayedValueBytes)
      Relayed.Delta = std::move(Delta);
  }
  append(std::move(Relayed));
}

void RelayWindow::recordHeartbeat(const KeyChange &Change) {
  if (Change.Value.size() <= MaxRelayedValueBytes)
    m_LastHeartbeats[Change.Key] = Change;
}

RelayedChanges RelayWindow::takeMessage(StoreRevision Known) {
  RelayedChanges Message;
  Message.To = Known;
  auto New = takeBatch(Known);
  if (New.Bytes > MaxMessageBytes) {
    m_Sent.clear();
    Message.From = Known; // Receivers notice a gap.
    return Message;
  }
  if (m_Sent.size() > RepeatedMessages)
    m_Sent.pop_front();
  m_Sent.push_back(std::move(New));
  std::size_t Bytes = 0;
  for (const auto &Each : m_Sent)
    Bytes += Each.Bytes;
  for (; m_Sent.size() > 1 && Bytes > MaxRepeatedBytes; m_Sent.pop_front())
    Bytes -= m_Sent.front().Bytes;
  Message.From = m_Sent.front().From;
  for (const auto &Each : m_Sent) {
    Message.Changes.insert(Message.Changes.end(), Each.Changes.begin(),
                           Each.Changes.end());
    Message.Gaps.insert(Message.Gaps.end(), Each.Gaps.begin(), Each.Gaps.end());
  }
  return Message;
}

} // namespace mangodeck
