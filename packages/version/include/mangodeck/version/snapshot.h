#ifndef MANGODECK_VERSION_SNAPSHOT_H
#define MANGODECK_VERSION_SNAPSHOT_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// A tier as it is in force.
struct Tier {
  TierName Name;
  TierRank Rank = 0; ///< 0 is the highest.
  Duration FirstTokenTarget = 500ms;
  Duration TokenGapTarget = 69ms;
  /// Share of dispatches kept for this tier's waiting requests, 0 to 1.
  double Reserve = 0.0;
  /// Deadline of a request that names none.
  Duration DefaultDeadline = 60s;
};

/// A customer as it is in force.
struct Customer {
  CustomerName Name;
  /// SHA-256 of each accepted bearer key, 64 lower-case hexadecimal digits.
  std::vector<std::string> KeyHashes;
  TierRank HighestTier = 0;
  /// Limits; 0 means none.
  double RequestsPerSecond = 0;
  double TokensPerSecond = 0;
  std::uint32_t Concurrency = 0;
  /// Weight of its share within a tier.
  double Weight = 1.0;
  /// Services it may call; empty means all.
  std::vector<ServiceName> Services;
};

/// What a service's targets are.
enum class ServiceKind : std::uint8_t {
  Model, ///< A language-model engine with OpenAI's completions API.
  Plain, ///< Any other HTTP service.
};

/// A service as it is in force.
struct Service {
  ServiceName Name;
  ServiceKind Kind = ServiceKind::Model;
  /// Model name that callers give; equals the service's name by default.
  std::string Model;
  /// False when its calls may not be repeated.
  bool Idempotent = true;
  std::uint32_t QueueLimit = 1000; ///< Waiting requests per dispatch group.
  std::uint32_t SlicesPerDomain = 1;
};

/// A target as it is in force.
struct Target {
  TargetName Name;
  ServiceName Service;
  FailureDomain Domain;
  std::string Address; ///< IP:PORT.
  std::uint32_t MaxSequences = 16;
  TokenCount KvTokens = 0;        ///< 0 when unknown (schema 1).
  std::string HardwareGeneration; ///< Empty when unknown (schema 1).
  bool ChecksFencing = false;
  bool Draining = false;
};

/// One configuration revision, compiled and immutable. Request threads hold it
/// by read-copy-update and never copy it.
struct Snapshot {
  std::uint64_t Revision = 0;
  std::string Digest;      ///< Chain digest, 64 hexadecimal digits.
  std::vector<Tier> Tiers; ///< By rank.
  std::vector<Customer> Customers;
  std::vector<Service> Services;
  std::vector<Target> Targets;

  /// Builds the look-up tables; call once after filling the vectors.
  void index();

  /// Finds the customer whose key hashes to \p KeyHash; null if none.
  const Customer *findCustomerByKeyHash(std::string_view KeyHash) const;
  const Customer *findCustomer(const CustomerName &Name) const;
  const Service *findService(const ServiceName &Name) const;
  const Service *findModel(std::string_view Model) const;
  const Target *findTarget(const TargetName &Name) const;
  const Tier *findTier(std::string_view Name) const;

  /// Failure domains that have targets of \p Service, by name.
  std::span<const FailureDomain> domainsOf(const ServiceName &Service) const;

  /// Targets of \p Group, in the order of their names.
  std::vector<const Target *> targetsOf(const GroupId &Group) const;

private:
  std::unordered_map<std::string, std::size_t> m_CustomerByKey;
  std::unordered_map<std::string, std::size_t> m_CustomerByName;
  std::unordered_map<std::string, std::size_t> m_ServiceByName;
  std::unordered_map<std::string, std::size_t> m_ServiceByModel;
  std::unordered_map<std::string, std::size_t> m_TargetByName;
  std::unordered_map<ServiceName, std::vector<FailureDomain>>
      m_DomainsByService;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace mangodeck

#endif
