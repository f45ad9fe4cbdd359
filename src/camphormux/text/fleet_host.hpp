#ifndef CAMPHORMUX_TEXT_FLEET_HOST_HPP_
#define CAMPHORMUX_TEXT_FLEET_HOST_HPP_

#include <optional>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/units.hpp"

namespace camphormux::text {

/// @brief What checks of a text need to know of a host.
struct FleetHost {
  core::HostId id;
  core::ZoneName zone;
  core::RackName rack;
  core::MilliCores cores;
  core::Mebibytes memory;
  core::Accelerators accelerators;
  std::optional<core::PoolName> pool;  ///< Pool at present.
};

}  // namespace camphormux::text

#endif  // CAMPHORMUX_TEXT_FLEET_HOST_HPP_
