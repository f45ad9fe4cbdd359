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

/// Most chunks of a transferred state: 32 MiB. The state of 5,000 hosts takes
/// about 2 MB.
inline constexpr std::uint32_t kMaxChunks = 512;

/// Part of the reason in /readyz of a process that knows of no live process
/// with a state.
inline constexpr const char* kNoPeerHasState =
    "no live process is known to have the state";

/// @brief Asks a peer for one chunk of its state.
struct ChunkQuery {
  std::string snapshot;     ///< Empty for the first chunk of the newest state.
  std::uint32_t index = 0;  ///< 0-based.

  friend bool operator==(const ChunkQuery&, const ChunkQuery&) = default;
};

[[nodiscard]] std::string Encode(const ChunkQuery& query);
[[nodiscard]] std::optional<ChunkQuery> DecodeQuery(std::string_view data);

/// @brief A transfer from one peer.
struct Fetch {
  state::SnapshotAssembler assembler;
  std::optional<state::SnapshotChunk> first;  ///< Without its data.
  std::uint32_t next_index = 0;
  std::optional<state::FleetState> complete;
};

/// @brief Makes the next query of a transfer.
/// @param fetch The transfer.
/// @return The query.
[[nodiscard]] ChunkQuery NextQuery(const Fetch& fetch);

/// @brief Takes the answer to the next query. Pure.
/// @param fetch The transfer; complete after the last chunk.
/// @param body The answer's body.
/// @return Why the answer and with it the transfer is refused, or nothing.
[[nodiscard]] std::optional<std::string> AddAnswer(Fetch& fetch,
                                                   std::string_view body);

/// @brief Compares a transferred state with what processes reported of theirs
/// at the same offset.
/// @param state The state.
/// @param view The processes.
/// @return Why the state is refused, or nothing: reports of another digest must
/// be fewer than those of the same.
[[nodiscard]] std::optional<std::string> FindDigestConflict(
    const state::FleetState& state, const membership::View& view);

/// @brief Chooses whom to ask.
/// @param view The processes.
/// @param earliest First offset that the log still has; a state that ends
/// before it lacks records.
/// @param avoid The process that was asked last, if another one has a state.
/// @param random Source of the choice.
/// @return A process that is not known to be dead and reported a state,
/// preferably a live one whose state reaches `earliest`.
[[nodiscard]] const membership::Member* ChoosePeer(const membership::View& view,
                                                   core::LogOffset earliest,
                                                   const core::ProcessId& avoid,
                                                   core::Random& random);

}  // namespace camphormux::recovery

#endif  // CAMPHORMUX_RECOVERY_FETCH_HPP_
