#ifndef CAMPHORMUX_LOAD_RECORDER_HPP_
#define CAMPHORMUX_LOAD_RECORDER_HPP_

#include <array>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "camphormux/load/plan.hpp"

namespace camphormux::load {

/// @brief One request as seen by its caller. Times are Unix times in
/// microseconds.
struct Sample {
  Plan plan;
  std::string gateway;
  std::string request_id;
  std::int64_t intended = 0;  ///< Scheduled send time.
  std::int64_t sent = 0;
  std::int64_t end = 0;
  std::string outcome = "none";
  int status = 0;      ///< 0: no response.
  std::string digest;  ///< XXH3 hash of the response body, in hexadecimal.
  std::string code;    ///< Error code of the gateway; may be empty.
  bool intact = true;  ///< The body names the request and is complete.
};

/// @brief Latency of one priority class, measured from the intended send time.
struct ClassSummary {
  std::uint64_t answered = 0;
  std::int64_t p50_us = 0;
  std::int64_t p99_us = 0;
};

/// @brief Results of one service.
struct ServiceSummary {
  std::uint64_t requests = 0;
  std::uint64_t good = 0;  ///< Below status 500 within the deadline.
};

/// @brief Results of a load run.
struct Summary {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t none = 0;     ///< No response arrived.
  std::uint64_t damaged = 0;  ///< Truncated or for another request.
  /// Answers with a status below 500 within the deadline, per second.
  double goodput = 0;
  double rejected_share = 0;  ///< Ratio of `not-run` to all requests.
  /// 99th percentile of how late the generator itself sent requests.
  std::int64_t send_lag_p99_us = 0;
  std::array<ClassSummary, 2> classes;  ///< [0]: normal, [1]: urgent.
  std::map<std::string, ServiceSummary> services;
  /// Number of unanswered requests by error code of the gateway.
  std::map<std::string, std::uint64_t> codes;
};

/// @brief Returns a percentile of the values by the nearest-rank method.
/// @param values The values; reordered.
/// @param share The percentile as a fraction from 0 to 1.
/// @return The value; 0 if there are none.
[[nodiscard]] std::int64_t Percentile(std::vector<std::int64_t>& values,
                                      double share);

/// @brief Collects the samples of all threads and writes the history file, one
/// JSON object per request and line.
class Recorder {
 public:
  /// @param path Path of the history file; empty: none is written.
  /// @param deadline Time from the intended send time after which an answer
  /// does not count as goodput.
  /// @throws std::runtime_error if the file cannot be opened.
  Recorder(const std::string& path, core::Millis deadline);

  /// @brief Adds a sample; thread-safe.
  /// @param sample The sample.
  void Add(const Sample& sample);

  /// @brief Summarises all samples.
  /// @param seconds Length of the run in seconds.
  /// @return The summary.
  [[nodiscard]] Summary Summarise(double seconds);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  std::int64_t deadline_us_;
  Summary counts_;
  std::uint64_t good_answers_ = 0;
  std::array<std::vector<std::int64_t>, 2> latencies_;
  std::vector<std::int64_t> send_lags_us_;
};

}  // namespace camphormux::load

#endif  // CAMPHORMUX_LOAD_RECORDER_HPP_
