#include "camphormux/dispatch/driver.hpp"

#include <gtest/gtest.h>

#include "camphormux/dispatch/explain.hpp"
#include "test/dispatch/fake_zone.hpp"

namespace camphormux::dispatch {
namespace {

using jobs::EndKind;

constexpr core::Millis kSecond{1000};

class DriverTest : public testing::Test {
 protected:
  DriverTest() {
    zone_.AddHost("h1", "spare");
    zone_.AddHost("h2", "spare");
  }

  FakeZone zone_;
  FakeHolder first_{.epoch = {1}};
  FakeHolder second_{.epoch = {2}};
};

// Guards against a new holder that runs jobs again which are running or have
// just ended, and against tasks whose lease is not renewed after a takeover.
TEST_F(DriverTest, NextHolderAdoptsRunningTasks) {
  zone_.Submit("runs", false, false);
  zone_.Submit("ends", false, false);
  RunSteps(zone_, first_, 2 * kSecond);
  ASSERT_EQ(zone_.starts["runs"] + zone_.starts["ends"], 2);
  zone_.Finish("ends");
  RunSteps(zone_, second_, 30 * kSecond);
  EXPECT_EQ(zone_.JobEntryOf("ends").end, EndKind::kFinished);
  EXPECT_EQ(zone_.TaskOf("ends"), nullptr);
  ASSERT_NE(zone_.TaskOf("runs"), nullptr);
  EXPECT_GT(zone_.TaskOf("runs")->lease_end, zone_.now);
  zone_.Finish("runs");
  RunSteps(zone_, second_, 2 * kSecond);
  EXPECT_EQ(zone_.JobEntryOf("runs").end, EndKind::kFinished);
  EXPECT_EQ(zone_.starts["runs"] + zone_.starts["ends"], 2);
}

// Guards against a holder that deletes a finished task before the end of the
// job is on the log: the next holder would regard the job as lost.
TEST_F(DriverTest, EndIsOnTheLogBeforeTheTaskIsDeleted) {
  zone_.Submit("job", false, false);
  RunSteps(zone_, first_, 2 * kSecond);
  zone_.Finish("job");
  for (int step = 0; step < 10; ++step) {
    first_.reports.push_back(
        zone_.ListTasks(first_.driver.tasks.begin()->second.worker));
    DriverOutput output = Decide(zone_, first_);
    output.records.clear();  // The log does not store them.
    Execute(zone_, first_, output);
    zone_.now += kSecond;
  }
  RunSteps(zone_, second_, 2 * kSecond);
  EXPECT_EQ(zone_.JobEntryOf("job").end, EndKind::kFinished);
  EXPECT_EQ(zone_.TaskOf("job"), nullptr);
}

// Guards against a second task when the answer to a start call is lost.
TEST_F(DriverTest, RepeatsTheSameStartWhenAnAnswerIsLost) {
  zone_.Submit("job", false, false);
  while (zone_.starts["job"] == 0) {
    zone_.answers_to_lose =
        first_.driver.phase == DriverPhase::kRunning ? 1 : 0;
    RunSteps(zone_, first_, core::Millis{200});
  }
  zone_.answers_to_lose = 2;
  RunSteps(zone_, first_, 5 * kSecond);
  zone_.Finish("job");
  RunSteps(zone_, first_, 5 * kSecond);
  EXPECT_EQ(zone_.JobEntryOf("job").end, EndKind::kFinished);
  EXPECT_EQ(zone_.starts["job"], 1);
}

// Guards against a task that a paused holder starts after its successor has
// listed the tasks of the workers.
TEST_F(DriverTest, CallsOfAPausedHolderStartNothing) {
  RunSteps(zone_, first_, 2 * kSecond);
  zone_.Submit("job", false, false);
  DriverOutput held;
  while (true) {
    held = Decide(zone_, first_);
    if (!held.calls.empty()) break;
    Execute(zone_, first_, held);
  }
  ASSERT_EQ(held.calls[0].kind, TaskCallKind::kStart);
  RunSteps(zone_, second_, 5 * kSecond);
  Execute(zone_, first_, held);  // The paused holder resumes.
  RunSteps(zone_, first_, 2 * kSecond);
  RunSteps(zone_, second_, 2 * kSecond);
  EXPECT_EQ(zone_.starts["job"], 0);
  // The successor cannot tell that the start call was never sent.
  EXPECT_EQ(zone_.JobEntryOf("job").end, EndKind::kLost);
  EXPECT_EQ(first_.driver.phase, DriverPhase::kIdle);
}

// Guards against a second run of a non-repeatable job whose task lease expired
// while the holder was paused, and against waiting for its end forever.
TEST_F(DriverTest, JobWithExpiredLeaseIsNotRunTwice) {
  zone_.Submit("once", false, false);
  zone_.Submit("again", true, false);
  RunSteps(zone_, first_, 2 * kSecond);
  zone_.now += 20 * kSecond;
  RunSteps(zone_, first_, 5 * kSecond);
  EXPECT_EQ(zone_.starts["once"], 1);
  EXPECT_EQ(zone_.JobEntryOf("once").end, EndKind::kNotTwice);
  EXPECT_EQ(zone_.starts["again"], 2);
  EXPECT_FALSE(zone_.JobEntryOf("again").end);
}

// Guards against a second start when the holder resumes after a pause without a
// successor: a call that it sent before the pause may still arrive.
TEST_F(DriverTest, SameHolderAfterAPauseDoesNotStartTwice) {
  RunSteps(zone_, first_, 2 * kSecond);
  zone_.Submit("job", false, false);
  DriverOutput held;
  while (held.calls.empty()) {
    held = Decide(zone_, first_);
    if (held.calls.empty()) Execute(zone_, first_, held);
  }
  first_.holds_lease = false;
  RunSteps(zone_, first_, 5 * kSecond);
  first_.holds_lease = true;
  RunSteps(zone_, first_, 2 * kSecond);
  (void)zone_.HandleCall(held.calls[0]);  // Arrives late.
  RunSteps(zone_, first_, 5 * kSecond);
  EXPECT_LE(zone_.starts["job"], 1);
  EXPECT_EQ(zone_.JobEntryOf("job").end, EndKind::kLost);
}

// Guards against a takeover that never completes because answers take longer
// than the interval at which list requests are repeated.
TEST_F(DriverTest, TakesOverWhenThePlatformAnswersSlowly) {
  zone_.Submit("job", false, false);
  RunSteps(zone_, first_, 2 * kSecond);
  constexpr core::Millis kDelay{1400};
  std::vector<std::pair<core::MonotonicTime, HostTasks>> late;
  const core::MonotonicTime begin = zone_.now;
  while (second_.driver.phase != DriverPhase::kRunning) {
    ASSERT_LT(zone_.now - begin, kListingTimeout);
    DriverOutput output = Decide(zone_, second_);
    for (const core::HostId& host : output.list_requests) {
      late.emplace_back(zone_.now + kDelay, zone_.ListTasks(host));
    }
    output.list_requests.clear();
    Execute(zone_, second_, output);
    zone_.now += core::Millis{200};
    for (const auto& [due, list] : late) {
      if (due == zone_.now) second_.reports.push_back(list);
    }
  }
  EXPECT_EQ(second_.driver.adopted, 1U);
}

// Guards against cancelled jobs that start or continue, and against platform
// calls for cancelled jobs that never started.
TEST_F(DriverTest, MassCancellationStopsRunningJobsAndStartsNone) {
  for (int i = 0; i < 2000; ++i) {
    zone_.Submit("job" + std::to_string(i), true, true);
  }
  RunSteps(zone_, first_, 5 * kSecond);
  std::size_t running = 0;
  for (const auto& [job, count] : zone_.starts) running += count;
  ASSERT_GT(running, 0U);
  std::vector<jobs::Record> cancellations;
  cancellations.reserve(2000);
  for (int i = 0; i < 2000; ++i) {
    cancellations.emplace_back(
        jobs::Cancel{{"job" + std::to_string(i)}, {"t"}});
  }
  const std::size_t calls = zone_.calls;
  zone_.Append(cancellations);
  RunSteps(zone_, first_, 3 * kSecond);
  for (const auto& [host, tasks] : zone_.tasks) EXPECT_TRUE(tasks.empty());
  EXPECT_LE(zone_.calls - calls, 2 * running);
  EXPECT_EQ(zone_.fold.open, 0U);
  EXPECT_EQ(CountJobs(zone_.fold, first_.driver).queued, 0U);
}

// Guards against a host that is released while a task runs on it, and against
// tasks, preemptible or not, that delay a drain beyond 3.1 s.
TEST_F(DriverTest, DrainedHostIsFreeAfterItsTasksYielded) {
  zone_.state.hosts.erase({"h2"});
  zone_.Submit("yields", true, true);
  zone_.Submit("firm", true, false);
  RunSteps(zone_, first_, 2 * kSecond);
  ASSERT_EQ(zone_.starts.size(), 2U);
  zone_.state.hosts.at({"h1"}).phase = state::HostPhase::kDraining;
  const core::MonotonicTime drained = zone_.now;
  RunSteps(zone_, first_, core::Millis{200});
  EXPECT_FALSE(IsFreeOfTasks(first_.driver, {"h1"}));
  while (!IsFreeOfTasks(first_.driver, {"h1"}) &&
         zone_.now - drained < 10 * kSecond) {
    RunSteps(zone_, first_, core::Millis{200});
  }
  EXPECT_LE(zone_.now - drained, placement::kUrgentStartBound);
  EXPECT_TRUE(zone_.tasks[{"h1"}].empty());
  zone_.state.hosts.at({"h1"}).phase = state::HostPhase::kAdmitted;
  RunSteps(zone_, first_, 2 * kSecond);
  EXPECT_EQ(zone_.starts["yields"], 2);
  EXPECT_EQ(zone_.starts["firm"], 2);
}

// Guards against a job that can never run and waits without a reported reason,
// or that blocks the jobs queued behind it.
TEST_F(DriverTest, ReportsJobsThatCanNeverRun) {
  jobs::Submit large;
  large.spec.id = {"large"};
  large.spec.team = {"t"};
  large.spec.declared = {{9000}, {1000}, {0}};
  large.spec.pool = {"spare"};
  zone_.Append({large});
  zone_.Submit("small", true, true);
  RunSteps(zone_, first_, 2 * kSecond);
  EXPECT_EQ(zone_.starts["small"], 1);
  EXPECT_EQ(CountJobs(zone_.fold, first_.driver).impossible, 1U);
  const auto facts = ExplainJob(zone_.fold, first_.driver, kZone, {"large"});
  ASSERT_TRUE(facts);
  EXPECT_EQ(facts->state, "impossible");
}

// Guards against jobs that two zones run or no zone runs, and against jobs that
// stay claimed by a zone that is cut off. Only a started job that must not run
// twice stays with it.
TEST_F(DriverTest, EachJobHasOneZoneAlsoAfterAZoneIsCutOff) {
  const core::ZoneName other{"b"};
  zone_.AddHost("h3", "spare", other);
  zone_.state.leases[other] = {{"d"}, {1}, {}};
  FakeHolder theirs{.epoch = {1}, .zone = other};
  const auto both = [&](int steps) {
    for (int i = 0; i < steps; ++i) {
      const DriverOutput output = Decide(zone_, theirs);
      RunSteps(zone_, first_, core::Millis{200});
      Execute(zone_, theirs, output);
      theirs.reports.push_back(zone_.ListTasks({"h3"}));
    }
  };
  for (int i = 0; i < 20; ++i) {
    zone_.Submit("again" + std::to_string(i), true, true);
    zone_.Submit("once" + std::to_string(i), false, false);
  }
  both(30);
  EXPECT_TRUE(zone_.fold.unclaimed.empty());
  EXPECT_GT(zone_.fold.claimed[kZone].size(), 5U);
  EXPECT_GT(zone_.fold.claimed[other].size(), 5U);
  for (const auto& [job, starts] : zone_.starts) EXPECT_EQ(starts, 1) << job;
  const std::set<core::JobId> theirs_before = zone_.fold.claimed[other];
  first_.cut_off = {other};
  RunSteps(zone_, first_, kReclaimDelay + 2 * kSecond);
  for (const core::JobId& job : theirs_before) {
    const jobs::JobEntry& entry = zone_.JobEntryOf(job.value);
    EXPECT_EQ(entry.claim->zone, entry.started ? other : kZone) << job.value;
  }
}

}  // namespace
}  // namespace camphormux::dispatch
