#include "camphormux/scheduler/hosts.hpp"

#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "camphormux/scheduler/jobs.hpp"
#include "camphormux/scheduler/runs.hpp"
#include "test/scheduler/fleet.hpp"

namespace camphormux::scheduler {
namespace {

Fleet SmallFleet() {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddHosts("pool", 2);
  return fleet;
}

// Guards against keeping runs of a host that has restarted and lost them.
TEST(HostsTest, NewIncarnationOfAHostEndsItsRuns) {
  Fleet fleet = SmallFleet();
  (void)fleet.Submit(MakeJob(1, "q", 1, 4, core::Millis(5000)));
  fleet.Advance(core::Millis(20));
  ASSERT_EQ(fleet.state.runs.size(), 1U);
  for (HostListing& listing : fleet.listings) {
    listing.incarnation.value = 2;
  }
  ApplyListings(fleet.state, fleet.listings, fleet.now, fleet.now);
  EXPECT_TRUE(fleet.state.runs.empty());
}

// Guards against abandoning work because the list of hosts was unavailable.
TEST(HostsTest, MissingHostIsKeptUntilTheListIsTrusted) {
  Fleet fleet = SmallFleet();
  ApplyListings(fleet.state, {}, fleet.now, fleet.now + core::Millis(2500));
  CheckHosts(fleet.state, fleet.now + core::Millis(2000));
  EXPECT_EQ(fleet.state.hosts.size(), 2U);
  ApplyListings(fleet.state, fleet.listings, fleet.now, fleet.now);
  CheckHosts(fleet.state, fleet.now + core::Millis(3000));
  EXPECT_EQ(fleet.state.hosts.size(), 2U);
  ApplyListings(fleet.state, {}, fleet.now, fleet.now);
  CheckHosts(fleet.state, fleet.now + core::Millis(3000));
  EXPECT_TRUE(fleet.state.hosts.empty());
}

// Guards against a faulty host that attracts all tasks: it fails each one
// quickly, so it always has free resources.
TEST(HostsTest, AHostThatFailsSeveralJobsIsQuarantined) {
  Fleet fleet = SmallFleet();
  Host& host = fleet.state.hosts.begin()->second;
  RecordFailure(fleet.state, host, {"a"}, fleet.now);
  RecordFailure(fleet.state, host, {"a"}, fleet.now);
  RecordFailure(fleet.state, host, {"b"}, fleet.now);
  EXPECT_TRUE(IsUsable(host, fleet.now));
  RecordFailure(fleet.state, host, {"c"}, fleet.now);
  EXPECT_FALSE(IsUsable(host, fleet.now));
  EXPECT_TRUE(IsUsable(host, fleet.now + core::Millis(3001)));
}

// Guards against starting tasks on a host that is about to leave.
TEST(HostsTest, ADrainingHostGetsNoRuns) {
  Fleet fleet = SmallFleet();
  for (HostListing& listing : fleet.listings) {
    listing.draining = true;
  }
  fleet.Publish();
  (void)fleet.Submit(MakeJob(1, "q", 1, 4, core::Millis(100)));
  fleet.Advance(core::Millis(100));
  EXPECT_TRUE(fleet.running.empty());
}

// Guards against counting a moved machine as an idle host of its old pool while
// the list still contains its previous incarnation.
TEST(HostsTest, EndedIncarnationIsNotAddedAgainWhileListed) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddHosts("pool", 2);
  const HostListing listing = fleet.listings[0];
  RemoveHost(fleet.state, listing.id, EndEvidence::kMachineOrdered);
  ApplyListings(fleet.state, fleet.listings, fleet.now, fleet.now);
  EXPECT_FALSE(fleet.state.hosts.contains(listing.id));
  // Another incarnation under the same id is a new host.
  fleet.listings[0].incarnation.value = 2;
  ApplyListings(fleet.state, fleet.listings, fleet.now, fleet.now);
  EXPECT_TRUE(fleet.state.hosts.contains(listing.id));
  // The entry is removed some time after the list stopped naming the host, and
  // not before: a late record can bring the ended incarnation back.
  std::erase_if(fleet.listings, [&](const HostListing& other) {
    return other.id == listing.id;
  });
  ApplyListings(fleet.state, fleet.listings, fleet.now, fleet.now);
  EXPECT_FALSE(fleet.state.ended_incarnations.empty());
  fleet.now += core::Millis(60'000);
  ApplyListings(fleet.state, fleet.listings, fleet.now, fleet.now);
  EXPECT_TRUE(fleet.state.ended_incarnations.empty());
}

// Guards against a task that runs twice: a host that is listed late can still
// run it under a lease of the previous holder, whose calls reach it until it
// has reported to the new one.
TEST(HostsTest, HostListedAfterATakeoverIsWaitedForALeaseFromItsReport) {
  Fleet fleet = SmallFleet();
  fleet.state.took_over = fleet.now;
  fleet.now += core::Millis(500);
  fleet.AddHosts("pool", 1);
  const core::HostId late = fleet.listings.back().id;
  EXPECT_EQ(fleet.state.hosts.at(late).lease_end,
            fleet.now + MaxLeaseDuration(fleet.state.settings.longest_lease));
}

// Guards against the same for a host that has not reported.
TEST(HostsTest, SilentHostListedAfterATakeoverIsWaitedForAsLongAsTheOthers) {
  Fleet fleet = SmallFleet();
  fleet.state.took_over = fleet.now;
  fleet.now += core::Millis(500);
  HostListing listing = fleet.listings[0];
  listing.id.value = "i-late";
  ApplyListings(fleet.state, {listing}, fleet.now, fleet.now);
  EXPECT_EQ(fleet.state.hosts.at(listing.id).lease_end,
            fleet.state.took_over + TakeoverWait(fleet.state.settings));
}

// Guards against a host that is removed and listed again: calls to its earlier
// incarnation may still be on their way.
TEST(HostsTest, HostThatIsListedAgainNeedsAHigherToken) {
  Fleet fleet = SmallFleet();
  const core::HostId id = fleet.listings[0].id;
  ApplyListings(fleet.state, {}, fleet.now, fleet.now);
  CheckHosts(fleet.state, fleet.now + core::Millis(3000));
  ASSERT_TRUE(fleet.state.hosts.empty());
  ApplyListings(fleet.state, fleet.listings, fleet.now, fleet.now);
  EXPECT_TRUE(fleet.state.hosts.at(id).needs_token);
  EXPECT_FALSE(IsUsable(fleet.state.hosts.at(id), fleet.now));
}

// Guards against two runs at once: a renewal for an incarnation whose host was
// removed can give the next one a lease until its first report.
TEST(HostsTest, NextIncarnationOfARemovedHostIsWaitedForTheLongestLease) {
  Fleet fleet = SmallFleet();
  const core::HostId id = fleet.listings[0].id;
  ApplyListings(fleet.state, {}, fleet.now, fleet.now);
  fleet.now += core::Millis(3000);
  CheckHosts(fleet.state, fleet.now);
  ASSERT_TRUE(fleet.state.hosts.empty());
  fleet.listings[0].incarnation.value = 2;
  ApplyListings(fleet.state, fleet.listings, fleet.now, fleet.now);
  RaiseToken(fleet.state, core::Next(fleet.state.token));
  fleet.Report(id);
  ASSERT_TRUE(fleet.state.hosts.at(id).synced);
  EXPECT_GE(fleet.state.hosts.at(id).lease_end,
            fleet.now + MaxLeaseDuration(fleet.state.settings.longest_lease));
}

/// A fleet with a job of one task that a host has accepted but not listed yet.
struct AcceptedStart {
  AcceptedStart() : fleet(SmallFleet()) {
    (void)fleet.Submit(MakeJob(1, "q", 1, 4, core::Millis(60'000)));
    fleet.Step();
    name = fleet.running.at(0).name;
    host = fleet.running.at(0).host;
  }

  void List(std::uint64_t incarnation) {
    for (HostListing& listing : fleet.listings) {
      if (listing.id == host) {
        listing.incarnation.value = incarnation;
      }
    }
    ApplyListings(fleet.state, fleet.listings, fleet.now, fleet.now);
  }

  [[nodiscard]] std::size_t Starts() const {
    return fleet.CountStarts(name.job.value);
  }

  Fleet fleet;
  RunName name;
  core::HostId host;
};

// Guards against a task that runs twice: a host that restarts keeps its id, and
// its next incarnation can accept a start that was meant for the last one.
TEST(HostsTest, StartThatTheNextIncarnationAcceptedIsNotRepeatedElsewhere) {
  AcceptedStart test;
  test.List(2);
  // The planning pass comes before the first report.
  test.fleet.unresponsive.insert(test.host);
  test.fleet.Advance(core::Millis(20));
  test.fleet.unresponsive.clear();
  test.fleet.Advance(core::Millis(1000));
  EXPECT_EQ(test.Starts(), 1U);
  ASSERT_EQ(test.fleet.state.runs.size(), 1U);
  EXPECT_EQ(test.fleet.state.runs.begin()->second.phase, RunPhase::kRunning);
}

// Guards against a start that takes effect on the next incarnation after the
// task was started elsewhere: only a report to a call with a higher token shows
// that it cannot.
TEST(HostsTest,
     StartMissingFromTheNextIncarnationEndsWithAReportToAHigherToken) {
  AcceptedStart test;
  test.fleet.running.clear();
  test.fleet.execute_starts = false;
  test.List(2);
  const Host& host = test.fleet.state.hosts.at(test.host);
  HostReport report;
  report.host = test.host;
  report.incarnation = {2};
  report.token = host.token;
  report.asked = test.fleet.now + core::Millis(10);
  OnReport(test.fleet.state, report, report.asked, test.fleet.wall);
  EXPECT_EQ(test.fleet.state.runs.size(), 1U);
  EXPECT_FALSE(host.synced);
  RaiseToken(test.fleet.state, core::Next(test.fleet.state.token));
  OnReport(test.fleet.state, report, report.asked, test.fleet.wall);
  EXPECT_EQ(test.fleet.state.runs.size(), 1U);
  report.token = host.token;
  report.is_partial = true;
  OnReport(test.fleet.state, report, report.asked, test.fleet.wall);
  EXPECT_EQ(test.fleet.state.runs.size(), 1U);
  report.is_partial = false;
  OnReport(test.fleet.state, report, report.asked, test.fleet.wall);
  EXPECT_TRUE(test.fleet.state.runs.empty());
  test.fleet.Advance(core::Millis(50));
  EXPECT_EQ(test.Starts(), 2U);
}

// Guards against a start on a host without the label or room that its task
// needs: the next incarnation can be of another kind.
TEST(HostsTest, StartIsNotRepeatedOnTheNextIncarnation) {
  AcceptedStart test;
  test.fleet.running.clear();
  test.fleet.execute_starts = false;
  test.List(2);
  test.fleet.Advance(core::Millis(5000));
  for (const Order& order : test.fleet.sent) {
    EXPECT_EQ(std::get_if<RepeatStart>(&order), nullptr);
  }
}

// Guards against a second run while the next incarnation cannot be reached: the
// lease of a start on another clock can last as long as the host allows, from
// the latest time at which the start can arrive.
TEST(HostsTest, UnreachableNextIncarnationIsWaitedForTheLongestLease) {
  AcceptedStart test;
  const core::MonotonicTime replaced = test.fleet.now;
  test.List(2);
  Host& host = test.fleet.state.hosts.at(test.host);
  test.fleet.unresponsive.insert(test.host);
  MarkUnresponsive(host, test.fleet.now);
  const core::Millis longest = kMaxCallDuration + kMaxCallDelay +
                               test.fleet.state.settings.longest_lease;
  test.fleet.Advance(longest);
  EXPECT_EQ(test.Starts(), 1U);
  test.fleet.Advance(core::Millis(400));
  EXPECT_EQ(test.Starts(), 2U);
  EXPECT_GT(test.fleet.now, replaced + longest);
}

// Guards against the same where an entry of the next incarnation is taken for
// one that shows that its leases are over: no deadline on its clock is known.
TEST(HostsTest, EntryOfTheNextIncarnationDoesNotEndAStartInDoubt) {
  AcceptedStart test;
  test.List(2);
  test.fleet.unresponsive.insert(test.host);
  MarkUnresponsive(test.fleet.state.hosts.at(test.host), test.fleet.now);
  OnHeartbeat(test.fleet.state, {test.host, {2}, 5000}, test.fleet.now);
  test.fleet.Advance(kMaxCallDuration + kMaxCallDelay +
                     test.fleet.state.settings.longest_lease);
  EXPECT_EQ(test.Starts(), 1U);
}

// Guards against two runs at once: such an entry does not show that the host's
// incarnation outlived the lease.
TEST(HostsTest, EntryReadBeforeTheLastGrantDoesNotSettleAStart) {
  AcceptedStart test;
  Fleet& fleet = test.fleet;
  Host& host = fleet.state.hosts.at(test.host);
  OnStartAnswer(fleet.state, host.runs.at(0), StartOutcome::kNoAnswer,
                fleet.now);
  fleet.unresponsive.insert(test.host);
  host.deadline_ms = 1000;
  const Heartbeat heartbeat{test.host, host.listing.incarnation, 5000};
  OnHeartbeat(fleet.state, heartbeat, fleet.now);
  host.last_grant = fleet.now;
  host.lease_end = fleet.now;
  fleet.Advance(core::Millis(1000));
  EXPECT_EQ(test.Starts(), 1U);
  OnHeartbeat(fleet.state, heartbeat, fleet.now);
  fleet.Advance(core::Millis(100));
  EXPECT_EQ(test.Starts(), 2U);
}

// Guards against a task that runs twice after a takeover: the stored run names
// the incarnation that the previous holder knew.
TEST(HostsTest, StoredRunOfAnEarlierIncarnationIsNotRepeatedElsewhere) {
  Fleet fleet = SmallFleet();
  for (HostListing& listing : fleet.listings) {
    listing.incarnation.value = 2;
  }
  fleet.Publish();
  const auto spec = MakeJob(1, "q", 1, 4, core::Millis(1000));
  workload::Progress stored;
  stored.state = workload::JobState::kRunning;
  stored.accepted = fleet.wall;
  stored.tasks.resize(1);
  stored.tasks[0].runs = {{fleet.listings[0].id, {1}, 1}};
  stored.tasks[0].next_attempt = 2;
  fleet.running.push_back(
      {{spec.id, {}, 1}, fleet.listings[0].id, fleet.now + core::Millis(300)});
  LoadJob(fleet.state, spec.id, workload::StoredJob{spec, {}}, stored,
          fleet.now, fleet.wall);
  // The planning pass comes before the first report.
  fleet.unresponsive.insert(fleet.listings[0].id);
  fleet.Advance(core::Millis(20));
  fleet.unresponsive.clear();
  fleet.Advance(core::Millis(400));
  EXPECT_EQ(fleet.CountStarts(spec.id.value), 0U);
  EXPECT_EQ(VisibleState(fleet.state, spec.id), workload::JobState::kSucceeded);
}

// Guards against the same where the next incarnation cannot be reached: a start
// that the previous holder sent may arrive after the takeover.
TEST(HostsTest, StoredRunOnASilentNextIncarnationIsWaitedForAsAfterARestart) {
  Fleet fleet = SmallFleet();
  fleet.state.took_over = fleet.now;
  const core::HostId id = fleet.listings[0].id;
  fleet.listings[0].incarnation.value = 2;
  fleet.unresponsive.insert(id);
  fleet.state.hosts.clear();
  fleet.Publish();
  MarkUnresponsive(fleet.state.hosts.at(id), fleet.now);
  const auto spec = MakeJob(1, "q", 1, 4, core::Millis(1000));
  workload::Progress stored;
  stored.state = workload::JobState::kRunning;
  stored.accepted = fleet.wall;
  stored.tasks.resize(1);
  stored.tasks[0].runs = {{id, {1}, 1}};
  stored.tasks[0].next_attempt = 2;
  LoadJob(fleet.state, spec.id, workload::StoredJob{spec, {}}, stored,
          fleet.now, fleet.wall);
  const core::Millis longest =
      kMaxCallDuration + kMaxCallDelay + fleet.state.settings.longest_lease;
  fleet.Advance(longest);
  EXPECT_EQ(fleet.CountStarts(spec.id.value), 0U);
  fleet.Advance(core::Millis(400));
  EXPECT_EQ(fleet.CountStarts(spec.id.value), 1U);
}

// Guards against runs that are dropped because a record of the host's last
// incarnation reaches the list late.
TEST(HostsTest, LateRecordOfAnEndedIncarnationIsIgnored) {
  AcceptedStart test;
  test.List(2);
  test.fleet.Advance(core::Millis(50));
  std::vector<HostListing> others = test.fleet.listings;
  std::erase_if(others, [&](const HostListing& listing) {
    return listing.id == test.host;
  });
  ApplyListings(test.fleet.state, others, test.fleet.now,
                test.fleet.now + core::Millis(2500));
  test.List(1);
  EXPECT_EQ(test.fleet.state.hosts.at(test.host).listing.incarnation.value, 2U);
  EXPECT_EQ(test.fleet.state.runs.size(), 1U);
}

// Guards against the same after a takeover: the new holder does not know which
// incarnations have ended.
TEST(HostsTest, RecordOfAnEarlierIncarnationIsIgnoredByALaterHolder) {
  AcceptedStart test;
  test.List(2);
  test.fleet.Advance(core::Millis(50));
  test.fleet.state.ended_incarnations.clear();
  test.List(1);
  test.fleet.Advance(core::Millis(50));
  EXPECT_EQ(test.fleet.state.hosts.at(test.host).listing.incarnation.value, 2U);
  EXPECT_EQ(test.Starts(), 1U);
}

// Guards against a host that is never used again: a stored run or a late record
// made the living incarnation seem ended.
TEST(HostsTest, IncarnationThatReportsIsUsableOnceItIsListed) {
  Fleet fleet = SmallFleet();
  const core::HostId id = fleet.listings[0].id;
  Host& host = fleet.state.hosts.at(id);
  ReplaceIncarnation(fleet.state, host, {2}, fleet.now);
  ReplaceIncarnation(fleet.state, host, {1}, fleet.now);
  fleet.Publish();
  EXPECT_TRUE(IsUsable(fleet.state.hosts.at(id), fleet.now));
}

// Guards against a run that counts as gone because the next incarnation has
// confirmed the stop that was meant for the previous one.
TEST(HostsTest, StopConfirmedByTheNextIncarnationIsNotUsedForIt) {
  Fleet fleet = SmallFleet();
  fleet.execute_starts = false;
  (void)fleet.Submit(MakeJob(1, "q", 1, 4, core::Millis(5000)));
  fleet.Advance(core::Millis(20));
  ASSERT_EQ(fleet.state.runs.size(), 1U);
  scheduler::Run& run = fleet.state.runs.begin()->second;
  OnStartAnswer(fleet.state, run.id, StartOutcome::kNoAnswer, fleet.now);
  RequestStop(fleet.state, run);
  // The answer does not name its incarnation.
  OnStopConfirmed(fleet.state, run.host, {1}, run.name, fleet.now);
  ASSERT_TRUE(run.stop_confirmed);
  for (HostListing& listing : fleet.listings) {
    listing.incarnation.value = 2;
  }
  ApplyListings(fleet.state, fleet.listings, fleet.now, fleet.now);
  ASSERT_EQ(fleet.state.runs.size(), 1U);
  EXPECT_FALSE(fleet.state.runs.begin()->second.stop_confirmed);
  // A late answer of the previous incarnation.
  OnStopConfirmed(fleet.state, fleet.state.runs.begin()->second.host, {1},
                  fleet.state.runs.begin()->second.name, fleet.now);
  EXPECT_FALSE(fleet.state.runs.begin()->second.stop_confirmed);
}

}  // namespace
}  // namespace camphormux::scheduler
