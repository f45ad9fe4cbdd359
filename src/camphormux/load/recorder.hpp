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

/// @brief One request as its caller saw it. Times are Unix times in
/// microseconds.
struct Sample {
  Plan plan;
  std::string gateway;
  std::string request_id;
  std::int64_t intended = 0;
  std::int64_t sent = 0;
  std::int64_t end = 0;
  std::string outcome = "none";
  int status = 0;  ///< 0: no response.
  std::string digest;
  std::string code;    ///< Error code of the gateway; may be empty.
  bool intact = true;  ///< The body names the request and has its end.
};

/// @brief Latency of one priority class, from the intended send time.
struct ClassSummary {
  std::uint64_t answered = 0;
  std::int64_t p50_us = 0;
  std::int64_t p99_us = 0;
};

/// @brief What one service delivered.
struct ServiceSummary {
  std::uint64_t requests = 0;
  std::uint64_t good = 0;  ///< Below status 500 within the deadline.
};

/// @brief What a run measured.
struct Summary {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t none = 0;     ///< No response arrived.
  std::uint64_t damaged = 0;  ///< Answers of another request or cut ones.
  /// Answers below status 500 within the deadline, a second.
  double goodput = 0;
  double rejected_share = 0;  ///< `not-run` over requests.
  /// How late the generator itself sent, 99th percentile.
  std::int64_t send_lag_p99_us = 0;
  std::array<ClassSummary, 2> classes;  ///< Normal, urgent.
  std::map<std::string, ServiceSummary> services;
  /// Requests that were not answered, by error code of the gateway.
  std::map<std::string, std::uint64_t> codes;
};

/// @brief Value below which a share of the values lie (nearest rank).
/// @param values The values; reordered.
/// @param share From 0 to 1.
/// @return The value; 0 if there are none.
[[nodiscard]] std::int64_t Percentile(std::vector<std::int64_t>& values,
                                      double share);

/// @brief Collects samples of all threads and writes the caller history.
class Recorder {
 public:
  /// @param path File of the history; empty: none.
  /// @param deadline Later answers do not count as goodput; from the intended
  /// send time.
  /// @throws std::runtime_error if the file cannot be opened.
  Recorder(const std::string& path, core::Millis deadline);

  /// @brief Adds a sample.
  /// @param sample The sample.
  void Add(const Sample& sample);

  /// @brief Summarises all samples.
  /// @param seconds Length of the run.
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
