#include "camphormux/coordinator/host_calls.hpp"

#include <string>
#include <string_view>

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

std::vector<NumberedAnswer> Answers() {
  RenewAnswer renewed;
  renewed.outcome = CallOutcome::kDone;
  renewed.clock_ms = 4321;
  renewed.incarnation.value = 1'790'329'676'759;
  renewed.running.push_back({Name(1), "ab", 40, 2000});
  renewed.ended.push_back(
      {{7}, Name(2), scheduler::EndKind::kLeaseExpired, "cd"});
  renewed.is_partial = true;
  return {{1, StartAnswer{scheduler::StartOutcome::kNoCapacity, 99}},
          {2, CallOutcome::kFenced},
          {3, renewed}};
}

/// Converts bytes to hexadecimal digits.
std::string ToHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    hex += kDigits[byte >> 4U];
    hex += kDigits[byte & 15U];
  }
  return hex;
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
  const auto decoded = DecodeAnswers(EncodeAnswers(Answers()));
  ASSERT_TRUE(decoded);
  ASSERT_EQ(decoded->size(), 3U);
  const auto& start = std::get<StartAnswer>((*decoded)[0].answer);
  EXPECT_EQ(start.outcome, scheduler::StartOutcome::kNoCapacity);
  EXPECT_EQ(start.clock_ms, 99);
  EXPECT_EQ(std::get<CallOutcome>((*decoded)[1].answer), CallOutcome::kFenced);
  const auto& answer = std::get<RenewAnswer>((*decoded)[2].answer);
  EXPECT_EQ(answer.outcome, CallOutcome::kDone);
  EXPECT_EQ(answer.clock_ms, 4321);
  EXPECT_EQ(answer.incarnation.value, 1'790'329'676'759U);
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

// Guards against nodes that do not understand each other during an upgrade, in
// which nodes of two versions run side by side. The bytes are those that commit
// 4b54cb4 writes.
TEST(HostCallsTest, CallsAreEncodedAsInThePreviousVersion) {
  EXPECT_EQ(ToHex(EncodeCalls(Batch())),
            "846f31302e302e302e323a373037302f39098146ff0073706563868e01006369"
            "2d31184d6831302e302e302e31191f9070356330653761323164393462333666"
            "380102000300626162068e020063692d31184d6831302e302e302e31191f9070"
            "356330653761323164393462333666380102010300626162068b030163692d31"
            "184d6831302e302e302e31191f90703563306537613231643934623336663801"
            "0202038c040263692d31184d6831302e302e302e31191f907035633065376132"
            "31643934623336663801020303182889050363692d31184d6831302e302e302e"
            "31191f900c001903e889060363692d31184d6831302e302e302e31191f900001"
            "00");
}

// Guards against an answer that the holder of the previous version cannot read.
TEST(HostCallsTest, AnswersAreEncodedAsInThePreviousVersion) {
  EXPECT_EQ(ToHex(EncodeAnswers(Answers())),
            "8384010001186483020101880302001910e28870356330653761323164393462"
            "333666380102010362616218281907d088077035633065376132316439346233"
            "36663801020203036263641b000001a0d7f6e3d701");
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
