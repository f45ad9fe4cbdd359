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

/// @brief Asks the gateway that holds a key for the stored answer of the run.
struct AnswerQuery {
  Key key;
  core::Incarnation incarnation;
  std::uint64_t number = 0;  ///< Number of the intent.
  core::Millis wait{0};      ///< Longest wait of the holder for the run's end.

  friend bool operator==(const AnswerQuery&, const AnswerQuery&) = default;
};

/// @brief State of the run that a query asks about. The values are encoded.
enum class AnswerState { kAnswered, kUnknown, kNeverRun };

/// @brief The holder's reply to an `AnswerQuery`.
struct AnswerReply {
  AnswerState state = AnswerState::kUnknown;
  std::string data;  ///< The encoded answer; empty unless `kAnswered`.
};

[[nodiscard]] std::string Encode(const AnswerQuery& query);
[[nodiscard]] std::optional<AnswerQuery> DecodeQuery(std::string_view data);
[[nodiscard]] std::string Encode(const AnswerReply& reply);
[[nodiscard]] std::optional<AnswerReply> DecodeReply(std::string_view data);

}  // namespace camphormux::idempotency::internal

#endif  // CAMPHORMUX_IDEMPOTENCY_ANSWER_QUERY_HPP_
