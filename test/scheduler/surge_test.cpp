#include <algorithm>
#include <cmath>
#include <map>
#include <string>

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

/// Simulates a surge: a job of six tasks every 20 ms for 4.5 s, about twice the
/// pool's capacity, while another pool is idle.
Served SimulateSurge(Fleet& fleet) {
  constexpr core::Millis kGap{20};
  constexpr core::Millis kSurge{4500};
  constexpr core::Millis kDrainDuration{15'000};
  Served served;
  std::map<core::JobId, core::MonotonicTime> submitted;
  std::map<core::JobId, core::MonotonicTime> done;
  const auto record_completions = [&] {
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
    record_completions();
  }
  for (const core::MonotonicTime end = fleet.now + kDrainDuration;
       fleet.now < end;) {
    fleet.Advance(kGap);
    record_completions();
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

// Guards against refusing or not serving callers although idle hosts of another
// pool can be moved.
TEST(SurgeTest, HostsFollowASurgeAndEveryCallerIsServed) {
  Fleet fleet;
  fleet.AddQueue("q", "busy");
  fleet.AddQueue("other", "idle");
  fleet.AddStandbyPool("spare");
  fleet.AddHosts("busy", 6);
  fleet.AddHosts("idle", 10);
  const Served served = SimulateSurge(fleet);
  EXPECT_EQ(served.refused, 0);
  EXPECT_EQ(served.unserved, 0);
  EXPECT_GT(served.on_time, served.late);
  EXPECT_GT(fleet.state.counters.moves, 0U);
}

// Guards against accepting jobs that cannot be served: without other hosts the
// excess is refused immediately, and accepted jobs are completed while their
// results have value.
TEST(SurgeTest, WithoutOtherHostsTheExcessIsRefusedAtOnce) {
  Fleet fleet;
  fleet.AddQueue("q", "busy");
  fleet.AddHosts("busy", 2);
  const Served served = SimulateSurge(fleet);
  EXPECT_GT(served.refused, 0);
  EXPECT_LE(served.unserved, (served.on_time + served.late) / 5);
}

// Guards against small jobs that are refused, and callers that are sent away
// for ever, in a surge on a full fleet: callers return when they are told to.
TEST(SurgeTest, CallersThatReturnAreServedAfterASurge) {
  constexpr core::Millis kGap{40};
  Fleet fleet;
  fleet.AddQueue("q", "busy");
  fleet.AddHosts("busy", 2);
  std::multimap<core::MonotonicTime, workload::JobSpec> calls;
  for (std::uint64_t i = 0; i < 100; ++i) {
    calls.emplace(fleet.now + kGap * static_cast<std::int64_t>(i),
                  i % 5 == 0 ? MakeJob(i + 1, "q", 1, 2, core::Millis(300))
                             : MakeJob(i + 1, "q", 6, 8, core::Millis(640)));
  }
  int small_refused = 0;
  std::map<core::JobId, int> refusals;
  for (int step = 0; step < 6000 && !calls.empty(); ++step) {
    while (!calls.empty() && calls.begin()->first <= fleet.now) {
      const workload::JobSpec job = calls.begin()->second;
      calls.erase(calls.begin());
      const AdmissionResult result = fleet.Submit(job);
      if (result.admission == Admission::kRefused) {
        ++refusals[job.id];
        small_refused += job.steps.front().count == 1 ? 1 : 0;
        calls.emplace(fleet.now + result.retry_after, job);
      }
    }
    fleet.Advance(core::Millis(10));
  }
  EXPECT_EQ(small_refused, 0);
  EXPECT_TRUE(calls.empty());
  EXPECT_GT(refusals.size(), 20U);
  for (const auto& [id, count] : refusals) {
    EXPECT_LE(count, 4) << id.value;
  }
}

/// Two queues that surge alternately: the load of each rises for 4.5 s to twice
/// its pool's capacity and falls again, while the other is almost idle.
class AlternatingSurges {
 public:
  explicit AlternatingSurges(Fleet& fleet) : fleet_(fleet) {}

  /// Simulates one surge of a queue.
  void Simulate(const std::string& queue) {
    constexpr core::Millis kRampDuration{4500};
    constexpr core::Millis kGap{10};
    constexpr double kPeakJobsPerSecond = 30;
    double jobs_due = 0;
    for (core::Millis at{0}; at < kRampDuration * 2; at += kGap) {
      const double load_fraction =
          1.0 - std::abs(static_cast<double>((at - kRampDuration).count())) /
                    static_cast<double>(kRampDuration.count());
      jobs_due += kPeakJobsPerSecond * load_fraction *
                  static_cast<double>(kGap.count()) / 1000.0;
      for (; jobs_due >= 1.0; jobs_due -= 1.0) {
        Submit(queue);
      }
      fleet_.Advance(kGap);
      RecordStarts();
    }
  }

  /// Advances the time until open jobs have ended.
  void Drain() {
    for (int i = 0; i < 1000; ++i) {
      fleet_.Advance(core::Millis(10));
      RecordStarts();
    }
  }

  [[nodiscard]] core::Millis LongestWait() const { return longest_wait_; }
  [[nodiscard]] std::size_t Waiting() const { return waiting_.size(); }
  [[nodiscard]] std::size_t Refused() const { return refused_; }

 private:
  void Submit(const std::string& queue) {
    // Six tasks of 4 to 6 cores for 0.64 s: 19 core seconds.
    ++number_;
    const auto job =
        MakeJob(number_, queue, 6, 4 + static_cast<std::int64_t>(number_ % 3),
                core::Millis(640));
    if (fleet_.Submit(job).admission == Admission::kRefused) {
      ++refused_;
    } else {
      waiting_[job.id] = fleet_.now;
    }
  }

  void RecordStarts() {
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      const auto state = VisibleState(fleet_.state, it->first);
      if (state != workload::JobState::kQueued) {
        longest_wait_ = std::max(longest_wait_, fleet_.now - it->second);
        it = waiting_.erase(it);
      } else {
        ++it;
      }
    }
  }

  Fleet& fleet_;
  std::uint64_t number_ = 0;
  std::size_t refused_ = 0;
  std::map<core::JobId, core::MonotonicTime> waiting_;
  core::Millis longest_wait_{0};
};

// Guards against hosts that follow a surge too late. The fleet has capacity for
// each peak, so urgent jobs must start within 3.1 s, the target at the two-year
// fleet size.
TEST(SurgeTest, UrgentWorkStartsInTimeWhenQueuesSurgeByTurns) {
  constexpr core::Millis kStartTarget{3100};
  Fleet fleet;
  fleet.AddQueue("first", "a");
  fleet.AddQueue("second", "b");
  fleet.AddStandbyPool("spare");
  fleet.AddHosts("a", 5);
  fleet.AddHosts("b", 5);
  fleet.AddHosts("spare", 4);
  AlternatingSurges surges(fleet);
  for (int round = 0; round < 2; ++round) {
    surges.Simulate("first");
    surges.Simulate("second");
  }
  surges.Drain();
  EXPECT_EQ(surges.Refused(), 0U);
  EXPECT_EQ(surges.Waiting(), 0U);
  EXPECT_LE(surges.LongestWait(), kStartTarget);
}

}  // namespace
}  // namespace camphormux::scheduler
