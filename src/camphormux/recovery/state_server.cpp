#include "camphormux/recovery/state_server.hpp"

#include <algorithm>
#include <utility>

#include "camphormux/recovery/fetch.hpp"
#include "camphormux/state/codec.hpp"
#include "camphormux/state/snapshot.hpp"

namespace camphormux::recovery {
namespace internal {

/// Encoding 5,000 hosts takes about 50 ms, so processes that start together
/// share one encoding.
constexpr core::Millis kRefreshAfter = std::chrono::seconds(2);
/// A transfer that began before a refresh can still end.
constexpr std::size_t kKept = 2;

}  // namespace internal

StateServer::StateServer(const state::Tailer& tailer, core::ProcessId self)
    : tailer_(tailer), self_(std::move(self)) {}

void StateServer::Refresh(core::MonotonicTime now) {
  const bool fresh = !made_.empty() &&
                     (now - made_.back().time < internal::kRefreshAfter ||
                      made_.back().chunks.front().at == tailer_.state().next);
  if (fresh) {
    return;
  }
  const std::string id =
      self_.value + "-" + std::to_string(tailer_.state().next.value);
  made_.push_back(
      {now, state::MakeSnapshot(tailer_.state(), id, /*recovery=*/false)});
  if (made_.size() > internal::kKept) {
    made_.pop_front();
  }
}

const StateServer::Made* StateServer::Find(const std::string& snapshot) const {
  const auto found =
      std::find_if(made_.begin(), made_.end(), [&](const Made& made) {
        return made.chunks.front().snapshot == snapshot;
      });
  return found == made_.end() ? nullptr : &*found;
}

void StateServer::Handle(const peer::Request& request,
                         const peer::Respond& respond) {
  const auto query = DecodeQuery(request.body);
  if (!query) {
    respond({peer::kStatusBadRequest, ""});
    return;
  }
  // A state that was never complete, or that lacks lost records, helps nobody.
  if (!tailer_.ready().ready || !tailer_.at_end() ||
      tailer_.state().next.value == 0) {
    respond({peer::kStatusUnavailable, ""});
    return;
  }
  if (query->snapshot.empty()) {
    Refresh(core::MonotonicNow());
  }
  const Made* made =
      query->snapshot.empty() ? &made_.back() : Find(query->snapshot);
  if (made == nullptr || query->index >= made->chunks.size()) {
    respond({peer::kStatusNotFound, ""});
    return;
  }
  respond(
      {peer::kStatusOk, state::EncodeRecords({made->chunks[query->index]})});
}

}  // namespace camphormux::recovery
