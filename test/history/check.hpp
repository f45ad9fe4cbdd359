#ifndef CAMPHORMUX_TEST_HISTORY_CHECK_HPP_
#define CAMPHORMUX_TEST_HISTORY_CHECK_HPP_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "test/history/records.hpp"

namespace camphormux::history {

/// New work may reach a leaving endpoint for this long after its drain
/// (docs/design.md, section 2).
inline constexpr Micros kLeavingGrace = 3'000'000;

/// @brief The promises that a history can break.
enum class Promise {
  kAnswerNotLost,      ///< Each ask ends with an outcome.
  kAnswerOwn,          ///< The body is that of the asked request.
  kAnswerWhole,        ///< The body is that of a run, byte for byte.
  kNotRunDidNotRun,    ///< An ask told `not-run` reached no run.
  kKeyRunsOnce,        ///< A key runs at most once.
  kRequestRunsOnce,    ///< A non-repeatable request id runs at most once.
  kLeavingGetsNoWork,  ///< No arrival later than the grace after a drain.
  kOneServicePerHost,  ///< Runs of two services never overlap on a host.
};

inline constexpr std::array kPromises{
    Promise::kAnswerNotLost,     Promise::kAnswerOwn,
    Promise::kAnswerWhole,       Promise::kNotRunDidNotRun,
    Promise::kKeyRunsOnce,       Promise::kRequestRunsOnce,
    Promise::kLeavingGetsNoWork, Promise::kOneServicePerHost};

/// @brief Names a promise in reports.
/// @param promise The promise.
/// @return A short name with hyphens.
[[nodiscard]] std::string_view Describe(Promise promise);

/// @brief One broken promise.
struct Breach {
  Promise promise;
  std::string detail;
};

/// @brief Counts and breaches of a history.
struct CheckResult {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  /// Asks without outcome through a gateway that was killed or paused.
  std::uint64_t excused = 0;
  /// Asks told `unknown` although the endpoint sent the whole answer.
  std::uint64_t unknown_but_sent = 0;
  std::uint64_t runs = 0;
  std::uint64_t refusals = 0;
  std::uint64_t moves = 0;  ///< Changes of a host from a service to another.
  std::vector<Breach> breaches;
};

/// @brief Judges a history.
/// @param history All asks, arrivals, drains and disturbances of one run.
/// @return The verdict; breaches in the order of `Promise`.
[[nodiscard]] CheckResult Check(const History& history);

}  // namespace camphormux::history

#endif  // CAMPHORMUX_TEST_HISTORY_CHECK_HPP_
