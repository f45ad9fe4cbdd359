#ifndef CAMPHORMUX_GATEWAY_DISPATCHER_HPP_
#define CAMPHORMUX_GATEWAY_DISPATCHER_HPP_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "camphormux/admission/retry_budget.hpp"
#include "camphormux/admission/service_queue.hpp"
#include "camphormux/core/ids.hpp"
#include "camphormux/core/random.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/gateway/caller_server.hpp"
#include "camphormux/gateway/exchange.hpp"
#include "camphormux/gateway/key_store_port.hpp"
#include "camphormux/gateway/service_metrics.hpp"
#include "camphormux/gateway/upstream.hpp"
#include "camphormux/routing/choice.hpp"
#include "camphormux/routing/endpoint_health.hpp"
#include "camphormux/routing/leaving_hosts.hpp"
#include "camphormux/routing/route_table.hpp"
#include "camphormux/telemetry/trace.hpp"

namespace camphormux::gateway {

/// @brief Makes a key store port that answers every claim as unavailable.
/// @param loop Event loop of the traffic thread; outlives the port.
/// @return The port.
[[nodiscard]] KeyStorePort UnavailableKeyStore(asio::io_context& loop);

/// @brief Settings of a dispatcher.
struct DispatcherOptions {
  core::ZoneName zone;
  /// Source address of connections to endpoints; empty: the system chooses.
  std::string source_ip;
  /// Prefix of request ids; unique across threads and restarts.
  std::string id_prefix;
  core::Bytes max_body;
  core::Bytes max_header;
  double trace_ratio = 0.0;
  routing::Limits routing;
  admission::QueueLimits queue;
  admission::RetryDelay retry_delay;
};

/// @brief Handles requests on one traffic thread: admits and queues them,
/// chooses endpoints, makes attempts and sends responses. Use it on its event
/// loop only, except for `open_requests`.
class Dispatcher : public std::enable_shared_from_this<Dispatcher> {
 public:
  /// @param loop Event loop of the thread; outlives the dispatcher.
  /// @param options Settings.
  /// @param random Random generator of the thread, seeded.
  /// @param metrics Service metrics; outlive the dispatcher.
  /// @param spans Span exporter; outlives the dispatcher.
  /// @param keys Access to the idempotency keys.
  Dispatcher(asio::io_context& loop, DispatcherOptions options,
             core::Random random, MetricsStore& metrics,
             telemetry::SpanExporter& spans, KeyStorePort keys);

  /// @brief Handles a caller's request.
  /// @param request The request.
  /// @param response Receives exactly one response.
  void Handle(CallerRequest request, std::shared_ptr<CallerResponse> response);

  /// @brief Replaces the route table.
  /// @param table The new route table.
  void SetTable(std::shared_ptr<const routing::RouteTable> table);

  /// @brief Replaces the set of hosts that the platform lists as leaving.
  /// @param hosts The hosts.
  void SetLeaving(std::shared_ptr<const routing::LeavingHosts> hosts);

  /// @brief Restricts requests to endpoints in the gateway's own zone while its
  /// view of the log is too old.
  /// @param own_zone_only Whether the view is too old.
  void SetOwnZoneOnly(bool own_zone_only);

  /// @brief Makes each subsequent response close its connection.
  void CloseConnections();

  /// @brief Ends all open requests: `not-run` for those that cannot have run,
  /// `unknown` for the others.
  void EndOpenRequests();

  /// @return Number of requests without a complete response. Thread-safe.
  [[nodiscard]] int open_requests() const;

 private:
  using ExchangePtr = std::shared_ptr<Exchange>;

  struct ServiceState {
    admission::ServiceQueue queue;
    admission::RetryBudget retries;
    ServiceMetrics* metrics = nullptr;
  };

  // Admission and queueing, implemented in dispatcher.cpp.
  ExchangePtr NewExchange(CallerRequest request,
                          std::shared_ptr<CallerResponse> response);
  void Accept(const ExchangePtr& exchange);
  void Claim(const ExchangePtr& exchange);
  void OnClaim(const ExchangePtr& exchange, ClaimResult result);
  void Enqueue(const ExchangePtr& exchange);
  /// Puts a request back into its queue for another attempt.
  void Requeue(const ExchangePtr& exchange);
  /// Starts queued requests of a service until none can start.
  void StartQueued(const core::ServiceName& service);
  /// Takes the next request from the queue and starts or ends it.
  /// @param skipped Receives requests that cannot use any endpoint now.
  /// @return Whether the request after it may be able to start.
  bool StartNext(const routing::ServiceRoutes& routes, ServiceState& state,
                 std::vector<admission::NextTicket>& skipped);
  void Tick();
  /// Starts the periodic tick unless it is running. It ends when no request
  /// waits, because a timer on an idle thread would cost more than the rest of
  /// its control work.
  void EnsureTicking();
  void ScheduleTick();
  void ExpireQueued(ServiceState& state, core::MonotonicTime now);
  void FailLate(Exchange& exchange, ServiceState& state);
  void ExpireClaims(core::MonotonicTime now);
  [[nodiscard]] const routing::ServiceRoutes* RoutesOf(
      const core::ServiceName& service) const;

  // Attempts, implemented in dispatcher_attempts.cpp.
  /// @return Whether a failed attempt could be repeated on another endpoint.
  [[nodiscard]] bool CanRetryElsewhere(const Exchange& exchange,
                                       const ServiceState& state) const;
  void StartAttempt(const ExchangePtr& exchange, ServiceState& state,
                    const routing::Endpoint& endpoint);
  BodyAction OnHead(Exchange& exchange, ResponseHead head);
  BodyAction OnBody(const ExchangePtr& exchange, std::string_view part);
  void BeginStream(Exchange& exchange);
  void WriteStream(const ExchangePtr& exchange, std::string part);
  void OnWritten(const ExchangePtr& exchange, std::size_t bytes, bool ok);
  void OnEnd(const ExchangePtr& exchange, const AttemptEnd& end);
  void ReportAttempt(Exchange& exchange, const AttemptEnd& end,
                     AttemptResult result);
  void RetryOrFail(const ExchangePtr& exchange, const AttemptEnd& end,
                   AttemptResult result);
  void ScheduleRetry(const ExchangePtr& exchange, core::Millis pause);

  // Responses, implemented in dispatcher_replies.cpp.
  void SendResponse(Exchange& exchange);
  void SendStored(Exchange& exchange, StoredResponse answer);
  void EndStream(Exchange& exchange, bool complete);
  void Fail(Exchange& exchange, const ErrorReply& reply);
  void Finish(Exchange& exchange, Outcome outcome);
  void ExportSpan(const Exchange& exchange, telemetry::Span span);

  asio::io_context& loop_;
  DispatcherOptions options_;
  core::Random random_;
  MetricsStore& metrics_;
  telemetry::SpanExporter& spans_;
  KeyStorePort keys_;
  Upstream upstream_;
  asio::steady_timer tick_;
  bool ticking_ = false;
  std::shared_ptr<const routing::RouteTable> table_;
  std::shared_ptr<const routing::LeavingHosts> leaving_;
  routing::PoolHealth health_;
  std::map<core::ServiceName, ServiceState> services_;
  std::unordered_map<std::uint64_t, ExchangePtr> exchanges_;
  std::unordered_map<std::uint64_t, ExchangePtr> claiming_;
  std::uint64_t last_id_ = 0;
  bool own_zone_only_ = false;
  bool close_connections_ = false;
  std::atomic<int> open_requests_ = 0;
};

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_DISPATCHER_HPP_
