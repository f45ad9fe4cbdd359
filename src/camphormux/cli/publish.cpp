#include "camphormux/cli/publish.hpp"

#include <algorithm>

#include "camphormux/cli/line_diff.hpp"
#include "camphormux/state/codec.hpp"
#include "camphormux/state/fold.hpp"

namespace camphormux::cli {
namespace internal {

constexpr core::Millis kMinRetryDelay{100};
constexpr core::Millis kMaxRetryDelay{2000};

const state::PublishOutcome* FindOutcome(const state::FleetState& state,
                                         const core::AppendId& id) {
  const auto found = std::find_if(
      state.outcomes.begin(), state.outcomes.end(),
      [&id](const state::PublishOutcome& item) { return item.id == id; });
  return found == state.outcomes.end() ? nullptr : &*found;
}

/// Tells whether the record may be on the log after this result: the answer to
/// a successful append may have been lost.
bool MayBeAppended(const log::AppendResult& result) {
  return result.has_value() || result.error() == log::AppendError::kNoAnswer;
}

}  // namespace internal

state::Publish MakePublish(const PublishRequest& request,
                           const state::AcceptedText& in_force) {
  state::Publish whole{request.id,
                       request.author,
                       request.base.value_or(in_force.revision),
                       request.source,
                       {}};
  if (in_force.revision.value == 0 || whole.base != in_force.revision) {
    return whole;
  }
  state::Publish delta = whole;
  delta.source.reset();
  delta.edits = ToEdits(DiffLines(in_force.source, request.source));
  const bool smaller = state::EncodeRecords({delta}).size() <
                       state::EncodeRecords({whole}).size();
  return smaller ? delta : whole;
}

PublishResult PublishText(LogSession& session, const PublishRequest& request,
                          core::Millis limit) {
  state::Follower follower;
  const ReadOutcome first_read = session.Follow(follower);
  if (!first_read.has_value()) {
    return first_read.error() == LogFailure::kNoSnapshot
               ? PublishError::kNoSnapshot
               : PublishError::kUnreachable;
  }
  const state::FleetState& state = follower.state;
  if (!request.base && state.text.revision.value != 0) {
    return PublishError::kBaseMissing;
  }
  const std::string data =
      state::EncodeRecords({MakePublish(request, state.text)});
  const core::MonotonicTime deadline = core::MonotonicNow() + limit;
  core::Millis pause = internal::kMinRetryDelay;
  bool maybe_appended = false;
  while (core::MonotonicNow() < deadline) {
    const log::AppendResult appended = session.Append(data);
    if (!appended.has_value() &&
        appended.error() == log::AppendError::kTooLarge) {
      return PublishError::kTooLarge;
    }
    maybe_appended = maybe_appended || internal::MayBeAppended(appended);
    const bool read = session.Follow(follower).has_value();
    const auto* outcome = internal::FindOutcome(state, request.id);
    if (read && outcome != nullptr) {
      return PublishReport{*outcome, state.text};
    }
    session.Pause(pause);
    pause = std::min(2 * pause, internal::kMaxRetryDelay);
  }
  return maybe_appended ? PublishError::kOutcomeUnknown
                        : PublishError::kUnreachable;
}

}  // namespace camphormux::cli
