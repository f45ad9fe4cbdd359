#include <gtest/gtest.h>

#include "camphormux/scheduler/jobs.hpp"
#include "test/scheduler/fleet.hpp"

namespace camphormux::scheduler {
namespace {

struct Served {
  int on_time = 0;
  int late = 0;
  int unserved = 0;
  int refused = 0;
};

/// Plays a surge: for 4.5 s a job of six tasks each 20 ms, about twice what
/// the pool holds, while another pool is idle.
Served PlaySurge(Fleet& fleet) {
  constexpr core::Millis kGap{20};
  constexpr core::Millis kSurge{4500};
  constexpr core::Millis kAfter{15'000};
  Served served;
  std::map<core::JobId, core::MonotonicTime> submitted;
  std::map<core::JobId, core::MonotonicTime> done;
  const auto look = [&] {
    for (const auto& [id, at] : submitted) {
      if (!done.contains(id) &&
          VisibleState(fleet.state, id) == workload::JobState::kSucceeded) {
        done[id] = fleet.now;
      }
    }
  };
  std::uint64_t number = 0;
  for (const core::MonotonicTime end = fleet.now + kSurge; fleet.now < end;) {
    ++number;
    const auto job =
        MakeJob(number, "q", 6, 3 + static_cast<std::int64_t>(number % 3),
                core::Millis(640));
    if (fleet.Submit(job).admission == Admission::kRefused) {
      ++served.refused;
    } else {
      submitted[job.id] = fleet.now;
    }
    fleet.Advance(kGap);
    look();
  }
  for (const core::MonotonicTime end = fleet.now + kAfter; fleet.now < end;) {
    fleet.Advance(kGap);
    look();
  }
  const core::Millis objective(640 * 2 + 600);
  for (const auto& [id, at] : submitted) {
    if (!done.contains(id) || done[id] > at + objective * 3) {
      ++served.unserved;
    } else if (done[id] <= at + objective) {
      ++served.on_time;
    } else {
      ++served.late;
    }
  }
  return served;
}

// Guards against callers that are refused or left without an answer although
// idle hosts of another pool can follow the load.
TEST(SurgeTest, HostsFollowASurgeAndEveryCallerIsServed) {
  Fleet fleet;
  fleet.AddQueue("q", "busy");
  fleet.AddQueue("other", "idle");
  fleet.AddStandbyPool("spare");
  fleet.AddHosts("busy", 6);
  fleet.AddHosts("idle", 10);
  const Served served = PlaySurge(fleet);
  EXPECT_EQ(served.refused, 0);
  EXPECT_EQ(served.unserved, 0);
  EXPECT_GT(served.on_time, served.late);
  EXPECT_GT(fleet.state.counters.moves, 0U);
}

// Guards against accepting what cannot be served: without other hosts the
// excess is refused at once, and what was accepted is served in useful time.
TEST(SurgeTest, WithoutOtherHostsTheExcessIsRefusedAtOnce) {
  Fleet fleet;
  fleet.AddQueue("q", "busy");
  fleet.AddHosts("busy", 2);
  const Served served = PlaySurge(fleet);
  EXPECT_GT(served.refused, 0);
  EXPECT_LE(served.unserved, (served.on_time + served.late) / 5);
}

}  // namespace
}  // namespace camphormux::scheduler
