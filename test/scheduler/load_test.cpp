#include "camphormux/scheduler/load.hpp"

#include <gtest/gtest.h>

#include "camphormux/scheduler/jobs.hpp"
#include "test/scheduler/fleet.hpp"

namespace camphormux::scheduler {
namespace {

constexpr core::Millis kRun{1000};
constexpr int kTasks = 4;
constexpr std::int64_t kCores = 32;

/// A host with capacity for two tasks, and a job of four tasks of one second
/// each.
Fleet FleetWithJob(double stretch) {
  Fleet fleet;
  fleet.AddQueue("q", "pool", stretch);
  fleet.AddHosts("pool", 1);
  EXPECT_EQ(fleet.Submit(MakeJob(1, "q", kTasks, kCores, kRun)).admission,
            Admission::kStoring);
  return fleet;
}

// Guards against logs that do not show whether hosts worked on jobs that could
// still be in time during a surge.
TEST(LoadTest, CountsWorkInTimeAndLateWorkSeparately) {
  Fleet in_time = FleetWithJob(3.0);
  in_time.Advance(core::Millis(3000));
  PoolWork& good = in_time.state.work[{"pool"}];
  EXPECT_EQ(good.started_in_time, 4U);
  EXPECT_EQ(good.started_late, 0U);
  EXPECT_DOUBLE_EQ(good.done_in_time, kTasks * kCores);
  EXPECT_DOUBLE_EQ(good.done_late, 0.0);

  Fleet late = FleetWithJob(1.0);
  late.Advance(core::Millis(3000));
  PoolWork& bad = late.state.work[{"pool"}];
  EXPECT_EQ(bad.started_in_time, 2U);
  EXPECT_EQ(bad.started_late, 2U);
  EXPECT_DOUBLE_EQ(bad.done_in_time, 0.0);
  EXPECT_DOUBLE_EQ(bad.done_late, kTasks * kCores);
}

}  // namespace
}  // namespace camphormux::scheduler
