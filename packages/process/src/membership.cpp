#include "mangodeck/process/membership.h"

#include "failuredetector.h"
#include "gossipentrytable.h"
#include "gossipscheduler.h"
#include "membertable.h"

#include <algorithm>
#include <bit>
#include <cassert>

namespace mangodeck {

namespace {

/// A gap of this length or more between two ticks means that the process did
/// not run meanwhile.
constexpr Duration PauseThreshold = 2s;
constexpr Duration GossipInterval = 200ms;
constexpr std::size_t GossipFanout = 3;
constexpr std::size_t LeaveFanout = 8;
constexpr Duration SyncInterval = 5s;
/// Delay until the next comparison after one that showed differences.
constexpr Duration FastSyncInterval = 1s;
constexpr std::uint32_t SendsSavedPerDuplicate = 3;
constexpr Duration ExpiryInterval = 1s;
constexpr Duration SuspicionNoticeInterval = 1s;
constexpr Duration ContactInterval = 1s;
/// Contact attempts per second to each unreachable member, over all live
/// members together.
constexpr double TotalContactsPerSecond = 4.0;
/// Suspicion lasts this long plus SuspicionTimePerDoubling for each doubling
/// of the number of members, as rumors then need more hops.
constexpr Duration BaseSuspicionTime = 2s;
/// Last part of a suspicion, in which every member probes the suspect.
constexpr Duration FinalProbePeriod = 2s;
constexpr Duration SuspicionTimePerDoubling = 500ms;

Duration suspicionTime(std::size_t LiveMembers) {
  return BaseSuspicionTime +
         SuspicionTimePerDoubling *
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
      m_Entries(std::make_unique<GossipEntryTable>()),
      m_Detector(std::make_unique<FailureDetector>(*m_Members, Random)),
      m_Gossip(std::make_unique<GossipScheduler>(
          *m_Members, *m_Entries, m_Options.GossipBytesPerSecond)),
      m_Contacts(m_Options.Seeds) {}

Membership::~Membership() = default;

const Member &Membership::self() const { return m_Members->self(); }

std::size_t Membership::liveCount() const { return m_Members->liveCount(); }

const Member *Membership::find(const VmName &Vm) const {
  const auto *Record = std::as_const(*m_Members).find(Vm);
  return Record ? &Record->Info : nullptr;
}

std::vector<Member> Membership::members() const {
  std::vector<Member> Result;
  Result.reserve(m_Members->records().size());
  for (const auto &[Vm, Record] : m_Members->records())
    Result.push_back(Record.Info);
  return Result;
}

void Membership::tick(TimePoint Now, Actions &Out) {
  onTimeElapsed(Now);
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

/// Refills the byte budget. While this process did not run, it could not
/// receive the other members' answers. After such a pause the current probe is
/// therefore dropped and every suspicion is prolonged by the length of the
/// pause.
void Membership::onTimeElapsed(TimePoint Now) {
  const auto Elapsed = m_LastTick ? Now - *m_LastTick : Duration(0);
  m_LastTick = Now;
  m_Gossip->refill(Elapsed);
  if (Elapsed < PauseThreshold)
    return;
  ++m_Counts.Pauses;
  m_Detector->restartRound(Now);
  for (auto &[Vm, Record] : m_Members->records())
    Record.SuspectUntil += Elapsed;
}

void Membership::send(std::string_view Address, Packet Message, Actions &Out) {
  Message.Sender = self();
  ++m_Counts.PacketsSent;
  m_Counts.BytesSent += maxEncodedBytes(Message) + UdpOverheadBytes;
  Out.push_back(SendPacket{std::string(Address), std::move(Message)});
}

void Membership::probe(TimePoint Now, Actions &Out) {
  const auto Due = m_Detector->advance(Now);
  if (Due.Failed) {
    ++m_Counts.ProbesFailed;
    auto *Record = m_Members->find(*Due.Failed);
    if (Record && Record->Info.State == MemberState::Alive) {
      ++m_Counts.Suspicions;
      auto Rumor = Record->Info;
      Rumor.State = MemberState::Suspect;
      applyRumor(Rumor, Now, Out);
      notifyOfSuspicion(*Due.Failed, Now, Out);
    }
  }
  if (!Due.Probe)
    return;
  const auto *Probed = m_Members->find(*Due.Probe);
  assert(Probed && "the probed member is in the member table");
  ++m_Counts.ProbesSent;
  sendProbe(Probed->Info, Due.Sequence, Now, Out);
  for (const auto &Helper : Due.Helpers) {
    Packet Request;
    Request.Kind = PacketKind::ProbeRequest;
    Request.Sequence = Due.Sequence;
    Request.ProbedVm = *Due.Probe;
    send(m_Members->find(Helper)->Info.Address, std::move(Request), Out);
  }
}

/// Sends a probe. A receiver that is not known as alive gets only the rumor
/// about itself, which it can refute; a live one also gets pending gossip.
void Membership::sendProbe(const Member &Receiver, std::uint32_t Sequence,
                           TimePoint Now, Actions &Out) {
  Packet Message;
  Message.Kind = PacketKind::Probe;
  Message.Sequence = Sequence;
  Message.ProbedVm = Receiver.Vm;
  Message.Sender = self();
  if (Receiver.State != MemberState::Alive)
    Message.Members.push_back(compacted(Receiver));
  if (Receiver.State == MemberState::Alive)
    m_Gossip->fill(Message, Now);
  send(Receiver.Address, std::move(Message), Out);
}

/// Notifies a member that this daemon has it as suspect or dead, at most once
/// per SuspicionNoticeInterval, so that the member can refute it.
void Membership::notifyOfSuspicion(const VmName &Vm, TimePoint Now,
                                   Actions &Out) {
  auto &Record = *m_Members->find(Vm);
  if (Now - Record.LastSuspicionNotice < SuspicionNoticeInterval)
    return;
  Record.LastSuspicionNotice = Now;
  sendProbe(Record.Info, m_Detector->nextSequence(), Now, Out);
}

void Membership::applyRumor(const Member &Rumor, TimePoint Now, Actions &Out) {
  if (Rumor.Vm == self().Vm) {
    refute(Rumor);
    return;
  }
  std::optional<Member> Before;
  if (!m_Members->merge(Rumor, Now, Before)) {
    onDuplicateRumor(Rumor);
    return;
  }
  auto &Record = *m_Members->find(Rumor.Vm);
  m_Gossip->spread(Record);
  if (!Before)
    m_NextSync = std::min(m_NextSync, Now + FastSyncInterval);
  if (Record.Info.State == MemberState::Suspect)
    Record.SuspectUntil = Now + suspicionTime(m_Members->liveCount());
  const bool IsReported = !Before || Before->State != Record.Info.State ||
                          Before->Leaving != Record.Info.Leaving ||
                          Before->Started != Record.Info.Started ||
                          Before->Address != Record.Info.Address;
  if (IsReported)
    Out.push_back(MemberChanged{Before, Record.Info});
}

/// Declares suspects dead whose suspicion has expired. During FinalProbePeriod
/// every member probes the suspect itself, so that a refutation lost on a
/// lossy link does not lead to a live member being declared dead. The other
/// members run the same timers, so the rumor of the death is sent fewer times
/// than others.
void Membership::expireSuspicions(TimePoint Now, Actions &Out) {
  if (m_Members->suspectCount() == 0)
    return;
  for (auto &[Vm, Record] : m_Members->records()) {
    if (Record.Info.State != MemberState::Suspect)
      continue;
    if (Now < Record.SuspectUntil) {
      if (Now >= Record.SuspectUntil - FinalProbePeriod)
        notifyOfSuspicion(Vm, Now, Out);
      continue;
    }
    ++m_Counts.Deaths;
    auto Rumor = Record.Info;
    Rumor.State = MemberState::Dead;
    applyRumor(Rumor, Now, Out);
    m_Gossip->spreadReduced(Record);
  }
}

/// Reduces the remaining sends of a rumor that is received again, as it has
/// already spread (rumor mongering with feedback; Demers et al., 1987). This
/// avoids most of the duplicates when many members change at once.
void Membership::onDuplicateRumor(const Member &Rumor) {
  auto *Record = m_Members->find(Rumor.Vm);
  if (!Record || Record->SendsLeft == 0 ||
      Record->Info.Started != Rumor.Started ||
      Record->Info.RefutationNumber != Rumor.RefutationNumber ||
      Record->Info.State != Rumor.State)
    return;
  Record->SendsLeft -= std::min(Record->SendsLeft, SendsSavedPerDuplicate);
}

/// Overrides a false rumor about this daemon itself. A suspicion or death is
/// refuted with a higher refutation number. A rumor of a later incarnation
/// comes from an earlier process of this VM whose clock was ahead. In that
/// case, or if the rumor says that this incarnation has left, this daemon takes
/// the next higher incarnation.
void Membership::refute(const Member &Rumor) {
  auto Self = self();
  const bool OfEarlierProcess = Rumor.Started > Self.Started;
  const bool Outdated = Rumor.Started < Self.Started ||
                        (Rumor.State == MemberState::Alive &&
                         Rumor.RefutationNumber <= Self.RefutationNumber);
  const bool Ended = Self.State == MemberState::Left;
  if (Ended || (!OfEarlierProcess && Outdated))
    return;
  if (OfEarlierProcess) {
    Self.Started = Rumor.Started + 1;
    Self.RefutationNumber = 0;
  } else if (Rumor.State == MemberState::Left) {
    ++Self.Started;
    Self.RefutationNumber = 0;
  } else if (Rumor.RefutationNumber < Self.RefutationNumber) {
    return;
  } else {
    Self.RefutationNumber = Rumor.RefutationNumber + 1;
  }
  ++m_Counts.Refutations;
  m_Members->setSelf(Self);
  m_Gossip->spread(*m_Members->find(Self.Vm));
}

void Membership::applyEntry(const GossipEntry &Entry, TimePoint Now,
                            Actions &Out) {
  if (Entry.Origin == self().Vm && Entry.Started == self().Started)
    return;
  if (m_Entries->conflictsWith(Entry))
    Out.push_back(EntryChanged{Entry});
  auto *Record = m_Entries->merge(Entry, Now);
  if (!Record)
    return;
  if (!Entry.Direct)
    m_Gossip->spread(*Record);
  Out.push_back(EntryChanged{Entry});
}

void Membership::onDatagram(const Packet &Message, std::string_view Source,
                            TimePoint Now, Actions &Out) {
  if (Message.Sender.Vm == self().Vm)
    return;
  const auto *Current = find(Message.Sender.Vm);
  if (!Current || *Current != Message.Sender)
    applyRumor(Message.Sender, Now, Out);
  for (const auto &Rumor : Message.Members)
    applyRumor(Rumor, Now, Out);
  for (const auto &Entry : Message.Entries)
    applyEntry(Entry, Now, Out);
  handleMessage(Message, Source, Now, Out);

  auto *Sender = m_Members->find(Message.Sender.Vm);
  if (Sender && Sender->Info.State == MemberState::Dead)
    notifyOfSuspicion(Message.Sender.Vm, Now, Out);
}

void Membership::handleMessage(const Packet &Message, std::string_view Source,
                               TimePoint Now, Actions &Out) {
  switch (Message.Kind) {
  case PacketKind::Probe:
    return answerProbe(Message, Source, Now, Out);
  case PacketKind::ProbeRequest: {
    const auto *Probed = m_Members->find(Message.ProbedVm);
    if (!Probed)
      return;
    const auto Sequence = m_Detector->addRelay(Source, Message.Sequence, Now);
    return sendProbe(Probed->Info, Sequence, Now, Out);
  }
  case PacketKind::ProbeAck: {
    m_Detector->onAck(Message.Sequence);
    const auto Relay = m_Detector->takeRelay(Message.Sequence);
    if (!Relay)
      return;
    Packet Ack;
    Ack.Kind = PacketKind::ProbeAck;
    Ack.Sequence = Relay->Sequence;
    Ack.ProbedVm = Message.ProbedVm;
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

/// Answers a probe of this daemon. A probe that names another member was sent
/// to a wrong address and is not answered.
void Membership::answerProbe(const Packet &Message, std::string_view Source,
                             TimePoint Now, Actions &Out) {
  if (Message.ProbedVm != self().Vm || self().State == MemberState::Left)
    return;
  Packet Ack;
  Ack.Kind = PacketKind::ProbeAck;
  Ack.Sequence = Message.Sequence;
  Ack.ProbedVm = self().Vm;
  Ack.Sender = self();
  const auto *Sender = m_Members->find(Message.Sender.Vm);
  if (Sender && Sender->Info.State != MemberState::Alive)
    Ack.Members.push_back(compacted(Sender->Info));
  m_Gossip->fill(Ack, Now);
  send(Source, std::move(Ack), Out);
}

/// Answers a table comparison with the contents of the buckets that differ.
/// The last datagram of the answer to a Sync carries this daemon's bucket
/// hashes, so that the requester can send its own differing contents back. A
/// message without bucket hashes is not answered, which ends the comparison.
void Membership::answerSync(const Packet &Message, std::string_view Source,
                            TimePoint Now, Actions &Out) {
  if (Message.Buckets.size() != SyncBucketCount)
    return;
  BucketHashes RemoteHashes{};
  std::copy(Message.Buckets.begin(), Message.Buckets.end(),
            RemoteHashes.begin());
  const auto OwnHashes = m_Gossip->buckets();
  if (OwnHashes == RemoteHashes)
    return;
  m_NextSync = std::min(m_NextSync, Now + FastSyncInterval);

  Packet Template;
  Template.Kind = PacketKind::SyncAnswer;
  Template.Sender = self();
  if (Message.Kind == PacketKind::Sync)
    Template.Buckets.assign(OwnHashes.begin(), OwnHashes.end());
  auto Answers =
      m_Gossip->listDifferences(Template, RemoteHashes, m_Random.next(), Now);
  for (std::size_t I = 0; I + 1 < Answers.size(); ++I)
    Answers[I].Buckets.clear();
  for (auto &Answer : Answers)
    send(Source, std::move(Answer), Out);
}

void Membership::sendSync(std::string_view Address, const Member *Receiver,
                          Actions &Out) {
  Packet Message;
  Message.Kind = PacketKind::Sync;
  const auto OwnHashes = m_Gossip->buckets();
  Message.Buckets.assign(OwnHashes.begin(), OwnHashes.end());
  if (Receiver && Receiver->State != MemberState::Alive)
    Message.Members.push_back(compacted(*Receiver));
  send(Address, std::move(Message), Out);
}

/// Compares tables with a random member, about every SyncInterval and sooner,
/// after FastSyncInterval, when differences or new members were found.
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

/// Compares tables with one random member that is dead, or with a seed or
/// listed VM that is not in the member table, so that the two sides of a
/// healed partition find each other. The total rate of these contacts does not
/// grow with the number of live members.
void Membership::contactUnreachable(TimePoint Now, Actions &Out) {
  if (Now < m_NextContact)
    return;
  std::vector<std::pair<std::string_view, const Member *>> Unreachable;
  for (const auto &[Vm, Record] : m_Members->records()) {
    if (Record.Info.State == MemberState::Dead)
      Unreachable.emplace_back(Record.Info.Address, &Record.Info);
  }
  for (const auto &Contact : m_Contacts) {
    if (Contact.Vm != self().Vm && !find(Contact.Vm))
      Unreachable.emplace_back(Contact.Address, nullptr);
  }
  const auto Live = static_cast<double>(m_Members->liveCount());
  const auto Rate =
      TotalContactsPerSecond * static_cast<double>(Unreachable.size()) / Live;
  const auto Interval =
      std::max(ContactInterval, fromSeconds(1.0 / std::max(Rate, 0.01)));
  m_NextContact = Now + Interval / 2 +
                  fromSeconds(toSeconds(Interval) * m_Random.uniform());
  if (Unreachable.empty()) {
    m_NextContact = Now + ContactInterval;
    return;
  }
  const auto &[Address, Receiver] =
      Unreachable[m_Random.below(Unreachable.size())];
  sendSync(Address, Receiver, Out);
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
    m_Gossip->spend(maxEncodedBytes(self()) + UdpOverheadBytes);
    send(Peers[I]->Address, std::move(Message), Out);
  }
}

/// The leaving flag of this daemon's VM takes effect only if the list has
/// shown the VM as live since this process began. The list lags behind, so a
/// flag that was set before may belong to an earlier process of the VM.
void Membership::updatePlatformList(std::span<const ListedVm> Listed,
                                    TimePoint Now, Actions &Out) {
  m_Contacts = m_Options.Seeds;
  for (const auto &Item : Listed) {
    if (Item.Vm == self().Vm) {
      if (Item.Leaving && m_WasListedLive && !self().Leaving)
        Out.push_back(LeaveRequested{});
      m_WasListedLive = m_WasListedLive || !Item.Leaving;
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
  auto *Record = m_Entries->merge(Entry, Now);
  if (!Record)
    return;
  if (Audience.empty()) {
    m_Gossip->spread(*Record);
    return;
  }
  sendDirect(Entry, Audience, Out);
}

/// Sends an entry to the members of its audience, beginning with a random one,
/// and stops when half of the budget is left, which is reserved for more
/// urgent gossip. Members that were skipped receive a later version, since
/// direct entries are published periodically.
void Membership::sendDirect(const GossipEntry &Entry,
                            std::span<const VmName> Audience, Actions &Out) {
  const auto ReservedBytes =
      static_cast<std::int64_t>(m_Options.GossipBytesPerSecond / 2);
  const auto Start = m_Random.below(Audience.size());
  for (std::size_t I = 0; I < Audience.size(); ++I) {
    const auto &Vm = Audience[(Start + I) % Audience.size()];
    const auto *Receiver = find(Vm);
    if (!Receiver || !Receiver->isLive() || Vm == self().Vm)
      continue;
    if (m_Gossip->budgetBytes() <= ReservedBytes)
      return;
    Packet Message;
    Message.Kind = PacketKind::Gossip;
    Message.Entries.push_back(Entry);
    m_Gossip->spend(maxEncodedBytes(self()) + maxEncodedBytes(Entry) +
                    UdpOverheadBytes);
    send(Receiver->Address, std::move(Message), Out);
  }
}

std::vector<GossipEntry> Membership::entries(EntryKind Kind,
                                             TimePoint Now) const {
  std::vector<GossipEntry> Result;
  for (const auto &[EntryKey, Record] : m_Entries->records()) {
    if (EntryKey.Kind == Kind && Record.Expiry > Now)
      Result.push_back(GossipEntryTable::entryToSend(Record, Now));
  }
  return Result;
}

} // namespace mangodeck
