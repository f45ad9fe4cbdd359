#include "fleet.hpp"

#include <utility>

#include "camphormux/settings/reader.hpp"

namespace camphormux::standin {
namespace internal {

using nlohmann::json;

constexpr std::int64_t kMaxCores = 4096;
constexpr std::int64_t kMaxMemoryMib = std::int64_t{1} << 24;
constexpr std::int64_t kMaxAccelerators = 64;
constexpr std::string_view kHostPrefix = "host ";

PlatformHost ReadHost(settings::Reader& reader, const std::string& section) {
  PlatformHost host;
  host.id = section.substr(kHostPrefix.size());
  host.zone = settings::ReadText(reader, section, "zone");
  host.rack = settings::ReadText(reader, section, "rack");
  host.address = settings::ReadAddress(reader, section, "address");
  host.cores = settings::ReadInteger(reader, section, "cores", 1, kMaxCores);
  host.memory_mib =
      settings::ReadInteger(reader, section, "memory_mib", 1, kMaxMemoryMib);
  host.accelerators = settings::ReadInteger(reader, section, "accelerators", 0,
                                            kMaxAccelerators, 0);
  return host;
}

json ListBody(const Fleet& fleet) {
  json list = json::array();
  for (const auto& [id, host] : fleet.hosts) {
    if (!host.listed) {
      continue;
    }
    list.push_back({{"id", id},
                    {"zone", host.zone},
                    {"rack", host.rack},
                    {"address", host.address.ip},
                    {"port", host.address.port},
                    {"cores", host.cores},
                    {"memory_mib", host.memory_mib},
                    {"accelerators", host.accelerators},
                    {"state", host.leaving ? "leaving" : "live"}});
  }
  return list;
}

void AdvanceTask(Fleet& fleet, const PlatformHost& host, Task& task,
                 core::MonotonicTime now) {
  const JobBehaviour& job = fleet.jobs[task.job];
  const bool open = task.state == "running" || task.state == "throttled";
  if (!open) {
    return;
  }
  if (host.fails_tasks || job.fails) {
    task.state = "failed";
  } else if (now > task.lease_end) {
    task.state = "lease_expired";
  } else if (task.done_at && now >= *task.done_at) {
    task.state = "done";
    ++fleet.runs[task.job].done;
  }
}

json TaskBody(const std::string& host, const std::string& id, const Task& task,
              double factor) {
  const bool uses = task.state == "running" || task.state == "throttled";
  const auto actual = [&](std::int64_t declared) {
    return uses ? static_cast<std::int64_t>(static_cast<double>(declared) *
                                            factor)
                : std::int64_t{0};
  };
  return {{"host", host},
          {"task", id},
          {"job", task.job},
          {"epoch", task.epoch},
          {"state", task.state},
          {"cores_milli", actual(task.cores)},
          {"memory_mib", actual(task.memory_mib)},
          {"accelerators", uses ? task.accelerators : 0},
          {"limits",
           {{"cores_milli", task.cores},
            {"memory_mib", task.memory_mib},
            {"accelerators", task.accelerators}}}};
}

// Returns the newest snapshot that is not newer than `latest`, or the oldest
// one if all are newer. Drops the snapshots before it.
json LaggingBody(std::deque<Fleet::Snapshot>& snapshots,
                 core::MonotonicTime latest) {
  while (snapshots.size() > 1 && snapshots[1].time <= latest) {
    snapshots.pop_front();
  }
  return snapshots.empty() ? json::array() : snapshots.front().body;
}

}  // namespace internal

core::Result<Fleet, settings::Problems> ReadFleet(const std::string& path) {
  const auto file = settings::ReadIniFile(path);
  if (!file.has_value()) {
    return file.error();
  }
  settings::Reader reader;
  reader.file = &file.value();
  Fleet fleet;
  for (const settings::IniEntry& entry : file.value().entries) {
    const std::string& section = entry.section;
    if (section.rfind(internal::kHostPrefix, 0) != 0) {
      continue;
    }
    const std::string id = section.substr(internal::kHostPrefix.size());
    if (!fleet.hosts.contains(id)) {
      fleet.hosts.emplace(id, internal::ReadHost(reader, section));
    }
  }
  settings::RejectUnknownKeys(reader);
  if (!reader.problems.empty()) {
    return std::move(reader.problems);
  }
  return fleet;
}

bool AdmitEpoch(Fleet& fleet, const std::string& zone, std::uint64_t epoch) {
  std::uint64_t& seen = fleet.zone_epochs[zone];
  if (epoch < seen) {
    return false;
  }
  seen = epoch;
  return true;
}

void RecordList(Fleet& fleet, core::MonotonicTime now) {
  fleet.list_snapshots.push_back({now, internal::ListBody(fleet)});
}

nlohmann::json LaggingList(Fleet& fleet, core::MonotonicTime now) {
  return internal::LaggingBody(fleet.list_snapshots, now - fleet.list_lag);
}

void RecordUsage(Fleet& fleet, core::MonotonicTime now) {
  std::map<std::string, nlohmann::json> zones;
  for (auto& [id, host] : fleet.hosts) {
    nlohmann::json& list = zones[host.zone];
    for (auto& item : TasksOf(fleet, host, now)) {
      list.push_back(std::move(item));
    }
  }
  for (auto& [zone, list] : zones) {
    auto& snapshots = fleet.usage_snapshots[zone];
    if (list.is_null()) {
      list = nlohmann::json::array();
    }
    snapshots.push_back({now, std::move(list)});
    (void)internal::LaggingBody(snapshots, now - fleet.usage_lag);
  }
}

nlohmann::json LaggingUsage(Fleet& fleet, const std::string& zone,
                            core::MonotonicTime now) {
  std::deque<Fleet::Snapshot>& snapshots = fleet.usage_snapshots[zone];
  nlohmann::json body = internal::LaggingBody(snapshots, now - fleet.usage_lag);
  for (nlohmann::json& item : body) {
    item["age_ms"] = (now - snapshots.front().time).count();
  }
  return body;
}

nlohmann::json TasksOf(Fleet& fleet, PlatformHost& host,
                       core::MonotonicTime now) {
  nlohmann::json list = nlohmann::json::array();
  for (auto& [id, task] : host.tasks) {
    internal::AdvanceTask(fleet, host, task, now);
    list.push_back(internal::TaskBody(host.id, id, task,
                                      fleet.jobs[task.job].usage_factor));
  }
  return list;
}

std::string StateOf(Fleet& fleet, PlatformHost& host, const std::string& id,
                    core::MonotonicTime now) {
  const auto task = host.tasks.find(id);
  if (task == host.tasks.end()) {
    return "absent";
  }
  internal::AdvanceTask(fleet, host, task->second, now);
  return task->second.state;
}

bool PutTask(Fleet& fleet, PlatformHost& host, const std::string& id,
             const nlohmann::json& body, core::MonotonicTime now) {
  const auto number = [](const nlohmann::json& map, const char* key) {
    return map.contains(key) && map[key].is_number_integer()
               ? map[key].get<std::int64_t>()
               : std::int64_t{-1};
  };
  const std::int64_t lease = number(body, "lease_ms");
  if (!body.contains("job") || !body["job"].is_string() || lease < 0 ||
      !body.contains("limits") || !body["limits"].is_object()) {
    return false;
  }
  const auto known = host.tasks.find(id);
  if (known != host.tasks.end()) {
    known->second.lease_end = now + core::Millis{lease};
    return true;
  }
  const nlohmann::json& limits = body["limits"];
  Task task;
  task.job = body["job"].get<std::string>();
  task.epoch = body.value("epoch", std::uint64_t{0});
  task.started = now;
  task.lease_end = now + core::Millis{lease};
  task.cores = number(limits, "cores_milli");
  task.memory_mib = number(limits, "memory_mib");
  task.accelerators = number(limits, "accelerators");
  const JobBehaviour& job = fleet.jobs[task.job];
  const auto run = job.run_time ? job.run_time : fleet.default_run_time;
  if (run) {
    task.done_at = now + *run;
  }
  ++fleet.runs[task.job].starts;
  host.tasks.emplace(id, std::move(task));
  return true;
}

}  // namespace camphormux::standin
