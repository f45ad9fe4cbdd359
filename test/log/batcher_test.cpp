#include "camphormux/log/batcher.hpp"

#include <map>
#include <vector>

#include <gtest/gtest.h>

#include "camphormux/log/batch.hpp"
#include "test/log/simulated_writer.hpp"

namespace camphormux::log {
namespace {

using std::chrono::seconds;

constexpr core::MonotonicTime kStart{};

AppenderOptions Options() {
  AppenderOptions options;
  options.writer = "w";
  options.seed = 5;
  return options;
}

/// How often each entry is on the log, in order of the first copy.
std::vector<std::pair<std::string, int>> EntriesOn(const SimulatedLog& log) {
  std::vector<std::pair<std::string, int>> entries;
  std::map<std::string, std::size_t> places;
  for (const StoredRecord& record : log.records()) {
    Batch batch = DecodeBatch(record.data).value_or(Batch{});
    for (std::string& entry : batch.entries) {
      const auto [place, is_new] = places.emplace(entry, entries.size());
      if (is_new) {
        entries.emplace_back(std::move(entry), 0);
      }
      ++entries[place->second].second;
    }
  }
  return entries;
}

struct Outcome {
  std::vector<std::string> accepted;
  std::vector<std::string> refused;
  std::vector<std::string> doubtful;
};

Outcome AppendNumbers(SimulatedTime& time, SimulatedWriter& writer, int count,
                      core::Millis period, core::Millis settle) {
  Outcome run;
  for (int i = 0; i < count; ++i) {
    time.After(period * i, [&writer, &run, i] {
      const std::string entry = std::to_string(i);
      writer.Append(entry, [&run, entry](AppendResult result) {
        if (result.has_value()) {
          run.accepted.push_back(entry);
        } else if (result.error() == AppendError::kNoAnswer) {
          run.doubtful.push_back(entry);
        } else {
          run.refused.push_back(entry);
        }
      });
    });
  }
  time.RunUntil(time.now() + period * count + settle);
  return run;
}

// Guards against an entry that waits although nothing is in flight, and
// against batches above the limit.
TEST(BatcherTest, SendsAtOnceThenGathers) {
  SimulatedTime time;
  SimulatedLog log(time, {}, 1);
  AppenderOptions options = Options();
  options.max_batch_entries = 3;
  SimulatedWriter writer(time, log, options);
  time.RunUntil(kStart + seconds(1));
  // The first append also finds the log's end, which lets entries gather.
  (void)AppendNumbers(time, writer, 1, core::Millis{0}, seconds(5));
  const Outcome run =
      AppendNumbers(time, writer, 8, core::Millis{0}, seconds(5));
  EXPECT_EQ(run.accepted.size(), 8U);
  std::vector<std::size_t> sizes;
  for (const StoredRecord& record : log.records()) {
    sizes.push_back(DecodeBatch(record.data)->entries.size());
  }
  EXPECT_EQ(sizes, (std::vector<std::size_t>{1, 1, 3, 3, 1}));
}

// Guards against entries that are lost, doubled or reordered when answers and
// requests get lost and the log throttles.
TEST(BatcherTest, AppendsEachEntryOnceDespiteLostAnswers) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedTime time;
    SimulatedLogOptions faults;
    faults.lose_answer = 0.2;
    faults.lose_request = 0.1;
    faults.extra_latency = core::Millis{20};
    SimulatedLog log(time, faults, seed);
    AppenderOptions options = Options();
    options.seed = seed;
    options.entry_timeout = std::chrono::hours(1);
    SimulatedWriter writer(time, log, options);
    time.RunUntil(kStart + seconds(1));
    const Outcome run = AppendNumbers(time, writer, 500, core::Millis{3},
                                      std::chrono::minutes(30));
    const auto entries = EntriesOn(log);
    ASSERT_EQ(run.accepted.size(), 500U) << "seed " << seed;
    ASSERT_EQ(entries.size(), 500U) << "seed " << seed;
    for (std::size_t i = 0; i < entries.size(); ++i) {
      EXPECT_EQ(entries[i].first, std::to_string(i)) << "seed " << seed;
      EXPECT_EQ(entries[i].second, 1) << "seed " << seed;
    }
  }
}

// Guards against a refused entry that is on the log after all, and against a
// queue that grows without bound while the log is down.
TEST(BatcherTest, RefusedEntriesAreNotOnTheLog) {
  SimulatedTime time;
  SimulatedLog log(time, {}, 3);
  AppenderOptions options = Options();
  options.max_queued_entries = 50;
  options.refuse_after_failures = 0;
  SimulatedWriter writer(time, log, options);
  time.RunUntil(kStart + seconds(1));
  time.After(seconds(1), [&log] { log.set_down(true); });
  time.After(seconds(15), [&log] { log.set_down(false); });
  const Outcome run =
      AppendNumbers(time, writer, 1000, core::Millis{20}, seconds(60));
  EXPECT_EQ(run.accepted.size() + run.refused.size(), 1000U);
  EXPECT_GT(run.refused.size(), 100U);
  const auto entries = EntriesOn(log);
  EXPECT_EQ(entries.size(), run.accepted.size());
  EXPECT_EQ(writer.batcher().queued_bytes, 0U);
}

// Guards against the claim that a batch is not on the log when its record may
// have expired before it was read back.
TEST(BatcherTest, ExpiryDuringReadBackLeavesDoubt) {
  SimulatedTime time;
  SimulatedLogOptions faults;
  faults.lose_answer = 1;
  SimulatedLog log(time, faults, 4);
  SimulatedWriter writer(time, log, Options());
  time.RunUntil(kStart + seconds(1));
  time.After(core::Millis{100}, [&log] { log.Expire(); });
  const Outcome run =
      AppendNumbers(time, writer, 1, core::Millis{0}, seconds(10));
  EXPECT_EQ(run.doubtful.size(), 1U);
}

}  // namespace
}  // namespace camphormux::log
