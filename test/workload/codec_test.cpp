#include "camphormux/workload/codec.hpp"

#include <cstddef>
#include <optional>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "camphormux/cbor/cbor.hpp"

namespace camphormux::workload {
namespace {

JobSpec FullSpec() {
  Step first;
  first.count = 3;
  first.size = {{500}, {256}, {0}};
  first.estimate = core::Millis(900);
  first.data_rack.value = "r1-3";
  first.speculative = true;
  Step second;
  second.count = 20;
  second.after = {0};
  second.checkpoints = true;
  second.gang = true;
  second.colocated = true;
  second.required_label = "a";
  second.max_per_host = 2;
  second.image = "img";
  second.latency_target = core::Millis(40);
  second.max_unavailable = 0;
  JobSpec spec;
  spec.id.value = "5c0e7a21d94b36f8";
  spec.queue.value = "q";
  spec.payload = "text";
  spec.steps = {first, second};
  spec.occurrences = 2;
  spec.first_run = core::WallTime(core::Millis(1'700'000'000'000));
  spec.interval = core::Millis(3000);
  return spec;
}

// Guards against losing a field when a job is stored or sent between nodes.
TEST(CodecTest, SpecSurvivesARoundTrip) {
  const auto decoded = DecodeSpec(EncodeSpec(FullSpec()));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, FullSpec());
}

// Guards against an accepted job that a node of the previous version cannot
// read: during an upgrade, either may become the lease holder.
TEST(CodecTest, StoredJobIsReadableByThePreviousVersion) {
  const StoredJob job{FullSpec(), JobPolicy{{"pool"}, 1, 3, core::Millis(9)}};
  const auto decoded = DecodeSpec(EncodeStoredJob(job));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, FullSpec());
  EXPECT_EQ(DecodeStoredJob(EncodeStoredJob(job)), job);
}

// Guards against an accepted job that is lost because a node of another version
// stored it without a policy, or with one of another form.
TEST(CodecTest, StoredJobWithoutAReadablePolicyIsKept) {
  const StoredJob job{FullSpec(), std::nullopt};
  EXPECT_EQ(DecodeStoredJob(EncodeSpec(FullSpec())), job);
  StoredJob without_pool = job;
  without_pool.policy = JobPolicy{};
  EXPECT_EQ(DecodeStoredJob(EncodeStoredJob(without_pool)), job);
}

// Guards against a stored start that a later lease holder does not know of.
TEST(CodecTest, ProgressKeepsRunsFailuresAndCheckpoints) {
  Progress progress;
  progress.state = JobState::kRunning;
  progress.queue.value = "q";
  progress.accepted = core::WallTime(core::Millis(5));
  progress.tasks.resize(4);
  progress.tasks[1].done = true;
  progress.tasks[3].next_attempt = 7;
  progress.tasks[3].failed_attempts = {2, 5};
  progress.tasks[3].checkpoint = "00ab";
  progress.tasks[3].runs = {{{"i-1"}, {9}, 6}};
  const auto decoded = DecodeProgress(EncodeProgress(progress));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, progress);
}

// Guards against a job without its account, or unreadable for old nodes.
TEST(CodecTest, AccountFollowsWhatThePreviousVersionReads) {
  StoredJob job{FullSpec(), JobPolicy{{"pool"}, 1, 3, core::Millis(9)}};
  job.spec.account.value = "a";
  EXPECT_EQ(DecodeSpec(EncodeSpec(job.spec)), job.spec);
  EXPECT_EQ(DecodeSpec(EncodeStoredJob(job)), job.spec);
  EXPECT_EQ(DecodeStoredJob(EncodeStoredJob(job)), job);
  JobSpec without_account = job.spec;
  without_account.account = {};
  const auto before = cbor::Parse(EncodeSpec(without_account));
  const auto now = cbor::Parse(EncodeSpec(job.spec));
  ASSERT_TRUE(before && now && now->size() == before->size() + 2);
  for (std::size_t i = 0; i < before->size(); ++i) {
    EXPECT_EQ((*now)[i], (*before)[i]);
  }
}

// Guards against a cancellation or an ended job that another account sees.
TEST(CodecTest, ProgressKeepsItsAccount) {
  const std::vector<std::optional<AccountName>> accounts{
      std::nullopt, AccountName{}, AccountName{"a"}};
  for (const auto& account : accounts) {
    const Progress tombstone =
        MakeTombstone(core::WallTime(core::Millis(5)), {account});
    EXPECT_EQ(DecodeProgress(EncodeProgress(tombstone)), tombstone);
  }
}

// Guards against a crash of the lease holder on bytes from another writer.
RC_GTEST_PROP(CodecPropertyTest, ArbitraryBytesDoNotDecodeToAnInvalidJob,
              (const std::string& bytes)) {
  const auto spec = DecodeSpec(bytes);
  RC_ASSERT(!spec || !spec->steps.empty());
  (void)DecodeProgress(bytes);
}

// Guards against a crash on a truncated record.
TEST(CodecTest, TruncatedBytesAreRejected) {
  const std::string bytes = EncodeSpec(FullSpec());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(DecodeSpec(bytes.substr(0, size)));
  }
}

}  // namespace
}  // namespace camphormux::workload
