#ifndef CAMPHORMUX_TEST_PLATFORM_STANDIN_SERVICE_HPP_
#define CAMPHORMUX_TEST_PLATFORM_STANDIN_SERVICE_HPP_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "camphormux/core/random.hpp"
#include "camphormux/http/client.hpp"
#include "camphormux/http/server.hpp"
#include "fleet.hpp"
#include "log_store.hpp"

namespace camphormux::standin {

/// @brief Faults that tests inject through the control routes.
struct Faults {
  bool outage = false;      ///< All /v1 routes respond 503.
  bool log_outage = false;  ///< Only the log routes respond 503.
  core::Millis delay{0};    ///< Added to every response.
  /// Probability that a change is applied but its response is not sent.
  double lost_probability = 0;
  /// Number of next changes whose responses are not sent either.
  std::uint64_t lost_count = 0;
};

/// The most recent host lists that were served, each with its version.
using ListVersions = std::deque<std::pair<std::string, nlohmann::json>>;

/// @brief HTTP interface of the simulated platform: log streams, hosts, tasks
/// and usage under /v1, and fault injection under /control.
class Service {
 public:
  Service(asio::io_context& loop, LogStore store, Fleet fleet,
          std::optional<core::Address> endpoints, std::uint64_t seed);

  /// @brief Handles a request; `respond` may be called later, or never if the
  /// response is dropped by a fault.
  void Handle(const http::ServerRequest& request, const http::Respond& respond);

 private:
  using Path = std::vector<std::string>;

  void Dispatch(const http::ServerRequest& request,
                const http::Respond& respond);
  void HandleStream(const http::ServerRequest& request, const Path& path,
                    const http::Respond& respond);
  void Append(const std::string& stream, const std::string& body,
              const http::Respond& respond);
  void ReadOrWait(const std::string& stream, core::LogOffset from,
                  std::size_t max_bytes, core::MonotonicTime until,
                  const http::Respond& respond);
  void HandleHost(const http::ServerRequest& request, const Path& path,
                  const http::Respond& respond);
  void HostStatus(const PlatformHost& host, const http::Respond& respond);
  void HandleHostChange(PlatformHost& host, const std::string& what,
                        const nlohmann::json& body,
                        const http::Respond& respond);
  void HandleTask(const http::ServerRequest& request, const Path& path,
                  PlatformHost& host, const http::Respond& respond);
  static void ThrottleOrCheckpoint(Task& task, const std::string& how,
                                   const nlohmann::json& body);
  http::ServerResponse HandleControl(const Path& path,
                                     const nlohmann::json& body);
  http::ServerResponse ControlHost(const Path& path,
                                   const nlohmann::json& body);
  void Forward(const std::string& method, const std::string& path,
               const nlohmann::json& body, const http::Respond& respond);
  void RunAfter(core::Millis delay, std::function<void()> action);
  void Tick();
  http::Respond WithResponseLoss(const http::Respond& respond);

  asio::io_context& loop_;
  http::Client client_;
  asio::steady_timer tick_;
  LogStore store_;
  Fleet fleet_;
  ListVersions list_versions_;
  std::optional<core::Address> endpoints_;
  Faults faults_;
  core::Random random_;
};

}  // namespace camphormux::standin

#endif  // CAMPHORMUX_TEST_PLATFORM_STANDIN_SERVICE_HPP_
