#ifndef CAMPHORMUX_GATEWAY_GATEWAY_SETTINGS_HPP_
#define CAMPHORMUX_GATEWAY_GATEWAY_SETTINGS_HPP_

#include <optional>
#include <string>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/result.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/settings/ini.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::gateway {

/// @brief Settings of a gateway process.
struct GatewaySettings {
  core::ProcessId process;
  core::ZoneName zone;
  core::Address callers;              ///< Shared by the traffic threads.
  core::Address admin;                ///< Metrics, health and state.
  std::optional<core::Address> peer;  ///< Own protocol between processes.
  /// Where other processes reach `peer`; its own address by default.
  core::Address advertised_peer;
  std::string source_ip;  ///< Of own connections; empty: the system chooses.
  std::vector<core::Address> seeds;  ///< Peers to contact first.
  core::Address platform;
  int threads = 1;
  core::Bytes max_body;
  core::Bytes max_header;          ///< Of the whole head of a request.
  core::Millis shutdown_grace{0};  ///< From /readyz false to the last accept.
  core::Millis shutdown_timeout{0};
  int max_gateways = 7;  ///< Divides the connections to each endpoint.
  telemetry::Level log_level = telemetry::Level::kInfo;
  std::string trace_file;  ///< Empty: no export.
  double trace_ratio = 0.0;
};

/// @brief Parses and checks the settings.
/// @param file The INI entries.
/// @return The settings, or all problems.
[[nodiscard]] core::Result<GatewaySettings, settings::Problems>
ParseGatewaySettings(const settings::IniFile& file);

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_GATEWAY_SETTINGS_HPP_
