#ifndef CAMPHORMUX_TEXT_OPERATOR_TEXT_HPP_
#define CAMPHORMUX_TEXT_OPERATOR_TEXT_HPP_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"

namespace camphormux::text {

/// @brief How much each measure counts when decisions are weighed.
struct Policy {
  double moves_weight = 1.0;
  double buffer_weight = 1.0;
  double rollout_weight = 1.0;

  friend bool operator==(const Policy&, const Policy&) = default;
};

/// @brief An availability zone.
struct Zone {
  core::ZoneName name;
  core::RegionName region;

  friend bool operator==(const Zone&, const Zone&) = default;
};

/// @brief A service that another service calls.
struct Dependency {
  core::ServiceName service;
  double calls_per_request = 1.0;

  friend bool operator==(const Dependency&, const Dependency&) = default;
};

/// @brief Requests selected by method and path prefix.
struct RequestPattern {
  std::string method;  ///< Upper case, or "*" for any method.
  std::string path_prefix;

  friend bool operator==(const RequestPattern&,
                         const RequestPattern&) = default;
};

/// @brief A service and the pool of hosts that runs it.
struct Service {
  core::ServiceName name;
  core::PoolName pool;
  std::vector<Dependency> depends_on;
  std::vector<core::ZoneName> zones;  ///< Empty: all zones.
  int min_hosts = 1;                  ///< Over all zones.
  double host_availability = 0.5;     ///< Share of the pool's hosts.
  double request_availability = 0.99;
  core::Millis request_window = std::chrono::hours(1);
  int priority = 1;  ///< Higher goes first.
  int slots_per_host = 8;
  int connections_per_host = 64;
  /// Requests that are not idempotent.
  std::vector<RequestPattern> non_repeatable;

  friend bool operator==(const Service&, const Service&) = default;
};

/// @brief A team that submits jobs, with its quota.
struct Team {
  core::TeamName name;
  core::MilliCores cores;
  core::Mebibytes memory;
  core::Accelerators accelerators;

  friend bool operator==(const Team&, const Team&) = default;
};

/// @brief When and how fast hosts are maintained.
struct MaintenancePlan {
  core::Millis period = std::chrono::hours(21 * 24);
  core::Millis window_start{0};  ///< Since midnight UTC.
  core::Millis window_end = std::chrono::hours(24);
  int max_parallel_racks = 1;

  friend bool operator==(const MaintenancePlan&,
                         const MaintenancePlan&) = default;
};

/// @brief The whole configuration that operators publish.
struct OperatorText {
  std::string deployment;
  core::PoolName spare_pool;
  Policy policy;
  std::map<core::ZoneName, Zone> zones;
  std::map<core::ServiceName, Service> services;
  std::map<core::TeamName, Team> teams;
  MaintenancePlan maintenance;

  friend bool operator==(const OperatorText&, const OperatorText&) = default;
};

}  // namespace camphormux::text

#endif  // CAMPHORMUX_TEXT_OPERATOR_TEXT_HPP_
