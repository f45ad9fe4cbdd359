#include "camphormux/state/follower.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include "camphormux/state/codec.hpp"
#include "camphormux/state/fold.hpp"

namespace camphormux::state {
namespace internal {

// Collects the chunks of a log record; returns the snapshots they complete.
std::vector<CompleteSnapshot> Collect(SnapshotAssembler& assembler,
                                      const log::StoredRecord& record) {
  std::vector<CompleteSnapshot> complete;
  // Most records hold no chunk and need no second decoding.
  if (record.data.find("snapshot_chunk") == std::string::npos) {
    return complete;
  }
  const auto batch = DecodeRecords(record.data);
  if (!batch.has_value()) {
    return complete;
  }
  for (const Record& entry : batch.value().records) {
    const auto* chunk = std::get_if<SnapshotChunk>(&entry);
    if (chunk == nullptr) {
      continue;
    }
    auto snapshot = AddChunk(assembler, *chunk, record.offset);
    if (snapshot) {
      complete.push_back(std::move(*snapshot));
    }
  }
  return complete;
}

// Applies a record and what its snapshots carry beyond the state.
void ApplyTo(FleetState& state, SnapshotAssembler& assembler,
             std::optional<SnapshotMark>& mark, const log::StoredRecord& record,
             FollowResult& result) {
  const bool is_new = record.offset >= state.next;
  if (is_new) {
    auto reason = ApplyEncoded(state, record.data, record.offset);
    if (reason) {
      result.skipped.push_back({record.offset, std::move(*reason)});
    }
  }
  for (CompleteSnapshot& snapshot : Collect(assembler, record)) {
    mark = SnapshotMark{snapshot.state.next, record.offset, record.time};
    // Survivors of an outage beyond the retention may know different
    // revisions; the highest wins, at the same offset for every reader.
    if (is_new && snapshot.state.text.revision > state.text.revision) {
      state.text = std::move(snapshot.state.text);
      state.mark.next = state.next;
    }
  }
}

bool Follow(Follower& follower, const log::ReadResult& read,
            FollowResult& result) {
  for (const log::StoredRecord& record : read.records) {
    ApplyTo(follower.state, follower.assembler, follower.last_snapshot, record,
            result);
  }
  return !read.records.empty();
}

// Starts to load from a snapshot. The log is read again from where the search
// began, so that chunks of snapshots that began earlier are known as well.
void StartLoading(Follower& follower, FleetState state) {
  follower.phase = FollowPhase::kLoading;
  follower.searched = false;
  follower.loading = std::move(state);
  follower.assembler = {};
  follower.last_snapshot.reset();
  follower.read_from = follower.earliest;
}

// Returns whether the snapshot can stand for the records that are gone.
bool IsBase(const Follower& follower, const CompleteSnapshot& snapshot) {
  return snapshot.recovery || snapshot.state.next >= follower.earliest;
}

void Search(Follower& follower, const log::ReadResult& read) {
  for (const log::StoredRecord& record : read.records) {
    for (CompleteSnapshot& snapshot : Collect(follower.assembler, record)) {
      if (!IsBase(follower, snapshot)) {
        continue;
      }
      if (snapshot.state.next < follower.earliest) {
        // Records before the end of a recovery snapshot are lost for everyone.
        snapshot.state.next = core::Next(record.offset);
      }
      StartLoading(follower, std::move(snapshot.state));
      return;
    }
  }
}

void Load(Follower& follower, const log::ReadResult& read,
          FollowResult& result) {
  for (const log::StoredRecord& record : read.records) {
    ApplyTo(follower.loading, follower.assembler, follower.last_snapshot,
            record, result);
  }
}

// Serves the loaded state. A state with a lower revision than the served one
// waits until the higher one is on the log again, so that no revision reverts.
bool FinishLoading(Follower& follower) {
  if (follower.loading.text.revision < follower.state.text.revision) {
    return false;
  }
  const std::uint64_t loads = follower.state.mark.loads;
  follower.state = std::move(follower.loading);
  follower.state.mark = {follower.state.next, loads + 1};
  follower.state.maintenance_mark = follower.state.mark;
  follower.loading = {};
  follower.phase = FollowPhase::kFollowing;
  return true;
}

}  // namespace internal

FollowResult OnRead(Follower& follower, const log::ReadResult& read) {
  FollowResult result;
  const FollowPhase phase = follower.phase;
  follower.kept_from = read.earliest;
  if (!read.records.empty()) {
    follower.newest_time = read.records.back().time;
    follower.read_from = core::Next(read.records.back().offset);
  }
  const bool end = follower.read_from >= read.next;
  switch (phase) {
    case FollowPhase::kFollowing:
      result.changed = internal::Follow(follower, read, result);
      break;
    case FollowPhase::kSearching:
      follower.searched = end;
      internal::Search(follower, read);
      return result;
    case FollowPhase::kLoading:
      internal::Load(follower, read, result);
      follower.searched = end;
      if (!end || !internal::FinishLoading(follower)) {
        return result;
      }
      result.changed = true;
      break;
  }
  follower.at_end = end;
  follower.ready = follower.ready || end;
  return result;
}

void OnBelowEarliest(Follower& follower, core::LogOffset earliest) {
  follower.phase = FollowPhase::kSearching;
  follower.at_end = false;
  follower.searched = false;
  follower.earliest = earliest;
  follower.read_from = earliest;
  follower.assembler = {};
  follower.loading = {};
  ++follower.searches;
}

bool NeedsBase(const Follower& follower) {
  return follower.phase == FollowPhase::kSearching && follower.searched;
}

std::optional<std::string> TakeBase(Follower& follower, FleetState state) {
  if (!NeedsBase(follower)) {
    return "no state is needed";
  }
  const core::LogOffset kept = std::max(follower.earliest, follower.kept_from);
  if (state.next < kept || state.next > follower.read_from) {
    return "the state ends at offset " + std::to_string(state.next.value) +
           ", the log has " + std::to_string(kept.value) + " to " +
           std::to_string(follower.read_from.value);
  }
  follower.earliest = kept;
  internal::StartLoading(follower, std::move(state));
  return std::nullopt;
}

std::optional<std::string> WhyNotReady(const Follower& follower) {
  if (follower.ready) {
    return std::nullopt;
  }
  switch (follower.phase) {
    case FollowPhase::kFollowing:
      return "the log is not read to its end";
    case FollowPhase::kSearching:
      return follower.searched ? "the log holds no complete snapshot"
                               : "the log is searched for a snapshot";
    case FollowPhase::kLoading:
      return "the records after the snapshot are not all read";
  }
  return std::nullopt;
}

bool HasGap(const Follower& follower) {
  return follower.phase != FollowPhase::kFollowing && follower.searched;
}

}  // namespace camphormux::state
