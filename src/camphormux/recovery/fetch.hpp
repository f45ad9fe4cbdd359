#ifndef CAMPHORMUX_RECOVERY_FETCH_HPP_
#define CAMPHORMUX_RECOVERY_FETCH_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/random.hpp"
#include "camphormux/membership/view.hpp"
#include "camphormux/state/fleet_state.hpp"
#include "camphormux/state/snapshot.hpp"

namespace camphormux::recovery {

/// Path of chunk queries on the peer server.
inline constexpr const char* kChunkPath = "/state/chunk";

/// Maximum number of chunks of a transferred state: 32 MiB. The state of 5,000
/// hosts takes about 2 MB.
inline constexpr std::uint32_t kMaxChunks = 512;

/// Part of the `/readyz` reason of a process that knows no live process with a
/// state.
inline constexpr const char* kNoPeerHasState =
    "no live process is known to have the state";

/// @brief Requests one chunk of a peer's state.
struct ChunkQuery {
  /// Empty to request the first chunk of the newest state.
  std::string snapshot;
  std::uint32_t index = 0;  ///< 0-based.

  friend bool operator==(const ChunkQuery&, const ChunkQuery&) = default;
};

[[nodiscard]] std::string Encode(const ChunkQuery& query);
[[nodiscard]] std::optional<ChunkQuery> DecodeQuery(std::string_view data);

/// @brief A state transfer from one peer.
struct Fetch {
  state::SnapshotAssembler assembler;
  /// First chunk, without its data.
  std::optional<state::SnapshotChunk> first;
  std::uint32_t next_index = 0;
  std::optional<state::FleetState> complete;
};

/// @brief Makes the next query of a transfer.
/// @param fetch The transfer.
/// @return The query.
[[nodiscard]] ChunkQuery NextQuery(const Fetch& fetch);

/// @brief Adds the answer to the next query to the transfer. Pure function of
/// its arguments.
/// @param fetch The transfer; complete after the last chunk.
/// @param body The answer's body.
/// @return Why the answer is rejected, which ends the transfer; nothing if it
/// is accepted.
[[nodiscard]] std::optional<std::string> AddAnswer(Fetch& fetch,
                                                   std::string_view body);

/// @brief Compares a transferred state with the digests that other processes
/// reported for the same offset.
/// @param state The state.
/// @param view The known processes.
/// @return Why the state is rejected, or nothing. Reports of a different digest
/// must be fewer than reports of the same digest.
[[nodiscard]] std::optional<std::string> FindDigestConflict(
    const state::FleetState& state, const membership::View& view);

/// @brief Chooses the process to request the state from.
/// @param view The known processes.
/// @param earliest First offset that the log still has. A state that ends
/// before it lacks records.
/// @param avoid The process asked last; chosen only if no other process has a
/// state.
/// @param random Random number generator.
/// @return A process that is not known to be dead and has reported a state,
/// preferably a live one whose state reaches `earliest`; nullptr if there is
/// none.
[[nodiscard]] const membership::Member* ChoosePeer(const membership::View& view,
                                                   core::LogOffset earliest,
                                                   const core::ProcessId& avoid,
                                                   core::Random& random);

}  // namespace camphormux::recovery

#endif  // CAMPHORMUX_RECOVERY_FETCH_HPP_
