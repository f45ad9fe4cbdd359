#ifndef CAMPHORMUX_TEST_LINK_STANDIN_CONTROL_HPP_
#define CAMPHORMUX_TEST_LINK_STANDIN_CONTROL_HPP_

#include "camphormux/http/server.hpp"
#include "test/link_standin/relay.hpp"

namespace camphormux::link_standin {

/// @brief Handles a request of the control port: `PUT /control/links` with
/// `{"from", "to", "mode", "delay_ms"}`, where "*" stands for all other zones,
/// and `GET /control/links`, which returns the traffic of each direction.
/// @param relay The relay.
/// @param request The request.
/// @return The response.
[[nodiscard]] http::ServerResponse HandleControl(
    Relay& relay, const http::ServerRequest& request);

}  // namespace camphormux::link_standin

#endif  // CAMPHORMUX_TEST_LINK_STANDIN_CONTROL_HPP_
