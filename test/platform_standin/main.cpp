// Simulated platform for tests: log service, host list, pool assignments and
// tasks.
#include <csignal>
#include <iostream>

#include <asio/signal_set.hpp>
#include <gflags/gflags.h>

#include "camphormux/settings/reader.hpp"
#include "service.hpp"

DEFINE_string(listen, "127.0.0.1:7000", "IP number and port to listen on");
DEFINE_string(hosts, "", "INI file with a section [host NAME] for each host");
DEFINE_string(endpoints_control, "",
              "IP number and port of the endpoint stand-in's control server");
DEFINE_uint64(retention_ms, 600'000,
              "retention time of log records in milliseconds");
DEFINE_double(throttle, 300, "limit of appends per second over all streams");
DEFINE_uint64(list_lag_ms, 0, "delay of the host list in milliseconds");
DEFINE_uint64(usage_lag_ms, 0, "delay of the usage reports in milliseconds");
DEFINE_uint64(seed, 1, "seed of the random response losses");

namespace camphormux::standin {
namespace {

// Reads the hosts file; prints its problems to stderr.
std::optional<Fleet> LoadFleet() {
  Fleet fleet;
  if (!FLAGS_hosts.empty()) {
    auto file = ReadFleet(FLAGS_hosts);
    if (!file.has_value()) {
      for (const auto& problem : file.error()) {
        std::cerr << settings::Describe(problem) << "\n";
      }
      return std::nullopt;
    }
    fleet = std::move(file.value());
  }
  fleet.list_lag = core::Millis{FLAGS_list_lag_ms};
  fleet.usage_lag = core::Millis{FLAGS_usage_lag_ms};
  return fleet;
}

LogLimits Limits() {
  // The bucket holds the appends of 0.1 s, so that small groups of appends are
  // not throttled.
  constexpr double kBurstSeconds = 0.1;
  LogLimits limits;
  limits.retention = core::Millis{FLAGS_retention_ms};
  limits.appends_per_second = FLAGS_throttle;
  limits.burst = std::max(1.0, FLAGS_throttle * kBurstSeconds);
  return limits;
}

int Run() {
  const auto listen = settings::ParseAddress(FLAGS_listen);
  std::optional<core::Address> endpoints;
  if (!FLAGS_endpoints_control.empty()) {
    endpoints = settings::ParseAddress(FLAGS_endpoints_control);
  }
  if (!listen || (!FLAGS_endpoints_control.empty() && !endpoints)) {
    std::cerr << "--listen and --endpoints_control take IP:port\n";
    return 2;
  }
  auto fleet = LoadFleet();
  if (!fleet) {
    return 2;
  }
  asio::io_context loop;
  Service service(loop, LogStore(Limits()), std::move(*fleet), endpoints,
                  FLAGS_seed);
  http::Server server(loop, *listen,
                      [&service](const http::ServerRequest& request,
                                 const http::Respond& respond) {
                        service.Handle(request, respond);
                      });
  asio::signal_set signals(loop, SIGINT, SIGTERM);
  signals.async_wait(
      [&loop](const asio::error_code&, int /*signal*/) { loop.stop(); });
  loop.run();
  return 0;
}

}  // namespace
}  // namespace camphormux::standin

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  try {
    return camphormux::standin::Run();
  } catch (const std::exception& error) {
    std::cerr << "camphormux-platform-standin: " << error.what() << "\n";
    return 1;
  }
}
