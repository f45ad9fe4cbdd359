#include "camphormux/scheduler/stale_orders.hpp"

#include <set>
#include <string>
#include <variant>
#include <vector>

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

/// @return Moves among the orders that are to be sent.
std::vector<MoveMachine> OpenMoves(const Fleet& fleet) {
  std::vector<MoveMachine> moves;
  for (const Order& order : fleet.state.orders) {
    if (const auto* move = std::get_if<MoveMachine>(&order)) {
      moves.push_back(*move);
    }
  }
  return moves;
}

// Guards against tasks that a repeated order ends: it was given for an empty
// host, and the machine has another host with a run since.
TEST(StaleOrdersTest, MachineOrderIsNotRepeatedOnTheNextHostOfItsMachine) {
  Fleet fleet = FleetWithMove();
  const auto* first = FirstSent<MoveMachine>(fleet);
  ASSERT_NE(first, nullptr);
  const MoveMachine move = *first;
  OnMachineAnswer(fleet.state, move.machine, nullptr, MachineOutcome::kNoAnswer,
                  fleet.now);
  fleet.state.orders.clear();
  // The order was not carried out. The host crashes, and the next one follows.
  const core::HostId ordered =
      fleet.state.machines.at(move.machine).ordered_host;
  const core::HostId next{"i-next"};
  for (HostListing& listing : fleet.listings) {
    listing.id = listing.id == ordered ? next : listing.id;
  }
  for (MachineListing& machine : fleet.machines) {
    machine.host = machine.host == ordered ? next : machine.host;
  }
  fleet.now += core::Millis(2000);
  fleet.Publish();
  (void)fleet.Submit(MakeJob(1, "q", 4, 64, core::Millis(60'000)));
  fleet.Advance(core::Millis(50));
  ASSERT_EQ(fleet.state.hosts.at(next).runs.size(), 1U);
  OnMachineAnswer(fleet.state, move.machine, nullptr, MachineOutcome::kNoAnswer,
                  fleet.now);
  EXPECT_TRUE(OpenMoves(fleet).empty());
}

/// Repeats a move without an answer at an interval.
/// @return The pools that the repetitions name; none if there is no move.
std::set<std::string> PoolsOfRepeatedMoves(core::Millis interval) {
  constexpr int kRepetitions = 20;
  Fleet fleet = FleetWithMove();
  const auto* first = FirstSent<MoveMachine>(fleet);
  if (first == nullptr) {
    return {};
  }
  const MachineId machine = first->machine;
  std::set<std::string> pools;
  for (int i = 0; i < kRepetitions; ++i) {
    fleet.Advance(interval);
    fleet.state.orders.clear();
    OnMachineAnswer(fleet.state, machine, nullptr, MachineOutcome::kNoAnswer,
                    fleet.now);
    for (const MoveMachine& move : OpenMoves(fleet)) {
      pools.insert(move.pool.value);
    }
  }
  return pools;
}

// Guards against a repeated move to another pool than that of the first copy.
TEST(StaleOrdersTest, RepeatedMoveNamesThePoolOfTheFirst) {
  EXPECT_EQ(PoolsOfRepeatedMoves(core::Millis(400)),
            std::set<std::string>{"spare"});
}

// Guards against the same for moves that wait for the store: the target of a
// move is forgotten after some seconds.
TEST(StaleOrdersTest, MoveThatIsRepeatedLateNamesThePoolOfTheFirst) {
  EXPECT_EQ(PoolsOfRepeatedMoves(core::Millis(7000)),
            std::set<std::string>{"spare"});
}

// Guards against tasks that a late copy of an earlier move ends: the machine
// was moved back and has a run when the copy is carried out.
TEST(StaleOrdersTest, MachineIsNotMovedBackWhileACopyOfItsMoveIsOpen) {
  constexpr core::Millis kLongestDelay{12'000};
  Fleet fleet = FleetWithMove();
  const auto* first = FirstSent<MoveMachine>(fleet);
  ASSERT_NE(first, nullptr);
  const MoveMachine move = *first;
  const core::MonotonicTime unanswered = fleet.now;
  OnMachineAnswer(fleet.state, move.machine, nullptr, MachineOutcome::kNoAnswer,
                  fleet.now);
  fleet.state.orders.clear();
  OnMachineAnswer(fleet.state, move.machine, nullptr, MachineOutcome::kDone,
                  fleet.now);
  // The machine arrives in the standby pool, and its old pool has more work
  // than room.
  for (MachineListing& machine : fleet.machines) {
    if (machine.id == move.machine) {
      std::erase_if(fleet.listings, [&](const HostListing& listing) {
        return listing.id == machine.host;
      });
      machine.host.value = "i-parked";
      machine.pool = move.pool;
    }
  }
  fleet.now += core::Millis(2000);
  fleet.Publish();
  (void)fleet.Submit(MakeJob(1, "q", 6, 64, core::Millis(60'000)));
  const std::size_t sent_before = fleet.sent.size();
  while (fleet.now < unanswered + kLongestDelay - core::Millis(1000)) {
    fleet.Advance(core::Millis(100));
    for (std::size_t i = sent_before; i < fleet.sent.size(); ++i) {
      const auto* later = std::get_if<MoveMachine>(&fleet.sent[i]);
      ASSERT_FALSE(later != nullptr && later->machine == move.machine)
          << "moved to " << later->pool.value << " "
          << (fleet.now - unanswered).count() << " ms after the open copy";
    }
  }
}

}  // namespace
}  // namespace camphormux::scheduler
