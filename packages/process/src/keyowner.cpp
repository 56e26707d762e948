#include "mangodeck/process/keyowner.h"

#include <algorithm>

namespace mangodeck {

namespace {

constexpr std::size_t MaxKeys = 100000;
constexpr Duration HolderLifetime = std::chrono::minutes(3);

std::string joinKeyText(std::string_view Customer, std::string_view Key) {
  std::string Name(Customer);
  Name.push_back('/');
  return Name.append(Key);
}

} // namespace

void KeyOwner::join(const VmName &From, const JoinKey &Message, TimePoint Now,
                    PeerActions &Out) {
  KeyHolder Answer;
  Answer.Request = Message.Request;
  const auto It = m_Holders.find(Message.Key);
  const bool SameRequest = It != m_Holders.end() && It->second.Vm == From &&
                           It->second.Request == Message.Request;
  if (It == m_Holders.end() || SameRequest) {
    if (SameRequest || m_Holders.size() < MaxKeys)
      m_Holders[Message.Key] = {From, Message.Request, Now};
  } else {
    Answer.Holder = It->second.Vm;
    Answer.HeldRequest = It->second.Request;
  }
  Out.push_back({From, Answer});
}

void KeyOwner::release(const VmName &From, const ReleaseKey &Message) {
  const auto It = m_Holders.find(Message.Key);
  if (It != m_Holders.end() && It->second.Vm == From &&
      It->second.Request == Message.Request)
    m_Holders.erase(It);
}

void KeyOwner::removeMember(const VmName &Vm) {
  std::erase_if(m_Holders,
                [&](const auto &Item) { return Item.second.Vm == Vm; });
}

void KeyOwner::expire(TimePoint Now) {
  std::erase_if(m_Holders, [Now](const auto &Item) {
    return Now - Item.second.RegisteredAt > HolderLifetime;
  });
}

KeyedRequests::KeyedRequests(VmName Self, FailureDomain Domain)
    : m_Self(std::move(Self)), m_Domain(std::move(Domain)) {}

const VmName *KeyedRequests::keyOwnerOf(const KeyedRequest &Entry,
                                        const OwnerTable &Owners) const {
  return Owners.keyOwnerOf(m_Domain, Entry.Customer, Entry.Key);
}

void KeyedRequests::sendJoin(KeyedRequest &Entry, const RequestId &Request,
                             const VmName &Owner, PeerActions &Out) const {
  Entry.Owner = Owner;
  Out.push_back(
      {Owner, JoinKey{joinKeyText(Entry.Customer, Entry.Key), Request}});
}

KeyedRequests::ArrivalResult KeyedRequests::arrive(std::string_view Customer,
                                                   std::string_view Key,
                                                   const RequestId &Request,
                                                   const OwnerTable &Owners,
                                                   PeerActions &Out) {
  if (localHolder(Customer, Key))
    return ArrivalResult::JoinsLocal;
  KeyedRequest Entry{std::string(Customer), std::string(Key), VmName(),
                     VmName(), false};
  const auto *Owner = keyOwnerOf(Entry, Owners);
  const auto Result =
      Owner ? ArrivalResult::OwnerAsked : ArrivalResult::NoOwner;
  if (Owner)
    sendJoin(Entry, Request, *Owner, Out);
  m_Requests.emplace(Request, std::move(Entry));
  return Result;
}

std::optional<RequestId>
KeyedRequests::localHolder(std::string_view Customer,
                           std::string_view Key) const {
  const auto It =
      std::find_if(m_Requests.begin(), m_Requests.end(), [&](const auto &Item) {
        const auto &Entry = Item.second;
        return Entry.Customer == Customer && Entry.Key == Key;
      });
  if (It == m_Requests.end())
    return std::nullopt;
  return It->first;
}

std::optional<VmName> KeyedRequests::onKeyHolder(const KeyHolder &Message,
                                                 PeerActions &Out) {
  const auto It = m_Requests.find(Message.Request);
  const bool HasToFollow = It != m_Requests.end() && !It->second.Dispatched &&
                           !Message.Holder.empty() && Message.Holder != m_Self;
  if (!HasToFollow)
    return std::nullopt;
  It->second.FollowedHolder = Message.Holder;
  Out.push_back(
      {Message.Holder, FollowAnswer{Message.Request, Message.HeldRequest}});
  return Message.Holder;
}

void KeyedRequests::recordDispatch(const RequestId &Request) {
  const auto It = m_Requests.find(Request);
  if (It == m_Requests.end())
    return;
  It->second.Dispatched = true;
  It->second.FollowedHolder = VmName();
}

bool KeyedRequests::isHolder(const RequestId &Request) const {
  const auto It = m_Requests.find(Request);
  return It != m_Requests.end() && It->second.FollowedHolder.empty();
}

void KeyedRequests::stopFollowing(const RequestId &Request) {
  const auto It = m_Requests.find(Request);
  if (It != m_Requests.end())
    It->second.FollowedHolder = VmName();
}

void KeyedRequests::finish(const RequestId &Request, const OwnerTable &Owners,
                           PeerActions &Out) {
  const auto It = m_Requests.find(Request);
  if (It == m_Requests.end())
    return;
  const auto &Entry = It->second;
  const auto *Owner = keyOwnerOf(Entry, Owners);
  if (Owner && Entry.FollowedHolder.empty())
    Out.push_back(
        {*Owner, ReleaseKey{joinKeyText(Entry.Customer, Entry.Key), Request}});
  m_Requests.erase(It);
}

void KeyedRequests::registerWithOwners(const OwnerTable &Owners, bool Renew,
                                       PeerActions &Out) {
  for (auto &[Request, Entry] : m_Requests) {
    const auto *Owner = keyOwnerOf(Entry, Owners);
    if (!Owner || !Entry.FollowedHolder.empty())
      continue;
    if (Renew || Entry.Owner != *Owner)
      sendJoin(Entry, Request, *Owner, Out);
  }
}

std::vector<RequestId> KeyedRequests::onMemberGone(const VmName &Vm,
                                                   const OwnerTable &Owners,
                                                   PeerActions &Out) {
  std::vector<RequestId> LostFollowers;
  for (auto &[Request, Entry] : m_Requests) {
    if (Entry.FollowedHolder != Vm)
      continue;
    Entry.FollowedHolder = VmName();
    LostFollowers.push_back(Request);
    if (const auto *Owner = keyOwnerOf(Entry, Owners))
      sendJoin(Entry, Request, *Owner, Out);
  }
  return LostFollowers;
}

} // namespace mangodeck
