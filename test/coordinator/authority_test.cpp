#include "camphormux/coordinator/authority.hpp"

#include <gtest/gtest.h>

#include "camphormux/scheduler/hosts.hpp"

namespace camphormux::coordinator {
namespace {

constexpr core::Millis kLease{5000};

TEST(AuthorityTest, LastsUntilASuccessorMayActOnTheLeases) {
  const core::Millis wait{10'000};
  EXPECT_EQ(AuthorityLeft(core::Millis(0), wait), wait);
  EXPECT_EQ(AuthorityLeft(core::Millis(9999), wait), core::Millis(1));
  EXPECT_EQ(AuthorityLeft(core::Millis(10'000), wait), core::Millis(0));
  EXPECT_EQ(AuthorityLeft(core::Millis(60'000), wait), core::Millis(0));
}

// Guards against leases that outlast the authority on a host with a slow clock.
TEST(AuthorityTest, LimitedLeaseExpiresWithinTheAuthority) {
  for (core::Millis left{0}; left < core::Millis(12'000);
       left += core::Millis(7)) {
    const core::Millis lease = LimitLease(kLease, left);
    EXPECT_GE(lease, core::Millis(0));
    EXPECT_LE(lease, kLease);
    if (lease > core::Millis(0)) {
      EXPECT_LE(scheduler::MaxLeaseDuration(lease), left);
    }
  }
  EXPECT_EQ(LimitLease(kLease, core::Millis(12'000)), kLease);
}

}  // namespace
}  // namespace camphormux::coordinator
