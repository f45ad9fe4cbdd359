#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>
#include <string>

#include <asio/signal_set.hpp>
#include <gflags/gflags.h>

#include "camphormux/settings/reader.hpp"
#include "camphormux/telemetry/log.hpp"
#include "test/endpoint_standin/control.hpp"
#include "test/endpoint_standin/fleet_file.hpp"
#include "test/file_limit.hpp"

DEFINE_string(hosts, "", "fleet file with the hosts to run");
DEFINE_string(control, "", "IP number and port of the control server");
DEFINE_string(journal, "", "file of the execution journal; empty disables it");
DEFINE_string(service_time, "fixed", "distribution: fixed or exponential");
DEFINE_uint64(service_us, 2000, "mean service time in microseconds");
DEFINE_uint64(reboot_ms, 2000, "duration of a reboot in milliseconds");
DEFINE_uint64(seed, 1, "seed of faults and service times");
DEFINE_bool(check_assignment, true,
            "refuse requests for another service or generation");

namespace camphormux::endpoint_standin {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

int Run(const std::vector<HostSpec>& specs, const core::Address& control) {
  asio::io_context loop;
  Journal journal(FLAGS_journal);
  SharedState shared{loop, journal, core::SeededRandom(FLAGS_seed), {}};
  shared.service_time.shape = FLAGS_service_time == "fixed"
                                  ? ServiceTime::Shape::kFixed
                                  : ServiceTime::Shape::kExponential;
  shared.service_time.mean = std::chrono::microseconds(FLAGS_service_us);
  shared.reboot_time = core::Millis(FLAGS_reboot_ms);
  shared.check_assignment = FLAGS_check_assignment;
  Fleet fleet;
  for (const HostSpec& spec : specs) {
    fleet.emplace(spec.id.value, std::make_unique<HostServer>(shared, spec));
  }
  http::Server server(loop, control,
                      [&fleet](const http::ServerRequest& request,
                               const http::Respond& respond) {
                        respond(HandleControl(fleet, request));
                      });
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code&, int) { loop.stop(); });
  telemetry::Log(telemetry::Level::kInfo, "endpoints are listening",
                 {{"hosts", std::to_string(fleet.size())}});
  loop.run();
  for (const auto& [id, host] : fleet) {
    host->Stop();
  }
  return 0;
}

int Main() {
  bool valid = true;
  const auto check = [&valid](bool good, const char* flag,
                              const char* expected) {
    if (!good) {
      std::fprintf(stderr, "--%s: expected %s\n", flag, expected);
      valid = false;
    }
  };
  const auto control = settings::ParseAddress(FLAGS_control);
  check(control.has_value(), "control", "an IP number and a port");
  check(FLAGS_service_time == "fixed" || FLAGS_service_time == "exponential",
        "service_time", "fixed or exponential");
  const auto file = settings::ReadIniFile(FLAGS_hosts);
  const auto specs =
      file.has_value()
          ? ParseFleetFile(file.value())
          : core::Result<std::vector<HostSpec>, settings::Problems>(
                file.error());
  if (!specs.has_value()) {
    for (const settings::Problem& problem : specs.error()) {
      std::fprintf(stderr, "%s\n", settings::Describe(problem).c_str());
    }
    valid = false;
  }
  return valid ? Run(specs.value(), *control) : kExitUsage;
}

}  // namespace
}  // namespace camphormux::endpoint_standin

int main(int argc, char** argv) {
  gflags::SetUsageMessage("simulates the endpoints of a fleet file for tests");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  camphormux::telemetry::ConfigureLog("endpoint-standin",
                                      camphormux::telemetry::Level::kInfo);
  camphormux::standin::RaiseFileLimit();
  try {
    return camphormux::endpoint_standin::Main();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "camphormux-endpoint-standin: %s\n", error.what());
    return camphormux::endpoint_standin::kExitFailure;
  }
}
