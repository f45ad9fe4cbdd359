#include "routes.hpp"
#include "service.hpp"

namespace camphormux::standin {

http::ServerResponse Service::HandleControl(const Path& path,
                                            const nlohmann::json& body) {
  const std::string& what = path[1];
  if (what == "outage") {
    const bool on = internal::BodyFlag(body, "on", true);
    (internal::BodyText(body, "scope") == "log" ? faults_.log_outage
                                                : faults_.outage) = on;
  } else if (what == "slow") {
    faults_.delay =
        core::Millis{internal::BodyNumber(body, "delay_ms").value_or(0)};
  } else if (what == "lost") {
    faults_.lost_count = internal::BodyNumber(body, "count").value_or(0);
    faults_.lost_probability =
        body.is_object() ? body.value("probability", 0.0) : 0.0;
  } else if (what == "throttle") {
    store_.SetAppendsPerSecond(static_cast<double>(
        internal::BodyNumber(body, "appends_per_second").value_or(0)));
  } else if (what == "log") {
    nlohmann::json ends = nlohmann::json::object();
    for (const auto& [stream, next] : store_.Ends()) {
      ends[stream] = next.value;
    }
    return internal::JsonResponse(200, ends);
  } else if (what == "expire") {
    store_.ExpireBefore(core::WallNow() + core::Millis{1});
  } else if (what == "lag") {
    fleet_.list_lag = core::Millis{
        internal::BodyNumber(body, "list_ms")
            .value_or(static_cast<std::uint64_t>(fleet_.list_lag.count()))};
    fleet_.usage_lag = core::Millis{
        internal::BodyNumber(body, "usage_ms")
            .value_or(static_cast<std::uint64_t>(fleet_.usage_lag.count()))};
  } else if (what == "runs") {
    nlohmann::json runs = nlohmann::json::object();
    for (const auto& [job, count] : fleet_.runs) {
      runs[job] = {{"starts", count.starts}, {"done", count.done}};
    }
    return internal::JsonResponse(200, runs);
  } else if (what == "run_time") {
    fleet_.default_run_time =
        core::Millis{internal::BodyNumber(body, "run_ms").value_or(0)};
  } else if (what == "jobs" && path.size() == 3) {
    JobBehaviour& job = fleet_.jobs[path[2]];
    job.fails = internal::BodyFlag(body, "fails", false);
    job.usage_factor = body.is_object() ? body.value("usage_factor", 1.0) : 1.0;
    if (const auto run = internal::BodyNumber(body, "run_ms")) {
      job.run_time = core::Millis{*run};
    }
  } else if (what == "hosts" && path.size() == 4) {
    return ControlHost(path, body);
  } else {
    return internal::NotFound("control route " + what);
  }
  return internal::JsonResponse(200, nlohmann::json::object());
}

http::ServerResponse Service::ControlHost(const Path& path,
                                          const nlohmann::json& body) {
  const auto host = fleet_.hosts.find(path[2]);
  if (host == fleet_.hosts.end()) {
    return internal::NotFound("host " + path[2]);
  }
  const bool on = internal::BodyFlag(body, "on", true);
  if (path[3] == "listed") {
    host->second.listed = on;
  } else if (path[3] == "leaving") {
    host->second.leaving = on;
  } else if (path[3] == "fail_tasks") {
    host->second.fails_tasks = on;
  } else {
    return internal::NotFound("control route hosts/" + path[3]);
  }
  RecordList(fleet_, core::MonotonicNow());
  return internal::JsonResponse(200, nlohmann::json::object());
}

}  // namespace camphormux::standin
