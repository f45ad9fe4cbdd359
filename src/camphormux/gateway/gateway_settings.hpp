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
  /// For callers; shared by the traffic threads.
  core::Address callers;
  core::Address admin;  ///< For metrics, health and state.
  /// For the protocol between camphormux processes.
  std::optional<core::Address> peer;
  /// Address at which other processes reach `peer`; same as `peer` by default.
  core::Address advertised_peer;
  /// Source address of outgoing connections; empty: the system chooses.
  std::string source_ip;
  std::vector<core::Address> seeds;  ///< Peers contacted at startup.
  core::Address platform;
  int threads = 1;
  core::Bytes max_body;
  core::Bytes max_header;  ///< Limit of a request's complete head.
  /// Time between /readyz turning false and the end of accepting connections.
  core::Millis shutdown_grace{0};
  /// Limit of the wait for open requests after `shutdown_grace`.
  core::Millis shutdown_timeout{0};
  /// Number of gateways that share the connections to each endpoint.
  int max_gateways = 7;
  telemetry::Level log_level = telemetry::Level::kInfo;
  std::string trace_file;  ///< Empty: spans are not exported.
  double trace_ratio = 0.0;
};

/// @brief Parses and validates the settings.
/// @param file The INI entries.
/// @return The settings, or all problems.
[[nodiscard]] core::Result<GatewaySettings, settings::Problems>
ParseGatewaySettings(const settings::IniFile& file);

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_GATEWAY_SETTINGS_HPP_
