#include "camphormux/coordinator/authority.hpp"

#include <algorithm>

#include "camphormux/scheduler/hosts.hpp"

namespace camphormux::coordinator {

core::Millis AuthorityLeft(core::Millis since_confirmation,
                           core::Millis successor_wait) {
  return std::max(successor_wait - since_confirmation, core::Millis(0));
}

core::Millis LimitLease(core::Millis lease, core::Millis authority_left) {
  return std::clamp(scheduler::LongestLeaseWithin(authority_left),
                    core::Millis(0), lease);
}

}  // namespace camphormux::coordinator
