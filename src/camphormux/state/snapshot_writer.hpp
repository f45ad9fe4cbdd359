#ifndef CAMPHORMUX_STATE_SNAPSHOT_WRITER_HPP_
#define CAMPHORMUX_STATE_SNAPSHOT_WRITER_HPP_

#include <functional>
#include <memory>
#include <optional>

#include <asio/io_context.hpp>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/log/appender.hpp"
#include "camphormux/state/tailer.hpp"

namespace camphormux::state {

/// @brief When snapshots are written.
struct SnapshotPolicy {
  core::Millis retention = std::chrono::minutes(10);  ///< Of the log.
  /// Records after the last snapshot; bounds the time to recover.
  std::uint64_t max_tail = 20'000;
  /// Processes that have all records get so long to write a snapshot before a
  /// process that lacks some writes what it has.
  core::Millis recovery_wait = std::chrono::seconds(10);
  core::Millis recovery_jitter = std::chrono::seconds(5);
  /// Chunks go at most 20 a second, so that they leave most of the log's
  /// allowance to others.
  core::Millis chunk_period{50};
};

enum class SnapshotDuty { kNone, kSnapshot, kRecovery };

/// @brief Decides whether to write a snapshot.
/// @param policy When to write.
/// @param follower What was read.
/// @param owner Whether this process owns the lowest-named live zone.
/// @param gap_since Since when the follower has a gap, if it has one.
/// @param jitter Of this process, up to `recovery_jitter`.
/// @param now The process's monotonic time.
/// @return What to write.
[[nodiscard]] SnapshotDuty DecideSnapshot(
    const SnapshotPolicy& policy, const Follower& follower, bool owner,
    std::optional<core::MonotonicTime> gap_since, core::Millis jitter,
    core::MonotonicTime now);

/// @brief Writes snapshots of a tailer's state. Use it on the loop's thread
/// only.
class SnapshotWriter {
 public:
  /// @param loop Event loop; outlives the writer.
  /// @param appender Of the state stream; outlives the writer.
  /// @param tailer Whose state is written; outlives the writer.
  /// @param self This process.
  /// @param policy When to write.
  /// @param is_owner Whether this process owns the lowest-named live zone;
  /// gateways return false and write only when the log lost records.
  SnapshotWriter(asio::io_context& loop, log::Appender& appender,
                 const Tailer& tailer, core::ProcessId self,
                 SnapshotPolicy policy, std::function<bool()> is_owner);
  ~SnapshotWriter();
  SnapshotWriter(const SnapshotWriter&) = delete;
  SnapshotWriter& operator=(const SnapshotWriter&) = delete;

  /// @brief Starts to check regularly; goes on until the writer is destroyed.
  void Start();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::state

#endif  // CAMPHORMUX_STATE_SNAPSHOT_WRITER_HPP_
