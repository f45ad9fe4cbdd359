#include "camphormux/coordinator/node_settings.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include "camphormux/settings/reader.hpp"

namespace camphormux::coordinator {
namespace internal {

constexpr double kMaxOrdersPerSecond = 100'000;

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr double kMaxRemoteFactor = 100.0;
constexpr double kMaxCores = 1024.0;
constexpr double kMinMemoryMb = 16.0;
constexpr double kMaxMemoryMb = 1024.0 * 1024.0;
constexpr double kMinDescriptors = 400.0;
constexpr double kMaxDescriptors = 1'000'000.0;

void ReadAddresses(settings::Reader& reader, NodeSettings& settings) {
  settings.callers = settings::ReadAddress(reader, "listen", "callers");
  settings.ready = settings::ReadAddress(reader, "listen", "ready");
  settings.peer = settings::ReadAddress(reader, "listen", "peer");
  settings.metrics = settings::ReadAddress(reader, "listen", "metrics");
  settings.store = settings::ReadAddress(reader, "platform", "store");
  settings.cloud = settings::ReadAddress(reader, "platform", "cloud");
  settings.advice =
      settings::ReadAddressOr(reader, "platform", "advice", core::Address{});
}

/// Reads a limit of the machine. The value is empty in files for a platform
/// that sets no such limit.
std::int64_t ReadLimit(settings::Reader& reader, std::string_view key,
                       double low, double high, std::int64_t fallback) {
  const settings::IniEntry* entry = settings::Find(reader, "limits", key);
  if (entry != nullptr && entry->value.empty()) {
    return fallback;
  }
  return static_cast<std::int64_t>(settings::ReadReal(
      reader, "limits", key, low, high, static_cast<double>(fallback)));
}

void ReadLimits(settings::Reader& reader, NodeSettings& settings) {
  settings.memory.value = ReadLimit(reader, "memory_mb", kMinMemoryMb,
                                    kMaxMemoryMb, settings.memory.value);
  settings.max_descriptors =
      ReadLimit(reader, "descriptors", kMinDescriptors, kMaxDescriptors,
                settings.max_descriptors);
}

void ReadScheduler(settings::Reader& reader, scheduler::Settings& settings) {
  settings.longest_lease =
      settings::ReadDuration(reader, "runs", "longest_lease", seconds(1),
                             minutes(10), settings.longest_lease);
  settings.lease = std::min(settings.lease, settings.longest_lease);
  settings.max_early_start =
      settings::ReadDuration(reader, "runs", "early", milliseconds(0),
                             minutes(1), settings.max_early_start);
  settings.remote_factor = settings::ReadReal(reader, "runs", "remote_factor",
                                              1.0, kMaxRemoteFactor, 1.0);
  settings.learn_run_times =
      settings::ReadChoice(reader, "runs", "run_times",
                           {"estimated", "learned"}, 0) == 1;
  settings.status_retention =
      settings::ReadDuration(reader, "runs", "status_kept", seconds(1),
                             minutes(60), settings.status_retention);
  settings.machine_lease =
      settings::ReadDuration(reader, "machines", "lease", milliseconds(0),
                             minutes(1), settings.machine_lease);
  settings.machine_orders_per_second =
      static_cast<std::uint32_t>(settings::ReadReal(
          reader, "machines", "orders_per_second", 1.0, kMaxOrdersPerSecond,
          settings.machine_orders_per_second));
}

}  // namespace internal

core::Result<NodeSettings, settings::Problems> ParseNodeSettings(
    const settings::IniFile& file) {
  settings::Reader reader;
  reader.file = &file;
  NodeSettings settings;
  settings.name = settings::ReadText(reader, "process", "name");
  settings.zone.value = settings::ReadText(reader, "process", "zone");
  settings.termination_grace =
      settings::ReadDuration(reader, "process", "grace", internal::seconds(1),
                             internal::minutes(10), settings.termination_grace);
  settings.processor_share = settings::ReadReal(
      reader, "process", "processor_share", 0.0, internal::kMaxCores, 1.0);
  internal::ReadAddresses(reader, settings);
  internal::ReadLimits(reader, settings);
  internal::ReadScheduler(reader, settings.scheduler);
  const std::size_t level = settings::ReadChoice(
      reader, "log", "level", {"debug", "info", "warning", "error"}, 1);
  settings.log_level = static_cast<telemetry::Level>(level);
  settings::RejectUnknownKeys(reader);
  if (!reader.problems.empty()) {
    return std::move(reader.problems);
  }
  return settings;
}

}  // namespace camphormux::coordinator
