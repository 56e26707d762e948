#include "mangodeck/common/error.h"

#include <string>

namespace mangodeck {

namespace {

class Category : public std::error_category {
public:
  const char *name() const noexcept override { return "mangodeck"; }

  std::string message(int Code) const override {
    switch (static_cast<Errc>(Code)) {
    case Errc::InvalidInput:
      return "invalid input";
    case Errc::NotFound:
      return "not found";
    case Errc::Conflict:
      return "conflict with another change";
    case Errc::Unavailable:
      return "unavailable";
    case Errc::Timeout:
      return "timed out";
    case Errc::LimitExceeded:
      return "limit exceeded";
    case Errc::Closed:
      return "closed";
    case Errc::Cancelled:
      return "cancelled";
    case Errc::WrongAnswer:
      return "answer to another request";
    case Errc::StaleStore:
      return "store is older than the revision in force";
    case Errc::UnknownSchema:
      return "unknown schema";
    case Errc::LeaseLost:
      return "lease lost";
    case Errc::MalformedAnswer:
      return "malformed answer";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category &mangodeckCategory() {
  static const Category Instance;
  return Instance;
}

} // namespace mangodeck
