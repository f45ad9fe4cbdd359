#include "camphormux/jobs/fold.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "camphormux/jobs/codec.hpp"

namespace camphormux::jobs {
namespace {

const core::ZoneName kA{"a"};
const core::ZoneName kB{"b"};
constexpr core::WallTime kStart{core::Millis{1000000}};

Submit MakeSubmit(const std::string& id, bool repeatable = true) {
  Submit submit;
  submit.spec.id = {id};
  submit.spec.team = {"t"};
  submit.spec.kind = "k";
  submit.spec.repeatable = repeatable;
  submit.spec.declared = {{1000}, {100}, {0}};
  submit.spec.pool = {"p"};
  return submit;
}

struct Stream {
  Fold fold;
  core::WallTime time = kStart;
  std::uint64_t offset = 0;
  std::vector<log::StoredRecord> stored;

  Applied Add(std::string data) {
    stored.push_back({{offset++}, time, std::move(data)});
    return Apply(fold, stored.back());
  }
  Applied Add(const std::vector<Record>& records) {
    return Add(EncodeRecords(records));
  }
  const JobEntry& At(const std::string& id) const {
    return *Find(fold, core::JobId{id});
  }
};

// Guards against fields that are lost in encoding or decoding.
TEST(JobFoldTest, EncodesAndDecodesEveryField) {
  Submit submit = MakeSubmit("j", false);
  submit.spec.priority = placement::Priority::kUrgent;
  submit.spec.preemptible = true;
  submit.spec.declared.accelerators = {2};
  submit.spec.declared_run_time = core::Millis{5000};
  submit.zone = kB;
  Stream stream;
  stream.Add({JobSnapshot{submit, kB, {4}, core::Epoch{3}}});
  const JobEntry& entry = stream.At("j");
  EXPECT_EQ(EncodeRecords({entry.submit}), EncodeRecords({submit}));
  EXPECT_EQ(entry.claim->zone, kB);
  EXPECT_EQ(entry.started, core::Epoch{3});
}

// Guards against two zones that both run a job, and against a second run of a
// non-repeatable job by another zone.
TEST(JobFoldTest, FirstClaimWinsAndStartedRunStaysInItsZone) {
  Stream stream;
  stream.Add({MakeSubmit("free"), MakeSubmit("once", false)});
  stream.Add(
      {ClaimJob{{"free"}, kA, {1}, {}}, ClaimJob{{"once"}, kA, {1}, {}}});
  stream.Add({ClaimJob{{"free"}, kB, {1}, {}}, Start{{"once"}, kB, {1}}});
  EXPECT_EQ(stream.At("free").claim->zone, kA);
  EXPECT_FALSE(stream.At("once").started);
  stream.Add({Start{{"once"}, kA, {1}}});
  const core::LogOffset claim{1};
  stream.Add(
      {ClaimJob{{"free"}, kB, {1}, claim}, ClaimJob{{"once"}, kB, {1}, claim}});
  EXPECT_EQ(stream.At("free").claim->zone, kB);
  EXPECT_EQ(stream.At("once").claim->zone, kA);
  stream.Add({End{{"free"}, kA, {1}, EndKind::kFinished}});
  EXPECT_FALSE(stream.At("free").end);
}

// Guards against a former lease holder that resumes after a pause, when another
// holds the lease, and still claims, starts or ends jobs.
TEST(JobFoldTest, IgnoresRecordsOfEarlierLeaseHolder) {
  Stream stream;
  stream.Add({MakeSubmit("j", false), ClaimJob{{"j"}, kA, {1}, {}}});
  stream.Add({Holder{kA, {2}}});
  stream.Add({Start{{"j"}, kA, {1}}, End{{"j"}, kA, {1}, EndKind::kFinished}});
  EXPECT_FALSE(stream.At("j").started);
  EXPECT_FALSE(stream.At("j").end);
  EXPECT_EQ(stream.fold.stale, 2U);
}

// Guards against records that only some readers apply, and against a team that
// changes or cancels the job of another team.
TEST(JobFoldTest, SkipsMalformedAndConflictingRecords) {
  Stream stream;
  stream.Add({MakeSubmit("j")});
  stream.Add({MakeSubmit("j")});  // A retry.
  EXPECT_EQ(stream.fold.conflicting, 0U);
  Submit other = MakeSubmit("j");
  other.spec.declared.cores = {2000};
  EXPECT_EQ(stream.Add({other}).skipped.size(), 1U);
  EXPECT_EQ(stream.Add({Cancel{{"j"}, {"thief"}}}).skipped.size(), 1U);
  EXPECT_EQ(stream.Add("not cbor").skipped.size(), 1U);
  EXPECT_EQ(stream.Add({MakeSubmit("no/slash")}).skipped.size(), 1U);
  EXPECT_EQ(stream.fold.conflicting, 2U);
  EXPECT_EQ(stream.fold.malformed, 2U);
  EXPECT_FALSE(stream.At("j").end);
  EXPECT_EQ(stream.fold.open, 1U);
}

// Guards against ended jobs that accumulate, against open jobs that are lost
// when their submission expires from the log, and against ended jobs that are
// reopened by a snapshot.
TEST(JobFoldTest, ExpiresEndedJobsAndKeepsOpenOnes) {
  Stream stream;
  stream.Add({MakeSubmit("open"), MakeSubmit("gone"),
              ClaimJob{{"open"}, kA, {1}, {}},
              ClaimJob{{"gone"}, kA, {1}, {}}});
  stream.Add({Cancel{{"gone"}, {"t"}}});
  const std::size_t late_start = stream.stored.size() - 1;
  stream.Add({JobSnapshot{MakeSubmit("gone"), kA, {1}, {}},
              JobSnapshot{MakeSubmit("open"), kA, {1}, {}}});
  Fold late;
  for (std::size_t i = late_start; i < stream.stored.size(); ++i) {
    (void)Apply(late, stream.stored[i]);
  }
  EXPECT_TRUE(IsOpenIn(*Find(late, {"open"}), kA));
  EXPECT_TRUE(Find(late, {"gone"})->end);
  stream.time += kEndedJobRetention + core::Millis{1};
  stream.Add({Holder{kA, {1}}});
  EXPECT_EQ(Find(stream.fold, {"gone"}), nullptr);
  EXPECT_NE(Find(stream.fold, {"open"}), nullptr);
}

// Guards against malformed bytes that crash a reader or stop its progress.
RC_GTEST_PROP(JobFoldPropertyTest, ArbitraryBytesCountAsOneRecord,
              (const std::string& bytes, std::uint8_t position)) {
  Stream stream;
  std::string data = EncodeRecords({MakeSubmit("j"), Holder{kA, {1}}});
  const std::size_t at = position % data.size();
  data.replace(at, std::min(bytes.size(), data.size() - at), bytes);
  stream.Add(data);
  stream.Add(bytes);
  RC_ASSERT(stream.fold.next.value == 2U);
  RC_ASSERT(stream.fold.open <= 1U);
}

}  // namespace
}  // namespace camphormux::jobs
