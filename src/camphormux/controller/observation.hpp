#ifndef CAMPHORMUX_CONTROLLER_OBSERVATION_HPP_
#define CAMPHORMUX_CONTROLLER_OBSERVATION_HPP_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphormux/controller/platform_call.hpp"
#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/demand/summary.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::controller {

/// @brief A host in the platform's host list. The list lags behind the hosts'
/// actual state.
struct ListedHost {
  core::HostId id;
  core::ZoneName zone;
  core::RackName rack;
  state::HostShape shape;
  core::Address address;
  bool leaving = false;
};

/// @brief The platform's report about one host.
struct HostReport {
  bool known = true;  ///< False if the platform does not know the host.
  std::optional<core::PoolName> pool;
  core::Generation generation;
  bool draining = false;
  int active_requests = 0;
  std::string boot_id;               ///< Changes with each boot of the host.
  core::MonotonicTime requested_at;  ///< When the request was sent.
};

/// @brief A gateway as known from the membership.
struct GatewayView {
  core::ProcessId process;
  core::ZoneName zone;
  core::LogOffset applied;  ///< First log offset that it has not applied.
  bool dead = false;        ///< The membership considers it dead.
  demand::Summary demand;
  /// When its health last changed; if `dead`, the time it was found dead.
  core::MonotonicTime dead_since{};
};

/// @brief Input of a control step besides the shared state.
struct Observations {
  std::optional<core::Epoch> lease;  ///< Set while the lease is provably held.
  /// Send time of the last read that reached the log's end.
  core::MonotonicTime log_read_at;
  /// None until the platform answered.
  std::optional<std::map<core::HostId, ListedHost>> listed;
  std::map<core::HostId, HostReport> reports;
  std::vector<GatewayView> gateways;
  /// Answers received since the previous step.
  std::vector<CallAnswer> answers;
  /// Draining hosts on which job tasks run or may run.
  std::set<core::HostId> busy_hosts;
};

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_OBSERVATION_HPP_
