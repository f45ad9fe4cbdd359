#include "camphormux/controller/settings.hpp"

#include <array>
#include <utility>

#include "camphormux/settings/reader.hpp"

namespace camphormux::controller {
namespace internal {

constexpr core::Millis kMinStep{10};
/// A quarter of it must be enough time to write a snapshot of the largest
/// fleet.
constexpr core::Millis kMinRetention = std::chrono::minutes(1);
constexpr core::Millis kMaxRetention = std::chrono::hours(24 * 365);
constexpr core::Millis kMaxStep = std::chrono::seconds(2);
constexpr std::array kLevels{telemetry::Level::kDebug, telemetry::Level::kInfo,
                             telemetry::Level::kWarning,
                             telemetry::Level::kError};
constexpr std::size_t kInfoIndex = 1;

}  // namespace internal

core::Result<Settings, settings::Problems> ParseSettings(
    const settings::IniFile& file) {
  settings::Reader reader{&file, {}, {}};
  Settings parsed;
  parsed.process.value = settings::ReadText(reader, "process", "id");
  parsed.zone.value = settings::ReadText(reader, "process", "zone");
  parsed.admin = settings::ReadAddress(reader, "listen", "admin");
  parsed.peer = settings::ReadAddress(reader, "listen", "peer");
  parsed.advertised_peer =
      settings::ReadAddressOr(reader, "listen", "advertised_peer", parsed.peer);
  parsed.source_ip =
      settings::ReadOptionalIp(reader, "process", "source_address");
  parsed.platform = settings::ReadAddress(reader, "platform", "address");
  parsed.retention = settings::ReadDuration(
      reader, "platform", "retention", internal::kMinRetention,
      internal::kMaxRetention, parsed.retention);
  parsed.seeds = settings::ReadAddresses(reader, "peers", "seeds");
  parsed.step =
      settings::ReadDuration(reader, "control", "step", internal::kMinStep,
                             internal::kMaxStep, parsed.step);
  parsed.log_level = internal::kLevels[settings::ReadChoice(
      reader, "log", "level", {"debug", "info", "warning", "error"},
      internal::kInfoIndex)];
  parsed.trace_file = settings::ReadText(reader, "trace", "file", "");
  parsed.trace_ratio =
      settings::ReadReal(reader, "trace", "ratio", 0.0, 1.0, 0.0);
  settings::RejectUnknownKeys(reader);
  if (!reader.problems.empty()) {
    return std::move(reader.problems);
  }
  return parsed;
}

}  // namespace camphormux::controller
