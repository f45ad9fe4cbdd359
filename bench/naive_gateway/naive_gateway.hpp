#ifndef CAMPHORMUX_BENCH_NAIVE_GATEWAY_NAIVE_GATEWAY_HPP_
#define CAMPHORMUX_BENCH_NAIVE_GATEWAY_NAIVE_GATEWAY_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "camphormux/core/random.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/http/client.hpp"
#include "camphormux/http/server.hpp"

namespace camphormux::naive {

/// @brief A host that the fleet file lists.
struct NamedHost {
  std::string id;
  core::Address address;
};

/// @brief Baseline gateway for comparison measurements. It picks a random host
/// of the service, has no admission limits and retries failed requests at once,
/// idempotent or not. It polls the control server of the endpoint simulator
/// (test/endpoint_standin) every second for the assignment of each host.
class NaiveGateway {
 public:
  /// @param loop Event loop; outlives the gateway.
  /// @param hosts Hosts whose assignments are polled.
  /// @param endpoints_control Address of the control server of the endpoint
  /// simulator.
  /// @param seed Seed of the random choice of hosts.
  NaiveGateway(asio::io_context& loop, std::vector<NamedHost> hosts,
               core::Address endpoints_control, std::uint64_t seed);

  /// @brief Starts to poll host assignments.
  void Start();

  /// @brief Forwards a request to a random host of its service, in up to three
  /// attempts.
  /// @param request Request of the caller; the first path segment names the
  /// service.
  /// @param respond Called once with the response.
  void Handle(http::ServerRequest request, http::Respond respond);

 private:
  /// Host that serves a service, with the generation of its assignment.
  struct AssignedHost {
    core::Address address;
    std::uint64_t generation = 0;
  };
  /// A request of a caller that is not answered yet.
  struct Exchange {
    http::ServerRequest request;
    http::Respond respond;
    std::string service;
    std::string id;
    int attempts = 0;
    bool may_have_run = false;  ///< Some attempt was sent without an answer.
  };

  void PollAssignments();
  void UpdateAssignment(const NamedHost& host,
                        const http::ClientResult& result);
  void ForwardToRandomHost(const std::shared_ptr<Exchange>& exchange);
  void OnResult(const std::shared_ptr<Exchange>& exchange,
                const http::ClientResult& result);
  static void SendResponse(const Exchange& exchange, int status,
                           std::string body, const std::string& outcome);

  asio::io_context& loop_;
  std::vector<NamedHost> hosts_;
  core::Address endpoints_control_;
  core::Random random_;
  http::Client client_;
  asio::steady_timer poll_timer_;
  /// Service and address by id of the host, for hosts whose assignment is
  /// known.
  std::map<std::string, std::pair<std::string, AssignedHost>>
      assignment_by_host_;
  std::map<std::string, std::vector<AssignedHost>> hosts_by_service_;
};

}  // namespace camphormux::naive

#endif  // CAMPHORMUX_BENCH_NAIVE_GATEWAY_NAIVE_GATEWAY_HPP_
