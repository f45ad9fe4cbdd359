#include <csignal>
#include <cstdio>
#include <exception>
#include <string>

#include <asio/signal_set.hpp>
#include <gflags/gflags.h>

#include "bench/naive_gateway/naive_gateway.hpp"
#include "camphormux/settings/reader.hpp"

DEFINE_string(listen, "", "IP address and port to listen on for callers");
DEFINE_string(hosts, "", "path of the fleet file that lists the hosts");
DEFINE_string(
    endpoints_control, "",
    "IP address and port of the control server of the endpoint simulator");
DEFINE_uint64(seed, 1, "seed of the random choice of hosts");

namespace camphormux::naive {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr std::string_view kSectionPrefix = "host ";

std::vector<NamedHost> ReadHosts(const settings::IniFile& file) {
  std::vector<NamedHost> hosts;
  for (const settings::IniEntry& entry : file.entries) {
    const auto address = settings::ParseAddress(entry.value);
    if (entry.key == "address" && address &&
        entry.section.starts_with(kSectionPrefix)) {
      hosts.push_back({entry.section.substr(kSectionPrefix.size()), *address});
    }
  }
  return hosts;
}

int Main() {
  const auto listen = settings::ParseAddress(FLAGS_listen);
  const auto control = settings::ParseAddress(FLAGS_endpoints_control);
  const auto file = settings::ReadIniFile(FLAGS_hosts);
  if (!listen || !control || !file.has_value()) {
    std::fprintf(stderr,
                 "--listen and --endpoints_control expect an IP address and a "
                 "port, --hosts the path of a fleet file\n");
    return kExitUsage;
  }
  asio::io_context loop;
  NaiveGateway gateway(loop, ReadHosts(file.value()), *control, FLAGS_seed);
  http::Server server(
      loop, *listen,
      [&gateway](http::ServerRequest request, http::Respond respond) {
        gateway.Handle(std::move(request), std::move(respond));
      });
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&loop](const asio::error_code&, int) { loop.stop(); });
  gateway.Start();
  loop.run();
  return 0;
}

}  // namespace
}  // namespace camphormux::naive

int main(int argc, char** argv) {
  gflags::SetUsageMessage("baseline gateway for comparison measurements");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    return camphormux::naive::Main();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "naive-gateway: %s\n", error.what());
    return camphormux::naive::kExitFailure;
  }
}
