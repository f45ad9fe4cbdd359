#ifndef CAMPHORMUX_STATE_FOLLOWER_HPP_
#define CAMPHORMUX_STATE_FOLLOWER_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/log/log_port.hpp"
#include "camphormux/state/fleet_state.hpp"
#include "camphormux/state/snapshot.hpp"

namespace camphormux::state {

/// @brief How a follower reads the log.
enum class FollowPhase {
  kFollowing,  ///< Applies each record.
  kSearching,  ///< Reads from the earliest offset for a complete snapshot.
  kLoading,    ///< Has found one; reads again and applies what it lacks.
};

/// @brief The last complete snapshot that was read from the log.
struct SnapshotMark {
  core::LogOffset at;
  core::LogOffset completed_at;
  core::WallTime time;  ///< The log's time of the last chunk.
};

/// @brief Builds the state from the log. Pure: the adapter reads from
/// `read_from` and reports the answers.
struct Follower {
  FleetState state;  ///< What is served; stays as it is while searching.
  FollowPhase phase = FollowPhase::kFollowing;
  core::LogOffset read_from;
  core::LogOffset earliest;   ///< Where the search began.
  core::LogOffset kept_from;  ///< First offset that the log still has.
  SnapshotAssembler assembler;
  FleetState loading;  ///< State under construction while loading.
  bool at_end = false;
  bool ready = false;     ///< Served state was complete at least once.
  bool searched = false;  ///< The search has reached the log's end.
  std::optional<SnapshotMark> last_snapshot;
  core::WallTime newest_time;  ///< The log's time of the last record read.
  std::uint64_t searches = 0;
};

/// @brief Something that was skipped.
struct SkippedRecord {
  core::LogOffset offset;
  std::string reason;
};

/// @brief What an answer brought.
struct FollowResult {
  bool changed = false;  ///< The served state changed.
  std::vector<SkippedRecord> skipped;
};

/// @brief Takes the answer to the read from `read_from`.
/// @param follower The follower.
/// @param result The records.
/// @return What changed.
[[nodiscard]] FollowResult OnRead(Follower& follower,
                                  const log::ReadResult& result);

/// @brief Takes the answer that `read_from` is below the earliest offset.
/// @param follower The follower.
/// @param earliest The earliest offset that is kept.
void OnBelowEarliest(Follower& follower, core::LogOffset earliest);

/// @brief Tells whether the log was searched in vain for a snapshot, so that
/// the state of another process would help.
/// @param follower The follower.
[[nodiscard]] bool NeedsBase(const Follower& follower);

/// @brief Takes the complete state of another process in place of a snapshot.
/// It is served after the records that follow it were read.
/// @param follower The follower.
/// @param state The state.
/// @return Why the state does not fit the log, or nothing.
[[nodiscard]] std::optional<std::string> TakeBase(Follower& follower,
                                                  FleetState state);

/// @brief Tells whether the served state is complete.
/// @param follower The follower.
/// @return Why it is not, for /readyz; nothing if it is.
[[nodiscard]] std::optional<std::string> WhyNotReady(const Follower& follower);

/// @brief Tells whether the log lacks what the served state has: records after
/// it were lost and no snapshot on the log replaces them, or the one that does
/// has a lower revision.
/// @param follower The follower.
/// @return Whether the served state should be appended as a recovery snapshot.
[[nodiscard]] bool HasGap(const Follower& follower);

}  // namespace camphormux::state

#endif  // CAMPHORMUX_STATE_FOLLOWER_HPP_
