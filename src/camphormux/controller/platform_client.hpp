#ifndef CAMPHORMUX_CONTROLLER_PLATFORM_CLIENT_HPP_
#define CAMPHORMUX_CONTROLLER_PLATFORM_CLIENT_HPP_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "camphormux/controller/list_cache.hpp"
#include "camphormux/controller/observation.hpp"
#include "camphormux/controller/platform_call.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/http/client.hpp"

namespace camphormux::controller {

/// @brief Interface to the platform's hosts. Callbacks run on the event loop.
/// An absent value means that the platform did not answer as specified.
struct PlatformPort {
  /// Returns the same object as long as the list does not change.
  std::function<void(std::function<void(std::shared_ptr<const HostList>)> done)>
      list;
  std::function<void(const core::HostId& host,
                     std::function<void(std::optional<HostReport>)> done)>
      report;
  std::function<void(const PlatformCall& call,
                     std::function<void(CallAnswer)> done)>
      send;
};

/// @brief Makes a port that uses HTTP. The host list is transferred in full
/// once and then as changes. It covers all zones, because sizing needs the
/// number of hosts that the other zones have lost.
/// @param client HTTP client; outlives the port.
/// @param platform Address of the platform.
/// @return The port.
[[nodiscard]] PlatformPort MakePlatformPort(http::Client& client,
                                            const core::Address& platform);

/// @brief Parses the body of `GET /v1/hosts/{id}`.
/// @param body JSON.
/// @return The report, or nothing if the body is not as specified.
[[nodiscard]] std::optional<HostReport> ParseHostReport(std::string_view body);

/// @brief Makes the HTTP request for a call.
/// @param call The call.
/// @param platform Address of the platform.
/// @return The request.
[[nodiscard]] http::ClientRequest ToRequest(const PlatformCall& call,
                                            const core::Address& platform);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_PLATFORM_CLIENT_HPP_
