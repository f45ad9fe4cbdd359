#ifndef CAMPHORMUX_TEST_HISTORY_CHECK_HPP_
#define CAMPHORMUX_TEST_HISTORY_CHECK_HPP_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "test/history/records.hpp"

namespace camphormux::history {

/// Time after a drain in which new requests may still reach the endpoint
/// (docs/design.md, section 2).
inline constexpr Micros kLeavingGrace = 3'000'000;

/// @brief The guarantees to callers that the check verifies.
enum class Promise {
  kAnswerNotLost,      ///< Each request ends with an outcome.
  kAnswerOwn,          ///< The body belongs to the caller's request.
  kAnswerWhole,        ///< The body equals that of a run, byte for byte.
  kNotRunDidNotRun,    ///< A request reported as `not-run` never ran.
  kKeyRunsOnce,        ///< An idempotency key runs at most once.
  kRequestRunsOnce,    ///< A non-repeatable request id runs at most once.
  kLeavingGetsNoWork,  ///< No arrival after `kLeavingGrace` of a drain.
  kOneServicePerHost,  ///< Runs of two services don't overlap.
};

inline constexpr std::array kPromises{
    Promise::kAnswerNotLost,     Promise::kAnswerOwn,
    Promise::kAnswerWhole,       Promise::kNotRunDidNotRun,
    Promise::kKeyRunsOnce,       Promise::kRequestRunsOnce,
    Promise::kLeavingGetsNoWork, Promise::kOneServicePerHost};

/// @brief Returns the name of a promise in reports.
/// @param promise The promise.
/// @return A short name with hyphens.
[[nodiscard]] std::string_view Describe(Promise promise);

/// @brief One violation of a promise.
struct Breach {
  Promise promise;
  std::string detail;
};

/// @brief Counters and violations of a checked history.
struct CheckResult {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  /// Requests without outcome whose gateway was killed or paused, and late
  /// arrivals at draining endpoints from such gateways.
  std::uint64_t excused = 0;
  /// Requests reported as `unknown` although the endpoint sent the complete
  /// response.
  std::uint64_t unknown_but_sent = 0;
  std::uint64_t runs = 0;
  std::uint64_t refusals = 0;
  std::uint64_t moves = 0;  ///< Host reassignments to another service.
  std::vector<Breach> breaches;
};

/// @brief Checks the records of a test run against all promises.
/// @param history The records.
/// @return Counters and violations; the latter in the order of `Promise`.
[[nodiscard]] CheckResult Check(const History& history);

}  // namespace camphormux::history

#endif  // CAMPHORMUX_TEST_HISTORY_CHECK_HPP_
