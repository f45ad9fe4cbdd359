#ifndef CAMPHORMUX_CONTROLLER_ADMIN_HPP_
#define CAMPHORMUX_CONTROLLER_ADMIN_HPP_

#include <optional>
#include <string>

#include <prometheus/registry.h>

#include "camphormux/controller/status.hpp"
#include "camphormux/http/server.hpp"

namespace camphormux::controller {

/// @brief What the admin server shows.
struct AdminView {
  StatusInput status;
  const prometheus::Registry& metrics;
  /// Why the process is not ready; none if it is.
  std::optional<std::string> not_ready;
};

/// @brief Answers a request to the admin server: `/metrics`, `/healthz`,
/// `/readyz`, `/state`, `/status` and `/explain/{kind}/{name}`. The last two
/// take `output=text` or `output=json`.
/// @param request The request.
/// @param view What the controller knows.
/// @return The response; errors have a JSON body with a code.
[[nodiscard]] http::ServerResponse HandleAdminRequest(
    const http::ServerRequest& request, const AdminView& view);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_ADMIN_HPP_
