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

/// Counts the copies of each entry on the log, ordered by the first copy.
std::vector<std::pair<std::string, int>> CountEntries(const SimulatedLog& log) {
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
  std::vector<std::string> in_doubt;
};

Outcome AppendNumbers(SimulatedTime& time, SimulatedWriter& writer, int count,
                      core::Millis period, core::Millis settle_time) {
  Outcome outcome;
  for (int i = 0; i < count; ++i) {
    time.After(period * i, [&writer, &outcome, i] {
      const std::string entry = std::to_string(i);
      writer.Append(entry, [&outcome, entry](AppendResult result) {
        if (result.has_value()) {
          outcome.accepted.push_back(entry);
        } else if (result.error() == AppendError::kNoAnswer) {
          outcome.in_doubt.push_back(entry);
        } else {
          outcome.refused.push_back(entry);
        }
      });
    });
  }
  time.RunUntil(time.now() + period * count + settle_time);
  return outcome;
}

// Guards against an entry that waits although no batch is in flight, and
// against batches above the limit.
TEST(BatcherTest, SendsFirstEntryAtOnceThenBatches) {
  SimulatedTime time;
  SimulatedLog log(time, {}, 1);
  AppenderOptions options = Options();
  options.max_batch_entries = 3;
  SimulatedWriter writer(time, log, options);
  time.RunUntil(kStart + seconds(1));
  // The first append also reads the end of the log; without it, the entries
  // below would gather during that read.
  (void)AppendNumbers(time, writer, 1, core::Millis{0}, seconds(5));
  const Outcome outcome =
      AppendNumbers(time, writer, 8, core::Millis{0}, seconds(5));
  EXPECT_EQ(outcome.accepted.size(), 8U);
  std::vector<std::size_t> sizes;
  for (const StoredRecord& record : log.records()) {
    sizes.push_back(DecodeBatch(record.data)->entries.size());
  }
  EXPECT_EQ(sizes, (std::vector<std::size_t>{1, 1, 3, 3, 1}));
}

// Guards against entries that are lost, duplicated or reordered when requests
// and answers are lost and the log throttles.
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
    const Outcome outcome = AppendNumbers(time, writer, 500, core::Millis{3},
                                          std::chrono::minutes(30));
    const auto entries = CountEntries(log);
    ASSERT_EQ(outcome.accepted.size(), 500U) << "seed " << seed;
    ASSERT_EQ(entries.size(), 500U) << "seed " << seed;
    for (std::size_t i = 0; i < entries.size(); ++i) {
      EXPECT_EQ(entries[i].first, std::to_string(i)) << "seed " << seed;
      EXPECT_EQ(entries[i].second, 1) << "seed " << seed;
    }
  }
}

// Guards against an entry that is refused but stored on the log, and against a
// queue that grows without limit while the log is down.
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
  const Outcome outcome =
      AppendNumbers(time, writer, 1000, core::Millis{20}, seconds(60));
  EXPECT_EQ(outcome.accepted.size() + outcome.refused.size(), 1000U);
  EXPECT_GT(outcome.refused.size(), 100U);
  const auto entries = CountEntries(log);
  EXPECT_EQ(entries.size(), outcome.accepted.size());
  EXPECT_EQ(writer.batcher().queued_bytes, 0U);
}

// Guards against reporting that a batch is not on the log although its record
// may have expired before it was read back.
TEST(BatcherTest, ExpiryDuringReadBackGivesNoAnswer) {
  SimulatedTime time;
  SimulatedLogOptions faults;
  faults.lose_answer = 1;
  SimulatedLog log(time, faults, 4);
  SimulatedWriter writer(time, log, Options());
  time.RunUntil(kStart + seconds(1));
  time.After(core::Millis{100}, [&log] { log.Expire(); });
  const Outcome outcome =
      AppendNumbers(time, writer, 1, core::Millis{0}, seconds(10));
  EXPECT_EQ(outcome.in_doubt.size(), 1U);
}

}  // namespace
}  // namespace camphormux::log
