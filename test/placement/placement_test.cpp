#include <gtest/gtest.h>

#include "test/placement/fake_workers.hpp"

namespace camphormux::placement {
namespace {

constexpr Resources kShape{{8000}, {16000}, {0}};
constexpr Resources kLargeQuota{{800000}, {1600000}, {100}};
constexpr core::Millis kSecond{1000};

FakeWorkers MakeFake(int workers) {
  FakeWorkers fake;
  SetTeamQuota(fake, "t", kLargeQuota);
  for (int i = 0; i < workers; ++i) {
    AddWorker(fake, "w" + std::to_string(i), "p", kShape);
  }
  return fake;
}

JobSpec MakeJob(const std::string& id, const Resources& size) {
  JobSpec job;
  job.id = {id};
  job.team = {"t"};
  job.kind = "k";
  job.declared = size;
  job.pool = {"p"};
  return job;
}

// Guards against an impossible job that waits forever without a notice, or that
// blocks the jobs queued behind it.
TEST(PlacementTest, NotifiesAtOnceThatAJobCanNeverRun) {
  FakeWorkers fake = MakeFake(1);
  Submit(fake, MakeJob("big", {{9000}, {100}, {0}}));
  Submit(fake, MakeJob("quota", {{9000000}, {100}, {0}}));
  Submit(fake, MakeJob("small", {{1000}, {100}, {0}}));
  EXPECT_TRUE(
      std::holds_alternative<LargerThanAnyWorker>(fake.notices.at({"big"})));
  EXPECT_TRUE(
      std::holds_alternative<ExceedsTeamQuota>(fake.notices.at({"quota"})));
  AdvanceTime(fake, kSecond);
  ASSERT_EQ(fake.starts.size(), 1U);
  EXPECT_EQ(fake.starts[0].task.job.value, "small");
  AddWorker(fake, "large", "p", {{16000}, {16000}, {0}});
  AdvanceTime(fake, kSecond);
  EXPECT_EQ(fake.starts.back().task.job.value, "big");
}

// Guards against impossible jobs of many sizes that cause the sizes of other
// jobs of their kind to be rounded up, so that only two of three jobs fit.
TEST(PlacementTest, ImpossibleJobsDoNotRoundTheSizesOfOtherJobs) {
  FakeWorkers fake = MakeFake(1);
  for (int i = 0; i < 40; ++i) {
    Submit(fake,
           MakeJob("never" + std::to_string(i), {{9000 + i}, {100}, {0}}));
  }
  for (int i = 0; i < 3; ++i) {
    JobSpec job = MakeJob("third" + std::to_string(i), {{2666}, {100}, {0}});
    job.preemptible = true;
    Submit(fake, job);
  }
  AdvanceTime(fake, kSecond);
  EXPECT_EQ(fake.starts.size(), 3U);
}

// Guards against preemption that exceeds its time limits when a worker confirms
// only the stop.
TEST(PlacementTest, UrgentJobStartsWithinThePreemptionTimeouts) {
  FakeWorkers fake = MakeFake(1);
  JobSpec filler = MakeJob("filler", {{8000}, {16000}, {0}});
  filler.preemptible = true;
  Submit(fake, filler);
  AdvanceTime(fake, kSecond);
  BeginRun(fake, RunOf(fake, "filler"));
  JobSpec urgent = MakeJob("urgent", {{1000}, {8000}, {0}});
  urgent.priority = Priority::kUrgent;
  Submit(fake, urgent);
  const core::MonotonicTime submitted = fake.now;
  AdvanceTime(fake, kThrottleTimeout);
  AdvanceTime(fake, kCheckpointTimeout);
  EXPECT_TRUE(std::holds_alternative<WaitingForPreemption>(
      Explain(fake.state, {"urgent"})));
  EndRun(fake, RunOf(fake, "filler"), TaskOutcome::kStopped);
  ASSERT_EQ(fake.starts.back().task.job.value, "urgent");
  EXPECT_LT(fake.now - submitted + kStopTimeout + kStartBound,
            kUrgentStartBound);
}

// Guards against stopping a task where throttling is enough, and against a
// throttle that is never lifted.
TEST(PlacementTest, ThrottlesAndRestoresWhenOnlyCoresAreShort) {
  FakeWorkers fake = MakeFake(1);
  JobSpec filler = MakeJob("filler", {{8000}, {1000}, {0}});
  filler.preemptible = true;
  Submit(fake, filler);
  AdvanceTime(fake, kSecond);
  JobSpec urgent = MakeJob("urgent", {{4000}, {1000}, {0}});
  urgent.priority = Priority::kUrgent;
  Submit(fake, urgent);
  ConfirmYieldSteps(fake);
  EXPECT_EQ(fake.starts.back().task.job.value, "urgent");
  EXPECT_TRUE(std::get<Running>(Explain(fake.state, {"filler"})).throttled);
  EndRun(fake, RunOf(fake, "urgent"), TaskOutcome::kFinished);
  EXPECT_FALSE(std::get<Running>(Explain(fake.state, {"filler"})).throttled);
}

// Guards against lent quota that its owner cannot reclaim.
TEST(PlacementTest, ReclaimsLentQuotaForItsOwner) {
  FakeWorkers fake = MakeFake(2);
  SetTeamQuota(fake, "t", kShape);
  SetTeamQuota(fake, "owner", kShape);
  fake.state.settings.task_lease = 4 * fake.state.settings.reclaim_after;
  for (int i = 0; i < 2; ++i) {
    JobSpec job = MakeJob("lent" + std::to_string(i), kShape);
    job.preemptible = true;
    Submit(fake, job);
  }
  AdvanceTime(fake, kSecond);
  ASSERT_EQ(fake.starts.size(), 2U);
  JobSpec job = MakeJob("own", kShape);
  job.team = {"owner"};
  Submit(fake, job);
  AdvanceTime(fake, kSecond);
  EXPECT_EQ(fake.state.counters.throttled, 0U);
  AdvanceTime(fake, fake.state.settings.reclaim_after);
  // A pool without other changes is checked once per sweep.
  for (std::uint32_t i = 0; i < fake.state.settings.steps_per_sweep; ++i) {
    AdvanceTime(fake, core::Millis{1});
  }
  for (int i = 0; i < 3; ++i) ConfirmYieldSteps(fake);
  EXPECT_EQ(fake.starts.back().task.job.value, "own");
  AdvanceTime(fake, kSecond);
  EXPECT_EQ(fake.starts.size(), 3U);
}

// Guards against a second run of a non-repeatable job while the first may still
// run on a paused worker, and after the first is known to have begun.
TEST(PlacementTest, RunsANonRepeatableJobOnceWhenItsLeaseExpires) {
  FakeWorkers fake = MakeFake(2);
  JobSpec job = MakeJob("once", {{1000}, {100}, {0}});
  job.repeatable = false;
  Submit(fake, job);
  AdvanceTime(fake, kSecond);
  const TaskRef run = RunOf(fake, "once");
  BeginRun(fake, run);
  AdvanceTime(fake, 2 * fake.state.settings.task_lease);
  AdvanceTime(fake, kSecond);
  EXPECT_TRUE(
      std::holds_alternative<EndUnconfirmed>(Explain(fake.state, {"once"})));
  EXPECT_EQ(fake.starts.size(), 1U);
  ApplyEvent(fake, WorkerReturned{fake.starts[0].worker, true});
  EXPECT_TRUE(
      std::holds_alternative<MayNotRunTwice>(Explain(fake.state, {"once"})));
}

// Guards against quarantining workers because of a faulty job.
TEST(PlacementTest, HoldsBackAJobThatFailsOnSeveralWorkers) {
  FakeWorkers fake = MakeFake(8);
  Submit(fake, MakeJob("bad", {{1000}, {100}, {0}}));
  for (int i = 0; i < 3; ++i) {
    AdvanceTime(fake, kSecond);
    EndRun(fake, RunOf(fake, "bad"), TaskOutcome::kFailed);
  }
  EXPECT_TRUE(std::holds_alternative<HeldBack>(fake.notices.at({"bad"})));
  for (int i = 0; i < 20; ++i) {
    AdvanceTime(fake, fake.state.settings.max_back_off);
    EndRun(fake, RunOf(fake, "bad"), TaskOutcome::kFailed);
  }
  EXPECT_TRUE(std::holds_alternative<GivenUp>(Explain(fake.state, {"bad"})));
  EXPECT_EQ(fake.state.counters.quarantined, 0U);
}

// Guards against giving up jobs because of a faulty worker, and against a
// worker that stays quarantined after it is repaired.
TEST(PlacementTest, QuarantinesAWorkerOnWhichAllJobsFail) {
  FakeWorkers fake = MakeFake(8);
  for (int round = 0; round < 30; ++round) {
    Submit(fake, MakeJob("j" + std::to_string(round), {{1000}, {100}, {0}}));
    AdvanceTime(fake, kSecond);
    while (!fake.runs.empty()) {
      const OpenRun run = fake.runs.begin()->second;
      EndRun(fake, run.task,
             run.worker.value == "w3" ? TaskOutcome::kFailed
                                      : TaskOutcome::kFinished);
      AdvanceTime(fake, kSecond);
    }
  }
  EXPECT_EQ(fake.state.counters.quarantined, 1U);
  EXPECT_EQ(fake.state.counters.given_up, 0U);
  AdvanceTime(fake, fake.state.settings.initial_probe_interval);
  ASSERT_FALSE(fake.probes.empty());
  EXPECT_EQ(fake.probes[0].value, "w3");
  ApplyEvent(fake, ProbeFinished{{"w3"}, true});
  EXPECT_FALSE(fake.state.workers[3].health.quarantined);
}

// Guards against cancellations before, during and after the start that leave a
// job or its resources behind.
TEST(PlacementTest, CancelsJobsInEveryPhase) {
  FakeWorkers fake = MakeFake(1);
  Submit(fake, MakeJob("before", kShape));
  ApplyEvent(fake, JobCancelled{{"before"}});
  AdvanceTime(fake, kSecond);
  EXPECT_TRUE(fake.starts.empty());
  Submit(fake, MakeJob("during", kShape));
  AdvanceTime(fake, kSecond);
  ApplyEvent(fake, JobCancelled{{"during"}});
  Submit(fake, MakeJob("next", kShape));
  AdvanceTime(fake, kSecond);
  EXPECT_EQ(fake.starts.size(), 1U);
  EndRun(fake, RunOf(fake, "during"), TaskOutcome::kNeverBegan);
  AdvanceTime(fake, kSecond);
  EXPECT_EQ(fake.starts.back().task.job.value, "next");
  EndRun(fake, RunOf(fake, "next"), TaskOutcome::kFinished);
  ApplyEvent(fake, JobCancelled{{"next"}});
  EXPECT_TRUE(std::holds_alternative<Finished>(Explain(fake.state, {"next"})));
  EXPECT_TRUE(fake.invariant_violations.empty());
}

// Guards against reserving declared sizes although tasks use less.
TEST(PlacementTest, CorrectsSizesFromUsage) {
  FakeWorkers fake = MakeFake(1);
  for (int i = 0; i < 6; ++i) {
    JobSpec job = MakeJob("j" + std::to_string(i), {{1000}, {8000}, {0}});
    job.preemptible = true;  // Not limited by non_preemptible_share.
    Submit(fake, job);
  }
  AdvanceTime(fake, kSecond);
  EXPECT_EQ(fake.runs.size(), 2U);
  for (int i = 0; i < 3; ++i) {
    const TaskRef run = fake.runs.begin()->second.task;
    ApplyEvent(fake, UsageReported{{"w0"}, kSecond, {{run, {1000}, {2000}}}});
    EndRun(fake, run, TaskOutcome::kFinished);
    AdvanceTime(fake, kSecond);
  }
  EXPECT_EQ(fake.runs.size(), 3U);
  EXPECT_LT(fake.starts.back().limits.memory.value, 3000);
}

// Guards against a second run of a job that a worker still runs for an earlier
// zone owner, and against an older run that continues beside the adopted one.
TEST(PlacementTest, AdoptsARunningTaskInsteadOfStartingTheJob) {
  FakeWorkers fake = MakeFake(2);
  const JobSpec job = MakeJob("kept", {{1000}, {100}, {0}});
  const TaskRef newer{{"kept"}, {70}};
  const TaskRef older{{"kept"}, {60}};
  (void)Apply(fake.state, TaskAdopted{job, newer, {"w0"}, job.declared},
              fake.now);
  const Effects effects = Apply(
      fake.state, TaskAdopted{job, older, {"w1"}, job.declared}, fake.now);
  ASSERT_EQ(effects.size(), 1U);
  EXPECT_EQ(std::get<StopTask>(effects[0]).task, older);
  Submit(fake, job);
  Submit(fake, MakeJob("next", {{1000}, {100}, {0}}));
  AdvanceTime(fake, kSecond);
  ASSERT_EQ(fake.starts.size(), 1U);
  EXPECT_EQ(fake.starts[0].task.job.value, "next");
  EXPECT_GT(fake.starts[0].task.epoch.value, 70U);
  ApplyEvent(fake, TaskEnded{newer, TaskOutcome::kFinished});
  EXPECT_TRUE(std::holds_alternative<Finished>(Explain(fake.state, {"kept"})));
}

// Guards against tables that grow with every host and job ever added, and
// against resources or queues that a removed worker keeps.
TEST(PlacementTest, FreesRecordsOfRemovedWorkersAndUnusedClasses) {
  FakeWorkers fake = MakeFake(1);
  fake.state.settings.max_ended_jobs = 1;
  for (int round = 0; round < 50; ++round) {
    const std::string name = "extra" + std::to_string(round);
    AddWorker(fake, name, "p", {{20000}, {20000}, {0}});
    const Resources size{{10000 + round}, {100}, {0}};
    Submit(fake, MakeJob(name, size));
    AdvanceTime(fake, kSecond);
    ASSERT_EQ(fake.starts.back().worker.value, name);
    const TaskRef task = fake.starts.back().task;
    BeginRun(fake, task);
    ApplyEvent(fake, WorkerRemoved{{name}});
    EXPECT_TRUE(std::holds_alternative<LargerThanAnyWorker>(
        Explain(fake.state, {name})));
    ApplyEvent(fake, JobCancelled{{name}});
    fake.runs.clear();
  }
  EXPECT_LE(fake.state.workers.size(), 2U);
  EXPECT_LE(fake.state.classes.size(), 3U);
  EXPECT_LE(fake.state.classes_by_key.size(), 2U);
  EXPECT_EQ(fake.state.used_total, Resources{});
}

// Guards against a host that cannot be drained because of non-preemptible
// tasks, and against stopping the run of a non-repeatable job.
TEST(PlacementTest, DrainTimeoutStopsOnlyRepeatableJobs) {
  FakeWorkers fake = MakeFake(1);
  Submit(fake, MakeJob("again", {{1000}, {100}, {0}}));
  JobSpec once = MakeJob("once", {{1000}, {100}, {0}});
  once.repeatable = false;
  Submit(fake, once);
  AdvanceTime(fake, kSecond);
  ASSERT_EQ(fake.starts.size(), 2U);
  ApplyEvent(fake, WorkerDrained{{"w0"}});
  const Effects effects =
      Apply(fake.state, WorkerDrainTimedOut{{"w0"}}, fake.now);
  ASSERT_EQ(effects.size(), 1U);
  EXPECT_EQ(std::get<StopTask>(effects[0]).task.job.value, "again");
}

}  // namespace
}  // namespace camphormux::placement
