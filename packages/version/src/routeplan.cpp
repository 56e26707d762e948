#include "mangodeck/version/routeplan.h"

#include <algorithm>

namespace mangodeck {

namespace {

/// Key of a route: no host contains a slash, so that the two parts of it
/// cannot be taken for each other.
std::string placeOf(std::string_view Host, std::string_view Prefix) {
  std::string Place(Host);
  Place.append(Prefix);
  return Place;
}

template <typename T>
const T *findIn(const std::unordered_map<std::string, std::size_t> &Index,
                const std::vector<T> &Values, const std::string &Key) {
  const auto Found = Index.find(Key);
  return Found == Index.end() ? nullptr : &Values[Found->second];
}

} // namespace

std::string_view toString(RouteKind Kind) {
  switch (Kind) {
  case RouteKind::Idempotent:
    return "idempotent";
  case RouteKind::NonIdempotent:
    return "non-idempotent";
  case RouteKind::Stream:
    return "stream";
  }
  return "unknown";
}

std::string normalizeHost(std::string_view Host) {
  const auto Colon = Host.rfind(':');
  if (Colon != Host.npos && Host.find(']', Colon) == Host.npos)
    Host = Host.substr(0, Colon);
  std::string Lower(Host);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(), [](char C) {
    return C >= 'A' && C <= 'Z' ? char(C + 32) : C;
  });
  return Lower;
}

void RoutePlan::index() {
  for (std::size_t I = 0; I < Routes.size(); ++I)
    m_RouteByPlace.emplace(placeOf(Routes[I].Host, Routes[I].Prefix), I);
  for (std::size_t I = 0; I < Customers.size(); ++I)
    for (const auto &Key : Customers[I].Keys)
      m_CustomerByKey.emplace(Key, I);
  for (std::size_t I = 0; I < Services.size(); ++I)
    m_ServiceByName.emplace(Services[I].Name.Text, I);
}

const Route *RoutePlan::findRoute(std::string_view Host,
                                  std::string_view Path) const {
  Path = Path.substr(0, Path.find('?'));
  auto Place = placeOf(normalizeHost(Host), Path);
  const auto HostSize = Place.size() - Path.size();
  // Try the path cut behind each of its slashes, the last one first.
  while (Place.size() > HostSize) {
    const auto Slash = Place.rfind('/');
    if (Slash == Place.npos || Slash < HostSize)
      return nullptr;
    Place.resize(Slash + 1);
    if (const auto *Found = findIn(m_RouteByPlace, Routes, Place))
      return Found;
    Place.resize(Slash);
  }
  return nullptr;
}

const PlannedCustomer *
RoutePlan::findCustomerByKey(std::string_view Key) const {
  return findIn(m_CustomerByKey, Customers, std::string(Key));
}

const PlannedService *RoutePlan::findService(const ServiceName &Name) const {
  return findIn(m_ServiceByName, Services, Name.Text);
}

} // namespace mangodeck
