#include "camphormux/text/parse.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <set>
#include <utility>

#include "camphormux/settings/reader.hpp"

namespace camphormux::text {
namespace internal {

using settings::Reader;

constexpr double kMaxWeight = 1000.0;
constexpr double kMaxCallsPerRequest = 1000.0;
constexpr std::int64_t kMaxHosts = 100'000;
constexpr std::int64_t kMaxSlots = 10'000;
constexpr std::int64_t kMaxQuota = 1'000'000'000;
constexpr std::int64_t kMaxPriority = 100;
constexpr core::Millis kDay = std::chrono::hours(24);
constexpr core::Millis kMaxPeriod = std::chrono::hours(366 * 24);

/// Names stand in paths, metric labels and log records.
bool IsName(std::string_view text) {
  constexpr std::size_t kMaxLength = 63;
  return !text.empty() && text.size() <= kMaxLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::islower(c) != 0 || std::isdigit(c) != 0 || c == '-' ||
                  c == '_';
         });
}

constexpr const char* kNameRule = "1 to 63 of the characters a-z, 0-9, - and _";

std::string ReadName(
    Reader& reader, const std::string& section, const std::string& key,
    const std::optional<std::string>& fallback = std::nullopt) {
  std::string name = settings::ReadText(reader, section, key, fallback);
  const settings::IniEntry* entry = settings::Find(reader, section, key);
  if (entry != nullptr && !name.empty() && !IsName(name)) {
    settings::Reject(reader, *entry, kNameRule);
  }
  return name;
}

std::vector<std::string> ReadItems(Reader& reader, const std::string& section,
                                   const std::string& key) {
  const settings::IniEntry* entry = settings::Find(reader, section, key);
  return entry == nullptr ? std::vector<std::string>{}
                          : settings::SplitList(entry->value);
}

void RejectItem(Reader& reader, const std::string& section,
                const std::string& key, const std::string& expected) {
  const settings::IniEntry* entry = settings::Find(reader, section, key);
  if (entry != nullptr) {
    settings::Reject(reader, *entry, expected);
  }
}

/// Parses "name" or "name:calls_per_request".
std::optional<Dependency> ParseDependency(const std::string& item) {
  const std::size_t colon = item.find(':');
  Dependency dependency{core::ServiceName{item.substr(0, colon)}, 1.0};
  if (colon != std::string::npos) {
    const char* end = item.data() + item.size();
    const auto [last, error] = std::from_chars(item.data() + colon + 1, end,
                                               dependency.calls_per_request);
    if (error != std::errc{} || last != end ||
        !(dependency.calls_per_request > 0.0) ||
        dependency.calls_per_request > kMaxCallsPerRequest) {
      return std::nullopt;
    }
  }
  return IsName(dependency.service.value) ? std::optional(dependency)
                                          : std::nullopt;
}

/// Parses "METHOD /prefix" or "/prefix".
std::optional<RequestPattern> ParsePattern(const std::string& item) {
  const std::size_t slash = item.find('/');
  if (slash == std::string::npos) {
    return std::nullopt;
  }
  std::string method = item.substr(0, slash);
  const std::size_t end = method.find_last_not_of(' ');
  method = end == std::string::npos ? "*" : method.substr(0, end + 1);
  const bool valid = method == "*" || std::all_of(method.begin(), method.end(),
                                                  [](unsigned char c) {
                                                    return std::isupper(c) != 0;
                                                  });
  return valid ? std::optional(RequestPattern{method, item.substr(slash)})
               : std::nullopt;
}

void ReadDependencies(Reader& reader, const std::string& section,
                      Service& service) {
  for (const std::string& item : ReadItems(reader, section, "depends_on")) {
    const std::optional<Dependency> dependency = ParseDependency(item);
    if (!dependency || dependency->service == service.name) {
      RejectItem(reader, section, "depends_on",
                 "other services as NAME or NAME:CALLS_PER_REQUEST, "
                 "separated by commas");
      continue;
    }
    service.depends_on.push_back(*dependency);
  }
}

void ReadPatterns(Reader& reader, const std::string& section,
                  Service& service) {
  for (const std::string& item : ReadItems(reader, section, "non_repeatable")) {
    const std::optional<RequestPattern> pattern = ParsePattern(item);
    if (!pattern) {
      RejectItem(reader, section, "non_repeatable",
                 "METHOD /path-prefix or /path-prefix, separated by commas");
      continue;
    }
    service.non_repeatable.push_back(*pattern);
  }
}

Service ReadService(Reader& reader, const std::string& section,
                    std::string name) {
  Service service;
  service.pool.value = ReadName(reader, section, "pool", name);
  service.name.value = std::move(name);
  ReadDependencies(reader, section, service);
  for (std::string& zone : ReadItems(reader, section, "zones")) {
    service.zones.push_back(core::ZoneName{std::move(zone)});
  }
  service.min_hosts = static_cast<int>(
      settings::ReadInteger(reader, section, "min_hosts", 1, kMaxHosts, 1));
  service.host_availability =
      settings::ReadReal(reader, section, "host_availability", 0.0, 1.0, 0.5);
  service.request_availability = settings::ReadReal(
      reader, section, "request_availability", 0.0, 1.0, 0.99);
  service.request_window = settings::ReadDuration(
      reader, section, "request_window", std::chrono::minutes(1), 31 * kDay,
      std::chrono::hours(1));
  service.priority = static_cast<int>(
      settings::ReadInteger(reader, section, "priority", 1, kMaxPriority, 1));
  service.slots_per_host = static_cast<int>(settings::ReadInteger(
      reader, section, "slots_per_host", 1, kMaxSlots, 8));
  service.connections_per_host = static_cast<int>(settings::ReadInteger(
      reader, section, "connections_per_host", 1, kMaxSlots, 64));
  ReadPatterns(reader, section, service);
  return service;
}

Team ReadTeam(Reader& reader, const std::string& section, std::string name) {
  constexpr std::int64_t kMilli = 1000;
  const auto read = [&](const char* key) {
    return settings::ReadInteger(reader, section, key, 0, kMaxQuota, 0);
  };
  Team team;
  team.name.value = std::move(name);
  team.cores = core::MilliCores{read("cores") * kMilli};
  team.memory = core::Mebibytes{read("memory_mib")};
  team.accelerators = core::Accelerators{read("accelerators")};
  return team;
}

/// Parses "HH:MM" as the time since midnight.
std::optional<core::Millis> ParseTimeOfDay(std::string_view text) {
  constexpr int kMinutesInDay = 24 * 60;
  if (text.size() != 5 || text[2] != ':') {
    return std::nullopt;
  }
  int hours = 0;
  int minutes = 0;
  const char* begin = text.data();
  const auto first = std::from_chars(begin, begin + 2, hours);
  const auto second = std::from_chars(begin + 3, begin + 5, minutes);
  const bool parsed = first.ptr == begin + 2 && second.ptr == begin + 5;
  if (!parsed || minutes < 0 || minutes > 59 || hours < 0 ||
      hours * 60 + minutes > kMinutesInDay) {
    return std::nullopt;
  }
  return std::chrono::minutes(hours * 60 + minutes);
}

MaintenancePlan ReadMaintenance(Reader& reader) {
  const std::string section = "maintenance";
  MaintenancePlan plan;
  plan.period = settings::ReadDuration(reader, section, "period", kDay / 24,
                                       kMaxPeriod, plan.period);
  const std::string window =
      settings::ReadText(reader, section, "window", "00:00-24:00");
  const std::string_view view = window;
  const std::size_t dash = view.find('-');
  const auto start = ParseTimeOfDay(view.substr(0, dash));
  const auto end = dash == std::string_view::npos
                       ? std::nullopt
                       : ParseTimeOfDay(view.substr(dash + 1));
  if (start && end && *start < *end) {
    plan.window_start = *start;
    plan.window_end = *end;
  } else {
    RejectItem(reader, section, "window",
               "HH:MM-HH:MM in UTC, the start before the end");
  }
  plan.max_parallel_racks = static_cast<int>(
      settings::ReadInteger(reader, section, "max_parallel_racks", 1, 1000, 1));
  return plan;
}

/// Splits "kind name"; the kind is empty if there is no name.
std::pair<std::string, std::string> SplitSection(const std::string& section) {
  const std::size_t space = section.find(' ');
  if (space == std::string::npos) {
    return {"", section};
  }
  return {section.substr(0, space), section.substr(space + 1)};
}

void ReadNamedSection(Reader& reader, const std::string& section, int line,
                      OperatorText& text) {
  const auto [kind, name] = SplitSection(section);
  const bool known = kind == "zone" || kind == "service" || kind == "team";
  if (!known) {
    return;
  }
  if (!IsName(name)) {
    reader.problems.push_back(
        {reader.file->name, line, section, "'" + name + "'", kNameRule});
  }
  if (kind == "zone") {
    const core::ZoneName zone{name};
    text.zones[zone] = {
        zone, core::RegionName{ReadName(reader, section, "region", "default")}};
  } else if (kind == "service") {
    text.services[core::ServiceName{name}] = ReadService(reader, section, name);
  } else {
    text.teams[core::TeamName{name}] = ReadTeam(reader, section, name);
  }
}

void CheckReferences(Reader& reader, const OperatorText& text) {
  std::set<core::PoolName> pools;
  for (const auto& [name, service] : text.services) {
    const std::string section = "service " + name.value;
    for (const Dependency& dependency : service.depends_on) {
      if (!text.services.contains(dependency.service)) {
        RejectItem(reader, section, "depends_on", "services of this text");
      }
    }
    for (const core::ZoneName& zone : service.zones) {
      if (!text.zones.contains(zone)) {
        RejectItem(reader, section, "zones", "zones of this text");
      }
    }
    if (!pools.insert(service.pool).second) {
      RejectItem(reader, section, "pool", "a pool that no other service uses");
    }
  }
  if (!pools.contains(text.spare_pool)) {
    RejectItem(reader, "deployment", "spare_pool", "the pool of a service");
  }
  if (text.zones.empty()) {
    settings::RejectMissing(reader, "zone NAME", "region",
                            "at least one section [zone NAME]");
  }
}

}  // namespace internal

core::Result<OperatorText, settings::Problems> ParseOperatorText(
    std::string name, std::string_view source) {
  const auto file = settings::ParseIni(std::move(name), source);
  if (!file.has_value()) {
    return file.error();
  }
  settings::Reader reader{&file.value(), {}, {}};
  OperatorText text;
  text.deployment = internal::ReadName(reader, "deployment", "name");
  text.spare_pool.value =
      internal::ReadName(reader, "deployment", "spare_pool");
  const auto weight = [&reader](const char* key) {
    return settings::ReadReal(reader, "policy", key, 0.0, internal::kMaxWeight,
                              1.0);
  };
  text.policy = {weight("moves_weight"), weight("buffer_weight"),
                 weight("rollout_weight")};
  std::set<std::string> sections;
  for (const settings::IniEntry& entry : file.value().entries) {
    if (sections.insert(entry.section).second) {
      internal::ReadNamedSection(reader, entry.section, entry.line, text);
    }
  }
  text.maintenance = internal::ReadMaintenance(reader);
  internal::CheckReferences(reader, text);
  settings::RejectUnknownKeys(reader);
  if (!reader.problems.empty()) {
    return std::move(reader.problems);
  }
  return text;
}

bool IsNonRepeatable(const Service& service, std::string_view method,
                     std::string_view path) {
  return std::any_of(
      service.non_repeatable.begin(), service.non_repeatable.end(),
      [&](const RequestPattern& pattern) {
        return (pattern.method == "*" || pattern.method == method) &&
               path.starts_with(pattern.path_prefix);
      });
}

}  // namespace camphormux::text
