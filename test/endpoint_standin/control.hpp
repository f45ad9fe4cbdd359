#ifndef CAMPHORMUX_TEST_ENDPOINT_STANDIN_CONTROL_HPP_
#define CAMPHORMUX_TEST_ENDPOINT_STANDIN_CONTROL_HPP_

#include "camphormux/http/server.hpp"
#include "test/endpoint_standin/server.hpp"

namespace camphormux::endpoint_standin {

/// @brief Handles one request of the control port:
/// `PUT /control/hosts/{id}/assignment|drain|reboot|fault`,
/// `PUT /control/zones/{zone}/fault`, `PUT /control/fault` and
/// `GET /control/hosts/{id}`.
/// @param fleet The hosts.
/// @param request The request.
/// @return The response; 400, 404 and 409 have a JSON body with a code.
[[nodiscard]] http::ServerResponse HandleControl(
    Fleet& fleet, const http::ServerRequest& request);

}  // namespace camphormux::endpoint_standin

#endif  // CAMPHORMUX_TEST_ENDPOINT_STANDIN_CONTROL_HPP_
