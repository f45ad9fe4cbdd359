#ifndef CAMPHORMUX_TEST_PLATFORM_STANDIN_LOG_STORE_HPP_
#define CAMPHORMUX_TEST_PLATFORM_STANDIN_LOG_STORE_HPP_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "camphormux/core/time.hpp"
#include "camphormux/log/log_port.hpp"

namespace camphormux::standin {

/// @brief Limits of the simulated log service.
struct LogLimits {
  core::Millis retention = std::chrono::minutes(10);
  double appends_per_second = 300.0;  ///< Shared by all streams.
  double burst = 30.0;                ///< Size of the token bucket.
  std::size_t max_record_bytes = std::size_t{1} << 20;
};

/// @brief In-memory records of all streams, with a token bucket that limits the
/// append rate.
class LogStore {
 public:
  explicit LogStore(LogLimits limits) : limits_(limits) {}

  /// @brief Takes one append from the token bucket that all streams share.
  /// @return False if the bucket is empty.
  [[nodiscard]] bool TryConsumeToken(core::MonotonicTime now);

  /// @brief Appends a record and calls the functions of `OnAppend`.
  /// @return The offset of the record.
  core::LogOffset Append(const std::string& stream, std::string data,
                         core::WallTime time);

  /// @brief Reads records up to `max_bytes`, but at least one if there is any.
  /// @return The records, or `kBelowEarliest` with the earliest offset if the
  /// record at `from` has expired.
  [[nodiscard]] log::ReadAnswer Read(const std::string& stream,
                                     core::LogOffset from,
                                     std::size_t max_bytes);

  /// @return The next offset of each stream.
  [[nodiscard]] std::map<std::string, core::LogOffset> Ends() const;

  /// @brief Registers a function that the next append to a stream calls once.
  void OnAppend(const std::string& stream, std::function<void()> wake);

  /// @brief Removes the records that were appended before `time`.
  void ExpireBefore(core::WallTime time);

  [[nodiscard]] const LogLimits& limits() const { return limits_; }
  void SetAppendsPerSecond(double rate) { limits_.appends_per_second = rate; }

 private:
  struct Stream {
    core::LogOffset next;
    std::deque<log::StoredRecord> records;
    std::vector<std::function<void()>> waiters;
  };

  LogLimits limits_;
  double tokens_ = 0;
  std::optional<core::MonotonicTime> refilled_at_;
  std::map<std::string, Stream> streams_;
};

}  // namespace camphormux::standin

#endif  // CAMPHORMUX_TEST_PLATFORM_STANDIN_LOG_STORE_HPP_
