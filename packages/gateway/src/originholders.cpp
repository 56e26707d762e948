#include "mangodeck/gateway/originholders.h"

#include <algorithm>
#include <xxhash.h>

namespace mangodeck {

namespace {

/// Daemons of the own failure domain that keep an origin, in addition to the
/// one where the stream began.
constexpr std::size_t OwnDomainRecipients = 3;
/// Other failure domains in which an origin is kept, and daemons in each.
constexpr std::size_t RemoteDomains = 2;
constexpr std::size_t RecipientsPerRemoteDomain = 2;
/// Daemons of each failure domain that are asked for an origin.
constexpr std::size_t CandidatesPerDomain = 4;

std::uint64_t hashName(std::string_view Name) {
  return XXH3_64bits(Name.data(), Name.size());
}

/// The finalizer of MurmurHash3: each bit of the input changes about half of
/// the output's.
std::uint64_t mixBits(std::uint64_t Value) {
  Value ^= Value >> 33;
  Value *= 0xff51afd7ed558ccdULL;
  Value ^= Value >> 33;
  Value *= 0xc4ceb9fe1a85ec53ULL;
  return Value ^ (Value >> 33);
}

std::uint64_t weightOf(std::uint64_t NameHash, StreamId Stream) {
  return mixBits(NameHash ^ mixBits(Stream));
}

} // namespace

OriginHolders::OriginHolders(std::string OwnVm, FailureDomain OwnDomain)
    : m_OwnVm(std::move(OwnVm)), m_OwnDomain(std::move(OwnDomain)) {}

void OriginHolders::add(const std::string &Vm, const FailureDomain &Domain) {
  remove(Vm);
  if (Vm != m_OwnVm)
    m_ByDomain[Domain.Text].push_back({Vm, hashName(Vm)});
}

void OriginHolders::remove(const std::string &Vm) {
  for (auto &[Name, Daemons] : m_ByDomain)
    std::erase_if(Daemons, [&](const Daemon &Each) { return Each.Vm == Vm; });
  std::erase_if(m_ByDomain,
                [](const auto &Entry) { return Entry.second.empty(); });
}

void OriginHolders::appendFirst(const std::vector<Daemon> &Domain,
                                StreamId Stream, std::size_t Count,
                                std::vector<std::string> &Result) {
  std::vector<std::pair<std::uint64_t, const Daemon *>> Weights;
  Weights.reserve(Domain.size());
  for (const auto &Each : Domain)
    Weights.emplace_back(weightOf(Each.Hash, Stream), &Each);
  const auto Middle = Weights.begin() + static_cast<std::ptrdiff_t>(
                                            std::min(Count, Weights.size()));
  std::partial_sort(Weights.begin(), Middle, Weights.end(),
                    [](const auto &Left, const auto &Right) {
                      return Left.first > Right.first;
                    });
  for (auto At = Weights.begin(); At != Middle; ++At)
    Result.push_back(At->second->Vm);
}

std::vector<std::string> OriginHolders::recipientsOf(StreamId Stream) const {
  std::vector<std::string> Result;
  std::vector<std::pair<std::uint64_t, const std::vector<Daemon> *>> Remote;
  for (const auto &[Name, Daemons] : m_ByDomain)
    if (Name == m_OwnDomain.Text)
      appendFirst(Daemons, Stream, OwnDomainRecipients, Result);
    else
      Remote.emplace_back(weightOf(hashName(Name), Stream), &Daemons);
  std::sort(Remote.begin(), Remote.end());
  Remote.resize(std::min(Remote.size(), RemoteDomains));
  for (const auto &[Weight, Daemons] : Remote)
    appendFirst(*Daemons, Stream, RecipientsPerRemoteDomain, Result);
  return Result;
}

std::vector<std::string> OriginHolders::candidatesOf(StreamId Stream) const {
  std::vector<std::string> Result;
  for (const auto &[Name, Daemons] : m_ByDomain)
    appendFirst(Daemons, Stream, CandidatesPerDomain, Result);
  return Result;
}

} // namespace mangodeck
