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
  /// Where other processes reach `peer`; its own address by default.
  core::Address advertised_peer;
  std::string source_ip;  ///< Of own connections; empty: the system chooses.
  core::Address platform;
  /// How long the platform's log keeps records; paces the snapshots.
  core::Millis retention = std::chrono::hours(24);
  std::vector<core::Address> seeds;
  core::Millis step = std::chrono::milliseconds(200);
  telemetry::Level log_level = telemetry::Level::kInfo;
  std::string trace_file;  ///< Empty: no trace.
  double trace_ratio = 0.0;
};

/// @brief Reads the settings and collects every problem.
/// @param file The settings file.
/// @return The settings, or all problems.
[[nodiscard]] core::Result<Settings, settings::Problems> ParseSettings(
    const settings::IniFile& file);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_SETTINGS_HPP_
