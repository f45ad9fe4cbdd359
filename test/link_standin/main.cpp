#include <csignal>
#include <cstdio>
#include <exception>

#include <asio/signal_set.hpp>
#include <gflags/gflags.h>

#include "camphormux/settings/reader.hpp"
#include "camphormux/telemetry/log.hpp"
#include "test/file_limit.hpp"
#include "test/link_standin/control.hpp"
#include "test/link_standin/links_file.hpp"

DEFINE_string(links, "", "INI file with the zones and targets");
DEFINE_string(control, "", "IP number and port of the control server");

namespace camphormux::link_standin {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

int Run(const Links& links, const core::Address& control) {
  asio::io_context loop;
  Relay relay(loop, links);
  http::Server server(loop, control,
                      [&relay](const http::ServerRequest& request,
                               const http::Respond& respond) {
                        respond(HandleControl(relay, request));
                      });
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code&, int) { loop.stop(); });
  telemetry::Log(telemetry::Level::kInfo, "links are relayed",
                 {{"targets", std::to_string(links.targets.size())}});
  loop.run();
  return 0;
}

int Main() {
  const auto control = settings::ParseAddress(FLAGS_control);
  if (!control) {
    std::fprintf(stderr, "--control: expected an IP number and a port\n");
    return kExitUsage;
  }
  const auto file = settings::ReadIniFile(FLAGS_links);
  const auto links =
      file.has_value() ? ParseLinksFile(file.value())
                       : core::Result<Links, settings::Problems>(file.error());
  if (!links.has_value()) {
    for (const settings::Problem& problem : links.error()) {
      std::fprintf(stderr, "%s\n", settings::Describe(problem).c_str());
    }
    return kExitUsage;
  }
  return Run(links.value(), *control);
}

}  // namespace
}  // namespace camphormux::link_standin

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "relays TCP connections between zones and injects link faults");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  camphormux::telemetry::ConfigureLog("link-standin",
                                      camphormux::telemetry::Level::kInfo);
  camphormux::standin::RaiseFileLimit();
  try {
    return camphormux::link_standin::Main();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "camphormux-link-standin: %s\n", error.what());
    return camphormux::link_standin::kExitFailure;
  }
}
