#ifndef CAMPHORMUX_LOG_LOG_PORT_HPP_
#define CAMPHORMUX_LOG_LOG_PORT_HPP_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/result.hpp"
#include "camphormux/core/time.hpp"

namespace camphormux::log {

/// @brief Why an append got no offset. Only `kThrottled` and `kUnavailable`
/// prove that nothing was appended; after `kNoAnswer` the record may be there.
enum class AppendError { kThrottled, kUnavailable, kNoAnswer, kTooLarge };

/// @brief Why a read got no records.
enum class ReadError { kUnavailable, kNoAnswer, kBelowEarliest, kMalformed };

/// @brief A record as the log stores it.
struct StoredRecord {
  core::LogOffset offset;
  core::WallTime time;  ///< Time of the append on the log's clock.
  std::string data;
};

/// @brief Answer to a read.
struct ReadResult {
  core::LogOffset earliest;  ///< First offset that is still kept.
  core::LogOffset next;      ///< Offset that the next append will get.
  std::vector<StoredRecord> records;
};

/// @brief Failure of a read; `earliest` is set for `kBelowEarliest`.
struct ReadFailure {
  ReadError error = ReadError::kUnavailable;
  std::optional<core::LogOffset> earliest;
};

using AppendResult = core::Result<core::LogOffset, AppendError>;
using ReadAnswer = core::Result<ReadResult, ReadFailure>;

/// @brief Access to the platform's log service. The functions return at once;
/// the callback runs later on the caller's event loop.
struct LogPort {
  std::function<void(const std::string& stream, std::string data,
                     std::function<void(AppendResult)> done)>
      append;
  std::function<void(const std::string& stream, core::LogOffset from,
                     std::size_t max_bytes, core::Millis wait,
                     std::function<void(ReadAnswer)> done)>
      read;
};

/// Stream of the shared state.
inline constexpr const char* kStateStream = "state";
/// Stream of the records of idempotency keys.
inline constexpr const char* kKeyStream = "keys";
/// Stream of the jobs that teams submit and cancel.
inline constexpr const char* kJobStream = "jobs";

}  // namespace camphormux::log

#endif  // CAMPHORMUX_LOG_LOG_PORT_HPP_
