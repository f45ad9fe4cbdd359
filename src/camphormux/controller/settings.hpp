#ifndef CAMPHORMUX_CONTROLLER_SETTINGS_HPP_
#define CAMPHORMUX_CONTROLLER_SETTINGS_HPP_

#include <string>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/settings/ini.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::controller {

/// @brief Settings of a controller process.
struct Settings {
  core::ProcessId process;
  core::ZoneName zone;
  core::Address admin;
  core::Address peer;
  /// Address at which other processes reach `peer`; `peer` by default.
  core::Address advertised_peer;
  /// Source address of outgoing connections; empty: the system chooses.
  std::string source_ip;
  core::Address platform;
  /// Retention time of the platform's log; determines how often snapshots are
  /// written.
  core::Millis retention = std::chrono::hours(24);
  std::vector<core::Address> seeds;
  core::Millis step = std::chrono::milliseconds(200);
  telemetry::Level log_level = telemetry::Level::kInfo;
  std::string trace_file;  ///< Empty: no tracing.
  double trace_ratio = 0.0;
};

/// @brief Parses the settings file and collects all problems.
/// @param file The settings file.
/// @return The settings, or all problems.
[[nodiscard]] core::Result<Settings, settings::Problems> ParseSettings(
    const settings::IniFile& file);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_SETTINGS_HPP_
