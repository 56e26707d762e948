#ifndef MANGODECK_COMMON_IDS_H
#define MANGODECK_COMMON_IDS_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace mangodeck {

/// A name of kind \p Tag. Names with different tags are different types, so a
/// target's name cannot be passed where a service's is expected.
template <typename Tag> struct Name {
  std::string Text;

  Name() = default;
  explicit Name(std::string_view Value) : Text(Value) {}

  std::string_view view() const { return Text; }
  bool empty() const { return Text.empty(); }
  bool operator==(const Name &) const = default;
  bool operator<(const Name &Other) const { return Text < Other.Text; }
};

using CustomerName = Name<struct CustomerTag>;
using ServiceName = Name<struct ServiceTag>;
using TargetName = Name<struct TargetTag>;
using TierName = Name<struct TierTag>;
using VmName = Name<struct VmTag>;
using FailureDomain = Name<struct FailureDomainTag>;

/// Identifies one request in all processes until it ends: 128 random bits,
/// written as 32 hexadecimal digits.
struct RequestId {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  bool operator==(const RequestId &) const = default;
  bool operator<(const RequestId &Other) const {
    return std::tie(High, Low) < std::tie(Other.High, Other.Low);
  }
};

/// Formats \p Id as 32 lower-case hexadecimal digits.
std::string toString(const RequestId &Id);

/// Parses 32 hexadecimal digits; std::nullopt for anything else.
std::optional<RequestId> parseRequestId(std::string_view Text);

/// Number of a start of a process or target; a later start has a higher one.
using Incarnation = std::uint64_t;

/// Rank of a tier: 0 is the highest, larger numbers are lower.
using TierRank = std::uint8_t;

/// Names a dispatch group: a slice of a service's targets in one failure
/// domain. Its text form is SERVICE/FAILURE-DOMAIN/SLICE.
struct GroupId {
  ServiceName Service;
  FailureDomain Domain;
  std::uint32_t Slice = 0;

  bool operator==(const GroupId &) const = default;
  bool operator<(const GroupId &Other) const {
    return std::tie(Service, Domain, Slice) <
           std::tie(Other.Service, Other.Domain, Other.Slice);
  }
};

std::string toString(const GroupId &Id);

} // namespace mangodeck

template <typename Tag> struct std::hash<mangodeck::Name<Tag>> {
  std::size_t operator()(const mangodeck::Name<Tag> &Value) const noexcept {
    return std::hash<std::string>()(Value.Text);
  }
};

template <> struct std::hash<mangodeck::RequestId> {
  std::size_t operator()(const mangodeck::RequestId &Id) const noexcept {
    return static_cast<std::size_t>(Id.High ^ Id.Low);
  }
};

template <> struct std::hash<mangodeck::GroupId> {
  std::size_t operator()(const mangodeck::GroupId &Id) const noexcept {
    return std::hash<std::string>()(Id.Service.Text) * 31 +
           std::hash<std::string>()(Id.Domain.Text) * 7 + Id.Slice;
  }
};

#endif
