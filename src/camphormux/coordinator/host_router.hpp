#ifndef CAMPHORMUX_COORDINATOR_HOST_ROUTER_HPP_
#define CAMPHORMUX_COORDINATOR_HOST_ROUTER_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "camphormux/coordinator/host_calls.hpp"
#include "camphormux/coordinator/member.hpp"
#include "camphormux/coordinator/node_metrics.hpp"
#include "camphormux/coordinator/ports.hpp"
#include "camphormux/peer/client.hpp"

namespace camphormux::coordinator {

/// @brief Brings a holder's calls to the hosts. In a large fleet other nodes
/// make them, in batches, so that the holder's processor time goes into
/// decisions; in a small one, and while a node fails, the holder makes them
/// itself. A call that may have reached a failed node is answered as a call
/// without an answer and never made a second time here.
class HostRouter : public std::enable_shared_from_this<HostRouter> {
 public:
  /// @param loop Event loop; outlives the router.
  /// @param direct Calls from this node.
  /// @param self Peer address of this node.
  /// @param token Token of the holder.
  /// @param node_metrics Counters; outlive the router.
  HostRouter(asio::io_context& loop, HostPort direct, core::Address self,
             core::Epoch token, NodeMetrics& node_metrics);

  /// @return The port for the holder; does nothing once the router is gone.
  [[nodiscard]] HostPort MakePort();

  /// @brief Replaces all nodes; this one is left out.
  void SetMembers(std::vector<Member> members);
  /// @brief Sets the size of the fleet.
  void SetHosts(std::size_t hosts);
  void Close();

 private:
  using Done = std::function<void(HostAnswer)>;

  struct Pending {
    HostCall call;
    Done done;
    core::MonotonicTime give_up_at;
  };

  /// The way to one node.
  struct AgentLink {
    std::shared_ptr<peer::Client> client;
    std::vector<std::uint64_t> queue;          ///< Not sent yet.
    std::map<std::uint64_t, Pending> pending;  ///< Sent or not.
    std::size_t open = 0;                      ///< Exchanges.
    core::MonotonicTime next_exchange;
    core::MonotonicTime unusable_until;  ///< Not used before, after a failure.
    bool scheduled = false;
  };

  void Call(HostCall call, Done done);
  [[nodiscard]] std::optional<core::Address> AgentOf(const HostTarget& target);
  void ScheduleExchange(const core::Address& agent);
  void Exchange(const core::Address& agent);
  void OnExchanged(const core::Address& agent,
                   const std::vector<std::uint64_t>& sent,
                   const peer::Result& result);
  /// Gives a node that leaves no more calls; those it took are still answered.
  void OnAgentLeaving(const core::Address& agent,
                      const std::vector<std::uint64_t>& refused);
  /// Takes a node out of use; what may have reached it has no answer, the rest
  /// goes another way.
  void OnAgentFailed(const core::Address& agent,
                     const std::vector<std::uint64_t>& not_reached,
                     const char* reason);
  void ExpireCalls();
  void ScheduleExpiry();

  asio::io_context& loop_;
  asio::steady_timer expiry_timer_;
  HostPort direct_;
  core::Address self_;
  core::Epoch token_;
  NodeMetrics& node_metrics_;
  std::string name_;  ///< Of this holder's process, for the agents.
  std::vector<Member> members_;
  std::size_t hosts_ = 0;
  std::map<core::Address, AgentLink> agent_links_;
  /// Choices for hosts; cleared when the nodes in use change.
  std::unordered_map<core::HostId, std::optional<core::Address>> agent_by_host_;
  core::MonotonicTime next_agent_retry_;  ///< When the next node ends its rest.
  std::uint64_t next_number_ = 1;
  bool closed_ = false;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_HOST_ROUTER_HPP_
