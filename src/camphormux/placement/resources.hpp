#ifndef CAMPHORMUX_PLACEMENT_RESOURCES_HPP_
#define CAMPHORMUX_PLACEMENT_RESOURCES_HPP_

#include <algorithm>

#include "camphormux/core/units.hpp"

namespace camphormux::placement {

/// @brief Amounts of each resource that a job needs or a worker has.
struct Resources {
  core::MilliCores cores;
  core::Mebibytes memory;
  core::Accelerators accelerators;

  friend bool operator==(const Resources&, const Resources&) = default;

  constexpr Resources& operator+=(const Resources& other) noexcept {
    cores += other.cores;
    memory += other.memory;
    accelerators += other.accelerators;
    return *this;
  }
  constexpr Resources& operator-=(const Resources& other) noexcept {
    cores -= other.cores;
    memory -= other.memory;
    accelerators -= other.accelerators;
    return *this;
  }
  friend constexpr Resources operator+(Resources a,
                                       const Resources& b) noexcept {
    return a += b;
  }
  friend constexpr Resources operator-(Resources a,
                                       const Resources& b) noexcept {
    return a -= b;
  }
};

/// @brief Tells whether a need fits into the available amount of every
/// resource. A resource that is not needed may be overcommitted.
/// @param need The amounts needed.
/// @param headroom The amounts available; may be negative.
/// @return True if the need fits.
[[nodiscard]] constexpr bool Fits(const Resources& need,
                                  const Resources& headroom) noexcept {
  const auto fits = [](auto part, auto whole) {
    return part.value <= 0 || part <= whole;
  };
  return fits(need.cores, headroom.cores) &&
         fits(need.memory, headroom.memory) &&
         fits(need.accelerators, headroom.accelerators);
}

/// @brief Returns the larger amount of each resource.
[[nodiscard]] constexpr Resources Largest(const Resources& a,
                                          const Resources& b) noexcept {
  return {std::max(a.cores, b.cores), std::max(a.memory, b.memory),
          std::max(a.accelerators, b.accelerators)};
}

/// @brief Returns the smaller amount of each resource.
[[nodiscard]] constexpr Resources Smallest(const Resources& a,
                                           const Resources& b) noexcept {
  return {std::min(a.cores, b.cores), std::min(a.memory, b.memory),
          std::min(a.accelerators, b.accelerators)};
}

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_PLACEMENT_RESOURCES_HPP_
