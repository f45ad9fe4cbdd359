#include "camphormux/gateway/gateway.hpp"

#include <algorithm>
#include <limits>
#include <random>
#include <utility>

#include <nlohmann/json.hpp>

#include "camphormux/routing/endpoint_health.hpp"
#include "camphormux/state/fold.hpp"
#include "camphormux/telemetry/log.hpp"
#include "camphormux/telemetry/metrics.hpp"

namespace camphormux::gateway {
namespace internal {

constexpr core::Millis kTickPeriod{250};
constexpr core::Millis kIdlePollPeriod{20};
/// Time to write the responses of requests that are ended at the shutdown
/// deadline.
constexpr core::Millis kFinalWriteTime{500};
constexpr std::size_t kSpanQueueSize = 4096;
constexpr int kEndpointConnections = 64;

DispatcherOptions ToDispatcherOptions(const GatewaySettings& settings,
                                      int thread, std::uint64_t instance_id) {
  DispatcherOptions options;
  options.zone = settings.zone;
  options.source_ip = settings.source_ip;
  options.id_prefix = settings.process.value + "-" +
                      std::to_string(instance_id) + "-" +
                      std::to_string(thread);
  options.max_body = settings.max_body;
  options.max_header = settings.max_header;
  options.trace_ratio = settings.trace_ratio;
  options.routing.connection_share = routing::ConnectionShare(
      kEndpointConnections, settings.max_gateways, settings.threads);
  return options;
}

nlohmann::json ToJson(const ServiceMetrics& metrics) {
  return {{"requests", metrics.arrivals->Value()},
          {"answered", metrics.answered->Value()},
          {"not_run", metrics.not_run->Value()},
          {"unknown", metrics.unknown->Value()},
          {"shed", metrics.shed->Value()},
          {"attempts", metrics.attempts->Value()},
          {"retries", metrics.retries->Value()},
          {"refused", metrics.refused->Value()},
          {"queued", metrics.queued->Value()},
          {"running", metrics.running->Value()}};
}

}  // namespace internal

Gateway::Gateway(asio::io_context& control, GatewaySettings settings,
                 std::shared_ptr<prometheus::Registry> registry,
                 const KeyStoreFactory& keys)
    : control_(control),
      settings_(std::move(settings)),
      registry_(std::move(registry)),
      metrics_(registry_),
      spans_("camphormux-gateway", settings_.trace_file,
             internal::kSpanQueueSize),
      view_age_(telemetry::AddGauge(
          *registry_, "camphormux_gateway_view_age_seconds",
          "Time since the state was known to be complete.")),
      cut_off_(telemetry::AddGauge(
          *registry_, "camphormux_gateway_cut_off",
          "1 if the view of the log is too old to use other zones.")),
      converge_seconds_(telemetry::AddGauge(
          *registry_, "camphormux_gateway_converge_seconds",
          "From the log's first answer after the last cut to its end.")),
      spans_dropped_(telemetry::AddCounter(
          *registry_, "camphormux_gateway_dropped_spans_total",
          "Spans that were dropped because the export queue was full.")),
      tick_(control),
      shutdown_(control),
      admin_(control, settings_.admin,
             [this](const http::ServerRequest& request,
                    const http::Respond& respond) {
               respond(AnswerAdmin(request.path));
             }) {
  std::random_device entropy;
  const std::uint64_t instance_id =
      (static_cast<std::uint64_t>(entropy()) << 32) | entropy();
  for (int i = 0; i < settings_.threads; ++i) {
    threads_.push_back(std::make_unique<TrafficThread>(
        settings_.callers,
        internal::ToDispatcherOptions(settings_, i, instance_id),
        core::SeededRandom(instance_id + static_cast<std::uint64_t>(i)),
        metrics_, spans_, keys));
  }
  Tick();
}

Gateway::~Gateway() { threads_.clear(); }

void Gateway::ForEachThread(const std::function<void(Dispatcher&)>& action) {
  for (const auto& thread : threads_) {
    thread->Post(action);
  }
}

void Gateway::Publish(const state::FleetState& state) {
  next_offset_ = state.next;
  if (table_ && published_mark_ == state.mark) {
    for (const auto& thread : threads_) {
      thread->SetApplied(state.next);
    }
    return;
  }
  published_mark_ = state.mark;
  table_ = std::make_shared<const routing::RouteTable>(
      routing::BuildRouteTable(state));
  for (const auto& thread : threads_) {
    thread->SetTable(table_);
  }
}

core::LogOffset Gateway::applied_offset() const {
  core::LogOffset lowest{std::numeric_limits<std::uint64_t>::max()};
  for (const auto& thread : threads_) {
    lowest = std::min(lowest, thread->applied_offset());
  }
  return lowest;
}

void Gateway::SetLeaving(
    const std::shared_ptr<const routing::LeavingHosts>& hosts) {
  ForEachThread(
      [hosts](Dispatcher& dispatcher) { dispatcher.SetLeaving(hosts); });
}

void Gateway::SetStateQueries(StateQueries queries) {
  state_queries_ = std::move(queries);
}

core::Millis Gateway::ViewAge() const {
  return core::MonotonicNow() - (state_queries_.confirmed
                                     ? state_queries_.confirmed()
                                     : core::MonotonicTime{});
}

void Gateway::Tick() {
  UpdateOwnZoneOnly();
  UpdateLogContact();
  view_age_.Set(std::chrono::duration<double>(ViewAge()).count());
  spans_dropped_.Increment(static_cast<double>(spans_.dropped()) -
                           spans_dropped_.Value());
  tick_.expires_after(internal::kTickPeriod);
  tick_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

void Gateway::UpdateOwnZoneOnly() {
  const bool stale = ViewAge() > state::kOldestView;
  if (stale == own_zone_only_) {
    return;
  }
  own_zone_only_ = stale;
  ForEachThread(
      [stale](Dispatcher& dispatcher) { dispatcher.SetOwnZoneOnly(stale); });
}

void Gateway::UpdateLogContact() {
  if (!state_queries_.confirmed || !state_queries_.answered) {
    return;
  }
  const state::LogViewTimes times{state_queries_.confirmed(),
                                  state_queries_.answered(),
                                  table_ && applied_offset() == table_->next};
  const auto change =
      state::UpdateContact(contact_, times, core::MonotonicNow());
  cut_off_.Set(contact_.cut_off ? 1.0 : 0.0);
  if (change) {
    state::LogChange(*change);
    if (!change->cut_off) {
      converge_seconds_.Set(
          std::chrono::duration<double>(change->converge).count());
    }
  }
}

void Gateway::Shutdown(std::function<void()> done) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  on_stopped_ = std::move(done);
  telemetry::Log(telemetry::Level::kInfo, "shutdown started");
  ForEachThread([](Dispatcher& dispatcher) { dispatcher.CloseConnections(); });
  const core::MonotonicTime deadline = core::MonotonicNow() +
                                       settings_.shutdown_grace +
                                       settings_.shutdown_timeout;
  shutdown_.expires_after(settings_.shutdown_grace);
  shutdown_.async_wait([this, deadline](const asio::error_code& error) {
    if (error) {
      return;
    }
    for (const auto& thread : threads_) {
      thread->StopAccepting();
    }
    WaitUntilIdle(deadline);
  });
}

void Gateway::WaitUntilIdle(core::MonotonicTime deadline) {
  int unfinished = 0;
  for (const auto& thread : threads_) {
    unfinished += thread->unfinished_requests();
  }
  if (core::MonotonicNow() >= deadline && unfinished > 0) {
    EndOpenRequests();
    return;
  }
  shutdown_.expires_after(internal::kIdlePollPeriod);
  shutdown_.async_wait(
      [this, deadline, unfinished](const asio::error_code& error) {
        if (error) {
          return;
        }
        if (unfinished == 0) {
          on_stopped_();
        } else {
          WaitUntilIdle(deadline);
        }
      });
}

void Gateway::EndOpenRequests() {
  telemetry::Log(telemetry::Level::kWarning,
                 "shutdown deadline reached; ending the open requests");
  ForEachThread([](Dispatcher& dispatcher) { dispatcher.EndOpenRequests(); });
  shutdown_.expires_after(internal::kFinalWriteTime);
  shutdown_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      on_stopped_();
    }
  });
}

std::string Gateway::NotReadyReason() const {
  if (stopping_) {
    return "shutting down";
  }
  if (state_queries_.not_ready) {
    std::string reason = state_queries_.not_ready();
    if (!reason.empty()) {
      return reason;
    }
  }
  if (!table_ || table_->services.empty()) {
    return "no accepted operator text was read from the log";
  }
  return "";
}

http::ServerResponse Gateway::AnswerAdmin(const std::string& path) const {
  if (path == "/metrics") {
    return {200,
            telemetry::RenderMetrics(*registry_),
            "text/plain; version=0.0.4",
            {}};
  }
  if (path == "/healthz") {
    return {200, R"({"status":"alive"})", "application/json", {}};
  }
  if (path == "/readyz") {
    const std::string reason = NotReadyReason();
    return {
        reason.empty() ? 200 : 503,
        nlohmann::json{{"ready", reason.empty()}, {"reason", reason}}.dump(),
        "application/json",
        {}};
  }
  if (path == "/state") {
    return {200, StateJson(), "application/json", {}};
  }
  return {404, R"({"error":{"code":"unknown_path"}})", "application/json", {}};
}

std::string Gateway::StateJson() const {
  nlohmann::json services = nlohmann::json::object();
  for (const auto& [name, metrics] : metrics_.All()) {
    services[name.value] = internal::ToJson(metrics);
  }
  if (table_) {
    for (const auto& [name, routes] : table_->services) {
      services[name.value]["endpoints"] = routes.endpoints.size();
    }
  }
  return nlohmann::json{
      {"process", settings_.process.value},
      {"zone", settings_.zone.value},
      {"next_offset", next_offset_.value},
      {"revision", table_ ? table_->revision.value : 0},
      {"digest", state::FormatDigest(
                     state_queries_.digest ? state_queries_.digest() : 0)},
      {"view_age_ms", ViewAge().count()},
      {"own_zone_only", own_zone_only_},
      {"shutting_down", stopping_},
      {"services", services}}
      .dump();
}

}  // namespace camphormux::gateway
