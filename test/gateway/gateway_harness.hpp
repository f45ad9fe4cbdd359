#ifndef TEST_GATEWAY_GATEWAY_HARNESS_HPP_
#define TEST_GATEWAY_GATEWAY_HARNESS_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <prometheus/registry.h>

#include "camphormux/gateway/traffic_thread.hpp"
#include "camphormux/http/client.hpp"

namespace camphormux::gateway {

/// Time limit of every wait in these tests; reached only if a test fails.
inline constexpr core::Millis kTestLimit = std::chrono::seconds(30);

/// @brief Returns a local TCP port that is free at the time of the call.
[[nodiscard]] std::uint16_t FreePort();

/// @brief What a caller received: a response, or `truncated` if its end is
/// missing.
struct CallerResult {
  bool truncated = false;
  int status = 0;
  std::string outcome;
  std::string body;
  http::Headers headers;
};

/// @brief Sends a request to a local port and waits for the response.
[[nodiscard]] CallerResult CallAt(std::uint16_t port, const std::string& method,
                                  const std::string& target,
                                  const http::Headers& headers = {},
                                  const std::string& body = "");

/// @brief A traffic thread that routes the service "venue" to endpoints on the
/// given ports. "POST /holds" is declared non-repeatable.
class GatewayHarness {
 public:
  explicit GatewayHarness(const std::vector<std::uint16_t>& endpoint_ports,
                          const KeyStoreFactory& keys = &UnavailableKeyStore);

  /// @brief Sends a request and waits for the response.
  [[nodiscard]] CallerResult Call(const std::string& method,
                                  const std::string& target,
                                  const http::Headers& headers = {},
                                  const std::string& body = "");

  [[nodiscard]] std::uint16_t port() const { return port_; }
  TrafficThread& thread() { return *thread_; }
  MetricsStore& metrics() { return metrics_; }

 private:
  std::uint16_t port_;
  MetricsStore metrics_;
  telemetry::SpanExporter spans_;
  std::unique_ptr<TrafficThread> thread_;
};

}  // namespace camphormux::gateway

#endif  // TEST_GATEWAY_GATEWAY_HARNESS_HPP_
