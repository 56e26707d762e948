#include "virtualnetwork.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <ctime>

namespace mangodeck {

namespace {

constexpr Duration TickInterval = 100ms;
constexpr std::size_t SeedCount = 3;
constexpr std::size_t MaxHeldDatagrams = 200;

} // namespace

VirtualNetwork::VirtualNetwork(NetworkOptions Options)
    : m_Options(Options), m_Random(Options.Seed), m_Codec({"0123456789abcdef"}),
      m_Nodes(Options.Members) {
  for (std::size_t I = 0; I < size(); ++I)
    m_Names.push_back(makeName(I));
  for (std::size_t I = 0; I < size(); ++I) {
    m_ByAddress[addressOf(I)] = I;
    start(I);
  }
  if (Options.PrefilledTables)
    prefillTables();
}

/// Delivers rumors about all members to each member, repeated until the
/// duplicates have used up the sends and no member passes them on.
void VirtualNetwork::prefillTables() {
  constexpr int Repeats = 10;
  Packet Message;
  for (const auto &Each : m_Nodes)
    Message.Members.push_back(Each.Members->self());
  Membership::Actions Ignored;
  for (std::size_t I = 0; I < size(); ++I) {
    Message.Sender = at((I + 1) % size()).self();
    for (int Repeat = 0; Repeat < Repeats; ++Repeat)
      at(I).onDatagram(Message, "", m_Now, Ignored);
  }
}

VirtualNetwork::~VirtualNetwork() = default;

VmName VirtualNetwork::makeName(std::size_t Index) const {
  return VmName(fmt::format("entry-{}-{:03}", domainOf(Index), Index));
}

std::string VirtualNetwork::addressOf(std::size_t Index) const {
  return fmt::format("10.{}.{}.{}:7300", domainOf(Index), Index / 250,
                     Index % 250);
}

void VirtualNetwork::start(std::size_t Index) {
  auto &Current = m_Nodes[Index];
  MembershipOptions Options;
  Options.Vm = nameOf(Index);
  Options.Domain = FailureDomain(fmt::format("zone-{}", domainOf(Index)));
  Options.Started = static_cast<Incarnation>(m_Now.time_since_epoch() / 1ms);
  Options.PeerAddress = addressOf(Index);
  Options.GossipBytesPerSecond = m_Options.GossipBytesPerSecond;
  for (std::size_t I = 0; I < std::min(SeedCount, size()); ++I)
    Options.Seeds.push_back({nameOf(I), addressOf(I), FailureDomain()});
  Current.Random = std::make_unique<SeededRandom>(m_Random.next());
  Current.Members =
      std::make_unique<Membership>(std::move(Options), *Current.Random);
  Current.Running = true;
  Current.Paused = false;
  ++Current.RunNumber;
  scheduleTick(Index, fromSeconds(0.1 * m_Random.uniform()));
}

void VirtualNetwork::scheduleTick(std::size_t Index, Duration Delay) {
  m_Queue.push(
      {m_Now + Delay, ++m_LastOrder, Index, m_Nodes[Index].RunNumber, "", ""});
}

void VirtualNetwork::kill(std::size_t Index) {
  m_Nodes[Index].Running = false;
  ++m_Nodes[Index].RunNumber;
}

void VirtualNetwork::restart(std::size_t Index) {
  kill(Index);
  start(Index);
}

void VirtualNetwork::pause(std::size_t Index) { m_Nodes[Index].Paused = true; }

void VirtualNetwork::resume(std::size_t Index) {
  m_Nodes[Index].Paused = false;
  const auto HeldDatagrams = std::exchange(m_Nodes[Index].HeldDatagrams, {});
  for (const auto &[Bytes, Source] : HeldDatagrams)
    deliver(Index, Bytes, Source);
}

void VirtualNetwork::runFor(Duration Period) {
  const auto End = m_Now + Period;
  while (!m_Queue.empty() && m_Queue.top().Time <= End) {
    const auto Due = m_Queue.top();
    m_Queue.pop();
    m_Now = Due.Time;
    handleEvent(Due);
  }
  m_Now = End;
}

Duration VirtualNetwork::runUntil(const std::function<bool()> &Condition,
                                  Duration Limit) {
  const auto Begin = m_Now;
  while (!Condition() && m_Now - Begin < Limit)
    runFor(100ms);
  return m_Now - Begin;
}

void VirtualNetwork::handleEvent(const ScheduledEvent &Due) {
  auto &Current = m_Nodes[Due.To];
  if (!Due.Bytes.empty()) {
    if (Current.Running)
      deliver(Due.To, Due.Bytes, Due.Source);
    return;
  }
  if (Due.RunNumber != Current.RunNumber)
    return;
  if (!Current.Paused) {
    Membership::Actions Out;
    const auto Begin = std::clock();
    Current.Members->tick(m_Now, Out);
    m_ProcessorSeconds +=
        static_cast<double>(std::clock() - Begin) / CLOCKS_PER_SEC;
    perform(Due.To, Out);
  }
  scheduleTick(Due.To, TickInterval);
}

void VirtualNetwork::deliver(std::size_t Index, std::string_view Bytes,
                             std::string_view Source) {
  auto &Current = m_Nodes[Index];
  if (Current.Paused) {
    if (Current.HeldDatagrams.size() < MaxHeldDatagrams)
      Current.HeldDatagrams.emplace_back(Bytes, Source);
    return;
  }
  Current.ReceivedBytes += Bytes.size() + UdpOverheadBytes;
  Membership::Actions Out;
  const auto Begin = std::clock();
  const auto Message = m_Codec.decode(Bytes);
  if (Message)
    Current.Members->onDatagram(*Message, Source, m_Now, Out);
  m_ProcessorSeconds +=
      static_cast<double>(std::clock() - Begin) / CLOCKS_PER_SEC;
  perform(Index, Out);
}

void VirtualNetwork::perform(std::size_t Index,
                             const Membership::Actions &Actions) {
  for (const auto &Action : Actions) {
    if (const auto *Send = std::get_if<SendPacket>(&Action))
      transmit(Index, *Send);
    if (OnAction)
      OnAction(Index, Action);
  }
}

bool VirtualNetwork::isCut(std::size_t A, std::size_t B) const {
  return (domainOf(A) == m_CutDomain) != (domainOf(B) == m_CutDomain);
}

void VirtualNetwork::transmit(std::size_t From, const SendPacket &Action) {
  const auto Begin = std::clock();
  const auto Bytes = m_Codec.encode(Action.Message);
  m_ProcessorSeconds +=
      static_cast<double>(std::clock() - Begin) / CLOCKS_PER_SEC;
  assert(Bytes && "membership keeps datagrams within MaxPacketBytes");
  assert(Bytes->size() <= maxEncodedBytes(Action.Message));
  ++m_Packets;
  m_Nodes[From].SentBytes += Bytes->size() + UdpOverheadBytes;
  const auto It = m_ByAddress.find(Action.Address);
  if (It == m_ByAddress.end() || m_Random.uniform() < m_Options.Loss ||
      isCut(From, It->second))
    return;
  const bool Local = domainOf(From) == domainOf(It->second);
  const auto Jitter =
      fromSeconds(toSeconds(m_Options.DelayJitter) * m_Random.uniform());
  const auto Delay =
      (Local ? m_Options.LocalDelay : m_Options.DomainDelay + Jitter);
  m_Queue.push(
      {m_Now + Delay, ++m_LastOrder, It->second, 0, addressOf(From), *Bytes});
}

bool VirtualNetwork::agree(const std::vector<std::size_t> &Viewers,
                           const std::vector<std::size_t> &ExpectedLive) {
  const auto CountAgrees = [&](std::size_t Viewer) {
    return at(Viewer).liveCount() == ExpectedLive.size();
  };
  const auto SeesAll = [&](std::size_t Viewer) {
    return std::all_of(ExpectedLive.begin(), ExpectedLive.end(),
                       [&](std::size_t Subject) {
                         const auto *Found = at(Viewer).find(nameOf(Subject));
                         return Found && Found->isLive() &&
                                Found->Started == at(Subject).self().Started;
                       });
  };
  return std::all_of(Viewers.begin(), Viewers.end(), CountAgrees) &&
         std::all_of(Viewers.begin(), Viewers.end(), SeesAll);
}

bool VirtualNetwork::agree() {
  std::vector<std::size_t> Running;
  for (std::size_t I = 0; I < size(); ++I) {
    if (m_Nodes[I].Running)
      Running.push_back(I);
  }
  return agree(Running, Running);
}

std::size_t VirtualNetwork::countSeeing(std::size_t Subject,
                                        MemberState State) {
  std::size_t Count = 0;
  for (std::size_t I = 0; I < size(); ++I) {
    const auto *Found = at(I).find(nameOf(Subject));
    if (I != Subject && m_Nodes[I].Running && Found && Found->State == State)
      ++Count;
  }
  return Count;
}

MembershipCounts VirtualNetwork::counts() const {
  MembershipCounts Sum;
  for (const auto &Each : m_Nodes) {
    const auto &Counts = Each.Members->counts();
    Sum.ProbesSent += Counts.ProbesSent;
    Sum.ProbesFailed += Counts.ProbesFailed;
    Sum.Suspicions += Counts.Suspicions;
    Sum.Refutations += Counts.Refutations;
    Sum.Deaths += Counts.Deaths;
    Sum.Pauses += Counts.Pauses;
  }
  return Sum;
}

Traffic VirtualNetwork::traffic() const {
  Traffic Sum;
  Sum.Packets = m_Packets;
  for (const auto &Each : m_Nodes) {
    Sum.Bytes += Each.SentBytes;
    Sum.LargestSender = std::max(Sum.LargestSender, Each.SentBytes);
    Sum.LargestReceiver = std::max(Sum.LargestReceiver, Each.ReceivedBytes);
  }
  return Sum;
}

void VirtualNetwork::resetTraffic() {
  m_Packets = 0;
  m_ProcessorSeconds = 0;
  for (auto &Each : m_Nodes)
    Each.SentBytes = Each.ReceivedBytes = 0;
}

} // namespace mangodeck
