#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "routes.hpp"
#include "service.hpp"

namespace camphormux::standin {
namespace internal {

bool MatchesFilter(const http::ServerRequest& request,
                   const nlohmann::json& host, const char* key) {
  const auto wanted = request.query.find(key);
  return wanted == request.query.end() || host.at(key) == wanted->second;
}

/// Adds an ETag to a response; replaces it by 304 if the request's
/// If-None-Match has the same ETag.
http::ServerResponse ConditionalResponse(const http::ServerRequest& request,
                                         http::ServerResponse response) {
  const std::string etag =
      "\"" + std::to_string(std::hash<std::string>{}(response.body)) + "\"";
  const std::string* known = http::FindHeader(request.headers, "If-None-Match");
  if (known != nullptr && *known == etag) {
    return {304, "", response.content_type, {{"ETag", etag}}};
  }
  response.headers.push_back({"ETag", etag});
  return response;
}

/// Returns the hosts that were added or changed and the ids of the removed
/// ones.
nlohmann::json HostListDelta(const nlohmann::json& before,
                             const nlohmann::json& after) {
  std::map<std::string, const nlohmann::json*> old;
  for (const auto& host : before) {
    old.emplace(host.at("id").get<std::string>(), &host);
  }
  nlohmann::json changed = nlohmann::json::array();
  for (const auto& host : after) {
    const auto found = old.find(host.at("id").get<std::string>());
    if (found == old.end() || *found->second != host) {
      changed.push_back(host);
    }
    if (found != old.end()) {
      old.erase(found);
    }
  }
  nlohmann::json removed = nlohmann::json::array();
  for (const auto& [id, host] : old) {
    removed.push_back(id);
  }
  return {{"changed", changed}, {"removed", removed}};
}

/// Returns the delta to the version named by the query parameter `since` if
/// that version is still stored, and otherwise the full list or 304.
http::ServerResponse HostListResponse(const http::ServerRequest& request,
                                      const nlohmann::json& list,
                                      ListVersions& versions) {
  http::ServerResponse full =
      ConditionalResponse(request, JsonResponse(200, list));
  const std::string etag = *http::FindHeader(full.headers, "ETag");
  const std::string version = etag.substr(1, etag.size() - 2);
  constexpr std::size_t kMaxVersions = 8;
  const auto find_version = [&versions](const std::string& wanted) {
    return std::find_if(
        versions.begin(), versions.end(),
        [&wanted](const auto& item) { return item.first == wanted; });
  };
  if (find_version(version) == versions.end()) {
    versions.emplace_back(version, list);
    if (versions.size() > kMaxVersions) {
      versions.pop_front();
    }
  }
  const auto since = request.query.find("since");
  if (full.status != 200 || since == request.query.end() ||
      find_version(since->second) == versions.end()) {
    return full;
  }
  http::ServerResponse changes = JsonResponse(
      200, HostListDelta(find_version(since->second)->second, list));
  changes.headers.push_back({"ETag", etag});
  return changes;
}

}  // namespace internal

void Service::HandleHost(const http::ServerRequest& request, const Path& path,
                         const http::Respond& respond) {
  if (path.size() == 2) {
    nlohmann::json list = nlohmann::json::array();
    for (auto& host : LaggingList(fleet_, core::MonotonicNow())) {
      if (internal::MatchesFilter(request, host, "zone") &&
          internal::MatchesFilter(request, host, "state")) {
        list.push_back(std::move(host));
      }
    }
    const bool filtered =
        request.query.contains("zone") || request.query.contains("state");
    respond(filtered
                ? internal::ConditionalResponse(
                      request, internal::JsonResponse(200, list))
                : internal::HostListResponse(request, list, list_versions_));
    return;
  }
  const auto host = fleet_.hosts.find(path[2]);
  if (host == fleet_.hosts.end()) {
    respond(internal::NotFound("host " + path[2]));
    return;
  }
  if (path.size() == 4 && path[3] == "tasks" && request.method == "GET") {
    respond(internal::JsonResponse(
        200, TasksOf(fleet_, host->second, core::MonotonicNow())));
  } else if (path.size() == 3) {
    HostStatus(host->second, respond);
  } else if (path[3] == "tasks" && path.size() >= 5) {
    HandleTask(request, path, host->second, respond);
  } else if (path.size() == 4) {
    HandleHostChange(host->second, path[3], internal::ParseBody(request.body),
                     respond);
  } else {
    respond(internal::NotFound("path " + request.path));
  }
}

void Service::HostStatus(const PlatformHost& host,
                         const http::Respond& respond) {
  nlohmann::json own{{"pool", host.pool},
                     {"service", host.service},
                     {"generation", host.generation},
                     {"draining", host.draining},
                     {"active_requests", 0},
                     {"boot_id", "boot-" + std::to_string(host.boots)}};
  if (!endpoints_) {
    respond(internal::JsonResponse(200, own));
    return;
  }
  // Values that the endpoint reports override those of the platform.
  Forward("GET", "/control/hosts/" + host.id, nullptr,
          [own, respond](const http::ServerResponse& response) mutable {
            const auto actual = internal::ParseBody(response.body);
            if (response.status != 200 || !actual.is_object()) {
              respond(response);
              return;
            }
            own.update(actual);
            respond(internal::JsonResponse(200, own));
          });
}

void Service::HandleHostChange(PlatformHost& host, const std::string& what,
                               const nlohmann::json& body,
                               const http::Respond& respond) {
  const auto epoch = internal::BodyNumber(body, "epoch");
  if (!epoch) {
    respond(internal::ErrorResponse(400, "bad_request", "epoch is missing"));
    return;
  }
  if (!AdmitEpoch(fleet_, host.zone, *epoch)) {
    respond(
        internal::ErrorResponse(409, "old_epoch", "the epoch is not in force"));
    return;
  }
  const http::Respond change = WithResponseLoss(respond);
  const std::string control = "/control/hosts/" + host.id;
  const auto generation = internal::BodyNumber(body, "generation");
  if (what == "reboot") {
    const std::string id = internal::BodyText(body, "maintenance_id");
    if (host.maintenance_ids.insert(id).second) {
      ++host.boots;
      host.tasks.clear();
    }
    Forward("PUT", control + "/reboot", {{"maintenance_id", id}}, change);
    return;
  }
  if (!generation || (what != "pool" && what != "drain")) {
    respond(
        internal::ErrorResponse(400, "bad_request", "generation is missing"));
    return;
  }
  if (*generation < host.generation) {
    respond(internal::ErrorResponse(409, "old_generation",
                                    "the host has a higher generation"));
    return;
  }
  host.generation = *generation;
  host.draining = what == "drain";
  if (host.draining) {
    Forward("PUT", control + "/drain", {{"generation", *generation}}, change);
    return;
  }
  host.pool = internal::BodyText(body, "pool");
  host.service = internal::BodyText(body, "service");
  Forward("PUT", control + "/assignment",
          {{"service", host.service}, {"generation", *generation}}, change);
}

void Service::HandleTask(const http::ServerRequest& request, const Path& path,
                         PlatformHost& host, const http::Respond& respond) {
  const nlohmann::json body = internal::ParseBody(request.body);
  const std::string& id = path[4];
  const http::Respond change = WithResponseLoss(respond);
  const auto epoch = internal::BodyNumber(body, "epoch");
  if (epoch && !AdmitEpoch(fleet_, host.zone, *epoch)) {
    respond(
        internal::ErrorResponse(409, "old_epoch", "the epoch is not in force"));
    return;
  }
  const core::MonotonicTime now = core::MonotonicNow();
  std::string state = StateOf(fleet_, host, id, now);
  if (request.method == "PUT") {
    if (host.deleted_tasks.contains(id)) {
      change(internal::ErrorResponse(410, "deleted", "the task was deleted"));
      return;
    }
    if (!PutTask(fleet_, host, id, body, now)) {
      respond(internal::ErrorResponse(400, "bad_request",
                                      "job, lease_ms or limits is missing"));
      return;
    }
    state = StateOf(fleet_, host, id, now);
  } else if (request.method == "DELETE") {
    host.tasks.erase(id);
    host.deleted_tasks.insert(id);
  } else if (state == "absent" || path.size() != 6) {
    respond(internal::NotFound("task " + id));
    return;
  } else {
    ThrottleOrCheckpoint(host.tasks.at(id), path[5], body);
    state = host.tasks.at(id).state;
  }
  change(internal::JsonResponse(200, {{"state", state}}));
}

void Service::ThrottleOrCheckpoint(Task& task, const std::string& how,
                                   const nlohmann::json& body) {
  const bool runs = task.state == "running" || task.state == "throttled";
  if (how == "throttle" && runs) {
    // A throttle to at least the cores that the task started with ends the
    // throttling.
    const auto cores = internal::BodyNumber(body, "cores_milli");
    const bool ends = cores && *cores >= static_cast<std::uint64_t>(task.cores);
    task.state = ends ? "running" : "throttled";
  } else if (how == "checkpoint" && runs) {
    task.state = "checkpointed";
  }
}

void Service::Forward(const std::string& method, const std::string& path,
                      const nlohmann::json& body,
                      const http::Respond& respond) {
  if (!endpoints_) {
    respond(internal::JsonResponse(200, nlohmann::json::object()));
    return;
  }
  http::ClientRequest request;
  request.method = method;
  request.url = "http://" + endpoints_->ip + ":" +
                std::to_string(endpoints_->port) + path;
  if (!body.is_null()) {
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body.dump();
  }
  client_.Send(std::move(request), [respond](const http::ClientResult& result) {
    if (!result.has_value()) {
      respond(internal::ErrorResponse(503, "unavailable",
                                      "the host does not answer"));
      return;
    }
    respond(
        {result.value().status, result.value().body, "application/json", {}});
  });
}

}  // namespace camphormux::standin
