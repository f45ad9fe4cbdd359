#include "camphormux/cli/bootstrap.hpp"

#include <memory>
#include <utility>

#include "camphormux/state/codec.hpp"
#include "camphormux/state/snapshot.hpp"
#include "camphormux/text/parse.hpp"

namespace camphormux::cli {
namespace internal {

constexpr int kAppendAttempts = 10;
constexpr core::Millis kAppendRetryDelay{500};

// Retrying is safe: a chunk that is on the log twice counts once.
bool AppendChunk(LogSession& session, const state::SnapshotChunk& chunk) {
  const std::string data = state::EncodeRecords({chunk});
  for (int i = 0; i < kAppendAttempts; ++i) {
    if (session.Append(data).has_value()) {
      return true;
    }
    session.Pause(kAppendRetryDelay);
  }
  return false;
}

// Returns an error if a record is appended within the quiet period.
std::optional<BootstrapError> CheckQuiet(LogSession& session,
                                         core::LogOffset end,
                                         core::Millis quiet_period) {
  session.Pause(quiet_period);
  std::size_t records = 0;
  const ReadOutcome read =
      session.ReadToEnd(end, [&](const log::StoredRecord&) { ++records; });
  if (!read.has_value()) {
    return BootstrapError::kUnreachable;
  }
  return records == 0 ? std::nullopt : std::optional(BootstrapError::kLogInUse);
}

std::optional<BootstrapError> CheckOwnStateInForce(
    LogSession& session, const BootstrapRequest& request) {
  state::Follower follower;
  if (!session.Follow(follower).has_value()) {
    return BootstrapError::kIncompleteWrite;
  }
  const bool own = follower.state.numbering_floor == request.numbering_floor &&
                   follower.state.text.source == request.source;
  return own ? std::nullopt : std::optional(BootstrapError::kSuperseded);
}

}  // namespace internal

state::FleetState MakeInitialState(const BootstrapRequest& request,
                                   core::LogOffset next) {
  state::FleetState state;
  state.next = next;
  state.numbering_floor = request.numbering_floor;
  auto parsed = text::ParseOperatorText("bootstrap", request.source);
  if (!parsed.has_value()) {
    return state;
  }
  state.text = {
      core::Next(request.base), request.author, request.source,
      std::make_shared<const text::OperatorText>(std::move(parsed.value()))};
  for (const auto& [zone, unused] : state.text.parsed->zones) {
    state.leases[zone] = {{"bootstrap"}, {request.numbering_floor}, next, true};
  }
  return state;
}

std::optional<BootstrapError> Bootstrap(LogSession& session,
                                        const BootstrapRequest& request) {
  state::Follower follower;
  const ReadOutcome first = session.Follow(follower);
  if (first.has_value()) {
    return BootstrapError::kLogHasState;
  }
  if (first.error() != LogFailure::kNoSnapshot) {
    return BootstrapError::kUnreachable;
  }
  const core::LogOffset end = follower.read_from;
  const auto used = internal::CheckQuiet(session, end, request.quiet_period);
  if (used) {
    return used;
  }
  if (!request.no_process_has_state()) {
    return BootstrapError::kPeerHasState;
  }
  const std::string id = "bootstrap-" + std::to_string(request.numbering_floor);
  for (const state::SnapshotChunk& chunk : state::MakeSnapshot(
           MakeInitialState(request, end), id, /*recovery=*/true)) {
    if (!internal::AppendChunk(session, chunk)) {
      return BootstrapError::kIncompleteWrite;
    }
  }
  return internal::CheckOwnStateInForce(session, request);
}

}  // namespace camphormux::cli
