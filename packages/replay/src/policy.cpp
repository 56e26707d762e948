#include "mangodeck/replay/policy.h"

#include "grouppolicy.h"
#include "localpolicy.h"

#include <algorithm>
#include <array>

namespace mangodeck {

namespace {

constexpr std::array<std::string_view, 4> Names{"mangodeck", "round-robin",
                                                "least-load", "two-choices"};
/// One way between two VMs of a failure domain.
constexpr Duration LocalDelay = std::chrono::microseconds(300);

} // namespace

Duration PolicyContext::delay(const FailureDomain &A,
                              const FailureDomain &B) const {
  return A == B ? LocalDelay : Header.LinkDelay;
}

FailureDomain PolicyContext::domainOf(const VmName &Entry) const {
  const auto It =
      std::find_if(Header.Entries.begin(), Header.Entries.end(),
                   [&](const TraceVm &Vm) { return Vm.Name == Entry; });
  return It == Header.Entries.end() ? FailureDomain() : It->Domain;
}

std::span<const std::string_view> policyNames() { return Names; }

std::unique_ptr<Policy> makePolicy(std::string_view Name,
                                   const PolicyContext &Context) {
  if (Name == "mangodeck")
    return std::make_unique<GroupPolicy>(Context);
  if (Name == "round-robin")
    return std::make_unique<RoundRobinPolicy>(Context);
  if (Name == "least-load")
    return std::make_unique<LeastLoadPolicy>(Context);
  if (Name == "two-choices")
    return std::make_unique<TwoChoicesPolicy>(Context);
  return nullptr;
}

} // namespace mangodeck
