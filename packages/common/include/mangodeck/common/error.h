#ifndef MANGODECK_COMMON_ERROR_H
#define MANGODECK_COMMON_ERROR_H

#include <system_error>
#include <tl/expected.hpp>

namespace mangodeck {

/// Errors that this project defines. Errors of the system and of libraries keep
/// their own categories.
enum class Errc {
  InvalidInput = 1,
  NotFound,
  Conflict,
  Unavailable,
  Timeout,
  LimitExceeded,
  Closed,
  Cancelled,
  WrongAnswer,
  StaleStore,
  UnknownSchema,
  LeaseLost,
  MalformedAnswer,
};

const std::error_category &mangodeckCategory();

inline std::error_code make_error_code(Errc Code) {
  return {static_cast<int>(Code), mangodeckCategory()};
}

/// A value, or the reason why there is none.
template <typename T> using Expected = tl::expected<T, std::error_code>;

/// Shorthand for returning an error from a function returning Expected.
inline tl::unexpected<std::error_code> unexpected(std::error_code Code) {
  return tl::unexpected<std::error_code>(Code);
}

} // namespace mangodeck

template <> struct std::is_error_code_enum<mangodeck::Errc> : std::true_type {};

#endif
