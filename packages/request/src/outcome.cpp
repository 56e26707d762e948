#include "mangodeck/request/outcome.h"

namespace mangodeck {

std::string_view toString(Run Value) {
  switch (Value) {
  case Run::No:
    return "no";
  case Run::Yes:
    return "yes";
  case Run::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::string_view toString(NotRunReason Reason) {
  switch (Reason) {
  case NotRunReason::Shed:
    return "shed";
  case NotRunReason::Expired:
    return "expired";
  case NotRunReason::Quarantined:
    return "quarantined";
  case NotRunReason::NoTarget:
    return "no-target";
  case NotRunReason::StoreUnreachable:
    return "store-unreachable";
  case NotRunReason::Draining:
    return "draining";
  case NotRunReason::RateLimited:
    return "rate-limited";
  case NotRunReason::MemoryFull:
    return "memory-full";
  case NotRunReason::CallerGone:
    return "caller-gone";
  case NotRunReason::KeyInUse:
    return "key-in-use";
  }
  return "shed";
}

int httpStatusOf(NotRunReason Reason) {
  switch (Reason) {
  case NotRunReason::RateLimited:
    return 429;
  case NotRunReason::Expired:
    return 504;
  case NotRunReason::Quarantined:
  case NotRunReason::KeyInUse:
    return 422;
  case NotRunReason::CallerGone:
    return 499;
  case NotRunReason::Shed:
  case NotRunReason::NoTarget:
  case NotRunReason::StoreUnreachable:
  case NotRunReason::Draining:
  case NotRunReason::MemoryFull:
    return 503;
  }
  return 503;
}

} // namespace mangodeck
