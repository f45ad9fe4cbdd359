#ifndef CAMPHORMUX_DISPATCH_TASK_PORT_HPP_
#define CAMPHORMUX_DISPATCH_TASK_PORT_HPP_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "camphormux/core/units.hpp"
#include "camphormux/dispatch/task_call.hpp"
#include "camphormux/http/client.hpp"

namespace camphormux::dispatch {

/// @brief Access to the platform's tasks. Callbacks run on the event loop. An
/// absent value means that the platform did not answer or that its answer is
/// malformed.
struct TaskPort {
  /// Lists the tasks of one worker; the list is up to date.
  std::function<void(const core::HostId& host,
                     std::function<void(std::optional<HostTasks>)> done)>
      list;
  /// Lists the tasks of all workers of a zone that have any; the list lags.
  std::function<void(
      const core::ZoneName& zone,
      std::function<void(std::optional<std::vector<HostTasks>>)> done)>
      usage;
  /// Sends a call.
  std::function<void(const TaskCall& call,
                     std::function<void(TaskAnswer)> done)>
      send;
};

/// @brief Makes a port that uses the platform's HTTP interface.
/// @param client HTTP client of the event loop; outlives the port.
/// @param platform Address of the platform.
/// @return The port.
[[nodiscard]] TaskPort MakeTaskPort(http::Client& client,
                                    const core::Address& platform);

/// @brief Parses a list of tasks, as in `GET /v1/usage` and
/// `GET /v1/hosts/{id}/tasks`. Tasks that this program did not name are left
/// out.
/// @param body JSON.
/// @param received Time that each item's `age_ms` is subtracted from.
/// @return The tasks by worker, or nothing if the body is malformed.
[[nodiscard]] std::optional<std::vector<HostTasks>> ParseTasks(
    std::string_view body, core::MonotonicTime received);

/// @brief Makes the HTTP request of a call.
/// @param call The call.
/// @param platform Address of the platform.
/// @return The request.
[[nodiscard]] http::ClientRequest ToRequest(const TaskCall& call,
                                            const core::Address& platform);

}  // namespace camphormux::dispatch

#endif  // CAMPHORMUX_DISPATCH_TASK_PORT_HPP_
