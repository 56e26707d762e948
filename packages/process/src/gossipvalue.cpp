#include "mangodeck/process/gossipentry.h"

#include "generated/gossip.pb.h"

#include <algorithm>
#include <cmath>
#include <span>

namespace mangodeck {

namespace {

constexpr int MaxTiers = 32;
constexpr double MilliPerUnit = 1000.0;

/// Limits that keep a group summary within one datagram.
constexpr std::size_t MaxDemandEntries = 16;
constexpr std::size_t MaxSuspects = 16;

std::uint32_t toMilli(double Value) {
  return static_cast<std::uint32_t>(std::lround(Value * MilliPerUnit));
}

std::string encode(const LeavingTarget &Value) {
  gossipwire::LeavingTargetValue Wire;
  Wire.set_started(Value.Started);
  return Wire.SerializeAsString();
}

std::string encode(const Quarantine &Value) {
  gossipwire::QuarantineValue Wire;
  Wire.set_fingerprint(Value.Fingerprint);
  return Wire.SerializeAsString();
}

std::string encode(const ConfigRevision &Value) {
  gossipwire::RevisionValue Wire;
  Wire.set_number(Value.Number);
  Wire.set_digest(Value.Digest);
  return Wire.SerializeAsString();
}

std::string encode(const GroupSummary &Value) {
  gossipwire::GroupDigestValue Wire;
  Wire.set_service(Value.Group.Service.Text);
  Wire.set_domain(Value.Group.Domain.Text);
  Wire.set_slice(Value.Group.Slice);
  Wire.set_epoch(Value.Epoch);
  Wire.set_free_sequences(Value.FreeSequences);
  for (const auto Waiting : Value.WaitingPerTier)
    Wire.add_waiting_per_tier(Waiting);
  Wire.set_lowest_admitted(Value.LowestAdmitted);
  Wire.set_queue_delay_ms(static_cast<std::uint32_t>(Value.QueueDelay / 1ms));
  for (const auto &Entry :
       std::span(Value.Demand)
           .first(std::min(Value.Demand.size(), MaxDemandEntries))) {
    auto &Demand = *Wire.add_demand();
    Demand.set_customer(Entry.Customer.Text);
    Demand.set_requests_per_second_milli(toMilli(Entry.RequestsPerSecond));
  }
  for (const auto &Entry :
       std::span(Value.Suspects)
           .last(std::min(Value.Suspects.size(), MaxSuspects))) {
    auto &Suspect = *Wire.add_suspects();
    Suspect.set_fingerprint(Entry.Fingerprint);
    Suspect.set_crash(Entry.CrashId);
  }
  return Wire.SerializeAsString();
}

std::string encode(const CustomerUsage &Value) {
  gossipwire::CustomerUseValue Wire;
  Wire.set_requests_per_second_milli(toMilli(Value.RequestsPerSecond));
  Wire.set_tokens_per_second(
      static_cast<std::uint64_t>(std::llround(Value.TokensPerSecond)));
  Wire.set_concurrency(Value.Concurrency);
  return Wire.SerializeAsString();
}

GossipValue fromWire(const gossipwire::LeavingTargetValue &Wire) {
  return LeavingTarget{Wire.started()};
}

GossipValue fromWire(const gossipwire::QuarantineValue &Wire) {
  return Quarantine{Wire.fingerprint()};
}

GossipValue fromWire(const gossipwire::RevisionValue &Wire) {
  return ConfigRevision{Wire.number(), Wire.digest()};
}

GossipValue fromWire(const gossipwire::GroupDigestValue &Wire) {
  GroupSummary Value;
  Value.Group.Service = ServiceName(Wire.service());
  Value.Group.Domain = FailureDomain(Wire.domain());
  Value.Group.Slice = Wire.slice();
  Value.Epoch = Wire.epoch();
  Value.FreeSequences = Wire.free_sequences();
  const int Tiers = std::min(Wire.waiting_per_tier_size(), MaxTiers);
  for (int I = 0; I < Tiers; ++I)
    Value.WaitingPerTier.push_back(Wire.waiting_per_tier(I));
  Value.LowestAdmitted = static_cast<TierRank>(
      std::min<std::uint32_t>(Wire.lowest_admitted(), 255));
  Value.QueueDelay = Wire.queue_delay_ms() * 1ms;
  for (const auto &Entry : Wire.demand())
    Value.Demand.push_back({CustomerName(Entry.customer()),
                            Entry.requests_per_second_milli() / MilliPerUnit});
  for (const auto &Entry : Wire.suspects())
    Value.Suspects.push_back({Entry.fingerprint(), Entry.crash()});
  return Value;
}

GossipValue fromWire(const gossipwire::CustomerUseValue &Wire) {
  return CustomerUsage{Wire.requests_per_second_milli() / MilliPerUnit,
                       static_cast<double>(Wire.tokens_per_second()),
                       Wire.concurrency()};
}

template <typename Wire> Expected<GossipValue> parse(std::string_view Bytes) {
  Wire Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return unexpected(Errc::InvalidInput);
  return fromWire(Message);
}

} // namespace

std::string encodeValue(const GossipValue &Value) {
  return std::visit([](const auto &Typed) { return encode(Typed); }, Value);
}

Expected<GossipValue> decodeValue(EntryKind Kind, std::string_view Bytes) {
  switch (Kind) {
  case EntryKind::LeavingTarget:
    return parse<gossipwire::LeavingTargetValue>(Bytes);
  case EntryKind::Quarantine:
    return parse<gossipwire::QuarantineValue>(Bytes);
  case EntryKind::Revision:
    return parse<gossipwire::RevisionValue>(Bytes);
  case EntryKind::GroupSummary:
    return parse<gossipwire::GroupDigestValue>(Bytes);
  case EntryKind::CustomerUsage:
    return parse<gossipwire::CustomerUseValue>(Bytes);
  }
  return unexpected(Errc::InvalidInput);
}

} // namespace mangodeck
