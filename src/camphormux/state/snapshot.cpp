#include "camphormux/state/snapshot.hpp"

#include <algorithm>
#include <utility>

#include "camphormux/state/packed_state.hpp"
#include "camphormux/state/state_codec.hpp"

namespace camphormux::state {
namespace internal {

// Snapshots whose chunks interleave are rare; this bounds the memory that
// unfinished ones of stopped writers hold.
constexpr std::size_t kMaxPartials = 8;

void DropOldestPartial(SnapshotAssembler& assembler) {
  if (assembler.partials.size() <= kMaxPartials) {
    return;
  }
  assembler.partials.erase(
      std::min_element(assembler.partials.begin(), assembler.partials.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.first < b.second.first;
                       }));
}

std::optional<CompleteSnapshot> Finish(
    const SnapshotAssembler::Partial& partial, core::LogOffset offset) {
  std::string bytes;
  for (const auto& [index, piece] : partial.pieces) {
    bytes += piece;
  }
  if (DigestBytes(bytes) != partial.digest) {
    return std::nullopt;
  }
  auto decoded = DecodePackedState(bytes);
  if (!decoded.has_value() || decoded.value().next != partial.at) {
    return std::nullopt;
  }
  return CompleteSnapshot{std::move(decoded.value()), partial.recovery, offset};
}

}  // namespace internal

std::vector<SnapshotChunk> MakeSnapshot(const FleetState& state,
                                        const std::string& id, bool recovery) {
  const std::string bytes = EncodePackedState(state);
  const std::size_t count =
      (bytes.size() + kMaxChunkBytes - 1) / kMaxChunkBytes;
  std::vector<SnapshotChunk> chunks(count);
  for (std::size_t i = 0; i < count; ++i) {
    chunks[i] = SnapshotChunk{id,
                              state.next,
                              static_cast<std::uint32_t>(i),
                              static_cast<std::uint32_t>(count),
                              DigestBytes(bytes),
                              bytes.substr(i * kMaxChunkBytes, kMaxChunkBytes),
                              recovery};
  }
  return chunks;
}

std::optional<CompleteSnapshot> AddChunk(SnapshotAssembler& assembler,
                                         const SnapshotChunk& chunk,
                                         core::LogOffset offset) {
  const auto [place, is_new] = assembler.partials.try_emplace(chunk.snapshot);
  SnapshotAssembler::Partial& partial = place->second;
  if (is_new) {
    partial = {offset, chunk.at, chunk.count, chunk.digest, chunk.recovery, {}};
  }
  if (chunk.at != partial.at || chunk.count != partial.count ||
      chunk.digest != partial.digest || chunk.index >= chunk.count) {
    return std::nullopt;
  }
  partial.pieces.emplace(chunk.index, chunk.data);
  if (partial.pieces.size() < partial.count) {
    internal::DropOldestPartial(assembler);
    return std::nullopt;
  }
  auto complete = internal::Finish(partial, offset);
  assembler.partials.erase(place);
  return complete;
}

}  // namespace camphormux::state
