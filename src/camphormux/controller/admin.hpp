#ifndef CAMPHORMUX_CONTROLLER_ADMIN_HPP_
#define CAMPHORMUX_CONTROLLER_ADMIN_HPP_

#include <optional>
#include <string>

#include <prometheus/registry.h>

#include "camphormux/controller/status.hpp"
#include "camphormux/http/server.hpp"

namespace camphormux::controller {

/// @brief Data that the admin server reports.
struct AdminView {
  StatusInput status;
  const prometheus::Registry& metrics;
  /// Reason why the process is not ready; none if it is ready.
  std::optional<std::string> not_ready;
};

/// @brief Handles a request to the admin server: `/metrics`, `/healthz`,
/// `/readyz`, `/state`, `/status` and `/explain/{kind}/{name}`. The last two
/// accept `output=text` or `output=json`.
/// @param request The request.
/// @param view Current data of the controller.
/// @return The response; the JSON body of an error has a code.
[[nodiscard]] http::ServerResponse HandleAdminRequest(
    const http::ServerRequest& request, const AdminView& view);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_ADMIN_HPP_
