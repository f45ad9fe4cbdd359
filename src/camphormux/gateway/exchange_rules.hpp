#ifndef CAMPHORMUX_GATEWAY_EXCHANGE_RULES_HPP_
#define CAMPHORMUX_GATEWAY_EXCHANGE_RULES_HPP_

#include <optional>
#include <string>
#include <string_view>

#include "camphormux/core/time.hpp"
#include "camphormux/gateway/upstream.hpp"
#include "camphormux/routing/endpoint_health.hpp"

namespace camphormux::gateway {

/// @brief What an attempt says about the request.
enum class AttemptResult {
  kAnswered,  ///< A whole answer to this request.
  kRefused,   ///< The endpoint promises that the request did not start.
  kNotSent,   ///< No endpoint can have seen the request.
  kLost,      ///< The request may have run; there is no usable answer.
};

/// @brief Value of the response header `Camphormux-Outcome`.
enum class Outcome { kAnswered, kNotRun, kUnknown };

/// @brief Head of an answer, as far as the verdict depends on it.
struct HeadSummary {
  int status = 0;
  bool framed = false;
  bool echo_matches = false;  ///< `Camphormux-Request-Id` is the request's own.
  std::optional<std::string> refused;  ///< `Camphormux-Refused`.
};

/// @brief Judges a head before its body is passed on.
/// @param head The head.
/// @return kAnswered if the body may be passed on once it is there, otherwise
/// the verdict.
[[nodiscard]] AttemptResult ClassifyHead(const HeadSummary& head);

/// @brief Judges a whole attempt.
/// @param head The head, if one arrived.
/// @param end How the attempt ended.
/// @return The verdict.
[[nodiscard]] AttemptResult ClassifyAttempt(
    const std::optional<HeadSummary>& head, const AttemptEnd& end);

/// @brief Translates an attempt for routing.
/// @param head The head, if one arrived.
/// @param verdict The verdict.
/// @return What routing learns from it.
[[nodiscard]] routing::AttemptOutcome ToRouting(
    const std::optional<HeadSummary>& head, AttemptResult result);

/// @brief State of an exchange after an attempt without an answer.
struct RetryContext {
  bool repeatable = false;
  bool may_have_run = false;  ///< Any attempt so far was lost.
  int attempts = 0;
  core::MonotonicTime earliest_retry;  ///< After the pause.
  core::MonotonicTime deadline;
};

/// @brief Upper bound of attempts of one request, retries included.
inline constexpr int kMaxAttempts = 4;

/// @brief Bounds the wait for the head of an answer, so that a host that is cut
/// off without a reset does not use up the time of a request that another host
/// could answer.
/// @param may_try_again Whether the request is repeatable and an attempt, a
/// retry and another host are left.
/// @param left Time until the deadline.
/// @param recent_run Covers 99% of the service's recent run times.
/// @return Half of the time left, if that covers the recent run times; else 0,
/// no bound.
[[nodiscard]] core::Millis HeadTimeout(bool may_retry, core::Millis remaining,
                                       core::Millis recent_run_time);

/// @brief Decides whether another attempt is allowed. The retry budget is asked
/// afterwards.
/// @param facts The exchange.
/// @param last Verdict of the last attempt.
/// @return Whether it may be sent again.
[[nodiscard]] bool MayRetry(const RetryContext& context, AttemptResult last);

/// @brief Returns the outcome of an exchange that ends without an answer.
/// @param may_have_run Whether any attempt was lost.
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
