#include "camphormux/coordinator/store_writer.hpp"

#include <gtest/gtest.h>

#include "camphormux/scheduler/jobs.hpp"

namespace camphormux::coordinator {
namespace {

workload::JobSpec Spec() {
  workload::JobSpec spec;
  spec.id.value = "5c0e7a21d94b36f8";
  spec.queue.value = "q";
  spec.steps.resize(1);
  return spec;
}

/// A saver on a store that answers when the test says so.
struct World {
  struct Append {
    std::uint64_t sequence = 0;
    std::vector<StoreRecord> records;
    std::function<void(AppendOutcome)> done;
  };

  World() {
    workload::Queue queue;
    queue.name.value = "q";
    state.catalog.queues = {queue};
    StorePort port;
    port.append = [this](core::Epoch, std::uint64_t sequence,
                         const std::vector<StoreRecord>& records,
                         std::function<void(AppendOutcome)> done) {
      appends.push_back({sequence, records, std::move(done)});
    };
    StoreWriter::Listener listener;
    listener.on_submitted = [this](const core::JobId& id) {
      scheduler::ConfirmSubmission(state, id);
      submitted.push_back(id);
    };
    listener.on_dropped = [this](const core::JobId& id) {
      scheduler::DropSubmission(state, id);
      dropped.push_back(id);
    };
    listener.on_ends = [this](const core::HostId& host,
                              scheduler::EndNumber end) { ends[host] = end; };
    listener.on_orders = [this](const std::vector<StoredOrder>& released) {
      orders += released.size();
    };
    listener.on_stored = [] {};
    listener.on_fenced = [this] { fenced = true; };
    store_writer = std::make_shared<StoreWriter>(loop, port, core::Epoch{7},
                                                 state, std::move(listener));
  }

  /// Runs the loop until a number of appends were sent.
  void WaitForAppends(std::size_t count) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (appends.size() < count && std::chrono::steady_clock::now() < end) {
      loop.restart();
      loop.run_one_for(std::chrono::milliseconds(50));
    }
    ASSERT_GE(appends.size(), count);
  }

  void Submit() {
    (void)scheduler::Submit(state, Spec(), core::MonotonicNow(),
                            core::WallNow());
    store_writer->AddSubmission(Spec().id);
  }

  asio::io_context loop;
  scheduler::State state;
  std::vector<Append> appends;
  std::vector<core::JobId> submitted;
  std::vector<core::JobId> dropped;
  std::map<core::HostId, scheduler::EndNumber> ends;
  std::size_t orders = 0;
  bool fenced = false;
  std::shared_ptr<StoreWriter> store_writer;
};

// Guards against an acceptance that a power loss forgets.
TEST(SaverTest, ASubmissionIsConfirmedOnlyAfterTheAppend) {
  World world;
  world.Submit();
  world.WaitForAppends(1);
  EXPECT_TRUE(world.submitted.empty());
  world.appends[0].done(AppendOutcome::kStored);
  EXPECT_EQ(world.submitted.size(), 1U);
}

// Guards against a job that is stored twice, or said not to be stored, after
// an append without an answer.
TEST(SaverTest, AnAppendWithoutAnAnswerIsRepeatedUnchanged) {
  World world;
  world.Submit();
  for (std::size_t i = 1; i < 10; ++i) {
    world.WaitForAppends(i);
    world.appends[i - 1].done(AppendOutcome::kUnknown);
  }
  world.WaitForAppends(10);
  for (const World::Append& append : world.appends) {
    EXPECT_EQ(append.sequence, world.appends[0].sequence);
    EXPECT_EQ(append.records.size(), world.appends[0].records.size());
  }
  EXPECT_TRUE(world.dropped.empty());
}

// Guards against callers that wait in vain while the store is down.
TEST(SaverTest, ASubmissionThatCannotBeStoredIsDroppedInTime) {
  World world;
  world.Submit();
  std::size_t answered = 0;
  while (world.dropped.empty() && answered < 100) {
    world.WaitForAppends(answered + 1);
    world.appends[answered++].done(AppendOutcome::kNotStored);
  }
  EXPECT_EQ(world.dropped.size(), 1U);
  EXPECT_FALSE(world.state.jobs.contains(Spec().id));
}

// Guards against a task that runs twice: a later holder must know its host.
TEST(SaverTest, AStartIsReleasedOnlyAfterItIsStored) {
  World world;
  world.Submit();
  world.WaitForAppends(1);
  world.appends[0].done(AppendOutcome::kStored);
  scheduler::Host host;
  host.listing.id.value = "i-1";
  world.state.hosts.emplace(host.listing.id, host);
  scheduler::Job& job = world.state.jobs.at(Spec().id);
  job.tasks[0].progress.next_attempt = 2;
  world.state.unsaved.insert(Spec().id);
  world.store_writer->AddOrder(
      scheduler::StartRun{{1}, {"i-1"}, {Spec().id, {}, 1}, ""});
  world.WaitForAppends(2);
  EXPECT_EQ(world.orders, 0U);
  world.appends[1].done(AppendOutcome::kStored);
  EXPECT_EQ(world.orders, 1U);
}

// Guards against machine orders of two holders that alternate: a later holder
// must know which machines were ordered lately.
TEST(SaverTest, AMachineOrderIsReleasedOnlyAfterItIsStored) {
  World world;
  world.store_writer->AddOrder(scheduler::MoveMachine{{"m-1"}, {"pool"}});
  world.store_writer->AddOrder(scheduler::UpkeepMachine{{"m-2"}, {3}});
  world.WaitForAppends(1);
  ASSERT_EQ(world.appends[0].records.size(), 2U);
  EXPECT_EQ(world.appends[0].records[0].key, "m/m-1");
  EXPECT_EQ(world.appends[0].records[1].key, "m/m-2");
  EXPECT_EQ(world.orders, 0U);
  world.appends[0].done(AppendOutcome::kStored);
  EXPECT_EQ(world.orders, 2U);
}

// Guards against ends that a host forgets before they are stored.
TEST(SaverTest, EndsAreAcknowledgedOnlyAfterTheyAreStored) {
  World world;
  world.Submit();
  world.WaitForAppends(1);
  world.appends[0].done(AppendOutcome::kStored);
  scheduler::Host host;
  host.listing.id.value = "i-1";
  host.ended.value = 3;
  world.state.hosts.emplace(host.listing.id, host);
  scheduler::CompleteTask(world.state, world.state.jobs.at(Spec().id), 0,
                          core::WallNow());
  world.store_writer->ScheduleAppend();
  world.WaitForAppends(2);
  EXPECT_TRUE(world.ends.empty());
  world.appends[1].done(AppendOutcome::kStored);
  EXPECT_EQ(world.ends.at({"i-1"}).value, 3U);
}

// Guards against an old holder that goes on after a newer one has begun.
TEST(SaverTest, AFencedAppendDeposesTheHolder) {
  World world;
  world.Submit();
  world.WaitForAppends(1);
  world.appends[0].done(AppendOutcome::kFenced);
  EXPECT_TRUE(world.fenced);
  EXPECT_TRUE(world.submitted.empty());
}

}  // namespace
}  // namespace camphormux::coordinator
