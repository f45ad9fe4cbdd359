#ifndef CAMPHORMUX_SCHEDULER_BACKLOG_HPP_
#define CAMPHORMUX_SCHEDULER_BACKLOG_HPP_

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/scheduler/rank.hpp"

namespace camphormux::scheduler {

/// @brief Free cores over the time that follows a planning pass. Cores are only
/// added, as what is placed on them is counted as work.
struct Room {
  static constexpr core::Millis kSlot{100};
  static constexpr std::size_t kSlots = 200;

  std::array<double, kSlots> cores{};  ///< Free cores in each slot.
  /// Core seconds from the pass to the end of each slot.
  std::array<double, kSlots> core_seconds{};
};

/// @brief Work that waits to be placed.
struct BacklogEntry {
  Rank rank;
  double core_seconds = 0;  ///< Of its tasks without a run.
  /// When the job goes before all that can still be on time.
  core::MonotonicTime expiring_at;
  double total = 0;  ///< Of it and all entries before it.
};

/// @brief What one planning pass leaves behind in a pool.
struct PoolBacklog {
  static constexpr core::Millis kSlot{250};
  static constexpr std::size_t kSlots = 80;

  /// By the slot after the pass in which they become expiring, each in the
  /// order of the ranks.
  std::array<std::vector<BacklogEntry>, kSlots> waiting;
  std::vector<BacklogEntry> accepted;  ///< Since the pass, in any order.
  Room room;                           ///< Of hosts present or on their way.
  /// Core seconds of the waiting work that exceed the room of the pool until
  /// another host can have joined it.
  double lack = 0;
  double spare = 0;  ///< Cores of idle hosts that exceed its need.
};

/// @brief A job that was refused and may be submitted again.
struct RefusedJob {
  core::PoolName pool;
  Rank rank;
  double core_seconds = 0;
  core::MonotonicTime first_refused;
  core::MonotonicTime return_at;  ///< When its caller was told to return.
};

/// @brief What decisions about new jobs are based on. It is lost at a takeover:
/// the next planning pass measures it again, and callers that were refused
/// before count as new ones.
struct Backlogs {
  std::optional<core::MonotonicTime> measured;
  std::map<core::PoolName, PoolBacklog> pools;
  double lack = 0;              ///< Of all pools, core seconds.
  double spare = 0;             ///< Of all pools, cores.
  double standby = 0;           ///< Cores of machines in standby pools.
  double moved_per_second = 0;  ///< Cores that can be moved per second.
  /// Bounded in number and time.
  std::unordered_map<core::JobId, RefusedJob> refused;
};

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_BACKLOG_HPP_
