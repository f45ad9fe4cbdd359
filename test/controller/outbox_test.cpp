#include "camphormux/controller/outbox.hpp"

#include <gtest/gtest.h>

#include "camphormux/state/codec.hpp"

namespace camphormux::controller {
namespace {

constexpr core::MonotonicTime kNow{std::chrono::hours(1)};
constexpr core::Millis kTick{1};

// Guards against an entry above the appender's limit, which would always be
// refused, and against records that are lost or reordered by the split.
TEST(OutboxTest, SplitsManyRecordsIntoBoundedEntries) {
  constexpr std::size_t kRecords = 5000;
  std::vector<state::Record> records;
  records.reserve(kRecords);
  for (std::size_t i = 0; i < kRecords; ++i) {
    records.emplace_back(state::HostAdded{{"zone"},
                                          core::Epoch{1},
                                          {"host-" + std::to_string(i)},
                                          {"rack"},
                                          {},
                                          {"127.0.0.1", 80}});
  }
  std::vector<state::Record> read;
  for (const std::string& entry : EncodeEntries(records, kMaxEntryBytes)) {
    EXPECT_LE(entry.size(), kMaxEntryBytes);
    const auto decoded = state::DecodeRecords(entry);
    ASSERT_TRUE(decoded.has_value());
    read.insert(read.end(), decoded.value().records.begin(),
                decoded.value().records.end());
  }
  EXPECT_TRUE(read == records);
  EXPECT_TRUE(EncodeEntries({}, kMaxEntryBytes).empty());
  EXPECT_EQ(EncodeEntries({records[0], records[1]}, 1).size(), 2U);
}

// Guards against a next step that runs before the state contains all entries of
// the last one, in whatever order they are answered.
TEST(OutboxTest, WaitsForEveryEntry) {
  PendingStep pending{3, {}, {}};
  OnAppendResult(pending, core::LogOffset{7}, kNow);
  OnAppendResult(pending, core::LogOffset{5}, kNow);
  EXPECT_FALSE(IsSettled(pending, core::LogOffset{9}, kNow + kTick));
  OnAppendResult(pending, log::AppendError::kNoAnswer, kNow);
  EXPECT_FALSE(IsSettled(pending, core::LogOffset{7}, kNow + kTick));
  EXPECT_FALSE(IsSettled(pending, core::LogOffset{8}, kNow));
  EXPECT_TRUE(IsSettled(pending, core::LogOffset{8}, kNow + kTick));
}

}  // namespace
}  // namespace camphormux::controller
