#include "camphormux/membership/messages.hpp"

#include <gtest/gtest.h>

#include "camphormux/core/random.hpp"

namespace camphormux::membership {
namespace {

Heartbeat Example() {
  const Identity identity{{"gateway-1"},
                          state::ProcessRole::kController,
                          {"tangier"},
                          {"10.0.0.1", 7000},
                          {1'800'000'000'000}};
  return {identity,
          {7, {8}, 9, std::string("\0\xff", 2)},
          {{identity, Health::kDead}},
          {{{"gateway-2"}, {3}, {4, {5}, 6, "p"}}},
          {{"gateway-3"}},
          {{{"gateway-4"}, core::Millis(1500)}}};
}

// Guards against fields that are lost or mixed up on the way.
TEST(MessagesTest, DecodesWhatWasEncoded) {
  EXPECT_EQ(Decode(Encode(Example())), Example());
}

// Guards against malformed input that throws, overflows the stack or is
// accepted with impossible values.
TEST(MessagesTest, RejectsMalformedInput) {
  EXPECT_FALSE(Decode(""));
  EXPECT_FALSE(Decode(std::string(4'000'000, '\x81')));
  EXPECT_FALSE(Decode("\xa1\x61\x61\x01"));
  const std::string valid = Encode(Example());
  core::Random random = core::SeededRandom(20261204);
  for (std::size_t length = 0; length < valid.size(); ++length) {
    EXPECT_FALSE(Decode(valid.substr(0, length)));
  }
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = valid;
    for (std::uint64_t i = core::UniformBelow(random, 4) + 1; i > 0; --i) {
      bytes[core::UniformBelow(random, bytes.size())] =
          static_cast<char>(core::UniformBelow(random, 256));
    }
    const auto decoded = Decode(bytes);
    if (decoded) {
      EXPECT_LE(decoded->report.payload.size(), kMaxPayloadBytes);
      EXPECT_LE(decoded->from.process.value.size(), kMaxNameBytes);
    }
  }
}

}  // namespace
}  // namespace camphormux::membership
