#ifndef CAMPHORMUX_MEMBERSHIP_NODE_HPP_
#define CAMPHORMUX_MEMBERSHIP_NODE_HPP_

#include <functional>
#include <memory>
#include <set>
#include <string>

#include <asio/io_context.hpp>

#include "camphormux/core/ids.hpp"
#include "camphormux/membership/view.hpp"
#include "camphormux/peer/message.hpp"

namespace camphormux::membership {

/// Path of heartbeats on the peer server.
inline constexpr const char* kHeartbeatPath = "/membership/heartbeat";

/// @brief Exchanges heartbeats over `peer`. Use it on the loop's thread only.
class Node {
 public:
  /// @param loop Event loop; outlives the node.
  /// @param view The view of a process that starts.
  /// @param on_transition Called for each change of a member's health; may be
  /// empty.
  /// @param source_ip Address of this host that connections come from; empty:
  /// the system chooses.
  Node(asio::io_context& loop, View view,
       std::function<void(const Transition&)> on_transition,
       std::string source_ip = "");
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// @brief Begins to send heartbeats.
  void Start();

  /// @brief Answers a request on `kHeartbeatPath`; the process routes it here
  /// from its peer server.
  /// @param request The request.
  /// @param respond Gets the answer.
  void Handle(const peer::Request& request, const peer::Respond& respond);

  /// @brief Sets what the next heartbeats tell of this process.
  /// @param applied `next` of the shared state.
  /// @param digest Of the shared state; 0 if it was not computed.
  /// @param payload At most `kMaxPayloadBytes`; a longer one is left out.
  void SetReport(core::LogOffset applied, std::uint64_t digest,
                 std::string payload);

  /// @brief Sends the present report to some members at once, apart from the
  /// rounds, which pass a report on between zones within seconds only.
  /// @param receivers The members; unknown and dead ones are left out.
  void Tell(const std::set<core::ProcessId>& receivers);

  /// @brief Takes in a process that announced itself on the log.
  /// @param identity The process.
  void AddPresence(const Identity& identity);

  [[nodiscard]] const View& view() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::membership

#endif  // CAMPHORMUX_MEMBERSHIP_NODE_HPP_
