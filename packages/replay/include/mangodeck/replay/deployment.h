#ifndef MANGODECK_REPLAY_DEPLOYMENT_H
#define MANGODECK_REPLAY_DEPLOYMENT_H

#include "mangodeck/replay/trace.h"
#include "mangodeck/version/snapshot.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// A site that traces are generated for: its VMs, links and records.
struct Deployment {
  std::string Name;
  std::vector<FailureDomain> Domains;
  std::vector<TraceVm> Entries;
  Duration LinkDelay{0}; ///< One way between failure domains.
  std::vector<Tier> Tiers;
  std::vector<Customer> Customers;
  std::vector<Service> Services; ///< The model first, then the plain one.
  std::vector<Target> Targets;

  const Service &model() const { return Services[0]; }
  const Service &plain() const { return Services[1]; }

  /// The deployment's records as a snapshot.
  SnapshotPtr snapshot() const;

  /// The deployment's records as one YAML text, schema 2.
  std::string recordsYaml() const;
};

/// The deployments of today's sizes: "san-alonso" and "vltavska".
std::optional<Deployment> makeDeployment(std::string_view Name);

} // namespace mangodeck

#endif
