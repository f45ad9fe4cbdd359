#include "camphormux/coordinator/store_writer.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "camphormux/scheduler/jobs.hpp"
#include "camphormux/scheduler/runs.hpp"
#include "camphormux/scheduler/upkeep.hpp"
#include "camphormux/workload/codec.hpp"
#include "camphormux/workload/validate.hpp"

namespace camphormux::coordinator {
namespace {

workload::JobSpec Spec() {
  workload::JobSpec spec;
  spec.id.value = "5c0e7a21d94b36f8";
  spec.queue.value = "q";
  spec.steps.resize(1);
  return spec;
}

/// A writer and a fake store that answers when the test says so.
struct Harness {
  struct Append {
    std::uint64_t sequence = 0;
    std::vector<StoreRecord> records;
    std::function<void(AppendOutcome)> done;
  };

  Harness() {
    workload::Queue queue;
    queue.name.value = "q";
    queue.pool.value = "pool";
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
    listener.on_unknown = [this](const core::JobId& id) {
      scheduler::DropSubmission(state, id);
      unknown.push_back(id);
    };
    listener.on_ends = [this](const core::HostId& host, StoredEnd end) {
      ends[host] = end;
    };
    listener.on_orders = [this](const std::vector<StoredOrder>& released) {
      orders += released.size();
    };
    listener.on_orders_rejected =
        [this](const std::vector<StoredOrder>& rejected) {
          orders_rejected += rejected.size();
        };
    listener.on_token = [this](core::Epoch token) { tokens.push_back(token); };
    listener.on_token_rejected = [this] { token_rejected = true; };
    listener.on_stored = [] {};
    listener.on_fenced = [this] { fenced = true; };
    store_writer = std::make_shared<StoreWriter>(loop, port, core::Epoch{7},
                                                 state, std::move(listener));
  }

  /// Runs the loop until this many appends were sent.
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
  std::vector<core::JobId> unknown;
  std::map<core::HostId, StoredEnd> ends;
  std::size_t orders = 0;
  std::size_t orders_rejected = 0;
  std::vector<core::Epoch> tokens;
  bool token_rejected = false;
  bool fenced = false;
  std::shared_ptr<StoreWriter> store_writer;
};

// Guards against a token that the next holder does not know of.
TEST(StoreWriterTest, TokenIsUsedOnlyAfterItIsStored) {
  Harness harness;
  harness.store_writer->AddToken({9});
  harness.WaitForAppends(1);
  ASSERT_EQ(harness.appends[0].records.size(), 1U);
  EXPECT_EQ(harness.appends[0].records[0].key, kTokenKey);
  EXPECT_EQ(DecodeToken(harness.appends[0].records[0].value.value_or("")),
            core::Epoch{9});
  EXPECT_TRUE(harness.tokens.empty());
  harness.appends[0].done(AppendOutcome::kStored);
  EXPECT_EQ(harness.tokens, std::vector<core::Epoch>{{9}});
}

TEST(StoreWriterTest, TokenThatTheStoreRejectsIsReported) {
  Harness harness;
  harness.store_writer->AddToken({9});
  harness.WaitForAppends(1);
  harness.appends[0].done(AppendOutcome::kRejected);
  EXPECT_TRUE(harness.token_rejected);
  EXPECT_TRUE(harness.tokens.empty());
}

// Guards against an acknowledged cancellation that the store does not keep: the
// deletion of a forgotten job was stored after the tombstone of the same job.
TEST(StoreWriterTest, TombstoneOutlastsTheDeletionOfAForgottenJob) {
  Harness harness;
  harness.store_writer->Drop(Spec().id);
  ASSERT_EQ(scheduler::AddTombstone(harness.state, Spec().id),
            scheduler::TombstoneStatus::kAdded);
  harness.store_writer->AddTombstone(Spec().id);
  harness.WaitForAppends(1);
  std::map<std::string, std::optional<std::string>> stored;
  for (const StoreRecord& record : harness.appends[0].records) {
    stored[record.key] = record.value;
  }
  const std::string key = std::string(kProgressKeyPrefix) + Spec().id.value;
  ASSERT_TRUE(stored.contains(key));
  EXPECT_TRUE(stored[key].has_value());
}

// Guards against an accepted job that is lost in a power failure.
TEST(StoreWriterTest, SubmissionIsConfirmedOnlyAfterTheAppend) {
  Harness harness;
  harness.Submit();
  harness.WaitForAppends(1);
  EXPECT_TRUE(harness.submitted.empty());
  harness.appends[0].done(AppendOutcome::kStored);
  EXPECT_EQ(harness.submitted.size(), 1U);
}

// Guards against callers that learn only at their deadline that nobody knows
// whether their job is stored, although it was in no append: it waited behind
// one without an answer.
TEST(StoreWriterTest, JobBehindAnAppendWithoutAnAnswerIsReportedAsNotStored) {
  Harness harness;
  harness.Submit();
  harness.WaitForAppends(1);
  workload::JobSpec later = Spec();
  later.id.value = "00000000000000aa";
  (void)scheduler::Submit(harness.state, later, core::MonotonicNow(),
                          core::WallNow());
  harness.store_writer->AddSubmission(later.id);
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (harness.dropped.empty() && std::chrono::steady_clock::now() < end) {
    harness.loop.restart();
    harness.loop.run_one_for(std::chrono::milliseconds(50));
  }
  ASSERT_EQ(harness.dropped.size(), 1U);
  EXPECT_EQ(harness.dropped[0], later.id);
  // The job of the append without an answer may be stored.
  EXPECT_TRUE(harness.state.jobs.contains(Spec().id));
  harness.appends[0].done(AppendOutcome::kStored);
  ASSERT_EQ(harness.submitted.size(), 1U);
  EXPECT_EQ(harness.submitted[0], Spec().id);
  for (const Harness::Append& append : harness.appends) {
    for (const StoreRecord& record : append.records) {
      EXPECT_EQ(record.key.find(later.id.value), std::string::npos);
    }
  }
}

// Guards against a job that is stored twice, or wrongly reported as not stored,
// after an append without an answer.
TEST(StoreWriterTest, AppendWithoutAnAnswerIsRepeatedUnchanged) {
  Harness harness;
  harness.Submit();
  for (std::size_t i = 1; i < 10; ++i) {
    harness.WaitForAppends(i);
    harness.appends[i - 1].done(AppendOutcome::kUnknown);
  }
  harness.WaitForAppends(10);
  for (const Harness::Append& append : harness.appends) {
    EXPECT_EQ(append.sequence, harness.appends[0].sequence);
    EXPECT_EQ(append.records.size(), harness.appends[0].records.size());
  }
  EXPECT_TRUE(harness.dropped.empty());
}

// Guards against callers that wait in vain while the store is down.
TEST(StoreWriterTest, SubmissionThatCannotBeStoredIsDroppedInTime) {
  Harness harness;
  harness.Submit();
  std::size_t answered = 0;
  while (harness.dropped.empty() && answered < 100) {
    harness.WaitForAppends(answered + 1);
    harness.appends[answered++].done(AppendOutcome::kNotStored);
  }
  EXPECT_EQ(harness.dropped.size(), 1U);
  EXPECT_FALSE(harness.state.jobs.contains(Spec().id));
}

// Guards against a task that runs twice: a later holder must know its host.
TEST(StoreWriterTest, StartOrderIsReleasedOnlyAfterItIsStored) {
  Harness harness;
  harness.Submit();
  harness.WaitForAppends(1);
  harness.appends[0].done(AppendOutcome::kStored);
  scheduler::Host host;
  host.listing.id.value = "i-1";
  harness.state.hosts.emplace(host.listing.id, host);
  scheduler::Job& job = harness.state.jobs.at(Spec().id);
  job.tasks[0].progress.next_attempt = 2;
  harness.state.unsaved.insert(Spec().id);
  harness.store_writer->AddOrder(
      scheduler::StartRun{{1}, {"i-1"}, {Spec().id, {}, 1}, ""});
  harness.WaitForAppends(2);
  EXPECT_EQ(harness.orders, 0U);
  harness.appends[1].done(AppendOutcome::kStored);
  EXPECT_EQ(harness.orders, 1U);
}

// Guards against a task that runs twice after a takeover: a start was sent
// although the progress of its job did not fit into the append before it.
TEST(StoreWriterTest, StartOrderWaitsForTheBatchWithItsJob) {
  constexpr std::size_t kBatchBytes = std::size_t{1} << 20;
  Harness harness;
  harness.Submit();
  workload::JobSpec large = Spec();
  large.id.value = "0000000000000001";
  (void)scheduler::Submit(harness.state, large, core::MonotonicNow(),
                          core::WallNow());
  harness.WaitForAppends(1);
  harness.appends[0].done(AppendOutcome::kStored);
  harness.state.jobs.at(large.id).tasks[0].progress.checkpoint =
      std::string(kBatchBytes, 'c');
  harness.state.unsaved = {large.id, Spec().id};
  harness.store_writer->AddOrder(
      scheduler::StartRun{{1}, {"i-1"}, {Spec().id, {}, 1}, ""});
  harness.WaitForAppends(2);
  ASSERT_EQ(harness.appends[1].records.size(), 1U);
  harness.appends[1].done(AppendOutcome::kStored);
  EXPECT_EQ(harness.orders, 0U);
  harness.WaitForAppends(3);
  harness.appends[2].done(AppendOutcome::kStored);
  EXPECT_EQ(harness.orders, 1U);
}

// Guards against alternating machine orders by two holders: a later holder must
// know which machines were ordered recently.
TEST(StoreWriterTest, MachineOrderIsReleasedOnlyAfterItIsStored) {
  Harness harness;
  harness.store_writer->AddOrder(scheduler::MoveMachine{{"m-1"}, {"pool"}});
  harness.store_writer->AddOrder(scheduler::UpkeepMachine{{"m-2"}, {3}});
  harness.WaitForAppends(1);
  ASSERT_EQ(harness.appends[0].records.size(), 2U);
  EXPECT_EQ(harness.appends[0].records[0].key, "m/m-1");
  EXPECT_EQ(harness.appends[0].records[1].key, "m/m-2");
  EXPECT_EQ(harness.orders, 0U);
  harness.appends[0].done(AppendOutcome::kStored);
  EXPECT_EQ(harness.orders, 2U);
}

// Guards against run ends that a host forgets before they are stored.
TEST(StoreWriterTest, EndsAreAcknowledgedOnlyAfterTheyAreStored) {
  Harness harness;
  harness.Submit();
  harness.WaitForAppends(1);
  harness.appends[0].done(AppendOutcome::kStored);
  scheduler::Host host;
  host.listing.id.value = "i-1";
  host.ended.value = 3;
  harness.state.hosts.emplace(host.listing.id, host);
  scheduler::CompleteTask(harness.state, harness.state.jobs.at(Spec().id), 0,
                          core::WallNow());
  harness.store_writer->ScheduleAppend();
  harness.WaitForAppends(2);
  EXPECT_TRUE(harness.ends.empty());
  harness.appends[1].done(AppendOutcome::kStored);
  EXPECT_EQ(harness.ends.at({"i-1"}).number.value, 3U);
}

// Guards against a job of the previous version that is lost when its queue is
// removed after this version has taken over.
TEST(StoreWriterTest, PolicyOfAJobIsStoredOnceItIsKnown) {
  Harness harness;
  harness.Submit();
  harness.WaitForAppends(1);
  harness.appends[0].done(AppendOutcome::kStored);
  scheduler::Job& job = harness.state.jobs.at(Spec().id);
  job.policy_saved = false;
  harness.state.unsaved.insert(Spec().id);
  harness.store_writer->ScheduleAppend();
  harness.WaitForAppends(2);
  const StoreRecord& record = harness.appends[1].records.front();
  EXPECT_EQ(record.key, "j/" + Spec().id.value);
  const auto stored = workload::DecodeStoredJob(*record.value);
  ASSERT_TRUE(stored);
  EXPECT_EQ(stored->policy, job.policy);
}

/// Answers appends until nothing is left to store. The store rejects records
/// whose key contains a text.
/// @return Keys of the records that were stored.
std::set<std::string> StoreAllBut(Harness& harness, const std::string& text) {
  std::set<std::string> stored;
  for (std::size_t i = harness.appends.size(); i < 50; ++i) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
    while (harness.appends.size() <= i &&
           std::chrono::steady_clock::now() < end) {
      harness.loop.restart();
      harness.loop.run_one_for(std::chrono::milliseconds(20));
    }
    if (harness.appends.size() <= i) {
      break;
    }
    const Harness::Append append = harness.appends[i];
    const bool rejected =
        std::any_of(append.records.begin(), append.records.end(),
                    [&](const StoreRecord& record) {
                      return record.key.find(text) != std::string::npos;
                    });
    for (const StoreRecord& record : append.records) {
      if (!rejected) {
        stored.insert(record.key);
      }
    }
    append.done(rejected ? AppendOutcome::kRejected : AppendOutcome::kStored);
  }
  return stored;
}

// Guards against one job that keeps those of all other callers from being
// stored, started and acknowledged.
TEST(StoreWriterTest, RecordsThatTheStoreRejectsDoNotHoldUpOthers) {
  Harness harness;
  std::vector<core::JobId> jobs;
  for (int i = 0; i < 5; ++i) {
    workload::JobSpec spec = Spec();
    spec.id.value = "000000000000000" + std::to_string(i);
    jobs.push_back(spec.id);
    (void)scheduler::Submit(harness.state, spec, core::MonotonicNow(),
                            core::WallNow());
    harness.store_writer->AddSubmission(spec.id);
  }
  (void)StoreAllBut(harness, "none");
  ASSERT_EQ(harness.submitted.size(), jobs.size());
  scheduler::Host host;
  host.listing.id.value = "i-1";
  host.ended.value = 3;
  harness.state.hosts.emplace(host.listing.id, host);
  for (const core::JobId& id : jobs) {
    harness.state.unsaved.insert(id);
    harness.store_writer->AddOrder(
        scheduler::StartRun{{1}, {"i-1"}, {id, {}, 1}, ""});
  }
  const std::size_t before = harness.appends.size();
  const std::set<std::string> stored = StoreAllBut(harness, jobs[2].value);
  EXPECT_EQ(stored.size(), jobs.size() - 1);
  EXPECT_EQ(harness.orders, jobs.size() - 1);
  EXPECT_EQ(harness.orders_rejected, 1U);
  EXPECT_EQ(harness.ends.count({"i-1"}), 1U);
  EXPECT_TRUE(harness.state.jobs.at(jobs[2]).rejected);
  EXPECT_EQ(harness.store_writer->rejections(), 1U);
  // The sequence of stored appends has no gap.
  std::uint64_t sequence = harness.appends[before].sequence;
  for (std::size_t i = before; i < harness.appends.size(); ++i) {
    EXPECT_LE(harness.appends[i].sequence, sequence + 1);
    sequence = harness.appends[i].sequence;
  }
  // Its final state is stored at once.
  (void)scheduler::Cancel(harness.state, jobs[2], core::WallNow());
  harness.store_writer->ScheduleAppend();
  EXPECT_TRUE(StoreAllBut(harness, "none").contains("p/" + jobs[2].value));
}

// Guards against a wave that is complete without one of its machines, and
// against a record with a broken key: the machine's id is too long for one.
TEST(StoreWriterTest, OrderOfAMachineWithALongIdIsRejected) {
  Harness harness;
  const scheduler::MachineId long_id{std::string(kMaxKeyBytes, 'm')};
  harness.store_writer->AddOrder(scheduler::UpkeepMachine{long_id, {1}});
  harness.store_writer->AddOrder(scheduler::UpkeepMachine{{"m-1"}, {1}});
  EXPECT_EQ(StoreAllBut(harness, "none"), std::set<std::string>{"m/m-1"});
  EXPECT_EQ(harness.orders, 1U);
  EXPECT_EQ(harness.orders_rejected, 1U);
  EXPECT_FALSE(
      scheduler::MayOrder(harness.state, long_id, core::MonotonicNow()));
}

// Guards against callers that wait for a job that can never be stored.
TEST(StoreWriterTest, SubmissionThatTheStoreRejectsIsDropped) {
  Harness harness;
  harness.Submit();
  (void)StoreAllBut(harness, Spec().id.value);
  EXPECT_EQ(harness.dropped.size(), 1U);
  EXPECT_FALSE(harness.state.jobs.contains(Spec().id));
}

// Guards against a caller who is told that a job never runs although an earlier
// attempt to store it had no answer.
TEST(StoreWriterTest, RejectionAfterAnUnknownOutcomeLeavesTheOutcomeUnknown) {
  Harness harness;
  harness.Submit();
  workload::JobSpec other = Spec();
  other.id.value = "00000000000000aa";
  (void)scheduler::Submit(harness.state, other, core::MonotonicNow(),
                          core::WallNow());
  harness.store_writer->AddSubmission(other.id);
  harness.WaitForAppends(1);
  harness.appends[0].done(AppendOutcome::kUnknown);
  (void)StoreAllBut(harness, Spec().id.value);
  EXPECT_TRUE(harness.dropped.empty());
  EXPECT_EQ(harness.unknown, std::vector<core::JobId>{Spec().id});
  EXPECT_EQ(harness.submitted, std::vector<core::JobId>{other.id});
}

/// A job with as many tasks as a job can have, each with a run on a host whose
/// id is as long as the platform allows.
scheduler::Job& SubmitLargestJob(Harness& harness) {
  constexpr std::size_t kHostIdBytes = 128;
  workload::JobSpec spec = Spec();
  spec.steps[0].count = workload::kMaxTasks;
  (void)scheduler::Submit(harness.state, spec, core::MonotonicNow(),
                          core::WallNow());
  harness.store_writer->AddSubmission(spec.id);
  scheduler::Job& job = harness.state.jobs.at(spec.id);
  scheduler::Host host;
  host.listing.id.value = std::string(kHostIdBytes, 'h');
  host.listing.incarnation.value = 1'796'000'000'000;
  scheduler::Host& listed =
      harness.state.hosts.emplace(host.listing.id, host).first->second;
  for (std::uint32_t task = 0; task < workload::kMaxTasks; ++task) {
    job.tasks[task].progress.next_attempt = 2;
    scheduler::AddRun(harness.state, job, task, 1, listed,
                      core::MonotonicNow());
  }
  return job;
}

/// Stores everything that has changed and checks the store's limits.
/// @return The size of all records in bytes.
std::size_t StoreWithinLimits(Harness& harness, std::size_t first,
                              std::map<std::string, std::string>& store) {
  constexpr std::size_t kRecordBytes = 262'144;
  constexpr std::size_t kRequestBytes = 2'097'152;
  std::size_t total = 0;
  harness.store_writer->ScheduleAppend();
  for (std::size_t i = first; i < first + 100; ++i) {
    if (harness.state.unsaved.empty() && i > first) {
      break;
    }
    harness.WaitForAppends(i + 1);
    std::size_t bytes = 0;
    for (const StoreRecord& record : harness.appends[i].records) {
      const std::size_t size =
          1 + record.key.size() + (record.value ? record.value->size() : 0);
      EXPECT_LE(size, kRecordBytes) << record.key;
      bytes += size + sizeof(std::uint32_t);
      if (record.value) {
        store[record.key] = *record.value;
      } else {
        store.erase(record.key);
      }
    }
    EXPECT_LE(bytes, kRequestBytes);
    total += bytes;
    harness.appends[i].done(AppendOutcome::kStored);
  }
  EXPECT_TRUE(harness.state.unsaved.empty());
  return total;
}

// Guards against a job that the store refuses, which kept everything else from
// being stored.
TEST(StoreWriterTest, LargestJobFitsTheRecordsOfTheStore) {
  constexpr std::size_t kCheckpointBytes = 64;
  Harness harness;
  scheduler::Job& job = SubmitLargestJob(harness);
  std::map<std::string, std::string> store;
  (void)StoreWithinLimits(harness, 0, store);
  for (scheduler::Task& task : job.tasks) {
    task.progress.checkpoint = std::string(kCheckpointBytes, 'c');
  }
  harness.state.unsaved.insert(job.spec.id);
  (void)StoreWithinLimits(harness, harness.appends.size(), store);
  std::vector<StoreRecord> records;
  records.reserve(store.size());
  for (const auto& [key, value] : store) {
    records.push_back({key, value});
  }
  const LoadedJobs loaded = LoadJobRecords(records, core::WallNow());
  EXPECT_EQ(loaded.jobs.at(job.spec.id).progress,
            scheduler::ProgressOf(harness.state, job));
}

// Guards against an old holder that continues after a newer one has started.
TEST(StoreWriterTest, FencedAppendReportsANewerHolder) {
  Harness harness;
  harness.Submit();
  harness.WaitForAppends(1);
  harness.appends[0].done(AppendOutcome::kFenced);
  EXPECT_TRUE(harness.fenced);
  EXPECT_TRUE(harness.submitted.empty());
}

}  // namespace
}  // namespace camphormux::coordinator
