#include "camphormux/scheduler/stale_orders.hpp"

#include <gtest/gtest.h>

#include "camphormux/scheduler/plan.hpp"
#include "camphormux/scheduler/upkeep.hpp"
#include "test/scheduler/fleet.hpp"

namespace camphormux::scheduler {
namespace {

/// Returns the first sent order of a type.
template <typename Kind>
const Kind* FirstSent(const Fleet& fleet) {
  for (const Order& order : fleet.sent) {
    if (const auto* found = std::get_if<Kind>(&order)) {
      return found;
    }
  }
  return nullptr;
}

// Guards against resources that stay reserved for a start that is never sent.
TEST(StaleOrdersTest, WithdrawnStartIsDecidedAgain) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddHosts("pool", 1);
  fleet.send_starts = false;
  (void)fleet.Submit(MakeJob(1, "q", 1, 64, core::Millis(500)));
  fleet.Step();
  const auto* first = FirstSent<StartRun>(fleet);
  ASSERT_NE(first, nullptr);
  const RunName name = first->name;
  EXPECT_TRUE(Withdraw(fleet.state, *first, fleet.now));
  EXPECT_TRUE(fleet.state.runs.empty());
  fleet.Step();
  ASSERT_EQ(fleet.state.runs.size(), 1U);
  EXPECT_GT(fleet.state.runs.begin()->second.name.attempt, name.attempt);
}

/// A fleet with a job of one task whose start waits to be stored while its host
/// restarts.
struct UnsentStart {
  UnsentStart() {
    fleet.AddQueue("q", "pool");
    fleet.AddHosts("pool", 2);
    fleet.send_starts = false;
    spec = MakeJob(1, "q", 1, 4, core::Millis(60'000));
    (void)fleet.Submit(spec);
    fleet.Step();
    order = *FirstSent<StartRun>(fleet);
    for (HostListing& listing : fleet.listings) {
      listing.incarnation.value = 2;
    }
    fleet.Publish();
    fleet.send_starts = true;
  }

  Fleet fleet;
  workload::JobSpec spec;
  StartRun order;
};

// Guards against a run that the store, and so a successor, does not know.
TEST(StaleOrdersTest, StartThatWasNotSentIsNotRepeatedAfterARestart) {
  UnsentStart test;
  test.fleet.Advance(core::Millis(5000));
  EXPECT_EQ(FirstSent<RepeatStart>(test.fleet), nullptr);
}

// Guards against a task that starts elsewhere beside its run.
TEST(StaleOrdersTest, WithdrawnStartDoesNotEndARunThatIsAtWork) {
  UnsentStart test;
  test.fleet.Advance(core::Millis(5000));
  ASSERT_EQ(test.fleet.running.size(), 1U);
  (void)Withdraw(test.fleet.state, test.order, test.fleet.now);
  // The planning pass comes before the next report of the host.
  Plan(test.fleet.state, test.fleet.now, test.fleet.wall);
  EXPECT_TRUE(test.fleet.state.orders.empty());
}

/// A fleet whose idle hosts have been ordered to a standby pool; machine orders
/// are not executed.
Fleet FleetWithMove() {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddStandbyPool("spare");
  fleet.AddHosts("pool", 4);
  fleet.execute_machine_orders = false;
  fleet.Advance(core::Millis(4000));
  return fleet;
}

TEST(StaleOrdersTest, AMachineWhoseMoveIsWithdrawnStaysInUse) {
  Fleet fleet = FleetWithMove();
  const auto* move = FirstSent<MoveMachine>(fleet);
  ASSERT_NE(move, nullptr);
  const core::HostId host = fleet.state.machines.at(move->machine).listing.host;
  EXPECT_TRUE(fleet.state.hosts.at(host).reserved);
  EXPECT_TRUE(Withdraw(fleet.state, *move, fleet.now));
  EXPECT_FALSE(fleet.state.hosts.at(host).reserved);
  EXPECT_TRUE(fleet.state.machines.at(move->machine).target.value.empty());
}

// Guards against starting runs on a machine that an unanswered earlier order
// may still take away.
TEST(StaleOrdersTest, AnOrderThatMayHaveTakenEffectIsNotWithdrawn) {
  Fleet fleet = FleetWithMove();
  const auto* move = FirstSent<MoveMachine>(fleet);
  ASSERT_NE(move, nullptr);
  OnMachineAnswer(fleet.state, move->machine, nullptr,
                  MachineOutcome::kNoAnswer, fleet.now);
  EXPECT_FALSE(Withdraw(fleet.state, *move, fleet.now));
  EXPECT_TRUE(fleet.state.machines.at(move->machine).order_pending);
}

// Guards against new runs on a machine that the first copy of an order still
// takes away after the second was refused.
TEST(StaleOrdersTest, RefusalOfARepeatedMachineOrderIsNotTheAnswerToTheFirst) {
  constexpr core::Millis kLongestDelay{12'000};
  Fleet fleet = FleetWithMove();
  const auto* move = FirstSent<MoveMachine>(fleet);
  ASSERT_NE(move, nullptr);
  const MachineId id = move->machine;
  const core::HostId host = fleet.state.machines.at(id).listing.host;
  OnMachineAnswer(fleet.state, id, nullptr, MachineOutcome::kNoAnswer,
                  fleet.now);
  for (const MachineOutcome refusal :
       {MachineOutcome::kBusy, MachineOutcome::kDeferred,
        MachineOutcome::kRejected}) {
    fleet.state.orders.clear();
    OnMachineAnswer(fleet.state, id, nullptr, refusal, fleet.now);
    EXPECT_TRUE(fleet.state.machines.at(id).order_pending);
    EXPECT_TRUE(fleet.state.hosts.at(host).reserved);
    EXPECT_EQ(fleet.state.orders.size(), 1U);
  }
  OnMachineAnswer(fleet.state, id, nullptr, MachineOutcome::kBusy,
                  fleet.now + kLongestDelay);
  EXPECT_FALSE(fleet.state.machines.at(id).order_pending);
  EXPECT_FALSE(fleet.state.hosts.at(host).reserved);
}

}  // namespace
}  // namespace camphormux::scheduler
