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

/// @brief Access to the platform's hosts. Callbacks run on the event loop; an
/// absent value means that the platform did not answer as specified.
struct PlatformPort {
  /// Answers with the same object as long as the list does not change.
  std::function<void(std::function<void(std::shared_ptr<const HostList>)> done)>
      list;
  std::function<void(const core::HostId& host,
                     std::function<void(std::optional<HostReport>)> done)>
      report;
  std::function<void(const PlatformCall& call,
                     std::function<void(CallAnswer)> done)>
      send;
};

/// @brief Makes a port that speaks HTTP. The host list is transferred whole
/// once and then by its changes. It is asked for all zones, because sizing
/// needs to know how many hosts the other zones have lost.
/// @param client HTTP client of the event loop; outlives the port.
/// @param platform Address of the platform.
/// @return The port.
[[nodiscard]] PlatformPort MakePlatformPort(http::Client& client,
                                            const core::Address& platform);

/// @brief Parses the body of `GET /v1/hosts/{id}`.
/// @param body JSON.
/// @return The report, or nothing if the body is not as specified.
[[nodiscard]] std::optional<HostReport> ParseHostReport(std::string_view body);

/// @brief Makes the HTTP request of a call.
/// @param call The call.
/// @param platform Address of the platform.
/// @return The request.
[[nodiscard]] http::ClientRequest ToRequest(const PlatformCall& call,
                                            const core::Address& platform);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_PLATFORM_CLIENT_HPP_
