// Controller process of one zone: sizes services, moves hosts between pools and
// schedules maintenance.
#include <csignal>
#include <exception>
#include <iostream>
#include <string>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <gflags/gflags.h>

#include "camphormux/controller/app.hpp"
#include "camphormux/controller/settings.hpp"
#include "camphormux/telemetry/log.hpp"

DEFINE_string(config, "", "settings file (INI)");

namespace {

namespace controller = camphormux::controller;
namespace settings = camphormux::settings;

constexpr int kFailure = 1;
constexpr int kBadSettings = 2;

int ReportProblems(const settings::Problems& problems) {
  for (const settings::Problem& problem : problems) {
    std::cerr << settings::Describe(problem) << "\n";
  }
  return kBadSettings;
}

void RunUntilSignal(const controller::Settings& checked) {
  asio::io_context loop;
  controller::App app(loop, checked);
  app.Start();
  asio::signal_set signals(loop, SIGINT, SIGTERM);
  signals.async_wait([&](const asio::error_code& error, int /*signal*/) {
    if (!error) {
      app.Stop([&loop] { loop.stop(); });
    }
  });
  loop.run();
}

int Run() {
  const auto file = settings::ReadIniFile(FLAGS_config);
  if (!file.has_value()) {
    return ReportProblems(file.error());
  }
  const auto checked = controller::ParseSettings(file.value());
  if (!checked.has_value()) {
    return ReportProblems(checked.error());
  }
  camphormux::telemetry::ConfigureLog(checked.value().process.value,
                                      checked.value().log_level);
  RunUntilSignal(checked.value());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("--config FILE");
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  try {
    return Run();
  } catch (const std::exception& error) {
    std::cerr << "camphormux-controller: " << error.what() << "\n";
    return kFailure;
  }
}
