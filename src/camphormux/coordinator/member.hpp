#ifndef CAMPHORMUX_COORDINATOR_MEMBER_HPP_
#define CAMPHORMUX_COORDINATOR_MEMBER_HPP_

#include "camphormux/core/ids.hpp"
#include "camphormux/core/units.hpp"

namespace camphormux::coordinator {

/// @brief A node as it announces itself to the others.
struct Member {
  core::Address address;  ///< Of its peer server.
  core::ZoneName zone;
  core::MilliCores processor;  ///< Its share of a core.

  friend bool operator==(const Member&, const Member&) = default;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_MEMBER_HPP_
