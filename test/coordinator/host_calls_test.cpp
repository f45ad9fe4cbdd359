#include "camphormux/coordinator/host_calls.hpp"

#include <gtest/gtest.h>

namespace camphormux::coordinator {
namespace {

HostTarget Target() {
  return {{"i-1"}, {77}, {"10.0.0.1", 8080}, {}, core::Epoch{9}};
}

scheduler::RunName Name(std::uint32_t index) {
  return {{"5c0e7a21d94b36f8"}, {1, 2, index}, 3};
}

CallBatch Batch() {
  CallBatch batch;
  batch.holder = "10.0.0.2:7070/9";
  batch.token = core::Epoch{9};
  for (std::uint32_t i = 0; i < 2; ++i) {
    batch.calls.push_back(
        {i + 1, StartCall{Target(), Name(i), std::string("\xff\x00spec", 6),
                          "ab", 5}});
  }
  batch.calls.push_back({3, StopCall{Target(), Name(2)}});
  batch.calls.push_back({4, PaceCall{Target(), Name(3), 40}});
  batch.calls.push_back(
      {5, RenewCall{Target(), {12}, std::nullopt, core::Millis(1000)}});
  batch.calls.push_back({6, RenewCall{Target(), {0}, 0, core::Millis(0)}});
  return batch;
}

TEST(HostCallsTest, CallsSurviveEncodingAndDecoding) {
  const auto decoded = DecodeCalls(EncodeCalls(Batch()));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->holder, "10.0.0.2:7070/9");
  ASSERT_EQ(decoded->calls.size(), 6U);
  const auto& start = std::get<StartCall>(decoded->calls[1].call);
  EXPECT_EQ(decoded->calls[1].number, 2U);
  EXPECT_EQ(start.target.host.value, "i-1");
  EXPECT_EQ(start.target.incarnation.value, 77U);
  EXPECT_EQ(start.target.address, (core::Address{"10.0.0.1", 8080}));
  EXPECT_EQ(start.target.token, core::Epoch{9});
  EXPECT_EQ(start.name, Name(1));
  EXPECT_EQ(start.payload, std::string("\xff\x00spec", 6));
  EXPECT_EQ(start.checkpoint, "ab");
  EXPECT_EQ(start.lease_end_ms, 5);
  EXPECT_EQ(std::get<StopCall>(decoded->calls[2].call).name, Name(2));
  EXPECT_EQ(std::get<PaceCall>(decoded->calls[3].call).percent, 40);
  const auto& renew = std::get<RenewCall>(decoded->calls[4].call);
  EXPECT_EQ(renew.acknowledged.value, 12U);
  EXPECT_FALSE(renew.lease_end_ms);
  EXPECT_EQ(renew.wait, core::Millis(1000));
  // A lease that ends at 0 differs from no lease.
  EXPECT_EQ(std::get<RenewCall>(decoded->calls[5].call).lease_end_ms, 0);
}

TEST(HostCallsTest, AnswersSurviveEncodingAndDecoding) {
  RenewAnswer renewed;
  renewed.outcome = CallOutcome::kDone;
  renewed.clock_ms = 4321;
  renewed.incarnation.value = 1'790'329'676'759;
  renewed.running.push_back({Name(1), "ab", 40, 2000});
  renewed.ended.push_back(
      {{7}, Name(2), scheduler::EndKind::kLeaseExpired, "cd"});
  renewed.is_partial = true;
  const auto decoded = DecodeAnswers(
      EncodeAnswers({{1, StartAnswer{scheduler::StartOutcome::kNoCapacity, 99}},
                     {2, CallOutcome::kFenced},
                     {3, renewed}}));
  ASSERT_TRUE(decoded);
  ASSERT_EQ(decoded->size(), 3U);
  const auto& start = std::get<StartAnswer>((*decoded)[0].answer);
  EXPECT_EQ(start.outcome, scheduler::StartOutcome::kNoCapacity);
  EXPECT_EQ(start.clock_ms, 99);
  EXPECT_EQ(std::get<CallOutcome>((*decoded)[1].answer), CallOutcome::kFenced);
  const auto& answer = std::get<RenewAnswer>((*decoded)[2].answer);
  EXPECT_EQ(answer.outcome, CallOutcome::kDone);
  EXPECT_EQ(answer.clock_ms, 4321);
  EXPECT_EQ(answer.incarnation, renewed.incarnation);
  EXPECT_TRUE(answer.is_partial);
  ASSERT_EQ(answer.running.size(), 1U);
  EXPECT_EQ(answer.running[0].name, Name(1));
  EXPECT_EQ(answer.running[0].percent, 40);
  EXPECT_EQ(answer.running[0].load, 2000);
  ASSERT_EQ(answer.ended.size(), 1U);
  EXPECT_EQ(answer.ended[0].number.value, 7U);
  EXPECT_EQ(answer.ended[0].kind, scheduler::EndKind::kLeaseExpired);
  EXPECT_EQ(answer.ended[0].checkpoint, "cd");
}

// Guards against a truncated message that is accepted as a shorter one: the
// runs that it omits would count as gone.
TEST(HostCallsTest, TruncatedMessagesAreRejected) {
  const std::string calls = EncodeCalls(Batch());
  RenewAnswer renewed;
  renewed.outcome = CallOutcome::kDone;
  renewed.running.push_back({Name(1), "ab", 40, 2000});
  const std::string answers = EncodeAnswers({{3, renewed}});
  for (std::size_t size = 0; size < calls.size(); ++size) {
    EXPECT_FALSE(DecodeCalls(std::string_view(calls).substr(0, size)));
  }
  for (std::size_t size = 0; size < answers.size(); ++size) {
    EXPECT_FALSE(DecodeAnswers(std::string_view(answers).substr(0, size)));
  }
}

}  // namespace
}  // namespace camphormux::coordinator
