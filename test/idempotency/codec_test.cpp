#include <gtest/gtest.h>

#include "camphormux/core/random.hpp"
#include "camphormux/idempotency/answer_query.hpp"
#include "camphormux/idempotency/answers.hpp"
#include "camphormux/idempotency/records.hpp"

namespace camphormux::idempotency {
namespace {

const core::WallTime kNow{std::chrono::hours(24 * 365 * 50)};

Key SampleKey() { return MakeKey(kNow, {1, 2, 3, 4, 5, 6, 7, 8, 9, 10}); }

// Guards against accepting malformed keys and UUIDs of other versions.
TEST(KeyTest, ParsesOnlyUuidsOfVersionSeven) {
  const Key key = SampleKey();
  EXPECT_EQ(ParseKey(FormatKey(key)), key);
  EXPECT_EQ(KeyTime(key), kNow);
  EXPECT_TRUE(ParseKey("017F22E2-79B0-7CC3-98C4-DC0C0C07398F"));
  EXPECT_FALSE(ParseKey("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"));
  EXPECT_FALSE(ParseKey("017F22E2-79B0-7CC3-18C4-DC0C0C07398F"));
  EXPECT_FALSE(ParseKey("017F22E2-79B0-7CC3-98C4-DC0C0C07398"));
  EXPECT_FALSE(ParseKey("017F22E2x79B0-7CC3-98C4-DC0C0C07398F"));
  EXPECT_FALSE(ParseKey(""));
}

// Guards against keys that run although gateways may have removed them as
// expired, and against keys too far in the future.
TEST(KeyTest, ChecksTheAge) {
  const Key key = SampleKey();
  EXPECT_FALSE(CheckAge(key, kNow + kKeyLifetime));
  EXPECT_EQ(CheckAge(key, kNow + kKeyLifetime + core::Millis(1)),
            KeyProblem::kExpired);
  EXPECT_FALSE(CheckAge(key, kNow - kMaxKeyLead));
  EXPECT_EQ(CheckAge(key, kNow - kMaxKeyLead - core::Millis(1)),
            KeyProblem::kTooFarAhead);
}

template <typename Decode>
void ExpectNoAcceptedPrefix(const std::string& valid, Decode decode) {
  core::Random random = core::SeededRandom(20261204);
  for (std::size_t length = 0; length < valid.size(); ++length) {
    EXPECT_FALSE(decode(valid.substr(0, length)));
  }
  for (int round = 0; round < 5'000; ++round) {
    std::string bytes = valid;
    bytes[core::UniformBelow(random, bytes.size())] =
        static_cast<char>(core::UniformBelow(random, 256));
    (void)decode(bytes);  // Must neither throw nor crash.
  }
  EXPECT_FALSE(decode(std::string(1'000'000, '\x81')));
}

// Guards against records, queries and answers that encoding and decoding
// change, and against malformed input that is accepted or makes the decoder
// throw.
TEST(CodecTest, DecodesEncodedValuesAndRejectsMalformedOnes) {
  const Batch batch{
      {{"gateway-1"}, {7}}, {{SampleKey(), {"kilns"}, 8}}, {{SampleKey(), 9}}};
  EXPECT_EQ(DecodeBatch(Encode(batch)), batch);
  ExpectNoAcceptedPrefix(Encode(batch), DecodeBatch);
  const internal::AnswerQuery query{SampleKey(), {3}, 4, core::Millis(5)};
  EXPECT_EQ(internal::DecodeQuery(internal::Encode(query)), query);
  ExpectNoAcceptedPrefix(internal::Encode(query), internal::DecodeQuery);
  const StoredAnswer answer{201, {{"Location", "/a"}}, std::string("\0b", 2)};
  const auto decoded = DecodeAnswer(Encode(answer));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->status, 201);
  EXPECT_EQ(decoded->headers.at(0).value, "/a");
  EXPECT_EQ(decoded->body, answer.body);
  ExpectNoAcceptedPrefix(Encode(answer), DecodeAnswer);
  ExpectNoAcceptedPrefix(
      internal::Encode({internal::AnswerState::kAnswered, "data"}),
      internal::DecodeReply);
}

// Guards against a cache that exceeds its limit of bytes.
TEST(AnswerCacheTest, DropsTheOldestAboveTheBound) {
  AnswerCache cache;
  cache.max_bytes = 100;
  cache.max_answer_bytes = 60;
  const core::MonotonicTime now{std::chrono::hours(1)};
  const Key a = MakeKey(kNow, {1});
  const Key b = MakeKey(kNow, {2});
  const Key c = MakeKey(kNow, {3});
  Put(cache, a, std::string(60, 'a'), now);
  Put(cache, b, std::string(60, 'b'), now);
  Put(cache, c, std::string(61, 'c'), now);
  EXPECT_EQ(Find(cache, a), nullptr);
  EXPECT_NE(Find(cache, b), nullptr);
  EXPECT_EQ(Find(cache, c), nullptr);
  Put(cache, c, "c", now + kKeyLifetime + core::Millis(1));
  EXPECT_EQ(Find(cache, b), nullptr);
  EXPECT_EQ(cache.bytes, 1U);
}

}  // namespace
}  // namespace camphormux::idempotency
