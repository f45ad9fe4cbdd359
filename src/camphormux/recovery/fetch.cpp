#include "camphormux/recovery/fetch.hpp"

#include <utility>
#include <vector>

#include "camphormux/cbor/cbor.hpp"
#include "camphormux/state/codec.hpp"
#include "camphormux/state/fold.hpp"

namespace camphormux::recovery {
namespace internal {

constexpr std::size_t kMaxSnapshotIdBytes = 256;

// Decodes an answer; it must consist of one chunk. Returns the chunk or an
// error text.
core::Result<state::SnapshotChunk, std::string> DecodeAnswer(
    std::string_view body) {
  auto batch = state::DecodeRecords(body);
  if (!batch.has_value()) {
    return "malformed answer: " + batch.error().reason;
  }
  std::vector<state::Record>& records = batch.value().records;
  if (records.size() != 1 ||
      !std::holds_alternative<state::SnapshotChunk>(records.front())) {
    return std::string("answer does not consist of one chunk");
  }
  return std::get<state::SnapshotChunk>(std::move(records.front()));
}

std::string CheckChunk(const Fetch& fetch, const state::SnapshotChunk& chunk) {
  if (chunk.count == 0 || chunk.count > kMaxChunks) {
    return "state has " + std::to_string(chunk.count) +
           " chunks; allowed: 1 to " + std::to_string(kMaxChunks);
  }
  if (chunk.data.empty() || chunk.data.size() > state::kMaxChunkBytes) {
    return "chunk size out of range: " + std::to_string(chunk.data.size()) +
           " bytes";
  }
  if (chunk.index != fetch.next_index) {
    return "chunk index " + std::to_string(chunk.index) + ", expected " +
           std::to_string(fetch.next_index);
  }
  if (chunk.at.value == 0 || chunk.snapshot.empty() ||
      chunk.snapshot.size() > kMaxSnapshotIdBytes) {
    return "chunk has no valid snapshot id or offset";
  }
  const bool same = !fetch.first || (chunk.snapshot == fetch.first->snapshot &&
                                     chunk.at == fetch.first->at &&
                                     chunk.count == fetch.first->count &&
                                     chunk.digest == fetch.first->digest);
  return same ? "" : "chunk belongs to another snapshot";
}

// Reports from other zones may be minutes old, so a process whose report ends
// before the log's earliest record is also asked, after the others.
int RankPeer(const membership::Member& member, core::LogOffset earliest,
             bool avoided) {
  if (member.health == membership::Health::kDead ||
      member.report.applied.value == 0) {
    return 0;
  }
  const int reaches = member.report.applied >= earliest ? 1 : 0;
  const int alive = member.health == membership::Health::kAlive ? 1 : 0;
  const int other = avoided ? 0 : 4;
  return 1 + other + 2 * alive + reaches;
}

}  // namespace internal

std::string Encode(const ChunkQuery& query) {
  return cbor::Serialize(
      nlohmann::json::array({cbor::Bytes(query.snapshot), query.index}));
}

std::optional<ChunkQuery> DecodeQuery(std::string_view data) {
  const auto value = cbor::Parse(data);
  if (!value) {
    return std::nullopt;
  }
  cbor::ArrayReader in(*value);
  ChunkQuery query;
  query.snapshot = in.Bytes(internal::kMaxSnapshotIdBytes);
  query.index = static_cast<std::uint32_t>(in.Unsigned(kMaxChunks - 1));
  return in.ok() ? std::optional(std::move(query)) : std::nullopt;
}

ChunkQuery NextQuery(const Fetch& fetch) {
  return {fetch.first ? fetch.first->snapshot : "", fetch.next_index};
}

std::optional<std::string> AddAnswer(Fetch& fetch, std::string_view body) {
  auto chunk = internal::DecodeAnswer(body);
  if (!chunk.has_value()) {
    return chunk.error();
  }
  std::string problem = internal::CheckChunk(fetch, chunk.value());
  if (!problem.empty()) {
    return problem;
  }
  ++fetch.next_index;
  auto snapshot = state::AddChunk(fetch.assembler, chunk.value(), {});
  if (!fetch.first) {
    fetch.first = std::move(chunk.value());
    fetch.first->data.clear();
  }
  if (snapshot) {
    fetch.complete = std::move(snapshot->state);
  } else if (fetch.next_index == fetch.first->count) {
    return "assembled state does not match its digest or cannot be decoded";
  }
  return std::nullopt;
}

std::optional<std::string> FindDigestConflict(const state::FleetState& state,
                                              const membership::View& view) {
  const std::uint64_t digest = state::Digest(state);
  std::size_t same = 0;
  std::size_t other = 0;
  for (const auto& [id, member] : view.members) {
    // A report between two digest updates carries no digest.
    if (member.health != membership::Health::kDead &&
        member.report.digest != 0 && member.report.applied == state.next) {
      ++(member.report.digest == digest ? same : other);
    }
  }
  if (other > 0 && other >= same) {
    return std::to_string(other) +
           " processes report a different digest at offset " +
           std::to_string(state.next.value);
  }
  return std::nullopt;
}

const membership::Member* ChoosePeer(const membership::View& view,
                                     core::LogOffset earliest,
                                     const core::ProcessId& avoid,
                                     core::Random& random) {
  std::vector<const membership::Member*> best;
  int best_rank = 0;
  for (const auto& [id, member] : view.members) {
    const int rank = internal::RankPeer(member, earliest, id == avoid);
    if (rank > best_rank) {
      best_rank = rank;
      best.clear();
    }
    if (rank > 0 && rank == best_rank) {
      best.push_back(&member);
    }
  }
  return best.empty() ? nullptr : best[core::UniformBelow(random, best.size())];
}

}  // namespace camphormux::recovery
