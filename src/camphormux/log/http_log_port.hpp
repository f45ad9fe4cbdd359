#ifndef CAMPHORMUX_LOG_HTTP_LOG_PORT_HPP_
#define CAMPHORMUX_LOG_HTTP_LOG_PORT_HPP_

#include "camphormux/core/units.hpp"
#include "camphormux/http/client.hpp"
#include "camphormux/log/log_port.hpp"

namespace camphormux::log {

/// @brief Makes a port that calls the platform's log service over HTTP.
/// @param client HTTP client; outlives the port.
/// @param platform Address of the platform.
/// @return The port.
[[nodiscard]] LogPort MakeHttpLogPort(http::Client& client,
                                      const core::Address& platform);

}  // namespace camphormux::log

#endif  // CAMPHORMUX_LOG_HTTP_LOG_PORT_HPP_
