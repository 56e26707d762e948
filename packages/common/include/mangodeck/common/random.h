#ifndef MANGODECK_COMMON_RANDOM_H
#define MANGODECK_COMMON_RANDOM_H

#include "mangodeck/common/ids.h"

#include <cstdint>
#include <random>

namespace mangodeck {

/// Source of random numbers, passed as an argument so that tests can seed it.
class RandomSource {
public:
  virtual ~RandomSource() = default;
  virtual std::uint64_t next() = 0;

  /// A number in [0, 1).
  double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

  /// A number in [0, Bound); \p Bound must not be 0.
  std::uint64_t below(std::uint64_t Bound) { return next() % Bound; }

  RequestId nextRequestId() { return RequestId{next(), next()}; }
};

/// A sequence that is determined by its seed.
class SeededRandom : public RandomSource {
public:
  explicit SeededRandom(std::uint64_t Seed) : m_Engine(Seed) {}
  std::uint64_t next() override { return m_Engine(); }

private:
  std::mt19937_64 m_Engine;
};

/// Numbers from the system's random device. Not thread-safe.
class DeviceRandom : public RandomSource {
public:
  std::uint64_t next() override;

private:
  std::random_device m_Device;
};

} // namespace mangodeck

#endif
