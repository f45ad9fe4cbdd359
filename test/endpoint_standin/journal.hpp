#ifndef CAMPHORMUX_TEST_ENDPOINT_STANDIN_JOURNAL_HPP_
#define CAMPHORMUX_TEST_ENDPOINT_STANDIN_JOURNAL_HPP_

#include <cstdint>
#include <fstream>
#include <string>

#include "test/endpoint_standin/host.hpp"

namespace camphormux::endpoint_standin {

/// @brief One execution of a request.
struct Run {
  std::string request_id;
  std::string key;  ///< Idempotency key; may be empty.
  std::string service;
  std::string method;
  std::string path;
  std::uint64_t generation = 0;
  std::int64_t start_us = 0;  ///< Unix time in microseconds.
  std::int64_t end_us = 0;
  std::string outcome;  ///< How the response left, such as "answered".
  std::string digest;   ///< XXH3 of the whole response body.
};

/// @brief Reads the wall clock.
/// @return Unix time in microseconds.
[[nodiscard]] std::int64_t UnixMicros();

/// @brief Writes the execution journal: one JSON line for each run, refusal,
/// assignment, drain and reboot, flushed line by line.
class Journal {
 public:
  /// @param path File to append to; empty turns the journal off.
  /// @throws std::runtime_error if the file cannot be opened.
  explicit Journal(const std::string& path);

  /// @brief Records a run.
  void Write(const Host& host, const Run& run);
  /// @brief Records a request that did not run.
  void WriteRefusal(const Host& host, const Run& run, Refusal refusal);
  /// @brief Records a change of a host's state.
  /// @param host The host after the change.
  /// @param event "assign", "drain", "reboot" or "boot".
  void WriteEvent(const Host& host, const std::string& event);

 private:
  std::ofstream file_;
};

}  // namespace camphormux::endpoint_standin

#endif  // CAMPHORMUX_TEST_ENDPOINT_STANDIN_JOURNAL_HPP_
