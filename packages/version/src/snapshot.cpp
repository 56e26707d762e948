#include "mangodeck/version/snapshot.h"

#include <algorithm>

namespace mangodeck {

namespace {

/// Looks \p Key up in \p Index and returns the element of \p Items, or null.
template <typename T>
const T *lookUp(const std::unordered_map<std::string, std::size_t> &Index,
                const std::vector<T> &Items, std::string_view Key) {
  const auto It = Index.find(std::string(Key));
  return It == Index.end() ? nullptr : &Items[It->second];
}

} // namespace

void Snapshot::index() {
  std::sort(Tiers.begin(), Tiers.end(),
            [](const Tier &A, const Tier &B) { return A.Rank < B.Rank; });
  std::sort(Targets.begin(), Targets.end(),
            [](const Target &A, const Target &B) { return A.Name < B.Name; });
  for (std::size_t I = 0; I < Customers.size(); ++I) {
    m_CustomerByName[Customers[I].Name.Text] = I;
    for (const auto &Hash : Customers[I].KeyHashes)
      m_CustomerByKey[Hash] = I;
  }
  for (std::size_t I = 0; I < Services.size(); ++I) {
    m_ServiceByName[Services[I].Name.Text] = I;
    if (Services[I].Kind == ServiceKind::Model)
      m_ServiceByModel[Services[I].Model] = I;
  }
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    m_TargetByName[Targets[I].Name.Text] = I;
    m_DomainsByService[Targets[I].Service].push_back(Targets[I].Domain);
  }
  for (auto &[Name, Domains] : m_DomainsByService) {
    std::sort(Domains.begin(), Domains.end());
    Domains.erase(std::unique(Domains.begin(), Domains.end()), Domains.end());
  }
}

const Customer *
Snapshot::findCustomerByKeyHash(std::string_view KeyHash) const {
  return lookUp(m_CustomerByKey, Customers, KeyHash);
}

const Customer *Snapshot::findCustomer(const CustomerName &Name) const {
  return lookUp(m_CustomerByName, Customers, Name.Text);
}

const Service *Snapshot::findService(const ServiceName &Name) const {
  return lookUp(m_ServiceByName, Services, Name.Text);
}

const Service *Snapshot::findModel(std::string_view Model) const {
  return lookUp(m_ServiceByModel, Services, Model);
}

const Target *Snapshot::findTarget(const TargetName &Name) const {
  return lookUp(m_TargetByName, Targets, Name.Text);
}

const Tier *Snapshot::findTier(std::string_view Name) const {
  const auto It =
      std::find_if(Tiers.begin(), Tiers.end(), [Name](const Tier &Entry) {
        return Entry.Name.view() == Name;
      });
  return It == Tiers.end() ? nullptr : &*It;
}

std::span<const FailureDomain>
Snapshot::domainsOf(const ServiceName &Service) const {
  const auto It = m_DomainsByService.find(Service);
  if (It == m_DomainsByService.end())
    return {};
  return It->second;
}

std::vector<const Target *> Snapshot::targetsOf(const GroupId &Group) const {
  const auto *Owner = findService(Group.Service);
  const std::uint32_t Slices = Owner ? Owner->SlicesPerDomain : 1;
  std::vector<const Target *> Result;
  std::uint32_t Position = 0;
  for (const auto &Entry : Targets) {
    if (Entry.Service != Group.Service || Entry.Domain != Group.Domain)
      continue;
    if (Position++ % Slices == Group.Slice)
      Result.push_back(&Entry);
  }
  return Result;
}

} // namespace mangodeck
