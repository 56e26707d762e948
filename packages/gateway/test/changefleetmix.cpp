#include "changefleetmix.h"

namespace mangodeck {

namespace {

/// Writes or removes \p Count keys of 300 bytes, as when targets register.
void changeKeys(ChangeFleet &Fleet, std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I) {
    const auto Key =
        "server/" +
        std::to_string(static_cast<int>(Fleet.random().uniform() * 200));
    if (Fleet.random().uniform() < 0.3)
      Fleet.store().remove(Key);
    else
      Fleet.store().write(Key, std::string(300, 'x'));
  }
}

} // namespace

void serveOnly(ChangeFleet &Fleet, const std::vector<std::size_t> &Served,
               StoreAccess Others) {
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    Fleet[I].Access = Others;
  for (const auto Index : Served)
    Fleet[Index].Access = StoreAccess::Answers;
}

void playMix(ChangeFleet &Fleet, const std::vector<Impairment> &Kinds,
             Duration Span, bool FewServed) {
  auto &Random = Fleet.random();
  const auto Draw = [&](std::size_t Count) {
    return static_cast<std::size_t>(Random.uniform() *
                                    static_cast<double>(Count));
  };
  const auto DrawSpan = [&](double Least, double Most) {
    return fromSeconds(Least + (Most - Least) * Random.uniform());
  };
  const auto End = Fleet.time().now() + Span;
  auto NextServed = Fleet.time().now();
  auto NextVersion = NextServed;
  while (Fleet.time().now() < End) {
    const auto Now = Fleet.time().now();
    if (FewServed && Now >= NextServed) {
      std::vector<std::size_t> Served{Draw(Fleet.size())};
      if (Random.uniform() < 0.5)
        Served.push_back(Draw(Fleet.size()));
      serveOnly(Fleet, Served,
                Random.uniform() < 0.5 ? StoreAccess::Rejects
                                       : StoreAccess::IsSilent);
      NextServed = Now + DrawSpan(6, 16);
    }
    if (Now >= NextVersion) {
      Fleet.writeVersion();
      NextVersion = Now + DrawSpan(0.2, 3);
    }
    const auto Affected = 1 + Draw(std::max<std::size_t>(1, Fleet.size() / 6));
    const auto Drawn = Kinds[Draw(Kinds.size())];
    for (std::size_t I = 0; I < Affected; ++I) {
      auto &Each = Fleet[Draw(Fleet.size())];
      if (Drawn == Impairment::Restart)
        Each.restart(DrawSpan(0.1, 2));
      else if (Drawn == Impairment::Freeze)
        Each.freeze(DrawSpan(0.5, 5));
      else if (Drawn == Impairment::CutOff)
        Each.cutOff(DrawSpan(1, 5));
      else if (Drawn == Impairment::NarrowLinks)
        Fleet.narrowLinks(Each.Index, 0.3 + Random.uniform(), DrawSpan(2, 6),
                          Draw(2));
      else if (Drawn == Impairment::SilentConnections)
        Each.silenceConnections();
    }
    if (Drawn == Impairment::CutDomain)
      Fleet.cutDomain(Draw(3), DrawSpan(1, 6));
    else if (Drawn == Impairment::Loss)
      Fleet.LossShare = Random.uniform() < 0.5 ? 0 : 0.25;
    else if (Drawn == Impairment::DroppedHistory)
      Fleet.store().dropHistory();
    else if (Drawn == Impairment::KeyBurst)
      changeKeys(Fleet, 1 + Draw(60));
    Fleet.runFor(DrawSpan(0.1, 1.5));
  }
  Fleet.runFor(6s);
}

} // namespace mangodeck
