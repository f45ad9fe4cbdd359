#include "camphormux/gateway/demand_meter.hpp"

#include <gtest/gtest.h>

namespace camphormux::gateway {
namespace {

// Guards against rates computed over the whole run time of the process, and
// against wrong rates for services that appear after the first sample.
TEST(DemandMeterTest, RatesAreThoseSinceThePreviousSample) {
  DemandMeter meter;
  const core::MonotonicTime start{std::chrono::hours(1)};
  EXPECT_EQ(Measure(meter, {{{"a"}, {1000, 10, 1, 2}}}, start)
                .services[{"a"}]
                .arrivals_per_s,
            0.0);
  auto later =
      Measure(meter, {{{"a"}, {1100, 14, 3, 4}}, {{"b"}, {8, 9, 0, 0}}},
              start + std::chrono::seconds(2));
  EXPECT_EQ(later.services[{"a"}], (demand::ServiceLoad{50, 2, 3, 4}));
  EXPECT_EQ(later.services[{"b"}], (demand::ServiceLoad{4, 4, 0, 0}));
}

}  // namespace
}  // namespace camphormux::gateway
