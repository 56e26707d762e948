#include "mangodeck/common/log.h"

#include <fmt/chrono.h>

#include <chrono>
#include <cstdio>

namespace mangodeck {

void logLine(std::string_view Event, std::string_view Fields) {
  const auto Now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto Milliseconds = Now.time_since_epoch().count() % 1000;
  const auto Line =
      fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z event={} {}\n",
                  fmt::gmtime(std::chrono::system_clock::to_time_t(Now)),
                  Milliseconds, Event, Fields);
  std::fwrite(Line.data(), 1, Line.size(), stderr);
}

} // namespace mangodeck
