#ifndef CAMPHORMUX_LOAD_PLAN_HPP_
#define CAMPHORMUX_LOAD_PLAN_HPP_

#include <cstdint>
#include <string>

#include "camphormux/core/random.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::load {

/// @brief Shares of the kinds of requests, each from 0 to 1.
struct PlanOptions {
  double urgent = 0.3;
  double non_repeatable = 0.3;  ///< If the service declares such requests.
  double keyed = 0.8;           ///< Share of the non-repeatable ones.
  double duplicated = 0.1;      ///< Share of the keyed ones sent twice.
  /// Upper bound of the delay before the duplicate is sent.
  core::Millis max_duplicate_delay = std::chrono::seconds(2);
};

/// @brief One request to send.
struct Plan {
  std::string identity;  ///< Last path segment; unique within a run.
  std::string key;       ///< Idempotency key; empty: none.
  std::string service;
  std::string method;
  std::string path;
  bool urgent = false;
  bool repeatable = true;
  bool send_duplicate = false;  ///< Send it through a second gateway too.
  core::Millis duplicate_delay{0};
};

/// @brief Generates a UUID of version 7 (RFC 9562).
/// @param random Source of the random bits.
/// @param unix_ms Unix time in milliseconds.
/// @return The text form.
[[nodiscard]] std::string MakeUuid7(core::Random& random,
                                    std::uint64_t unix_ms);

/// @brief Draws one request at random.
/// @param service The service to call.
/// @param options Shares of the kinds.
/// @param random Source of the draws.
/// @param unix_ms Unix time in milliseconds, for the identity and the key.
/// @return The request.
[[nodiscard]] Plan MakePlan(const text::Service& service,
                            const PlanOptions& options, core::Random& random,
                            std::uint64_t unix_ms);

}  // namespace camphormux::load

#endif  // CAMPHORMUX_LOAD_PLAN_HPP_
