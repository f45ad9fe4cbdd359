#ifndef CAMPHORMUX_IDEMPOTENCY_ANSWER_QUERY_HPP_
#define CAMPHORMUX_IDEMPOTENCY_ANSWER_QUERY_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/idempotency/key.hpp"

namespace camphormux::idempotency::internal {

/// @brief Asks the holder of a key for the answer of its run.
struct AnswerQuery {
  Key key;
  core::Incarnation incarnation;
  std::uint64_t number = 0;
  core::Millis wait{0};  ///< How long the holder may wait for the run.

  friend bool operator==(const AnswerQuery&, const AnswerQuery&) = default;
};

enum class AnswerState { kAnswered, kUnknown, kNeverRun };

/// @brief What the holder says.
struct AnswerReply {
  AnswerState state = AnswerState::kUnknown;
  std::string data;  ///< The encoded answer.
};

[[nodiscard]] std::string Encode(const AnswerQuery& query);
[[nodiscard]] std::optional<AnswerQuery> DecodeQuery(std::string_view data);
[[nodiscard]] std::string Encode(const AnswerReply& reply);
[[nodiscard]] std::optional<AnswerReply> DecodeReply(std::string_view data);

}  // namespace camphormux::idempotency::internal

#endif  // CAMPHORMUX_IDEMPOTENCY_ANSWER_QUERY_HPP_
