#include "mangodeck/process/orderreconciler.h"

#include <algorithm>

namespace mangodeck {

OrderReconciler::OrderReconciler(ReconcilerOptions Options,
                                 const OrderLease &Lease)
    : m_Options(Options), m_Lease(Lease) {}

/// Takes new wishes over; an order in flight stays in flight.
void OrderReconciler::configure(std::span<const DesiredTarget> Wanted) {
  std::set<TargetName> Named;
  for (const auto &Each : Wanted) {
    m_Targets[Each.Target].Wanted = Each;
    Named.insert(Each.Target);
  }
  std::erase_if(m_Targets, [&](const auto &Item) {
    return !Named.contains(Item.first) && !Item.second.Order;
  });
}

void OrderReconciler::report(const ReportedTarget &Report, TimePoint Now) {
  const auto It = m_Targets.find(Report.Target);
  if (It == m_Targets.end())
    return;
  const auto Taken = Now - Report.Age;
  if (It->second.Reported && Taken < It->second.ReportTaken)
    return;
  It->second.Reported = Report;
  It->second.ReportTaken = Taken;
}

/// An order without an answer may still be carried out until it expires: the
/// target gets no other one before.
void OrderReconciler::onEnd(const TargetName &Target, std::uint64_t Order,
                            OrderEnd End, TimePoint Now) {
  const auto It = m_Targets.find(Target);
  if (It == m_Targets.end() || !It->second.Order ||
      It->second.Order->Id != Order)
    return;
  auto &Found = It->second;
  if (End == OrderEnd::Unknown && Now < Found.OrderExpiry)
    return;
  Found.Order.reset();
  Found.LastEnd = Now;
  if (End == OrderEnd::Done) {
    Found.Backoff = Duration(0);
    return;
  }
  Found.Backoff =
      std::clamp(Found.Backoff * 2, m_Options.MinBackoff, m_Options.MaxBackoff);
  Found.NotBefore = Now + Found.Backoff;
}

void OrderReconciler::tick(TimePoint Now, std::vector<TargetOrder> &Out) {
  for (auto &[Name, Target] : m_Targets) {
    // Step 1. Orders that expired without an answer have ended.
    if (Target.Order && Now >= Target.OrderExpiry)
      onEnd(Name, Target.Order->Id, OrderEnd::Unknown, Now);

    // Step 2. The next order, if there is one and it may be given now.
    if (!isDue(Target, Now))
      continue;
    auto Next = nextOrder(Target);
    if (!Next || (Next->Kind == OrderKind::Load && !takeLoad(*Next, Now)))
      continue;
    Next->Id = ++m_LastOrder;
    Next->Fencing = m_Lease.fencing();
    Next->ValidFor = m_Options.LongestOrder;
    Target.Order = *Next;
    Target.OrderExpiry = Now + m_Options.LongestOrder;
    Out.push_back(std::move(*Next));
  }
}

bool OrderReconciler::isDue(const Progress &Target, TimePoint Now) const {
  const bool Fresh = Target.Reported && Target.ReportTaken > Target.LastEnd;
  return !Target.Order && Fresh && Now >= Target.NotBefore &&
         m_Lease.mayOrder(Now, Target.Wanted.ChecksFencing);
}

/// Unloads first, as loads need the memory; then the role; then loads.
std::optional<TargetOrder>
OrderReconciler::nextOrder(const Progress &Target) const {
  TargetOrder Order;
  Order.Target = Target.Wanted.Target;
  for (const auto &Present : Target.Reported->Loaded) {
    if (Target.Wanted.Loaded.contains(Present))
      continue;
    Order.Kind = OrderKind::Unload;
    Order.What = Present;
    return Order;
  }
  const auto &Role = Target.Wanted.Role;
  if (!Role.empty() && Role != Target.Reported->Role) {
    Order.Kind = OrderKind::ChangeRole;
    Order.Role = Role;
    return Order;
  }
  for (const auto &Wanted : Target.Wanted.Loaded) {
    if (Target.Reported->Loaded.contains(Wanted))
      continue;
    Order.Kind = OrderKind::Load;
    Order.What = Wanted;
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

/// Takes a load's share of the weight store: a load begins when the bytes of
/// those before it could have been served.
bool OrderReconciler::takeLoad(const TargetOrder &Order, TimePoint Now) {
  if (loadsInFlight() >= m_Options.MaxConcurrentLoads || Now < m_WeightsFree)
    return false;
  const auto Bytes = static_cast<double>(Order.What.Bytes);
  m_WeightsFree = std::max(m_WeightsFree, Now) +
                  fromSeconds(Bytes / m_Options.WeightBytesPerSecond);
  return true;
}

std::size_t OrderReconciler::inFlight() const {
  return static_cast<std::size_t>(
      std::count_if(m_Targets.begin(), m_Targets.end(), [](const auto &Item) {
        return Item.second.Order.has_value();
      }));
}

} // namespace mangodeck
