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

/// @brief A host of the platform's list, which lags.
struct ListedHost {
  core::HostId id;
  core::ZoneName zone;
  core::RackName rack;
  state::HostShape shape;
  core::Address address;
  bool leaving = false;
};

/// @brief The platform's answer about one host.
struct HostReport {
  bool known = true;  ///< False if the platform says that it has no such host.
  std::optional<core::PoolName> pool;
  core::Generation generation;
  bool draining = false;
  int active_requests = 0;
  std::string boot_id;               ///< Changes with each start of the host.
  core::MonotonicTime requested_at;  ///< When the question was sent.
};

/// @brief What is known of a gateway.
struct GatewayView {
  core::ProcessId process;
  core::ZoneName zone;
  core::LogOffset applied;  ///< First offset that it has not applied.
  bool dead = false;        ///< Known to be dead.
  demand::Summary demand;
  core::MonotonicTime dead_since{};  ///< When it was seen to be dead.
};

/// @brief Everything a control step sees apart from the shared state.
struct Observations {
  std::optional<core::Epoch> lease;  ///< Set while the lease is provably held.
  core::MonotonicTime log_read_at;   ///< Last time the log's end was read.
  std::optional<std::map<core::HostId, ListedHost>>
      listed;  ///< None: never answered.
  std::map<core::HostId, HostReport> reports;
  std::vector<GatewayView> gateways;
  std::vector<CallAnswer> answers;  ///< Since the previous step.
  /// Draining hosts on which tasks of jobs run or may run.
  std::set<core::HostId> busy_hosts;
};

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_OBSERVATION_HPP_
