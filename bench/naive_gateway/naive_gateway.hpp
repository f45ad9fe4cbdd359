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

/// @brief A host as the fleet file names it.
struct NamedHost {
  std::string id;
  core::Address address;
};

/// @brief Baseline for measurements: picks endpoints at random, has no limits
/// and retries at once, whatever the request. It learns assignments by asking
/// the endpoint stand-in every second.
class NaiveGateway {
 public:
  /// @param loop Event loop; outlives the gateway.
  /// @param hosts The hosts.
  /// @param endpoints_control Control server of the endpoint stand-in.
  /// @param seed Seed of the choices.
  NaiveGateway(asio::io_context& loop, std::vector<NamedHost> hosts,
               core::Address endpoints_control, std::uint64_t seed);

  /// @brief Starts to learn assignments.
  void Start();

  /// @brief Forwards one request.
  /// @param request The request of the caller.
  /// @param respond Receives the answer.
  void Handle(http::ServerRequest request, http::Respond respond);

 private:
  struct AssignedHost {
    core::Address address;
    std::uint64_t generation = 0;
  };
  struct Exchange {
    http::ServerRequest request;
    http::Respond respond;
    std::string service;
    std::string id;
    int attempts = 0;
    bool may_have_run = false;
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
  /// Service and target of each host that is known to serve one.
  std::map<std::string, std::pair<std::string, AssignedHost>>
      assignment_by_host_;
  std::map<std::string, std::vector<AssignedHost>> hosts_by_service_;
};

}  // namespace camphormux::naive

#endif  // CAMPHORMUX_BENCH_NAIVE_GATEWAY_NAIVE_GATEWAY_HPP_
