#include "camphormux/controller/admin.hpp"

#include <nlohmann/json.hpp>

#include "camphormux/controller/explain.hpp"
#include "camphormux/controller/job_view.hpp"
#include "camphormux/telemetry/metrics.hpp"

namespace camphormux::controller {
namespace internal {

constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr std::string_view kExplainPrefix = "/explain/";

http::ServerResponse Error(int status, const std::string& code,
                           const std::string& message) {
  const nlohmann::json body{{"code", code}, {"message", message}};
  return {status, body.dump(), "application/json", {}};
}

http::ServerResponse Text(std::string body) {
  return {200, std::move(body), "text/plain; charset=utf-8", {}};
}

http::ServerResponse Json(std::string body) {
  return {200, std::move(body), "application/json", {}};
}

bool WantsText(const http::ServerRequest& request) {
  const auto output = request.query.find("output");
  return output != request.query.end() && output->second == "text";
}

http::ServerResponse Ready(const AdminView& view) {
  return view.not_ready ? Error(kUnavailable, "not_ready", *view.not_ready)
                        : Json(R"({"ready":true})");
}

http::ServerResponse Status(const http::ServerRequest& request,
                            const AdminView& view) {
  const FleetStatus status = CollectStatus(view.status);
  return WantsText(request) ? Text(StatusText(status))
                            : Json(StatusJson(status));
}

http::ServerResponse Explain(const http::ServerRequest& request,
                             const AdminView& view) {
  const std::string rest = request.path.substr(kExplainPrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
  std::optional<Explanation> explanation;
  if (kind == "service") {
    explanation = ExplainService(view.status, core::ServiceName{name});
  } else if (kind == "host") {
    explanation = ExplainHost(view.status, core::HostId{name});
  } else if (kind == "job") {
    explanation = ExplainJob(view.status, core::JobId{name});
  } else {
    return Error(kBadRequest, "bad_kind",
                 "kind: found '" + kind + "', expected service, host or job");
  }
  if (!explanation) {
    return Error(kNotFound, "unknown_name", "no " + kind + " '" + name + "'");
  }
  return WantsText(request) ? Text(ExplanationText(*explanation))
                            : Json(ExplanationJson(*explanation));
}

}  // namespace internal

http::ServerResponse HandleAdminRequest(const http::ServerRequest& request,
                                        const AdminView& view) {
  if (request.method != "GET") {
    return internal::Error(
        internal::kMethodNotAllowed, "method_not_allowed",
        "method: found '" + request.method + "', expected GET");
  }
  if (request.path == "/healthz") {
    return internal::Json(R"({"healthy":true})");
  }
  if (request.path == "/readyz") {
    return internal::Ready(view);
  }
  if (request.path == "/metrics") {
    return {200,
            telemetry::RenderMetrics(view.metrics),
            "text/plain; version=0.0.4",
            {}};
  }
  if (request.path == "/state") {
    return internal::Json(StateJson(view.status.state));
  }
  if (request.path == "/status") {
    return internal::Status(request, view);
  }
  if (request.path.starts_with(internal::kExplainPrefix)) {
    return internal::Explain(request, view);
  }
  return internal::Error(internal::kNotFound, "unknown_path",
                         "path: found '" + request.path + "'");
}

}  // namespace camphormux::controller
