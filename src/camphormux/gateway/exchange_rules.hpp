#ifndef CAMPHORMUX_GATEWAY_EXCHANGE_RULES_HPP_
#define CAMPHORMUX_GATEWAY_EXCHANGE_RULES_HPP_

#include <optional>
#include <string>
#include <string_view>

#include "camphormux/core/time.hpp"
#include "camphormux/gateway/upstream.hpp"
#include "camphormux/routing/endpoint_health.hpp"

namespace camphormux::gateway {

/// @brief What is known about the request after an attempt.
enum class AttemptResult {
  kAnswered,  ///< A complete response to this request.
  kRefused,   ///< The endpoint guarantees that the request did not start.
  kNotSent,   ///< The endpoint cannot have received the request.
  kLost,      ///< The request may have run; there is no usable response.
};

/// @brief Outcome of a request, sent in the response header
/// `Camphormux-Outcome`.
enum class Outcome { kAnswered, kNotRun, kUnknown };

/// @brief Fields of a response head that decide the attempt result.
struct HeadSummary {
  int status = 0;
  bool framed = false;
  /// Whether `Camphormux-Request-Id` equals the request's id.
  bool echo_matches = false;
  /// Value of the header `Camphormux-Refused`.
  std::optional<std::string> refused;
};

/// @brief Classifies a response by its head, before the body is forwarded.
/// @param head Summary of the head.
/// @return kAnswered if the body may be forwarded, otherwise the result of the
/// attempt.
[[nodiscard]] AttemptResult ClassifyHead(const HeadSummary& head);

/// @brief Classifies a finished attempt.
/// @param head Summary of the response head, if one arrived.
/// @param end How the attempt ended.
/// @return The result of the attempt.
[[nodiscard]] AttemptResult ClassifyAttempt(
    const std::optional<HeadSummary>& head, const AttemptEnd& end);

/// @brief Converts the result of an attempt for routing.
/// @param head Summary of the response head, if one arrived.
/// @param result The result of the attempt.
/// @return The outcome that is reported to routing.
[[nodiscard]] routing::AttemptOutcome ToRouting(
    const std::optional<HeadSummary>& head, AttemptResult result);

/// @brief State of an exchange after a failed attempt, from which the retry
/// decision is made.
struct RetryContext {
  bool repeatable = false;
  bool may_have_run = false;  ///< Whether any attempt so far was lost.
  int attempts = 0;
  core::MonotonicTime earliest_retry;  ///< Time at the end of the retry delay.
  core::MonotonicTime deadline;
};

/// @brief Limit of attempts per request, including the first one.
inline constexpr int kMaxAttempts = 4;

/// @brief Limits the wait for a response head, so that a host that became
/// unreachable without a connection reset does not use up the time of a request
/// that another host could answer.
/// @param may_retry Whether the request is repeatable and a further attempt,
/// retry budget and another host are available.
/// @param remaining Time until the deadline.
/// @param recent_run_time 99th percentile of the service's recent run times.
/// @return Half of the remaining time if that is at least `recent_run_time` and
/// a retry is possible; otherwise 0, which means no limit.
[[nodiscard]] core::Millis HeadTimeout(bool may_retry, core::Millis remaining,
                                       core::Millis recent_run_time);

/// @brief Decides whether another attempt is allowed. The retry budget is
/// checked separately, after this.
/// @param context State of the exchange.
/// @param last Result of the last attempt.
/// @return Whether the request may be sent again.
[[nodiscard]] bool MayRetry(const RetryContext& context, AttemptResult last);

/// @brief Returns the outcome of a request that ends without an answer.
/// @param may_have_run Whether an endpoint may have run the request.
/// @return kNotRun only if no endpoint can have started the request.
[[nodiscard]] constexpr Outcome FailureOutcome(bool may_have_run) noexcept {
  return may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
}

/// @brief Returns the header value of an outcome.
/// @param outcome The outcome.
/// @return `answered`, `not-run` or `unknown`.
[[nodiscard]] std::string_view OutcomeName(Outcome outcome) noexcept;

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_EXCHANGE_RULES_HPP_
