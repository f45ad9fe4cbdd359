#ifndef CAMPHORMUX_COORDINATOR_NODE_HPP_
#define CAMPHORMUX_COORDINATOR_NODE_HPP_

#include <functional>
#include <memory>
#include <optional>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <prometheus/registry.h>

#include "camphormux/coordinator/confirmation_poll.hpp"
#include "camphormux/coordinator/election.hpp"
#include "camphormux/coordinator/holder.hpp"
#include "camphormux/coordinator/holder_client.hpp"
#include "camphormux/coordinator/host_agent.hpp"
#include "camphormux/coordinator/host_router.hpp"
#include "camphormux/coordinator/job_frontend.hpp"
#include "camphormux/coordinator/node_metrics.hpp"
#include "camphormux/coordinator/node_settings.hpp"
#include "camphormux/coordinator/peer_forwarder.hpp"
#include "camphormux/coordinator/ports.hpp"
#include "camphormux/peer/server.hpp"

namespace camphormux::coordinator {

/// @brief One process: serves callers, answers other nodes, and is the holder
/// while the store's group assigns it the ownership. Runs on one event loop and
/// one thread, because the machines that it runs on have one core.
class Node {
 public:
  /// @param loop Event loop; outlives the node.
  /// @param settings Settings.
  /// @param ports Access to the platform; outlives the node.
  /// @param peer_forwarder Forwards requests to other nodes; outlives the node.
  /// @throws std::system_error if the peer address cannot be bound.
  Node(asio::io_context& loop, NodeSettings settings, Ports ports,
       PeerForwarder& peer_forwarder);

  void Start();
  /// @brief Gives the ownership up and reports the node as not ready; continues
  /// to serve requests.
  /// @param last_answer_time When the last request has to be answered.
  void Leave(core::MonotonicTime last_answer_time);

  [[nodiscard]] JobFrontend& job_frontend() { return *job_frontend_; }
  /// @return The newest catalog, if one was read.
  [[nodiscard]] const std::optional<workload::Catalog>& catalog() const {
    return catalog_;
  }
  /// @return Whether the balancer should send new callers to this node.
  [[nodiscard]] bool is_ready() const;
  [[nodiscard]] bool is_leaving() const { return leaving_; }
  [[nodiscard]] const prometheus::Registry& registry() const {
    return *registry_;
  }
  /// @return For the metrics of the servers of this node.
  [[nodiscard]] prometheus::Registry& mutable_registry() { return *registry_; }
  [[nodiscard]] NodeMetrics& node_metrics() { return node_metrics_; }

 private:
  void ServePeer(const peer::Request& request, const peer::Respond& respond);
  void OnGain(core::Epoch token);
  void OnLoss();
  void StopHolder();
  void OnMembers(const std::vector<Member>& members,
                 PeerForwarder& peer_forwarder);
  void OnCatalog(workload::Catalog catalog);
  void CheckHolder();
  void PingHolder(core::MonotonicTime now);
  /// Decides whether a holder without a confirmation by the store continues.
  void CheckUnconfirmedHolder(core::MonotonicTime now);
  void AskOtherNodes(core::MonotonicTime now);
  [[nodiscard]] core::Millis authority_left() const;
  [[nodiscard]] std::size_t candidate_rank() const;

  asio::io_context& loop_;
  NodeSettings settings_;
  Ports ports_;
  std::shared_ptr<prometheus::Registry> registry_;
  NodeMetrics node_metrics_;
  HolderClient holder_client_;
  std::shared_ptr<HostAgent> host_agent_;
  std::shared_ptr<Election> election_;
  std::shared_ptr<JobFrontend> job_frontend_;
  std::shared_ptr<Holder> holder_;
  std::shared_ptr<HostRouter>
      host_router_;  ///< Set while this node is the holder.
  ConfirmationPoll confirmation_poll_;
  peer::Server server_;
  asio::steady_timer check_timer_;
  std::optional<workload::Catalog> catalog_;
  std::vector<Member> members_;
  std::optional<core::MonotonicTime> members_known_since_;
  std::map<scheduler::WaveId, scheduler::WaveRequest> waves_;
  core::MonotonicTime last_holder_answer_;  ///< Of one that can decide.
  core::MonotonicTime last_ping_;
  bool ping_pending_ = false;
  core::MonotonicTime last_poll_;
  bool poll_pending_ = false;
  /// Result of the last poll since the store did not confirm the ownership.
  std::optional<bool> last_poll_unanimous_;
  bool leaving_ = false;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_NODE_HPP_
