#include <algorithm>
#include <csignal>
#include <cstdint>
#include <exception>
#include <iostream>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include "camphormux/coordinator/node.hpp"
#include "camphormux/coordinator/peer_forwarder.hpp"
#include "camphormux/http/client.hpp"
#include "camphormux/settings/ini.hpp"
#include "camphormux/telemetry/log.hpp"
#include "platform/adapter.hpp"
#include "platform/http_servers.hpp"
#include "platform/store_client.hpp"

DEFINE_string(config, "", "Path of the settings file (INI).");

namespace camphormux::coordinator {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;
/// The process ends this long before it would be killed.
constexpr core::Millis kGraceMargin{1000};
/// The balancer takes a node out of rotation after two failed readiness checks,
/// which it sends once per second.
constexpr core::Millis kMinDrainTime{3000};
constexpr core::Millis kStopCheckInterval{50};
/// The last answers are given this long before the end of the process, so that
/// they are on their way by then.
constexpr core::Millis kAnswerMargin{300};
/// Unfinished answers of hosts, the store and the cloud may hold this part of
/// the memory of the machine.
constexpr std::int64_t kAnswerMemoryParts = 8;

core::Result<NodeSettings, settings::Problems> ReadSettings() {
  const auto file = settings::ReadIniFile(FLAGS_config);
  return file ? ParseNodeSettings(file.value())
              : core::Result<NodeSettings, settings::Problems>(file.error());
}

void PrintProblems(const settings::Problems& problems) {
  for (const settings::Problem& problem : problems) {
    std::cerr << settings::Describe(problem) << '\n';
  }
}

/// Runs a node until a signal stops it.
class Process {
 public:
  explicit Process(const NodeSettings& settings)
      : settings_(settings),
        client_(loop_, settings.peer.ip),
        peer_forwarder_(loop_, settings.peer),
        store_(client_, peer_forwarder_, settings.store),
        node_(loop_, settings,
              platform::MakePorts(loop_, client_, store_, settings),
              peer_forwarder_),
        callers_(loop_, settings, node_),
        signals_(loop_, SIGTERM, SIGINT, SIGHUP),
        timer_(loop_) {
    client_.LimitBuffered(
        {settings.memory.value * (std::int64_t{1} << 20) / kAnswerMemoryParts});
  }

  void Run() {
    telemetry::Log(
        telemetry::Level::kInfo, "started",
        {{"node", settings_.name},
         {"zone", settings_.zone.value},
         {"processor_share", std::to_string(settings_.processor_share)}});
    WaitForSignal();
    node_.Start();
    loop_.run();
    telemetry::Log(telemetry::Level::kInfo, "stopped");
  }

 private:
  void WaitForSignal() {
    signals_.async_wait([this](const asio::error_code& error, int signal) {
      if (error) {
        return;
      }
      if (signal == SIGHUP) {
        Reload();
      } else if (!node_.is_leaving()) {
        stop_requested_at_ = core::MonotonicNow();
        node_.Leave(stop_requested_at_ + MaxDrainTime() - kAnswerMargin);
        CheckStop();
      }
      WaitForSignal();
    });
  }

  /// Reloads the settings file. Addresses and bounds stay as they were at the
  /// start of the process; only the log level changes.
  void Reload() {
    const auto settings = ReadSettings();
    if (!settings) {
      telemetry::Log(telemetry::Level::kError,
                     "reloaded settings are invalid; keeping the current ones");
      PrintProblems(settings.error());
      return;
    }
    settings_.log_level = settings.value().log_level;
    telemetry::ConfigureLog(settings_.name, settings_.log_level,
                            telemetry::LogStream::kOutput);
    telemetry::Log(telemetry::Level::kInfo, "settings reloaded");
  }

  [[nodiscard]] core::Millis MaxDrainTime() const {
    return settings_.termination_grace - kGraceMargin;
  }

  void CheckStop() {
    const core::Millis elapsed_since_stop =
        core::MonotonicNow() - stop_requested_at_;
    const core::Millis longest = MaxDrainTime();
    if (elapsed_since_stop >= longest ||
        (elapsed_since_stop >= std::min(kMinDrainTime, longest) &&
         callers_.open_requests() == 0)) {
      telemetry::Log(
          telemetry::Level::kInfo, "stop accepting requests",
          {{"open_requests", std::to_string(callers_.open_requests())}});
      loop_.stop();
      return;
    }
    timer_.expires_after(kStopCheckInterval);
    timer_.async_wait([this](const asio::error_code& error) {
      if (!error) {
        CheckStop();
      }
    });
  }

  NodeSettings settings_;
  asio::io_context loop_{1};
  http::Client client_;
  PeerForwarder peer_forwarder_;
  platform::StoreClient store_;
  Node node_;
  platform::HttpServers callers_;
  asio::signal_set signals_;
  asio::steady_timer timer_;
  core::MonotonicTime stop_requested_at_;
};

int Main() {
  if (FLAGS_config.empty()) {
    std::cerr << "--config FILE is required\n";
    return kExitBadSettings;
  }
  const auto settings = ReadSettings();
  if (!settings) {
    PrintProblems(settings.error());
    return kExitBadSettings;
  }
  telemetry::ConfigureLog(settings.value().name, settings.value().log_level,
                          telemetry::LogStream::kOutput);
  try {
    Process(settings.value()).Run();
    return 0;
  } catch (const std::exception& error) {
    telemetry::Log(telemetry::Level::kError, "node failed",
                   {{"reason", error.what()}});
    return kExitFailure;
  }
}

}  // namespace
}  // namespace camphormux::coordinator

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "Runs a camphormux node on the platform.\n  --config FILE");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return camphormux::coordinator::Main();
}
