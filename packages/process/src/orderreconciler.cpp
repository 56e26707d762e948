#include "mangodeck/process/orderreconciler.h"

#include <algorithm>

namespace mangodeck {

OrderReconciler::OrderReconciler(ReconcilerOptions Options,
                                 const OrderLease &Lease)
    : m_Options(Options), m_Lease(Lease) {}

/// Replaces the desired states. A target that is no longer named is removed,
/// unless it has an order in flight.
void OrderReconciler::configure(std::span<const DesiredTarget> Desired) {
  std::set<TargetName> NamedTargets;
  for (const auto &Each : Desired) {
    m_Targets[Each.Target].Desired = Each;
    NamedTargets.insert(Each.Target);
  }
  std::erase_if(m_Targets, [&](const auto &Item) {
    return !NamedTargets.contains(Item.first) && !Item.second.Order;
  });
}

void OrderReconciler::report(const ReportedTarget &Report, TimePoint Now) {
  const auto It = m_Targets.find(Report.Target);
  if (It == m_Targets.end())
    return;
  const auto MadeAt = Now - Report.Age;
  if (It->second.LastReport && MadeAt < It->second.ReportMadeAt)
    return;
  It->second.LastReport = Report;
  It->second.ReportMadeAt = MadeAt;
}

/// An order without an answer may still be carried out until it expires, so the
/// target gets no other order before that.
void OrderReconciler::onOrderEnd(const TargetName &Target, std::uint64_t Order,
                                 OrderEnd End, TimePoint Now) {
  const auto It = m_Targets.find(Target);
  if (It == m_Targets.end() || !It->second.Order ||
      It->second.Order->Id != Order)
    return;
  auto &Found = It->second;
  if (End == OrderEnd::Unknown && Now < Found.OrderExpiry)
    return;
  Found.Order.reset();
  Found.LastOrderEnd = Now;
  if (End == OrderEnd::Done) {
    Found.Backoff = Duration(0);
    return;
  }
  Found.Backoff =
      std::clamp(Found.Backoff * 2, m_Options.MinBackoff, m_Options.MaxBackoff);
  Found.NextOrderAt = Now + Found.Backoff;
}

void OrderReconciler::tick(TimePoint Now, std::vector<TargetOrder> &Out) {
  for (auto &[Name, Target] : m_Targets) {
    // Step 1. End an order that expired without an answer.
    if (Target.Order && Now >= Target.OrderExpiry)
      onOrderEnd(Name, Target.Order->Id, OrderEnd::Unknown, Now);

    // Step 2. Create the next order, if one is needed and may be sent now.
    if (!isDue(Target, Now))
      continue;
    auto Next = nextOrder(Target);
    if (!Next || (Next->Kind == OrderKind::Load && !reserveLoad(*Next, Now)))
      continue;
    Next->Id = ++m_LastOrderId;
    Next->Fencing = m_Lease.fencing();
    Next->ValidFor = m_Options.OrderValidity;
    Target.Order = *Next;
    Target.OrderExpiry = Now + m_Options.OrderValidity;
    Out.push_back(std::move(*Next));
  }
}

bool OrderReconciler::isDue(const TargetProgress &Target, TimePoint Now) const {
  const bool HasFreshReport =
      Target.LastReport && Target.ReportMadeAt > Target.LastOrderEnd;
  return !Target.Order && HasFreshReport && Now >= Target.NextOrderAt &&
         m_Lease.maySendOrder(Now, Target.Desired.ChecksFencing);
}

/// Unloads come first, since loads need the memory; then the change of role;
/// then loads.
std::optional<TargetOrder>
OrderReconciler::nextOrder(const TargetProgress &Target) const {
  TargetOrder Order;
  Order.Target = Target.Desired.Target;
  for (const auto &Present : Target.LastReport->Loaded) {
    if (Target.Desired.Loaded.contains(Present))
      continue;
    Order.Kind = OrderKind::Unload;
    Order.ModelWeights = Present;
    return Order;
  }
  const auto &Role = Target.Desired.Role;
  if (!Role.empty() && Role != Target.LastReport->Role) {
    Order.Kind = OrderKind::ChangeRole;
    Order.Role = Role;
    return Order;
  }
  for (const auto &Desired : Target.Desired.Loaded) {
    if (Target.LastReport->Loaded.contains(Desired))
      continue;
    Order.Kind = OrderKind::Load;
    Order.ModelWeights = Desired;
    return Order;
  }
  return std::nullopt;
}

std::uint32_t OrderReconciler::loadsInFlight() const {
  return static_cast<std::uint32_t>(
      std::count_if(m_Targets.begin(), m_Targets.end(), [](const auto &Item) {
        const auto &Order = Item.second.Order;
        return Order && Order->Kind == OrderKind::Load;
      }));
}

/// Reserves the weight store's throughput for a load. Returns false if too many
/// loads are in flight or if the store needs the time for the bytes of earlier
/// loads.
bool OrderReconciler::reserveLoad(const TargetOrder &Order, TimePoint Now) {
  if (loadsInFlight() >= m_Options.MaxConcurrentLoads ||
      Now < m_WeightStoreFreeAt)
    return false;
  const auto Bytes = static_cast<double>(Order.ModelWeights.Bytes);
  m_WeightStoreFreeAt = std::max(m_WeightStoreFreeAt, Now) +
                        fromSeconds(Bytes / m_Options.WeightBytesPerSecond);
  return true;
}

std::size_t OrderReconciler::ordersInFlight() const {
  return static_cast<std::size_t>(
      std::count_if(m_Targets.begin(), m_Targets.end(), [](const auto &Item) {
        return Item.second.Order.has_value();
      }));
}

} // namespace mangodeck
