#include "mangodeck/process/orderlease.h"

#include "generated/claim.pb.h"

#include <algorithm>
#include <optional>

namespace mangodeck {

namespace {

/// Number of attempts to renew or acquire the lease within its time to live.
constexpr int CallsPerTimeToLive = 3;

std::string encodeHolder(const OrderLeaseOptions &Options,
                         const RequestId &Nonce) {
  storewire::OrderHolder Wire;
  Wire.set_daemon(Options.Vm.Text);
  Wire.set_started(Options.Started);
  Wire.set_nonce_high(Nonce.High);
  Wire.set_nonce_low(Nonce.Low);
  return Wire.SerializeAsString();
}

} // namespace

/// State shared with the callbacks of calls in progress. A callback has no
/// clock, so the validity of the lease counts from the time its call was sent.
struct OrderLease::State : public std::enable_shared_from_this<State> {
  OrderLeaseOptions Options;
  Store &Platform;
  RandomSource &Random;
  std::string Key;
  bool Closed = false;
  bool CallInFlight = false;
  TimePoint NextCallAt;
  RequestId Nonce;
  /// Lease granted by the store, whether or not the key is held; 0 for none.
  std::int64_t Lease = 0;
  bool Held = false;
  std::uint64_t Fencing = 0;
  TimePoint ValidUntil;
  /// First tick with the key held; the wait after a take-over starts here.
  std::optional<TimePoint> HeldSince;

  State(OrderLeaseOptions GivenOptions, Store &Backend, RandomSource &Source)
      : Options(std::move(GivenOptions)), Platform(Backend), Random(Source),
        Key("order/" + Options.Domain.Text) {}

  void readKey(TimePoint SentAt);
  void requestLease(TimePoint SentAt);
  void createKey();
  void renew(TimePoint SentAt);
  void dropLease();
  void extendValidity(TimePoint SentAt, const StoreLease &Granted) {
    ValidUntil = SentAt + std::min(Options.TimeToLive, Granted.TimeToLive) -
                 Options.ExpiryMargin;
  }
  void becomeHolder(std::int64_t KeyRevision) {
    Held = true;
    Fencing = static_cast<std::uint64_t>(KeyRevision);
    HeldSince.reset();
  }
};

OrderLease::OrderLease(OrderLeaseOptions Options, Store &Platform,
                       RandomSource &Random)
    : m_State(std::make_shared<State>(std::move(Options), Platform, Random)) {}

OrderLease::~OrderLease() { m_State->Closed = true; }

void OrderLease::tick(TimePoint Now, bool IsCandidate) {
  auto &S = *m_State;
  // Step 1. Drop a lease that may have ended in the store.
  if (S.Lease != 0 && Now >= S.ValidUntil)
    S.dropLease();
  if (S.Held && !S.HeldSince)
    S.HeldSince = Now;

  // Step 2. Renew or acquire the lease, with one store call at a time.
  if (S.CallInFlight || Now < S.NextCallAt)
    return;
  S.NextCallAt = Now + S.Options.TimeToLive / CallsPerTimeToLive;
  if (S.Held)
    return S.renew(Now);
  if (S.Lease != 0)
    return S.createKey();
  if (IsCandidate)
    S.readKey(Now);
}

/// Reads the key before requesting a lease, so that a candidate costs the store
/// only one read per attempt while another daemon holds the key.
void OrderLease::State::readKey(TimePoint SentAt) {
  CallInFlight = true;
  Platform.get(Key, [Self = shared_from_this(),
                     SentAt](Expected<std::vector<StoreEntry>> Found) {
    Self->CallInFlight = false;
    if (!Self->Closed && Found && Found->empty())
      Self->requestLease(SentAt);
  });
}

void OrderLease::State::requestLease(TimePoint SentAt) {
  CallInFlight = true;
  Platform.grantLease(Options.TimeToLive, [Self = shared_from_this(), SentAt](
                                              Expected<StoreLease> Result) {
    Self->CallInFlight = false;
    if (Self->Closed || !Result)
      return;
    Self->Lease = Result->Id;
    Self->Nonce = Self->Random.nextRequestId();
    Self->extendValidity(SentAt, *Result);
    Self->createKey();
  });
}

/// Creates the key. After a lost answer the call is repeated with the same
/// nonce: if the value found has it, the first call took effect.
void OrderLease::State::createKey() {
  StoreWrite Write;
  Write.Key = Key;
  Write.Value = encodeHolder(Options, Nonce);
  Write.Lease = Lease;
  CallInFlight = true;
  Platform.compareAndSwap(
      Write, [Self = shared_from_this(), Value = Write.Value,
              UsedLease = Lease](Expected<StoreWriteResult> Result) {
        Self->CallInFlight = false;
        if (Self->Closed || !Result || UsedLease != Self->Lease)
          return;
        if (Result->Succeeded)
          return Self->becomeHolder(Result->ModRevision);
        const bool IsOwn =
            !Result->Current.empty() && Result->Current.front().Value == Value;
        if (IsOwn)
          return Self->becomeHolder(Result->Current.front().ModRevision);
        Self->dropLease();
      });
}

void OrderLease::State::renew(TimePoint SentAt) {
  CallInFlight = true;
  Platform.keepLeaseAlive(
      Lease, [Self = shared_from_this(), SentAt,
              UsedLease = Lease](Expected<StoreLease> Result) {
        Self->CallInFlight = false;
        if (Self->Closed || UsedLease != Self->Lease)
          return;
        if (Result)
          return Self->extendValidity(SentAt, *Result);
        if (Result.error() == make_error_code(Errc::NotFound))
          Self->dropLease();
      });
}

void OrderLease::State::dropLease() {
  Held = false;
  Fencing = 0;
  HeldSince.reset();
  Lease = 0;
}

bool OrderLease::holds(TimePoint Now) const {
  return m_State->Held && Now < m_State->ValidUntil;
}

bool OrderLease::maySendOrder(TimePoint Now, bool TargetChecksFencing) const {
  if (!holds(Now))
    return false;
  if (TargetChecksFencing)
    return true;
  const auto TakeOverWait =
      m_State->Options.OrderValidity + m_State->Options.ExpiryMargin;
  return m_State->HeldSince && Now >= *m_State->HeldSince + TakeOverWait;
}

std::uint64_t OrderLease::fencing() const { return m_State->Fencing; }

void OrderLease::release() {
  if (m_State->Lease == 0)
    return;
  m_State->Platform.revokeLease(m_State->Lease, [](Expected<bool>) {});
  m_State->dropLease();
}

} // namespace mangodeck
