#include "camphormux/gateway/gateway_settings.hpp"

#include <utility>

#include "camphormux/routing/endpoint_health.hpp"
#include "camphormux/settings/reader.hpp"

namespace camphormux::gateway {
namespace internal {

/// Connections that an endpoint must accept according to its interface.
constexpr int kEndpointConnections = 64;
constexpr int kMaxThreads = 64;
constexpr core::Bytes kKiB{1024};
constexpr core::Bytes kMiB{std::int64_t{1024} * 1024};
constexpr core::Bytes kMaxBody{std::int64_t{256} * 1024 * 1024};

void ReadProcess(settings::Reader& reader, GatewaySettings& settings) {
  settings.process.value = settings::ReadText(reader, "process", "id");
  settings.zone.value = settings::ReadText(reader, "process", "zone");
  settings.callers = settings::ReadAddress(reader, "listen", "callers");
  settings.admin = settings::ReadAddress(reader, "listen", "admin");
  if (settings::Find(reader, "listen", "peer") != nullptr) {
    settings.peer = settings::ReadAddress(reader, "listen", "peer");
    settings.advertised_peer = settings::ReadAddressOr(
        reader, "listen", "advertised_peer", *settings.peer);
  }
  settings.source_ip =
      settings::ReadOptionalIp(reader, "process", "source_address");
  settings.seeds = settings::ReadAddresses(reader, "peers", "seeds");
  settings.platform = settings::ReadAddress(reader, "platform", "address");
}

void ReadTraffic(settings::Reader& reader, GatewaySettings& settings) {
  using std::chrono::minutes;
  using std::chrono::seconds;
  settings.threads = static_cast<int>(
      settings::ReadInteger(reader, "traffic", "threads", 1, kMaxThreads, 1));
  settings.max_body = settings::ReadSize(reader, "traffic", "max_body", kKiB,
                                         kMaxBody, core::Bytes{kMiB.value * 4});
  settings.max_header =
      settings::ReadSize(reader, "traffic", "max_header", kKiB, kMiB,
                         core::Bytes{kKiB.value * 32});
  settings.shutdown_grace =
      settings::ReadDuration(reader, "traffic", "shutdown_grace",
                             core::Millis(0), minutes(1), seconds(2));
  settings.shutdown_timeout =
      settings::ReadDuration(reader, "traffic", "shutdown_timeout", seconds(1),
                             minutes(10), seconds(30));
  settings.max_gateways = static_cast<int>(settings::ReadInteger(
      reader, "traffic", "max_gateways", 1, kEndpointConnections, 7));
}

void ReadTelemetry(settings::Reader& reader, GatewaySettings& settings) {
  const std::size_t level = settings::ReadChoice(
      reader, "log", "level", {"debug", "info", "warning", "error"}, 1);
  settings.log_level = static_cast<telemetry::Level>(level);
  settings.trace_file = settings::ReadText(reader, "trace", "file", "");
  settings.trace_ratio =
      settings::ReadReal(reader, "trace", "ratio", 0.0, 1.0, 0.01);
}

void CheckThreads(settings::Reader& reader, const GatewaySettings& settings) {
  const int share =
      routing::ConnectionShare(kEndpointConnections, settings.max_gateways, 1);
  const settings::IniEntry* entry =
      settings::Find(reader, "traffic", "threads");
  if (settings.threads > share && entry != nullptr) {
    settings::Reject(reader, *entry,
                     "at most " + std::to_string(share) +
                         ", this gateway's share of the 64 connections to an "
                         "endpoint (64 / max_gateways)");
  }
}

}  // namespace internal

core::Result<GatewaySettings, settings::Problems> ParseGatewaySettings(
    const settings::IniFile& file) {
  settings::Reader reader;
  reader.file = &file;
  GatewaySettings settings;
  internal::ReadProcess(reader, settings);
  internal::ReadTraffic(reader, settings);
  internal::ReadTelemetry(reader, settings);
  internal::CheckThreads(reader, settings);
  settings::RejectUnknownKeys(reader);
  if (!reader.problems.empty()) {
    return std::move(reader.problems);
  }
  return settings;
}

}  // namespace camphormux::gateway
