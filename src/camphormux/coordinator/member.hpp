#ifndef CAMPHORMUX_COORDINATOR_MEMBER_HPP_
#define CAMPHORMUX_COORDINATOR_MEMBER_HPP_

#include "camphormux/core/ids.hpp"
#include "camphormux/core/units.hpp"

namespace camphormux::coordinator {

/// @brief A node as it announces itself to the other nodes.
struct Member {
  core::Address address;  ///< Address of its peer server.
  core::ZoneName zone;
  core::MilliCores processor;  ///< Processor share of the node.

  friend bool operator==(const Member&, const Member&) = default;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_MEMBER_HPP_
