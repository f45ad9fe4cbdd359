#ifndef CAMPHORMUX_GATEWAY_TRAFFIC_THREAD_HPP_
#define CAMPHORMUX_GATEWAY_TRAFFIC_THREAD_HPP_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include "camphormux/core/random.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/gateway/caller_server.hpp"
#include "camphormux/gateway/dispatcher.hpp"
#include "camphormux/gateway/key_store_port.hpp"
#include "camphormux/gateway/service_metrics.hpp"
#include "camphormux/routing/route_table.hpp"
#include "camphormux/telemetry/trace.hpp"

namespace camphormux::gateway {

/// @brief Makes the key store port of one traffic thread for its event loop.
using KeyStoreFactory = std::function<KeyStorePort(asio::io_context& loop)>;

/// @brief A thread that serves callers with its own event loop, server, client
/// and routing state.
class TrafficThread {
 public:
  /// @param address Address for callers; shared by all traffic threads.
  /// @param options Settings of the dispatcher.
  /// @param random Random generator, seeded.
  /// @param metrics Service metrics; outlive the thread.
  /// @param spans Span exporter; outlives the thread.
  /// @param keys Makes the key store port.
  /// @throws std::exception if the address cannot be bound.
  TrafficThread(const core::Address& address, DispatcherOptions options,
                core::Random random, MetricsStore& metrics,
                telemetry::SpanExporter& spans, const KeyStoreFactory& keys);
  /// Stops the event loop and joins the thread.
  ~TrafficThread();
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  /// @brief Runs a function on the thread.
  /// @param action Called with the thread's dispatcher.
  void Post(std::function<void(Dispatcher&)> action);

  /// @brief Replaces the thread's route table. The first table with a service
  /// makes the thread accept callers' connections.
  /// @param table The new route table.
  void SetTable(std::shared_ptr<const routing::RouteTable> table);

  /// @brief Tells the thread that its route table is current up to a later
  /// offset.
  /// @param next First offset that the table does not reflect.
  void SetApplied(core::LogOffset next);

  /// @return First offset that the thread's table does not reflect; 0 before
  /// the first table. Thread-safe.
  [[nodiscard]] core::LogOffset applied_offset() const;

  /// @brief Stops accepting connections.
  void StopAccepting();

  /// @return Number of requests that are open or whose response is not written
  /// yet. Thread-safe.
  [[nodiscard]] int unfinished_requests() const;

 private:
  std::atomic<std::uint64_t> applied_offset_ = 0;
  asio::io_context loop_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::shared_ptr<Dispatcher> dispatcher_;
  std::unique_ptr<CallerServer> server_;
  std::thread thread_;
};

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_TRAFFIC_THREAD_HPP_
