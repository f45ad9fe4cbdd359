#ifndef CAMPHORMUX_RECOVERY_STATE_SERVER_HPP_
#define CAMPHORMUX_RECOVERY_STATE_SERVER_HPP_

#include <deque>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/peer/message.hpp"
#include "camphormux/state/records.hpp"
#include "camphormux/state/tailer.hpp"

namespace camphormux::recovery {

/// @brief Serves the state of this process to processes that start. Use it only
/// on the event loop's thread.
class StateServer {
 public:
  /// @param tailer Provides the state; outlives the server.
  /// @param self This process.
  StateServer(const state::Tailer& tailer, core::ProcessId self);

  /// @brief Answers a request on `kChunkPath` with one chunk. Answers
  /// `kStatusUnavailable` while this process has no complete state,
  /// `kStatusNotFound` if the snapshot was replaced meanwhile, and
  /// `kStatusBadRequest` if the query is malformed.
  /// @param request The request.
  /// @param respond Receives the answer.
  void Handle(const peer::Request& request, const peer::Respond& respond);

 private:
  struct EncodedState {
    core::MonotonicTime time;
    std::vector<state::SnapshotChunk> chunks;
  };

  void Refresh(core::MonotonicTime now);
  [[nodiscard]] const EncodedState* FindSnapshot(
      const std::string& snapshot) const;

  const state::Tailer& tailer_;
  core::ProcessId self_;
  std::deque<EncodedState> encoded_states_;  ///< Oldest first.
};

}  // namespace camphormux::recovery

#endif  // CAMPHORMUX_RECOVERY_STATE_SERVER_HPP_
