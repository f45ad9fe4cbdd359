#ifndef CAMPHORMUX_MEMBERSHIP_GOSSIP_HPP_
#define CAMPHORMUX_MEMBERSHIP_GOSSIP_HPP_

#include <vector>

#include "camphormux/membership/view.hpp"

namespace camphormux::membership::internal {

/// @brief Changes a member's health and records the transition.
/// @param view The view.
/// @param member One of its members.
/// @param health The new health.
/// @param gossip Whether to pass the change on.
/// @param now The time.
/// @param transitions Gets the transition.
void SetHealth(View& view, Member& member, Health health, bool gossip,
               core::MonotonicTime now, std::vector<Transition>& transitions);

}  // namespace camphormux::membership::internal

#endif  // CAMPHORMUX_MEMBERSHIP_GOSSIP_HPP_
