#ifndef CAMPHORMUX_CORE_UNITS_HPP_
#define CAMPHORMUX_CORE_UNITS_HPP_

#include <compare>
#include <cstdint>
#include <string>

namespace camphormux::core {

/// @brief An amount of one unit; supports addition, subtraction and comparison.
/// @tparam Tag The unit.
template <typename Tag>
struct Quantity {
  std::int64_t value = 0;

  friend constexpr auto operator<=>(const Quantity&, const Quantity&) = default;

  constexpr Quantity& operator+=(Quantity other) noexcept {
    value += other.value;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity other) noexcept {
    value -= other.value;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity a, Quantity b) noexcept {
    return Quantity{a.value + b.value};
  }
  friend constexpr Quantity operator-(Quantity a, Quantity b) noexcept {
    return Quantity{a.value - b.value};
  }
};

/// Thousandths of a processor core.
using MilliCores = Quantity<struct MilliCoresTag>;
/// Memory in units of 2^20 bytes.
using Mebibytes = Quantity<struct MebibytesTag>;
/// Number of accelerator devices.
using Accelerators = Quantity<struct AcceleratorsTag>;
/// Size in bytes.
using Bytes = Quantity<struct BytesTag>;

/// @brief An IPv4 or IPv6 address and a TCP port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  friend auto operator<=>(const Address&, const Address&) = default;
};

}  // namespace camphormux::core

#endif  // CAMPHORMUX_CORE_UNITS_HPP_
