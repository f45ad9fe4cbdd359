#include "camphormux/scheduler/urgency.hpp"

#include <gtest/gtest.h>

#include "camphormux/scheduler/jobs.hpp"
#include "test/scheduler/fleet.hpp"

namespace camphormux::scheduler {
namespace {

Job LateJob(core::Millis age, double core_seconds, core::MonotonicTime now) {
  Job job;
  job.spec = MakeJob(1, "q", 1, 1, core::Millis(500));
  job.policy.objective = core::Millis(2000);
  job.remaining_path = core::Millis(500);
  job.submitted = now - age;
  job.core_seconds = core_seconds;
  job.tasks.resize(1);
  job.open_in_step = {1};
  job.open_tasks = 1;
  return job;
}

// Guards against large jobs that expire behind a stream of small ones.
TEST(UrgencyTest, AJobAboutToExpireGoesBeforeOnesThatAreOnTime) {
  const core::MonotonicTime now{core::Millis(100'000)};
  const Job expiring = LateJob(core::Millis(4500), 100.0, now);
  const Job fresh = LateJob(core::Millis(0), 1.0, now);
  const Job late = LateJob(core::Millis(2000), 1.0, now);
  const Job overdue = LateJob(core::Millis(7000), 1.0, now);
  EXPECT_EQ(UrgencyOf(expiring, now), Urgency::kExpiring);
  EXPECT_LT(RankOf(expiring, now), RankOf(fresh, now));
  EXPECT_LT(RankOf(fresh, now), RankOf(late, now));
  EXPECT_LT(RankOf(late, now), RankOf(overdue, now));
}

// Guards against refusing jobs while idle hosts of other pools can be moved.
TEST(UrgencyTest, IdleHostsOfOtherPoolsCountForAdmission) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddQueue("other", "rich");
  fleet.AddHosts("pool", 1);
  fleet.AddHosts("rich", 10);
  for (std::uint64_t i = 1; i < 30; ++i) {
    EXPECT_NE(
        fleet.Submit(MakeJob(i, "q", 4, 16, core::Millis(1000))).admission,
        Admission::kRefused);
  }
}

// Guards against a refusal without a valid retry time.
TEST(UrgencyTest, RefusalReportsARetryTime) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddHosts("pool", 1);
  AdmissionResult result;
  for (std::uint64_t i = 1; i < 100; ++i) {
    result = fleet.Submit(MakeJob(i, "q", 4, 16, core::Millis(1000)));
  }
  EXPECT_EQ(result.admission, Admission::kRefused);
  EXPECT_GE(result.retry_after, core::Millis(1000));
}

}  // namespace
}  // namespace camphormux::scheduler
