#ifndef CAMPHORMUX_STATE_SNAPSHOT_HPP_
#define CAMPHORMUX_STATE_SNAPSHOT_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/state/fleet_state.hpp"
#include "camphormux/state/records.hpp"

namespace camphormux::state {

/// Most bytes of data in a chunk.
inline constexpr std::size_t kMaxChunkBytes = std::size_t{64} << 10;

/// @brief Splits the encoded and compressed state into chunks.
/// @param state The state.
/// @param id Unique identifier of the snapshot.
/// @param recovery Whether records after the state were lost by everyone.
/// @return The chunks, at least one.
[[nodiscard]] std::vector<SnapshotChunk> MakeSnapshot(const FleetState& state,
                                                      const std::string& id,
                                                      bool recovery);

/// @brief A snapshot all of whose chunks were read.
struct CompleteSnapshot {
  FleetState state;
  bool recovery = false;
  core::LogOffset completed_at;  ///< Offset of the last chunk.
};

/// @brief Collects chunks in the order of the log.
struct SnapshotAssembler {
  struct Partial {
    core::LogOffset first;  ///< Offset of the first chunk read.
    core::LogOffset at;
    std::uint32_t count = 0;
    std::uint64_t digest = 0;
    bool recovery = false;
    std::map<std::uint32_t, std::string> pieces;
  };
  std::map<std::string, Partial> partials;
};

/// @brief Adds a chunk.
/// @param assembler The assembler.
/// @param chunk The chunk.
/// @param offset Its offset.
/// @return The snapshot if the chunk was its last and the whole matches its
/// digest. A damaged snapshot is dropped.
[[nodiscard]] std::optional<CompleteSnapshot> AddChunk(
    SnapshotAssembler& assembler, const SnapshotChunk& chunk,
    core::LogOffset offset);

}  // namespace camphormux::state

#endif  // CAMPHORMUX_STATE_SNAPSHOT_HPP_
