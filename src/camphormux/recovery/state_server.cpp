#include "camphormux/recovery/state_server.hpp"

#include <algorithm>
#include <utility>

#include "camphormux/recovery/fetch.hpp"
#include "camphormux/state/codec.hpp"
#include "camphormux/state/snapshot.hpp"

namespace camphormux::recovery {
namespace internal {

/// Encoding 5,000 hosts takes about 50 ms, so processes that start at the same
/// time share one encoding.
constexpr core::Millis kRefreshPeriod = std::chrono::seconds(2);
/// With two states, a transfer that started before a refresh can still finish.
constexpr std::size_t kKeptStates = 2;

}  // namespace internal

StateServer::StateServer(const state::Tailer& tailer, core::ProcessId self)
    : tailer_(tailer), self_(std::move(self)) {}

void StateServer::Refresh(core::MonotonicTime now) {
  const bool fresh =
      !encoded_states_.empty() &&
      (now - encoded_states_.back().time < internal::kRefreshPeriod ||
       encoded_states_.back().chunks.front().at == tailer_.state().next);
  if (fresh) {
    return;
  }
  const std::string id =
      self_.value + "-" + std::to_string(tailer_.state().next.value);
  encoded_states_.push_back(
      {now, state::MakeSnapshot(tailer_.state(), id, /*recovery=*/false)});
  if (encoded_states_.size() > internal::kKeptStates) {
    encoded_states_.pop_front();
  }
}

const StateServer::EncodedState* StateServer::FindSnapshot(
    const std::string& snapshot) const {
  const auto found =
      std::find_if(encoded_states_.begin(), encoded_states_.end(),
                   [&](const EncodedState& encoded) {
                     return encoded.chunks.front().snapshot == snapshot;
                   });
  return found == encoded_states_.end() ? nullptr : &*found;
}

void StateServer::Handle(const peer::Request& request,
                         const peer::Respond& respond) {
  const auto query = DecodeQuery(request.body);
  if (!query) {
    respond({peer::kStatusBadRequest, ""});
    return;
  }
  // A state that was never complete, or that misses records which the log has
  // lost, is of no use to other processes.
  if (!tailer_.ready().ready || !tailer_.at_end() ||
      tailer_.state().next.value == 0) {
    respond({peer::kStatusUnavailable, ""});
    return;
  }
  if (query->snapshot.empty()) {
    Refresh(core::MonotonicNow());
  }
  const EncodedState* encoded = query->snapshot.empty()
                                    ? &encoded_states_.back()
                                    : FindSnapshot(query->snapshot);
  if (encoded == nullptr || query->index >= encoded->chunks.size()) {
    respond({peer::kStatusNotFound, ""});
    return;
  }
  respond(
      {peer::kStatusOk, state::EncodeRecords({encoded->chunks[query->index]})});
}

}  // namespace camphormux::recovery
