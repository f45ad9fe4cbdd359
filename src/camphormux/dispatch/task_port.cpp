#include "camphormux/dispatch/task_port.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace camphormux::dispatch {
namespace internal {

using nlohmann::json;

/// Timeout of calls and list requests; the caller repeats them.
constexpr core::Millis kTimeout = std::chrono::seconds(2);
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr char kTaskPrefix = 't';

std::string Url(const core::Address& platform, const std::string& path) {
  return fmt::format("http://{}:{}{}", platform.ip, platform.port, path);
}

std::string TaskName(core::Epoch number) {
  return fmt::format("{}{}", kTaskPrefix, number.value);
}

std::optional<core::Epoch> ParseTaskName(const std::string& name) {
  core::Epoch number;
  const char* const end = name.data() + name.size();
  if (name.empty() || name[0] != kTaskPrefix) return std::nullopt;
  const auto result = std::from_chars(name.data() + 1, end, number.value);
  const bool whole = result.ec == std::errc{} && result.ptr == end;
  return whole ? std::optional(number) : std::nullopt;
}

std::optional<RunState> ParseState(const std::string& word) {
  static const std::map<std::string, RunState> words{
      {"running", RunState::kRunning},
      {"throttled", RunState::kThrottled},
      {"checkpointed", RunState::kCheckpointed},
      {"done", RunState::kDone},
      {"failed", RunState::kFailed},
      {"out_of_memory", RunState::kOutOfMemory},
      {"lease_expired", RunState::kLeaseExpired},
      {"absent", RunState::kAbsent}};
  const auto found = words.find(word);
  return found == words.end() ? std::nullopt : std::optional(found->second);
}

/// Parses one item. Returns nothing if the task's name does not have the format
/// of this program or its state is unknown.
std::optional<ListedTask> ToListedTask(const json& item) {
  const auto number = ParseTaskName(item.at("task").get<std::string>());
  const auto state = ParseState(item.at("state").get<std::string>());
  if (!number || !state) return std::nullopt;
  ListedTask task;
  task.task = {{item.at("job").get<std::string>()}, *number};
  task.state = *state;
  task.cores.value = item.at("cores_milli").get<std::int64_t>();
  task.memory.value = item.at("memory_mib").get<std::int64_t>();
  const json& limits = item.at("limits");
  task.limits.cores.value = limits.at("cores_milli").get<std::int64_t>();
  task.limits.memory.value = limits.at("memory_mib").get<std::int64_t>();
  task.limits.accelerators.value =
      limits.at("accelerators").get<std::int64_t>();
  return task;
}

TaskCallOutcome ToOutcome(int status, const std::string& code) {
  if (status == kOk) return TaskCallOutcome::kDone;
  if (status == kConflict && code == "old_epoch") {
    return TaskCallOutcome::kStaleEpoch;
  }
  const bool refused = status == kBadRequest || status == kNotFound ||
                       status == kConflict || status == kGone;
  return refused ? TaskCallOutcome::kRefused : TaskCallOutcome::kFailed;
}

TaskAnswer ToAnswer(const TaskCall& call, core::MonotonicTime sent,
                    const http::ClientResult& result) {
  TaskAnswer answer{call, TaskCallOutcome::kFailed, std::nullopt, sent};
  if (!result.has_value()) return answer;
  const json body =
      json::parse(result.value().body, nullptr, /*allow_exceptions=*/false);
  const auto text = [&body](const char* key) {
    return body.is_object() && body.contains(key) && body[key].is_string()
               ? body[key].get<std::string>()
               : std::string();
  };
  answer.outcome = ToOutcome(result.value().status, text("code"));
  answer.state = ParseState(text("state"));
  return answer;
}

json ToJson(const placement::Resources& limits) {
  return {{"cores_milli", limits.cores.value},
          {"memory_mib", limits.memory.value},
          {"accelerators", limits.accelerators.value}};
}

}  // namespace internal

std::optional<std::vector<HostTasks>> ParseTasks(std::string_view body,
                                                 core::MonotonicTime received) {
  try {
    std::map<core::HostId, HostTasks> hosts;
    for (const auto& item : nlohmann::json::parse(body)) {
      const core::HostId id{item.at("host").get<std::string>()};
      const core::Millis age{item.value("age_ms", std::int64_t{0})};
      HostTasks& host = hosts[id];
      host.as_of = host.tasks.empty() ? received - age
                                      : std::min(host.as_of, received - age);
      host.host = id;
      if (auto task = internal::ToListedTask(item)) {
        host.tasks.push_back(std::move(*task));
      }
    }
    std::vector<HostTasks> list;
    list.reserve(hosts.size());
    for (auto& [id, host] : hosts) list.push_back(std::move(host));
    return list;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

http::ClientRequest ToRequest(const TaskCall& call,
                              const core::Address& platform) {
  const std::string path = fmt::format("/v1/hosts/{}/tasks/{}", call.host.value,
                                       internal::TaskName(call.task.epoch));
  nlohmann::json body{{"epoch", call.epoch.value}};
  http::ClientRequest request;
  request.timeout = internal::kTimeout;
  request.headers = {{"Content-Type", "application/json"}};
  request.url = internal::Url(platform, path);
  switch (call.kind) {
    case TaskCallKind::kStart:
      request.method = "PUT";
      body["job"] = call.task.job.value;
      body["lease_ms"] = call.lease.count();
      body["limits"] = internal::ToJson(call.limits);
      break;
    case TaskCallKind::kThrottle:
      request.method = "POST";
      request.url += "/throttle";
      body["cores_milli"] = call.cores.value;
      break;
    case TaskCallKind::kCheckpoint:
      request.method = "POST";
      request.url += "/checkpoint";
      break;
    case TaskCallKind::kFence:
    case TaskCallKind::kDelete:
      request.method = "DELETE";
      break;
  }
  request.body = body.dump();
  return request;
}

TaskPort MakeTaskPort(http::Client& client, const core::Address& platform) {
  TaskPort port;
  const auto get = [&client, platform](const std::string& path, auto done) {
    http::ClientRequest request;
    request.url = internal::Url(platform, path);
    request.timeout = internal::kTimeout;
    client.Send(std::move(request), std::move(done));
  };
  port.list = [get](const core::HostId& host, auto done) {
    const core::MonotonicTime requested_at = core::MonotonicNow();
    get("/v1/hosts/" + host.value + "/tasks",
        [host, requested_at, done](const http::ClientResult& result) {
          if (!result.has_value()) return done(std::nullopt);
          HostTasks list{host, requested_at, {}};
          // A host that the platform does not know has no tasks.
          if (result.value().status == internal::kNotFound) return done(list);
          const auto parsed =
              result.value().status == internal::kOk
                  ? ParseTasks(result.value().body, requested_at)
                  : std::nullopt;
          if (!parsed) return done(std::nullopt);
          for (const HostTasks& part : *parsed) {
            if (part.host == host) list.tasks = part.tasks;
          }
          done(std::move(list));
        });
  };
  port.usage = [get](const core::ZoneName& zone, auto done) {
    get("/v1/usage?zone=" + zone.value, [done,
                                         requested_at = core::MonotonicNow()](
                                            const http::ClientResult& result) {
      const bool good =
          result.has_value() && result.value().status == internal::kOk;
      done(good ? ParseTasks(result.value().body, requested_at) : std::nullopt);
    });
  };
  port.send = [&client, platform](const TaskCall& call, auto done) {
    const core::MonotonicTime sent = core::MonotonicNow();
    client.Send(ToRequest(call, platform),
                [done, call, sent](const http::ClientResult& result) {
                  done(internal::ToAnswer(call, sent, result));
                });
  };
  return port;
}

}  // namespace camphormux::dispatch
