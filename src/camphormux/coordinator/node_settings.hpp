#ifndef CAMPHORMUX_COORDINATOR_NODE_SETTINGS_HPP_
#define CAMPHORMUX_COORDINATOR_NODE_SETTINGS_HPP_

#include <cstdint>
#include <string>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/scheduler/state.hpp"
#include "camphormux/settings/ini.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::coordinator {

/// @brief Settings of a node process.
struct NodeSettings {
  std::string name;
  core::ZoneName zone;
  core::Address callers;  ///< Listens for callers' requests.
  core::Address ready;    ///< Listens for the balancer's readiness checks.
  core::Address peer;     ///< Listens for other nodes.
  core::Address metrics;
  core::Address store;
  core::Address cloud;
  core::Address advice;          ///< Empty if it is not set.
  double processor_share = 1.0;  ///< In cores.
  /// Of the machine, for this process. The defaults are for a platform that
  /// names no limit.
  core::Mebibytes memory{160};
  std::int64_t max_descriptors = 4'100;
  core::Millis termination_grace{
      6000};  ///< From SIGTERM to the end of the process.
  scheduler::Settings scheduler;
  telemetry::Level log_level = telemetry::Level::kInfo;
};

/// @brief Parses the settings of a node.
/// @param file The file.
/// @return The settings, or all problems of the file.
[[nodiscard]] core::Result<NodeSettings, settings::Problems> ParseNodeSettings(
    const settings::IniFile& file);

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_NODE_SETTINGS_HPP_
