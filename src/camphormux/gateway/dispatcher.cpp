#include "camphormux/gateway/dispatcher.hpp"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>

namespace camphormux::gateway {
namespace internal {

/// Interval for checking deadlines and endpoint hold-offs while requests wait.
constexpr core::Millis kTickPeriod{10};
/// A claim times out this long before the request's deadline, so that its proof
/// of `not-run` arrives in time. The margin is at most the remaining time
/// divided by kClaimMarginDivisor.
constexpr core::Millis kClaimMargin{50};
constexpr int kClaimMarginDivisor = 4;

ErrorReply NotRunError(std::string code, std::string message) {
  return {503, Outcome::kNotRun, std::move(code), std::move(message), ""};
}

ErrorReply ToErrorReply(const BadRequest& problem) {
  return {problem.status, Outcome::kNotRun, problem.code, problem.message,
          problem.field};
}

ErrorReply ToErrorReply(admission::Refusal refusal) {
  return refusal == admission::Refusal::kQueueFull
             ? NotRunError("queue_full",
                           "too many requests wait for the service")
             : NotRunError(
                   "deadline",
                   "the request would not be answered before its deadline");
}

ErrorReply NoClaimReply(bool not_run_proven) {
  return {503, FailureOutcome(!not_run_proven), "key_store_unavailable",
          "idempotency keys cannot be claimed at the moment", ""};
}

core::Millis ClaimTimeout(core::Millis remaining) {
  return remaining - std::min(kClaimMargin, remaining / kClaimMarginDivisor);
}

ErrorReply DeadlineReply(const Exchange& exchange) {
  if (exchange.may_have_run) {
    return {502, Outcome::kUnknown, "answer_lost",
            "the request may have run; its answer was lost", ""};
  }
  return ToErrorReply(admission::Refusal::kDeadline);
}

}  // namespace internal

KeyStorePort UnavailableKeyStore(asio::io_context& loop) {
  return {[&loop](const core::RequestKey&, const core::ServiceName&,
                  core::Millis, const std::function<void(ClaimResult)>& done) {
            asio::post(loop, [done] { done(ClaimResult{}); });
          },
          [](const core::RequestKey&) {},
          [](const core::RequestKey&, const StoredResponse&) {},
          [](const core::RequestKey&) {}};
}

Dispatcher::Dispatcher(asio::io_context& loop, DispatcherOptions options,
                       core::Random random, MetricsStore& metrics,
                       telemetry::SpanExporter& spans, KeyStorePort keys)
    : loop_(loop),
      options_(std::move(options)),
      random_(random),
      metrics_(metrics),
      spans_(spans),
      keys_(std::move(keys)),
      upstream_(loop, options_.routing.connection_share, options_.source_ip),
      tick_(loop) {}

void Dispatcher::Handle(CallerRequest request,
                        std::shared_ptr<CallerResponse> response) {
  auto options =
      ParseRequestOptions(request, options_.max_header, options_.max_body);
  const ExchangePtr exchange =
      NewExchange(std::move(request), std::move(response));
  if (!options) {
    Fail(*exchange, internal::ToErrorReply(options.error()));
    return;
  }
  exchange->options = std::move(options.value());
  if (exchange->options.trace) {
    exchange->trace = telemetry::ChildOf(*exchange->options.trace, random_);
  } else {
    exchange->trace = telemetry::NewTrace(random_, options_.trace_ratio);
  }
  exchange->deadline = exchange->arrival + exchange->options.timeout;
  Accept(exchange);
}

Dispatcher::ExchangePtr Dispatcher::NewExchange(
    CallerRequest request, std::shared_ptr<CallerResponse> response) {
  auto exchange = std::make_shared<Exchange>();
  exchange->id = ++last_id_;
  exchange->request_id.value =
      options_.id_prefix + "-" + std::to_string(exchange->id);
  exchange->method = std::move(request.method);
  exchange->headers = EndToEndHeaders(request.headers);
  exchange->body = std::make_shared<const std::string>(std::move(request.body));
  exchange->response = std::move(response);
  exchange->arrival = core::MonotonicNow();
  exchange->arrival_unix_nanos = UnixNanos();
  exchanges_.emplace(exchange->id, exchange);
  ++open_requests_;
  return exchange;
}

const routing::ServiceRoutes* Dispatcher::RoutesOf(
    const core::ServiceName& service) const {
  if (!table_) {
    return nullptr;
  }
  const auto found = table_->services.find(service);
  return found == table_->services.end() ? nullptr : &found->second;
}

void Dispatcher::Accept(const ExchangePtr& exchange) {
  const routing::ServiceRoutes* routes = RoutesOf(exchange->options.service);
  if (!table_ || table_->services.empty()) {
    Fail(*exchange,
         internal::NotRunError("not_ready", "no configuration is known"));
    return;
  }
  if (routes == nullptr) {
    Fail(*exchange, {404, Outcome::kNotRun, "unknown_service",
                     "the operator text declares no such service", "target"});
    return;
  }
  ServiceState& state = services_[exchange->options.service];
  if (state.metrics == nullptr) {
    state.metrics = &metrics_.ForService(exchange->options.service);
  }
  exchange->metrics = state.metrics;
  exchange->metrics->arrivals->Increment();
  exchange->repeatable =
      !MustRunOnce(routes->service, exchange->method, exchange->options.target);
  if (!exchange->repeatable && exchange->options.key) {
    Claim(exchange);
  } else {
    Enqueue(exchange);
  }
}

void Dispatcher::Claim(const ExchangePtr& exchange) {
  claiming_.emplace(exchange->id, exchange);
  EnsureTicking();
  const core::Millis remaining = exchange->deadline - core::MonotonicNow();
  keys_.claim(*exchange->options.key, exchange->options.service,
              internal::ClaimTimeout(remaining),
              [weak = weak_from_this(), exchange](ClaimResult result) {
                if (const auto self = weak.lock()) {
                  self->OnClaim(exchange, std::move(result));
                }
              });
}

void Dispatcher::OnClaim(const ExchangePtr& exchange, ClaimResult result) {
  claiming_.erase(exchange->id);
  if (exchange->finished) {
    if (result.status == ClaimStatus::kFirst) {
      keys_.release(*exchange->options.key);
    }
    return;
  }
  switch (result.status) {
    case ClaimStatus::kFirst:
      exchange->key_claimed = true;
      Enqueue(exchange);
      return;
    case ClaimStatus::kAnswered:
      SendStored(*exchange, std::move(result.answer));
      return;
    case ClaimStatus::kUnknown:
      Fail(*exchange, {409, Outcome::kUnknown, "key_in_use",
                       "an earlier request with this key may have run", ""});
      return;
    case ClaimStatus::kExpired:
      Fail(*exchange, {409, Outcome::kUnknown, "key_expired",
                       "the key is too old to be remembered", ""});
      return;
    case ClaimStatus::kUnavailable:
      break;
  }
  Fail(*exchange, internal::NoClaimReply(result.not_run_proven));
}

void Dispatcher::Enqueue(const ExchangePtr& exchange) {
  const routing::ServiceRoutes* routes = RoutesOf(exchange->options.service);
  if (routes == nullptr || routes->endpoints.empty()) {
    Fail(*exchange, internal::NotRunError("no_endpoint",
                                          "the service has no admitted host"));
    return;
  }
  ServiceState& state = services_[exchange->options.service];
  const auto admission = admission::Admit(
      state.queue,
      {exchange->id, exchange->options.caller, exchange->deadline,
       exchange->options.timeout},
      exchange->options.priority, options_.queue, core::MonotonicNow());
  if (admission.refusal) {
    state.metrics->shed->Increment();
    Fail(*exchange, internal::ToErrorReply(*admission.refusal));
    return;
  }
  admission::Earn(state.retries);
  exchange->waiting = true;
  EnsureTicking();
  exchange->queued_since = core::MonotonicNow();
  exchange->queued_unix_nanos = UnixNanos();
  state.metrics->queued->Increment();
  if (admission.displaced) {
    const ExchangePtr other = exchanges_.at(admission.displaced->id);
    state.metrics->shed->Increment();
    other->waiting = false;
    state.metrics->queued->Decrement();
    Fail(*other, internal::ToErrorReply(admission::Refusal::kQueueFull));
  }
  StartQueued(exchange->options.service);
}

void Dispatcher::Requeue(const ExchangePtr& exchange) {
  if (exchange->finished) {
    return;
  }
  ServiceState& state = services_[exchange->options.service];
  exchange->waiting = true;
  EnsureTicking();
  exchange->queued_since = core::MonotonicNow();
  exchange->queued_unix_nanos = UnixNanos();
  state.metrics->queued->Increment();
  admission::PutBack(
      state.queue, {{exchange->id, exchange->options.caller, exchange->deadline,
                     exchange->options.timeout},
                    exchange->options.priority,
                    state.queue.urgent_in_a_row});
  StartQueued(exchange->options.service);
}

void Dispatcher::StartQueued(const core::ServiceName& service) {
  const routing::ServiceRoutes* routes = RoutesOf(service);
  if (routes == nullptr) {
    return;
  }
  ServiceState& state = services_[service];
  std::vector<admission::NextTicket> skipped;
  while (StartNext(*routes, state, skipped)) {
  }
  admission::PutBackSkipped(state.queue, std::move(skipped));
}

bool Dispatcher::StartNext(const routing::ServiceRoutes& routes,
                           ServiceState& state,
                           std::vector<admission::NextTicket>& skipped) {
  auto next = admission::TakeNext(state.queue, options_.queue);
  if (!next) {
    return false;
  }
  const ExchangePtr exchange = exchanges_.at(next->ticket.id);
  const core::MonotonicTime now = core::MonotonicNow();
  if (admission::IsLate(state.queue.rate, next->ticket, now, now)) {
    // Checked here too, because the periodic check may run late.
    admission::RestoreTurnCount(state.queue, *next);
    FailLate(*exchange, state);
    return true;
  }
  const routing::Query query{options_.zone, own_zone_only_,
                             exchange->previous_host, exchange->repeatable,
                             now};
  const auto endpoint =
      routing::Choose(routes, health_, query, options_.routing, random_);
  if (!endpoint) {
    // Other queued requests may be allowed to use an endpoint that this one
    // must not use.
    const bool restricted = exchange->previous_host || !exchange->repeatable;
    admission::RestoreTurnCount(state.queue, *next);
    skipped.push_back(std::move(*next));
    return restricted;
  }
  StartAttempt(exchange, state, *endpoint.value());
  return true;
}

void Dispatcher::Tick() {
  const core::MonotonicTime now = core::MonotonicNow();
  ticking_ = false;
  for (auto& [service, state] : services_) {
    if (admission::Waiting(state.queue) > 0) {
      ExpireQueued(state, now);
      StartQueued(service);
    }
    ticking_ = ticking_ || admission::Waiting(state.queue) > 0;
  }
  ExpireClaims(now);
  ticking_ = ticking_ || !claiming_.empty();
  if (ticking_) {
    ScheduleTick();
  }
}

void Dispatcher::EnsureTicking() {
  if (!ticking_) {
    ticking_ = true;
    ScheduleTick();
  }
}

void Dispatcher::ScheduleTick() {
  tick_.expires_after(internal::kTickPeriod);
  tick_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->Tick();
    }
  });
}

void Dispatcher::ExpireQueued(ServiceState& state, core::MonotonicTime now) {
  for (const auto& ticket : admission::RemoveLate(state.queue, now)) {
    FailLate(*exchanges_.at(ticket.id), state);
  }
}

void Dispatcher::FailLate(Exchange& exchange, ServiceState& state) {
  exchange.waiting = false;
  state.metrics->queued->Decrement();
  state.metrics->shed->Increment();
  Fail(exchange, internal::DeadlineReply(exchange));
}

void Dispatcher::ExpireClaims(core::MonotonicTime now) {
  std::vector<ExchangePtr> late;
  for (const auto& [id, exchange] : claiming_) {
    if (exchange->deadline <= now) {
      late.push_back(exchange);
    }
  }
  for (const ExchangePtr& exchange : late) {
    claiming_.erase(exchange->id);
    Fail(*exchange, internal::NoClaimReply(/*not_run_proven=*/false));
  }
}

void Dispatcher::SetTable(std::shared_ptr<const routing::RouteTable> table) {
  table_ = std::move(table);
  routing::Reconcile(health_, *table_, options_.routing, core::MonotonicNow());
  if (leaving_) {
    routing::ApplyLeaving(health_, *leaving_);
  }
  for (auto& [service, state] : services_) {
    StartQueued(service);
  }
}

void Dispatcher::SetLeaving(
    std::shared_ptr<const routing::LeavingHosts> hosts) {
  leaving_ = std::move(hosts);
  routing::ApplyLeaving(health_, *leaving_);
}

void Dispatcher::SetOwnZoneOnly(bool own_zone_only) {
  own_zone_only_ = own_zone_only;
}

void Dispatcher::CloseConnections() { close_connections_ = true; }

void Dispatcher::EndOpenRequests() {
  for (auto& [service, state] : services_) {
    const auto waiting = admission::Waiting(state.queue);
    if (waiting > 0) {
      state.metrics->queued->Decrement(static_cast<double>(waiting));
    }
    state.queue = admission::ServiceQueue{};
  }
  std::vector<ExchangePtr> open;
  for (const auto& [id, exchange] : exchanges_) {
    open.push_back(exchange);
  }
  for (const ExchangePtr& exchange : open) {
    const bool may_have_run =
        exchange->may_have_run || exchange->attempt.id != 0;
    if (exchange->stream.started) {
      EndStream(*exchange, false);
    } else {
      Fail(*exchange, {503, FailureOutcome(may_have_run), "shutting_down",
                       "the gateway stops", ""});
    }
  }
}

int Dispatcher::open_requests() const { return open_requests_; }

}  // namespace camphormux::gateway
