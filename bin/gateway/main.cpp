#include <csignal>
#include <exception>
#include <iostream>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <gflags/gflags.h>

#include "camphormux/gateway/app.hpp"
#include "camphormux/gateway/gateway_settings.hpp"
#include "camphormux/settings/ini.hpp"
#include "camphormux/telemetry/log.hpp"

DEFINE_string(config, "", "Path of the settings file (INI).");

namespace camphormux::gateway {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;

int Run(const GatewaySettings& settings) {
  asio::io_context control;
  App app(control, settings);
  asio::signal_set signals(control, SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code& error, int /*signal*/) {
    if (!error) {
      app.Shutdown([&control] { control.stop(); });
    }
  });
  app.Start();
  control.run();
  telemetry::Log(telemetry::Level::kInfo, "stopped");
  return 0;
}

int Main() {
  if (FLAGS_config.empty()) {
    std::cerr << "--config FILE is required\n";
    return kExitBadSettings;
  }
  const auto file = settings::ReadIniFile(FLAGS_config);
  auto parsed =
      file ? ParseGatewaySettings(file.value())
           : core::Result<GatewaySettings, settings::Problems>(file.error());
  if (!parsed) {
    for (const settings::Problem& problem : parsed.error()) {
      std::cerr << settings::Describe(problem) << '\n';
    }
    return kExitBadSettings;
  }
  telemetry::ConfigureLog(parsed.value().process.value,
                          parsed.value().log_level);
  try {
    return Run(parsed.value());
  } catch (const std::exception& error) {
    telemetry::Log(telemetry::Level::kError, "the gateway failed",
                   {{"reason", error.what()}});
    return kExitFailure;
  }
}

}  // namespace
}  // namespace camphormux::gateway

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "Gateway of camphormux: forwards callers' requests to endpoints.\n"
      "  --config FILE");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return camphormux::gateway::Main();
}
