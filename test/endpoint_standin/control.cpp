#include "test/endpoint_standin/control.hpp"

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace camphormux::endpoint_standin {
namespace internal {

using Json = nlohmann::json;

http::ServerResponse Error(int status, const std::string& code,
                           const std::string& field) {
  const Json body{{"code", code}, {"field", field}};
  return {status, body.dump() + "\n", "application/json", {}};
}

http::ServerResponse Ok(const Json& body) {
  return {200, body.dump() + "\n", "application/json", {}};
}

std::vector<std::string> Segments(const std::string& path) {
  std::vector<std::string> segments;
  std::size_t start = 1;
  while (start <= path.size()) {
    const std::size_t end = std::min(path.find('/', start), path.size());
    segments.push_back(path.substr(start, end - start));
    start = end + 1;
  }
  return segments;
}

template <typename T>
std::optional<T> Field(const Json& body, const char* name) {
  const auto found = body.find(name);
  if (found == body.end()) {
    return std::nullopt;
  }
  if constexpr (std::is_same_v<T, std::string>) {
    return found->is_string() ? std::optional(found->get<T>()) : std::nullopt;
  } else if constexpr (std::is_same_v<T, std::uint64_t>) {
    return found->is_number_unsigned() ? std::optional(found->get<T>())
                                       : std::nullopt;
  } else {
    return found->is_number() ? std::optional(found->get<T>()) : std::nullopt;
  }
}

Json Status(const Host& host) {
  return {{"service", host.service.value},
          {"generation", host.generation.value},
          {"draining", host.draining},
          {"active_requests", host.exchanges},
          {"boot_id", host.boot_id},
          {"rebooting", host.rebooting},
          {"connections", host.connections},
          {"runs", host.counts.runs},
          {"refused",
           {{"slots", host.counts.refused_slots},
            {"draining", host.counts.refused_draining},
            {"misdirected", host.counts.refused_misdirected},
            {"connections", host.counts.refused_connections}}}};
}

http::ServerResponse PutAssignment(HostServer& server, const Json& body) {
  const auto service = Field<std::string>(body, "service");
  const auto generation = Field<std::uint64_t>(body, "generation");
  if (!service) {
    return Error(400, "bad_field", "service");
  }
  if (!generation) {
    return Error(400, "bad_field", "generation");
  }
  Host& host = server.host();
  const core::Generation before = host.generation;
  if (!Assign(host, {*service}, {*generation})) {
    return Error(409, "stale_generation", "generation");
  }
  if (host.generation != before) {
    server.shared().journal.WriteEvent(host, "assign");
  }
  return Ok(Status(host));
}

http::ServerResponse PutDrain(HostServer& server, const Json& body) {
  const auto generation = Field<std::uint64_t>(body, "generation");
  if (!generation) {
    return Error(400, "bad_field", "generation");
  }
  Host& host = server.host();
  const bool before = host.draining;
  if (!Drain(host, {*generation})) {
    return Error(409, "stale_generation", "generation");
  }
  if (!before) {
    server.shared().journal.WriteEvent(host, "drain");
  }
  return Ok(Status(host));
}

http::ServerResponse PutReboot(HostServer& server, const Json& body) {
  const auto id = Field<std::string>(body, "maintenance_id");
  if (!id || id->empty()) {
    return Error(400, "bad_field", "maintenance_id");
  }
  if (BeginReboot(server.host(), *id)) {
    server.Reboot();
  }
  return Ok(Status(server.host()));
}

/// Applies a fault to the hosts that `selected` accepts.
template <typename Select>
http::ServerResponse PutFault(Fleet& fleet, const Json& body,
                              const Select& selected) {
  const auto word = Field<std::string>(body, "mode");
  const auto mode = word ? ParseFaultMode(*word) : std::nullopt;
  if (!mode) {
    return Error(400, "bad_field", "mode");
  }
  Fault fault{*mode, Field<double>(body, "probability").value_or(1.0),
              core::Millis(Field<std::uint64_t>(body, "delay_ms").value_or(0))};
  int hosts = 0;
  for (const auto& [id, server] : fleet) {
    if (selected(server->host())) {
      server->host().fault = fault;
      ++hosts;
    }
  }
  if (hosts == 0) {
    return Error(404, "not_found", "path");
  }
  return Ok({{"hosts", hosts}});
}

http::ServerResponse PutHost(Fleet& fleet, HostServer& server,
                             const std::string& verb, const Json& body) {
  if (verb == "assignment") {
    return PutAssignment(server, body);
  }
  if (verb == "drain") {
    return PutDrain(server, body);
  }
  if (verb == "reboot") {
    return PutReboot(server, body);
  }
  if (verb == "fault") {
    return PutFault(fleet, body, [&server](const Host& host) {
      return &host == &server.host();
    });
  }
  return Error(404, "not_found", "path");
}

http::ServerResponse Put(Fleet& fleet, const std::vector<std::string>& path,
                         const Json& body) {
  if (path.size() == 2 && path[1] == "fault") {
    return PutFault(fleet, body, [](const Host&) { return true; });
  }
  if (path.size() == 4 && path[1] == "zones" && path[3] == "fault") {
    return PutFault(fleet, body, [&path](const Host& host) {
      return host.spec.zone.value == path[2];
    });
  }
  if (path.size() == 4 && path[1] == "hosts") {
    const auto found = fleet.find(path[2]);
    if (found != fleet.end()) {
      return PutHost(fleet, *found->second, path[3], body);
    }
  }
  return Error(404, "not_found", "path");
}

}  // namespace internal

http::ServerResponse HandleControl(Fleet& fleet,
                                   const http::ServerRequest& request) {
  const std::vector<std::string> path = internal::Segments(request.path);
  if (path.empty() || path[0] != "control") {
    return internal::Error(404, "not_found", "path");
  }
  if (request.method == "PUT") {
    const auto body = internal::Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      return internal::Error(400, "bad_json", "body");
    }
    return internal::Put(fleet, path, body);
  }
  const auto found = path.size() == 3 ? fleet.find(path[2]) : fleet.end();
  if (request.method == "GET" && path.size() == 3 && path[1] == "hosts" &&
      found != fleet.end()) {
    return internal::Ok(internal::Status(found->second->host()));
  }
  return internal::Error(404, "not_found", "path");
}

}  // namespace camphormux::endpoint_standin
