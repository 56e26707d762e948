#include "mangodeck/process/membership.h"

#include "entrytable.h"
#include "failuredetector.h"
#include "gossipscheduler.h"
#include "membertable.h"

#include <algorithm>
#include <bit>
#include <cassert>

namespace mangodeck {

namespace {

/// A gap between ticks beyond this means that the process stood still.
constexpr Duration PauseThreshold = 2s;
constexpr Duration GossipInterval = 200ms;
constexpr std::size_t GossipFanout = 3;
constexpr std::size_t LeaveFanout = 8;
constexpr Duration SyncInterval = 5s;
/// Between comparisons while the last one showed differences.
constexpr Duration FastSyncInterval = 1s;
constexpr std::uint32_t SendsSavedPerDuplicate = 3;
constexpr Duration ExpiryInterval = 1s;
constexpr Duration ReminderInterval = 1s;
constexpr Duration ContactInterval = 1s;
/// How often all members together contact one that is unreachable.
constexpr double ContactsPerSecond = 4.0;
/// Suspicion lasts this long, and longer by SuspicionPerDoubling for each
/// doubling of the members, as rumors then need more hops.
constexpr Duration MinSuspicion = 2s;
constexpr Duration LastChance = 2s;
constexpr Duration SuspicionPerDoubling = 500ms;

Duration suspicionTime(std::size_t LiveMembers) {
  return MinSuspicion +
         SuspicionPerDoubling *
             std::bit_width(std::max<std::size_t>(LiveMembers, 1));
}

Member makeSelf(const MembershipOptions &Options) {
  Member Self;
  Self.Vm = Options.Vm;
  Self.Address = Options.PeerAddress;
  Self.Domain = Options.Domain;
  Self.Started = Options.Started;
  return Self;
}

} // namespace

Membership::Membership(MembershipOptions Options, RandomSource &Random)
    : m_Options(std::move(Options)), m_Random(Random),
      m_Members(std::make_unique<MemberTable>(makeSelf(m_Options))),
      m_Entries(std::make_unique<EntryTable>()),
      m_Detector(std::make_unique<FailureDetector>(*m_Members, Random)),
      m_Gossip(std::make_unique<GossipScheduler>(
          *m_Members, *m_Entries, m_Options.GossipBytesPerSecond)),
      m_Contacts(m_Options.Seeds) {}

Membership::~Membership() = default;

const Member &Membership::self() const { return m_Members->self(); }

std::size_t Membership::liveCount() const { return m_Members->liveCount(); }

const Member *Membership::find(const VmName &Vm) const {
  const auto *Found = std::as_const(*m_Members).find(Vm);
  return Found ? &Found->Known : nullptr;
}

std::vector<Member> Membership::members() const {
  std::vector<Member> Result;
  Result.reserve(m_Members->records().size());
  for (const auto &[Vm, Found] : m_Members->records())
    Result.push_back(Found.Known);
  return Result;
}

void Membership::tick(TimePoint Now, Actions &Out) {
  noteTime(Now);
  probe(Now, Out);
  expireSuspicions(Now, Out);
  contactUnreachable(Now, Out);
  synchronize(Now, Out);
  gossip(Now, Out);
  expireRecords(Now);
}

void Membership::expireRecords(TimePoint Now) {
  if (Now < m_NextExpiry)
    return;
  m_NextExpiry = Now + ExpiryInterval;
  m_Entries->expire(Now);
  m_Members->expire(Now);
}

/// Refills the byte budget. After a pause of this process the silence of the
/// others proves nothing: the running probe is dropped and every suspicion
/// lasts longer by the length of the pause.
void Membership::noteTime(TimePoint Now) {
  const auto Elapsed = m_LastTick ? Now - *m_LastTick : Duration(0);
  m_LastTick = Now;
  m_Gossip->refill(Elapsed);
  if (Elapsed < PauseThreshold)
    return;
  ++m_Counts.Pauses;
  m_Detector->restart(Now);
  for (auto &[Vm, Found] : m_Members->records())
    Found.SuspectUntil += Elapsed;
}

void Membership::send(std::string_view Address, Packet Message, Actions &Out) {
  Message.Sender = self();
  ++m_Counts.PacketsSent;
  m_Counts.BytesSent += encodedBound(Message) + UdpOverheadBytes;
  Out.push_back(SendPacket{std::string(Address), std::move(Message)});
}

void Membership::probe(TimePoint Now, Actions &Out) {
  const auto Due = m_Detector->advance(Now);
  if (Due.Failed) {
    ++m_Counts.ProbesFailed;
    auto *Found = m_Members->find(*Due.Failed);
    if (Found && Found->Known.State == MemberState::Alive) {
      ++m_Counts.Suspicions;
      auto Rumor = Found->Known;
      Rumor.State = MemberState::Suspect;
      takeRumor(Rumor, Now, Out);
      remind(*Due.Failed, Now, Out);
    }
  }
  if (!Due.Probe)
    return;
  const auto *Target = m_Members->find(*Due.Probe);
  assert(Target && "the round's member is in the table");
  ++m_Counts.ProbesSent;
  sendProbe(Target->Known, Due.Sequence, Now, Out);
  for (const auto &Helper : Due.Helpers) {
    Packet Request;
    Request.Kind = PacketKind::ProbeRequest;
    Request.Sequence = Due.Sequence;
    Request.Target = *Due.Probe;
    send(m_Members->find(Helper)->Known.Address, std::move(Request), Out);
  }
}

void Membership::sendProbe(const Member &Target, std::uint32_t Sequence,
                           TimePoint Now, Actions &Out) {
  Packet Message;
  Message.Kind = PacketKind::Probe;
  Message.Sequence = Sequence;
  Message.Target = Target.Vm;
  Message.Sender = self();
  if (Target.State != MemberState::Alive)
    Message.Members.push_back(compacted(Target));
  if (Target.State == MemberState::Alive)
    m_Gossip->fill(Message, Now);
  send(Target.Address, std::move(Message), Out);
}

/// Tells a member that it is thought suspect or dead, at most once a second.
void Membership::remind(const VmName &Vm, TimePoint Now, Actions &Out) {
  auto &Found = *m_Members->find(Vm);
  if (Now - Found.LastReminder < ReminderInterval)
    return;
  Found.LastReminder = Now;
  sendProbe(Found.Known, m_Detector->nextSequence(), Now, Out);
}

void Membership::takeRumor(const Member &Rumor, TimePoint Now, Actions &Out) {
  if (Rumor.Vm == self().Vm) {
    refute(Rumor);
    return;
  }
  std::optional<Member> Before;
  if (!m_Members->merge(Rumor, Now, Before)) {
    noteDuplicate(Rumor);
    return;
  }
  auto &Found = *m_Members->find(Rumor.Vm);
  m_Gossip->spread(Found);
  if (!Before)
    m_NextSync = std::min(m_NextSync, Now + FastSyncInterval);
  if (Found.Known.State == MemberState::Suspect)
    Found.SuspectUntil = Now + suspicionTime(m_Members->liveCount());
  const bool Visible = !Before || Before->State != Found.Known.State ||
                       Before->Leaving != Found.Known.Leaving ||
                       Before->Started != Found.Known.Started ||
                       Before->Address != Found.Known.Address;
  if (Visible)
    Out.push_back(MemberChanged{Before, Found.Known});
}

/// Declares suspects dead that did not refute in time. In the last part of
/// the suspicion every member probes the suspect itself, so that on lossy
/// links a refutation that was missed does not cost a live member its state.
/// Others run the same timers, so the death need not be spread by all.
void Membership::expireSuspicions(TimePoint Now, Actions &Out) {
  if (m_Members->suspectCount() == 0)
    return;
  for (auto &[Vm, Found] : m_Members->records()) {
    if (Found.Known.State != MemberState::Suspect)
      continue;
    if (Now < Found.SuspectUntil) {
      if (Now >= Found.SuspectUntil - LastChance)
        remind(Vm, Now, Out);
      continue;
    }
    ++m_Counts.Deaths;
    auto Rumor = Found.Known;
    Rumor.State = MemberState::Dead;
    takeRumor(Rumor, Now, Out);
    m_Gossip->spreadBriefly(Found);
  }
}

/// A rumor that comes again has spread already, and is passed on less often
/// from here (rumor mongering with feedback; Demers et al., 1987). This saves
/// most of the duplicates when many members change at once.
void Membership::noteDuplicate(const Member &Rumor) {
  auto *Found = m_Members->find(Rumor.Vm);
  if (!Found || Found->SendsLeft == 0 ||
      Found->Known.Started != Rumor.Started ||
      Found->Known.Refutation != Rumor.Refutation ||
      Found->Known.State != Rumor.State)
    return;
  Found->SendsLeft -= std::min(Found->SendsLeft, SendsSavedPerDuplicate);
}

/// Outranks a rumor about this daemon itself that is not true: a suspicion or
/// death by a higher refutation, an earlier process of the same VM with a
/// clock ahead of ours by a later start.
void Membership::refute(const Member &Rumor) {
  auto Self = self();
  const bool OfEarlierProcess = Rumor.Started > Self.Started;
  const bool Outdated =
      Rumor.Started < Self.Started || (Rumor.State == MemberState::Alive &&
                                       Rumor.Refutation <= Self.Refutation);
  const bool Ended = Self.State == MemberState::Left;
  if (Ended || (!OfEarlierProcess && Outdated))
    return;
  if (OfEarlierProcess) {
    Self.Started = Rumor.Started + 1;
    Self.Refutation = 0;
  } else if (Rumor.State == MemberState::Left) {
    ++Self.Started;
    Self.Refutation = 0;
  } else if (Rumor.Refutation < Self.Refutation) {
    return;
  } else {
    Self.Refutation = Rumor.Refutation + 1;
  }
  ++m_Counts.Refutations;
  m_Members->setSelf(Self);
  m_Gossip->spread(*m_Members->find(Self.Vm));
}

void Membership::takeEntry(const GossipEntry &Entry, TimePoint Now,
                           Actions &Out) {
  if (Entry.Origin == self().Vm && Entry.Started == self().Started)
    return;
  if (m_Entries->contradicts(Entry))
    Out.push_back(EntryChanged{Entry});
  auto *Found = m_Entries->merge(Entry, Now);
  if (!Found)
    return;
  if (!Entry.Direct)
    m_Gossip->spread(*Found);
  Out.push_back(EntryChanged{Entry});
}

void Membership::onDatagram(const Packet &Message, std::string_view Source,
                            TimePoint Now, Actions &Out) {
  if (Message.Sender.Vm == self().Vm)
    return;
  const auto *Known = find(Message.Sender.Vm);
  if (!Known || *Known != Message.Sender)
    takeRumor(Message.Sender, Now, Out);
  for (const auto &Rumor : Message.Members)
    takeRumor(Rumor, Now, Out);
  for (const auto &Entry : Message.Entries)
    takeEntry(Entry, Now, Out);
  answer(Message, Source, Now, Out);

  auto *Sender = m_Members->find(Message.Sender.Vm);
  if (Sender && Sender->Known.State == MemberState::Dead)
    remind(Message.Sender.Vm, Now, Out);
}

void Membership::answer(const Packet &Message, std::string_view Source,
                        TimePoint Now, Actions &Out) {
  switch (Message.Kind) {
  case PacketKind::Probe:
    return answerProbe(Message, Source, Now, Out);
  case PacketKind::ProbeRequest: {
    const auto *Target = m_Members->find(Message.Target);
    if (!Target)
      return;
    const auto Sequence = m_Detector->addRelay(Source, Message.Sequence, Now);
    return sendProbe(Target->Known, Sequence, Now, Out);
  }
  case PacketKind::ProbeAck: {
    m_Detector->onAck(Message.Sequence);
    const auto Relay = m_Detector->takeRelay(Message.Sequence);
    if (!Relay)
      return;
    Packet Ack;
    Ack.Kind = PacketKind::ProbeAck;
    Ack.Sequence = Relay->Sequence;
    Ack.Target = Message.Target;
    Ack.Members.push_back(Message.Sender);
    return send(Relay->Address, std::move(Ack), Out);
  }
  case PacketKind::Gossip:
    return;
  case PacketKind::Sync:
  case PacketKind::SyncAnswer:
    return answerSync(Message, Source, Now, Out);
  }
}

/// Answers a probe of this daemon. One that names another member reached a
/// wrong address and is not answered.
void Membership::answerProbe(const Packet &Message, std::string_view Source,
                             TimePoint Now, Actions &Out) {
  if (Message.Target != self().Vm || self().State == MemberState::Left)
    return;
  Packet Ack;
  Ack.Kind = PacketKind::ProbeAck;
  Ack.Sequence = Message.Sequence;
  Ack.Target = self().Vm;
  Ack.Sender = self();
  const auto *Sender = m_Members->find(Message.Sender.Vm);
  if (Sender && Sender->Known.State != MemberState::Alive)
    Ack.Members.push_back(compacted(Sender->Known));
  m_Gossip->fill(Ack, Now);
  send(Source, std::move(Ack), Out);
}

/// Answers a comparison of tables with what differs here. The last answer
/// carries this daemon's own buckets, upon which the asker returns what it
/// knows better; answers without buckets end the exchange.
void Membership::answerSync(const Packet &Message, std::string_view Source,
                            TimePoint Now, Actions &Out) {
  if (Message.Buckets.size() != SyncBuckets)
    return;
  BucketHashes Theirs{};
  std::copy(Message.Buckets.begin(), Message.Buckets.end(), Theirs.begin());
  const auto Own = m_Gossip->buckets();
  if (Own == Theirs)
    return;
  m_NextSync = std::min(m_NextSync, Now + FastSyncInterval);

  Packet Head;
  Head.Kind = PacketKind::SyncAnswer;
  Head.Sender = self();
  if (Message.Kind == PacketKind::Sync)
    Head.Buckets.assign(Own.begin(), Own.end());
  auto Answers = m_Gossip->listDifferences(Head, Theirs, m_Random.next(), Now);
  for (std::size_t I = 0; I + 1 < Answers.size(); ++I)
    Answers[I].Buckets.clear();
  for (auto &Answer : Answers)
    send(Source, std::move(Answer), Out);
}

void Membership::sendSync(std::string_view Address, const Member *Receiver,
                          Actions &Out) {
  Packet Message;
  Message.Kind = PacketKind::Sync;
  const auto Own = m_Gossip->buckets();
  Message.Buckets.assign(Own.begin(), Own.end());
  if (Receiver && Receiver->State != MemberState::Alive)
    Message.Members.push_back(compacted(*Receiver));
  send(Address, std::move(Message), Out);
}

/// Compares tables with a random member: often while there are differences,
/// seldom otherwise.
void Membership::synchronize(TimePoint Now, Actions &Out) {
  if (Now < m_NextSync)
    return;
  m_NextSync = Now + SyncInterval / 2 +
               fromSeconds(toSeconds(SyncInterval) * m_Random.uniform());
  const auto Peers = m_Members->responsivePeers();
  if (Peers.empty())
    return;
  const auto *Peer = Peers[m_Random.below(Peers.size())];
  sendSync(Peer->Address, Peer, Out);
}

/// Contacts one member that is dead, or a seed or listed VM that is not known
/// to be live, so that the two sides of a healed partition find each other.
/// All members together do so at a rate that does not grow with their number.
void Membership::contactUnreachable(TimePoint Now, Actions &Out) {
  if (Now < m_NextContact)
    return;
  std::vector<std::pair<std::string_view, const Member *>> Unreachable;
  for (const auto &[Vm, Found] : m_Members->records()) {
    if (Found.Known.State == MemberState::Dead)
      Unreachable.emplace_back(Found.Known.Address, &Found.Known);
  }
  for (const auto &Contact : m_Contacts) {
    if (Contact.Vm != self().Vm && !find(Contact.Vm))
      Unreachable.emplace_back(Contact.Address, nullptr);
  }
  const auto Live = static_cast<double>(m_Members->liveCount());
  const auto Rate =
      ContactsPerSecond * static_cast<double>(Unreachable.size()) / Live;
  const auto Interval =
      std::max(ContactInterval, fromSeconds(1.0 / std::max(Rate, 0.01)));
  m_NextContact = Now + Interval / 2 +
                  fromSeconds(toSeconds(Interval) * m_Random.uniform());
  if (Unreachable.empty()) {
    m_NextContact = Now + ContactInterval;
    return;
  }
  const auto &[Address, Known] =
      Unreachable[m_Random.below(Unreachable.size())];
  sendSync(Address, Known, Out);
}

void Membership::gossip(TimePoint Now, Actions &Out) {
  if (Now < m_NextGossip || !m_Gossip->hasPending())
    return;
  m_NextGossip = Now + GossipInterval;
  sendGossip(GossipFanout, Now, Out);
}

void Membership::sendGossip(std::size_t Fanout, TimePoint Now, Actions &Out) {
  auto Peers = m_Members->responsivePeers();
  Fanout = std::min(Fanout, Peers.size());
  for (std::size_t I = 0; I < Fanout; ++I) {
    std::swap(Peers[I], Peers[I + m_Random.below(Peers.size() - I)]);
    Packet Message;
    Message.Kind = PacketKind::Gossip;
    Message.Sender = self();
    if (Peers[I]->State != MemberState::Alive)
      Message.Members.push_back(compacted(*Peers[I]));
    m_Gossip->fill(Message, Now);
    if (Message.Members.empty() && Message.Entries.empty())
      return;
    Message.Sender = self();
    m_Gossip->spend(encodedBound(self()) + UdpOverheadBytes);
    send(Peers[I]->Address, std::move(Message), Out);
  }
}

/// A VM's leaving mark counts only when the list has shown it as live since
/// this process began: the list lags, and an older mark belongs to the VM's
/// former process.
void Membership::updatePlatformList(std::span<const ListedVm> Listed,
                                    TimePoint Now, Actions &Out) {
  m_Contacts = m_Options.Seeds;
  for (const auto &Item : Listed) {
    if (Item.Vm == self().Vm) {
      if (Item.Leaving && m_ListedLive && !self().Leaving)
        Out.push_back(LeaveRequested{});
      m_ListedLive = m_ListedLive || !Item.Leaving;
      continue;
    }
    if (!Item.Leaving)
      m_Contacts.push_back({Item.Vm, Item.Address, Item.Domain});
  }
}

void Membership::setLeaving(TimePoint Now, Actions &Out) {
  auto Self = self();
  if (Self.Leaving)
    return;
  const auto Before = Self;
  Self.Leaving = true;
  m_Members->setSelf(Self);
  m_Gossip->spread(*m_Members->find(Self.Vm));
  Out.push_back(MemberChanged{Before, Self});
  sendGossip(GossipFanout, Now, Out);
}

void Membership::leave(TimePoint Now, Actions &Out) {
  auto Self = self();
  Self.State = MemberState::Left;
  Self.Leaving = true;
  m_Members->setSelf(Self);
  m_Gossip->spread(*m_Members->find(Self.Vm));
  sendGossip(LeaveFanout, Now, Out);
}

void Membership::publish(const GossipValue &Value, std::string_view Subject,
                         Duration TimeToLive, TimePoint Now,
                         std::span<const VmName> Audience, Actions &Out) {
  GossipEntry Entry;
  Entry.Kind = kindOf(Value);
  Entry.Origin = self().Vm;
  Entry.Subject = std::string(Subject);
  Entry.Started = self().Started;
  Entry.Version = m_Entries->nextVersion(Entry.Kind, Entry.Origin, Subject);
  if (const auto *Revision = std::get_if<ConfigRevision>(&Value))
    Entry.Version = Revision->Number;
  Entry.Remaining = TimeToLive;
  Entry.Direct = !Audience.empty();
  Entry.Value = encodeValue(Value);
  auto *Found = m_Entries->merge(Entry, Now);
  if (!Found)
    return;
  if (Audience.empty()) {
    m_Gossip->spread(*Found);
    return;
  }
  sendDirect(Entry, Audience, Out);
}

/// Sends an entry to its audience, beginning with a random one, as long as
/// half of the budget is left for what is more urgent. Who is left out gets a
/// later version: such entries are published again and again.
void Membership::sendDirect(const GossipEntry &Entry,
                            std::span<const VmName> Audience, Actions &Out) {
  const auto Reserve =
      static_cast<std::int64_t>(m_Options.GossipBytesPerSecond / 2);
  const auto Start = m_Random.below(Audience.size());
  for (std::size_t I = 0; I < Audience.size(); ++I) {
    const auto &Vm = Audience[(Start + I) % Audience.size()];
    const auto *Receiver = find(Vm);
    if (!Receiver || !Receiver->isLive() || Vm == self().Vm)
      continue;
    if (m_Gossip->budget() <= Reserve)
      return;
    Packet Message;
    Message.Kind = PacketKind::Gossip;
    Message.Entries.push_back(Entry);
    m_Gossip->spend(encodedBound(self()) + encodedBound(Entry) +
                    UdpOverheadBytes);
    send(Receiver->Address, std::move(Message), Out);
  }
}

std::vector<GossipEntry> Membership::entries(EntryKind Kind,
                                             TimePoint Now) const {
  std::vector<GossipEntry> Result;
  for (const auto &[Name, Found] : m_Entries->records()) {
    if (Name.Kind == Kind && Found.Expiry > Now)
      Result.push_back(EntryTable::aged(Found, Now));
  }
  return Result;
}

} // namespace mangodeck
