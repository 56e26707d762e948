#include "mangodeck/replay/deployment.h"

#include <fmt/format.h>

#include <array>
#include <cstdint>

namespace mangodeck {

namespace {

constexpr std::array<const char *, 3> Zones{"a", "b", "c"};
constexpr std::array<const char *, 3> Generations{"gen-1", "gen-2", "gen-3"};
constexpr std::size_t EntryVms = 8;
constexpr std::size_t ModelTargets = 20;
constexpr std::size_t PlainTargets = 3;
constexpr std::uint32_t ModelSequences = 16;
constexpr std::uint32_t PlainSequences = 8;
constexpr std::uint32_t ModelQueueLimit = 400;
constexpr std::uint32_t PlainQueueLimit = 200;

Tier makeTier(std::string_view Name, TierRank Rank, Duration FirstToken,
              Duration Gap, Duration Deadline, double Reserve) {
  Tier Result;
  Result.Name = TierName(Name);
  Result.Rank = Rank;
  Result.FirstTokenTarget = FirstToken;
  Result.TokenGapTarget = Gap;
  Result.DefaultDeadline = Deadline;
  Result.Reserve = Reserve;
  return Result;
}

/// A key hash that no key has; nobody calls a replayed deployment.
std::string placeholderHash(std::string_view Name) {
  std::string Digits;
  for (const unsigned char Letter : Name)
    Digits += fmt::format("{:02x}", Letter);
  return fmt::format("{:0>64}", Digits);
}

Customer makeCustomer(std::string_view Name, TierRank Highest, double Weight) {
  Customer Result;
  Result.Name = CustomerName(Name);
  Result.KeyHashes = {placeholderHash(Name)};
  Result.HighestTier = Highest;
  Result.Weight = Weight;
  return Result;
}

Service makeService(std::string_view Name, ServiceKind Kind,
                    std::uint32_t QueueLimit) {
  Service Result;
  Result.Name = ServiceName(Name);
  Result.Kind = Kind;
  Result.Model = std::string(Name);
  Result.Idempotent = Kind == ServiceKind::Model;
  Result.QueueLimit = QueueLimit;
  return Result;
}

/// Spreads VMs and targets over the failure domains; generations take turns.
void addMachines(Deployment &Site, std::string_view Region,
                 TokenCount KvTokens) {
  for (const auto *Zone : Zones)
    Site.Domains.emplace_back(fmt::format("{}-{}", Region, Zone));
  for (std::size_t I = 0; I < EntryVms; ++I)
    Site.Entries.push_back({VmName(fmt::format("entry-{}", I + 1)),
                            Site.Domains[I % Zones.size()]});
  for (std::size_t I = 0; I < ModelTargets + PlainTargets; ++I) {
    const bool IsModel = I < ModelTargets;
    const auto Number = IsModel ? I : I - ModelTargets;
    const auto &Owner = IsModel ? Site.model() : Site.plain();
    Target Record;
    Record.Name = TargetName(fmt::format("{}-{}{}", Owner.Name.Text,
                                         Zones[Number % Zones.size()],
                                         Number / Zones.size() + 1));
    Record.Service = Owner.Name;
    Record.Domain = Site.Domains[Number % Zones.size()];
    Record.Address = fmt::format("10.0.{}.{}:8000", Number % 3, I + 1);
    Record.MaxSequences = IsModel ? ModelSequences : PlainSequences;
    Record.KvTokens = IsModel ? KvTokens : 0;
    Record.HardwareGeneration =
        IsModel ? Generations[(Number / Zones.size() + Number) % 3] : "";
    Site.Targets.push_back(std::move(Record));
  }
}

Deployment makeSanAlonso() {
  Deployment Site;
  Site.Name = "san-alonso";
  Site.LinkDelay = 3ms;
  Site.Tiers = {makeTier("confirmations", 0, 500ms, 69ms, 20s, 0),
                makeTier("assistant", 1, 800ms, 69ms, 60s, 0),
                makeTier("briefings", 2, 10s, 200ms, 600s, 0.05)};
  Site.Customers = {
      makeCustomer("stallholders", 0, 2), makeCustomer("ticket-desk", 0, 2),
      makeCustomer("marshals", 1, 1), makeCustomer("residents", 1, 1),
      makeCustomer("press-office", 2, 1)};
  Site.Services = {
      makeService("assistant", ServiceKind::Model, ModelQueueLimit),
      makeService("ticketing", ServiceKind::Plain, PlainQueueLimit)};
  addMachines(Site, "luzon-south", 65536);
  return Site;
}

Deployment makeVltavska() {
  Deployment Site;
  Site.Name = "vltavska";
  Site.LinkDelay = 5ms;
  Site.Tiers = {makeTier("payouts", 0, 500ms, 69ms, 20s, 0),
                makeTier("questions", 1, 800ms, 69ms, 60s, 0),
                makeTier("letters", 2, 30s, 200ms, 900s, 0.1)};
  Site.Customers = {
      makeCustomer("payout-runner", 0, 2),
      makeCustomer("settlement-desk", 0, 2), makeCustomer("crew-portal", 1, 1),
      makeCustomer("tally-reader", 1, 1), makeCustomer("archive", 2, 1)};
  Site.Services = {
      makeService("ledger-assistant", ServiceKind::Model, ModelQueueLimit),
      makeService("payout", ServiceKind::Plain, PlainQueueLimit)};
  addMachines(Site, "cz-stred", 131072);
  return Site;
}

std::string tierYaml(const Tier &Item) {
  return fmt::format("kind: tier\nschema: 2\nname: {}\nrank: {}\n"
                     "first-token-target: {}ms\ntoken-gap-target: {}ms\n"
                     "default-deadline: {}s\nreserve: {}\n---\n",
                     Item.Name.Text, Item.Rank, Item.FirstTokenTarget / 1ms,
                     Item.TokenGapTarget / 1ms, Item.DefaultDeadline / 1s,
                     Item.Reserve);
}

std::string targetYaml(const Target &Item) {
  auto Text =
      fmt::format("kind: target\nschema: {}\nname: {}\nservice: {}\n"
                  "failure-domain: {}\naddress: {}\n"
                  "max-sequences: {}\n",
                  Item.KvTokens > 0 ? 2 : 1, Item.Name.Text, Item.Service.Text,
                  Item.Domain.Text, Item.Address, Item.MaxSequences);
  if (Item.KvTokens > 0)
    Text += fmt::format("hardware-generation: {}\nkv-tokens: {}\n"
                        "checks-fencing: false\n",
                        Item.HardwareGeneration, Item.KvTokens);
  return Text + "---\n";
}

} // namespace

std::optional<Deployment> makeDeployment(std::string_view Name) {
  if (Name == "san-alonso")
    return makeSanAlonso();
  if (Name == "vltavska")
    return makeVltavska();
  return std::nullopt;
}

SnapshotPtr Deployment::snapshot() const {
  auto Result = std::make_shared<Snapshot>();
  Result->Revision = 1;
  Result->Tiers = Tiers;
  Result->Customers = Customers;
  Result->Services = Services;
  Result->Targets = Targets;
  Result->index();
  return Result;
}

std::string Deployment::recordsYaml() const {
  std::string Text;
  for (const auto &Item : Tiers)
    Text += tierYaml(Item);
  for (const auto &Item : Customers)
    Text += fmt::format("kind: customer\nschema: 1\nname: {}\n"
                        "key-hashes: [\"{}\"]\nhighest-tier: {}\n"
                        "weight: {}\n---\n",
                        Item.Name.Text, Item.KeyHashes[0],
                        Tiers[Item.HighestTier].Name.Text, Item.Weight);
  for (const auto &Item : Services)
    Text += fmt::format(
        "kind: service\nschema: 1\nname: {}\ntype: {}\n{}"
        "idempotent: {}\nqueue-limit: {}\n---\n",
        Item.Name.Text, Item.Kind == ServiceKind::Model ? "model" : "plain",
        Item.Kind == ServiceKind::Model ? fmt::format("model: {}\n", Item.Model)
                                        : "",
        Item.Idempotent, Item.QueueLimit);
  for (const auto &Item : Targets)
    Text += targetYaml(Item);
  Text.resize(Text.size() - std::string_view("---\n").size());
  return Text;
}

} // namespace mangodeck
