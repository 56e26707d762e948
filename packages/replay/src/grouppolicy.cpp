#include "grouppolicy.h"

#include <cassert>

namespace mangodeck {

namespace {

/// Digests are exchanged on every third tick.
constexpr std::uint64_t TicksPerDigest = 3;
constexpr std::uint64_t ReplayEpoch = 1;

} // namespace

GroupPolicy::GroupPolicy(const PolicyContext &Context) : m_Context(Context) {
  std::uint64_t Seed = Context.Seed;
  for (const auto &Owner : Context.Config->Services)
    for (std::uint32_t Slice = 0; Slice < Owner.SlicesPerDomain; ++Slice)
      for (const auto &Item : Context.Config->Targets) {
        const GroupId Id{Owner.Name, Item.Domain, Slice};
        const auto Targets = Context.Config->targetsOf(Id);
        if (m_Groups.contains(Id) || Targets.empty())
          continue;
        m_Groups[Id] = std::make_unique<CheckedGroup>(
            Id, makeDispatchGroup(Id, ReplayEpoch, ++Seed));
        for (const auto *Record : Targets)
          m_GroupOfTarget[Record->Name] = Id;
      }
  for (const auto &[Id, Item] : m_Groups)
    call(Id, [&](DispatchGroup &Group, DispatchGroup::Actions &Out) {
      Group.configure(m_Context.Config, m_Context.Loop.now(), Out);
    });
}

GroupId GroupPolicy::homeOf(const Ticket &Request) const {
  const auto Domain = m_Context.domainOf(Request.Entry);
  const auto *Owner = m_Context.Config->findService(Request.Service);
  const auto Slices = Owner ? Owner->SlicesPerDomain : 1;
  const GroupId Home{Request.Service, Domain,
                     static_cast<std::uint32_t>(Request.Id.Low % Slices)};
  if (m_Groups.contains(Home))
    return Home;
  for (const auto &[Id, Item] : m_Groups)
    if (Id.Service == Request.Service)
      return Id;
  return Home;
}

Duration GroupPolicy::delayTo(const Ticket &Request, const GroupId &Id) const {
  return m_Context.delay(m_Context.domainOf(Request.Entry), Id.Domain);
}

void GroupPolicy::callAfter(Duration Delay, const GroupId &Id, Call What) {
  m_Context.Loop.after(Delay,
                       [this, Id, What = std::move(What)] { call(Id, What); });
}

void GroupPolicy::call(const GroupId &Id, const Call &What) {
  const auto It = m_Groups.find(Id);
  assert(It != m_Groups.end() && "no such dispatch group");
  DispatchGroup::Actions Out;
  What(*It->second, Out);
  for (const auto &Action : Out)
    perform(Id, Action);
}

void GroupPolicy::perform(const GroupId &From, const GroupAction &Action) {
  if (const auto *Passed = std::get_if<SpillAction>(&Action)) {
    m_GroupOfRequest[Passed->Request.Id] = Passed->To;
    callAfter(m_Context.delay(From.Domain, Passed->To.Domain), Passed->To,
              [this, Request = Passed->Request](DispatchGroup &Group,
                                                DispatchGroup::Actions &Out) {
                Group.submit(Request, m_Context.Loop.now(), Out);
              });
    return;
  }
  if (const auto *Granted = std::get_if<GrantAction>(&Action)) {
    m_Context.Loop.after(
        m_Context.delay(From.Domain, m_Context.domainOf(Granted->Entry)),
        [this, Permit = Granted->Granted] {
          m_Context.Entries.onGrant(Permit);
        });
    return;
  }
  const auto &Refused = std::get<RefuseAction>(Action);
  m_Context.Loop.after(
      m_Context.delay(From.Domain, m_Context.domainOf(Refused.Entry)),
      [this, Refused] {
        m_Context.Entries.onRefusal(Refused.Request, Refused.Details);
      });
}

void GroupPolicy::submit(const Ticket &Request) {
  const auto Home = homeOf(Request);
  m_GroupOfRequest[Request.Id] = Home;
  callAfter(delayTo(Request, Home), Home,
            [this, Request](DispatchGroup &Group, DispatchGroup::Actions &Out) {
              Group.submit(Request, m_Context.Loop.now(), Out);
            });
}

void GroupPolicy::withdraw(const Ticket &Request) {
  const auto Id = m_GroupOfRequest.at(Request.Id);
  callAfter(delayTo(Request, Id), Id,
            [this, Request](DispatchGroup &Group, DispatchGroup::Actions &Out) {
              Group.withdraw(Request.Id, m_Context.Loop.now(), Out);
            });
}

void GroupPolicy::returnGrant(const Ticket &Request, const Grant &Granted,
                              ReturnReason Reason) {
  callAfter(delayTo(Request, Granted.Group), Granted.Group,
            [this, Id = Request.Id, Reason](DispatchGroup &Group,
                                            DispatchGroup::Actions &Out) {
              Group.returnGrant(Id, Reason, m_Context.Loop.now(), Out);
            });
}

void GroupPolicy::finish(const Ticket &Request, const Grant &Granted,
                         const FinishReport &Report) {
  m_GroupOfRequest.erase(Request.Id);
  callAfter(delayTo(Request, Granted.Group), Granted.Group,
            [this, Report](DispatchGroup &Group, DispatchGroup::Actions &Out) {
              Group.finish(Report, m_Context.Loop.now(), Out);
            });
}

void GroupPolicy::reportLoad(const LoadReport &Report) {
  call(m_GroupOfTarget.at(Report.Target),
       [&](DispatchGroup &Group, DispatchGroup::Actions &Out) {
         Group.reportLoad(Report, m_Context.Loop.now(), Out);
       });
}

void GroupPolicy::reportCache(const CacheEvent &Event) {
  call(m_GroupOfTarget.at(Event.Target),
       [&](DispatchGroup &Group, DispatchGroup::Actions &) {
         Group.reportCache(Event, m_Context.Loop.now());
       });
}

void GroupPolicy::markLeaving(const TargetName &Target, Incarnation Started) {
  call(m_GroupOfTarget.at(Target),
       [&](DispatchGroup &Group, DispatchGroup::Actions &Out) {
         Group.markLeaving(Target, Started, m_Context.Loop.now(), Out);
       });
}

void GroupPolicy::markDown(const TargetName &Target) {
  call(m_GroupOfTarget.at(Target),
       [&](DispatchGroup &Group, DispatchGroup::Actions &Out) {
         Group.markDown(Target, m_Context.Loop.now(), Out);
       });
}

void GroupPolicy::tick() {
  for (const auto &[Id, Item] : m_Groups)
    call(Id, [&](DispatchGroup &Group, DispatchGroup::Actions &Out) {
      Group.tick(m_Context.Loop.now(), Out);
    });
  if (++m_Ticks % TicksPerDigest == 0)
    exchangeDigests();
}

void GroupPolicy::exchangeDigests() {
  for (const auto &[From, Item] : m_Groups) {
    const auto Digest = Item->summary(m_Context.Loop.now());
    const auto Quarantined = Item->quarantined();
    const auto Suspects = Item->suspects(m_Context.Loop.now());
    for (const auto &[To, Other] : m_Groups) {
      if (To == From || !(To.Service == From.Service))
        continue;
      const auto Delay = m_Context.delay(From.Domain, To.Domain);
      callAfter(Delay, To,
                [this, Digest, Delay, Quarantined,
                 Suspects](DispatchGroup &Group, DispatchGroup::Actions &Out) {
                  const auto Now = m_Context.Loop.now();
                  Group.receiveSummary(Digest, Delay, Now);
                  Group.recordSuspects(Suspects, Now, Out);
                  for (const auto Fingerprint : Quarantined)
                    Group.quarantine(Fingerprint, Now, Out);
                });
    }
  }
}

std::vector<std::string> GroupPolicy::violations() const {
  std::vector<std::string> All;
  for (const auto &[Id, Item] : m_Groups)
    All.insert(All.end(), Item->violations().begin(), Item->violations().end());
  return All;
}

} // namespace mangodeck
