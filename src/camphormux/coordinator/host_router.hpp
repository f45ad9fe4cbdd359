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

/// @brief Sends the holder's calls to the hosts. In a large fleet, other nodes
/// (agents) make the calls in batches, so that the holder's processor time is
/// left for decisions. In a small fleet, or when no agent is usable, the holder
/// makes them itself. A call that may have reached a failed agent is reported
/// as unanswered and not repeated here.
class HostRouter : public std::enable_shared_from_this<HostRouter> {
 public:
  /// @param loop Event loop; outlives the router.
  /// @param direct Calls from this node.
  /// @param self Peer address of this node.
  /// @param token Fencing token of the holder.
  /// @param node_metrics Metrics; outlive the router.
  HostRouter(asio::io_context& loop, HostPort direct, core::Address self,
             core::Epoch token, NodeMetrics& node_metrics);

  /// @return The port for the holder; its calls do nothing once the router is
  /// destroyed.
  [[nodiscard]] HostPort MakePort();

  /// @brief Replaces the list of nodes; this node is left out.
  void SetMembers(std::vector<Member> members);
  /// @brief Sets the number of hosts in the fleet.
  void SetHosts(std::size_t hosts);
  void Close();

 private:
  using Done = std::function<void(HostAnswer)>;

  struct Pending {
    HostCall call;
    Done done;
    core::MonotonicTime called;
    core::MonotonicTime give_up_at;
  };

  /// Connection to one agent and the calls that go through it.
  struct AgentLink {
    std::shared_ptr<peer::Client> client;
    std::vector<std::uint64_t> queue;          ///< Not sent yet.
    std::map<std::uint64_t, Pending> pending;  ///< Sent or not.
    std::size_t open = 0;                      ///< Exchanges in flight.
    core::MonotonicTime next_exchange;
    core::MonotonicTime unusable_until;  ///< Retry time after a failure.
    bool scheduled = false;
  };

  void Call(HostCall call, Done done);
  /// Makes a call or has it made by another node.
  /// @param call The call.
  /// @param done Called back with the answer.
  /// @param called When the call was made first; earlier than now if it is
  /// moved from a failed node.
  void Route(HostCall call, Done done, core::MonotonicTime called);
  [[nodiscard]] std::optional<core::Address> AgentOf(const HostTarget& target);
  void ScheduleExchange(const core::Address& agent);
  void Exchange(const core::Address& agent);
  void OnExchanged(const core::Address& agent,
                   const std::vector<std::uint64_t>& sent,
                   const peer::Result& result);
  /// Stops sending calls to an agent that is leaving; it still answers those
  /// that it accepted.
  void OnAgentLeaving(const core::Address& agent,
                      const std::vector<std::uint64_t>& refused);
  /// Stops using a failed agent. Calls that may have reached it are reported as
  /// unanswered; the others are sent another way.
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
  std::string name_;  ///< Name of this holder's process, for the agents.
  std::vector<Member> members_;
  std::size_t hosts_ = 0;
  std::map<core::Address, AgentLink> agent_links_;
  /// Agents chosen for hosts; cleared when the set of usable nodes changes.
  std::unordered_map<core::HostId, std::optional<core::Address>> agent_by_host_;
  core::MonotonicTime next_agent_retry_;  ///< When an agent is usable again.
  std::uint64_t next_number_ = 1;
  bool closed_ = false;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_HOST_ROUTER_HPP_
