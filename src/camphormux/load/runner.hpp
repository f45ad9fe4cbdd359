#ifndef CAMPHORMUX_LOAD_RUNNER_HPP_
#define CAMPHORMUX_LOAD_RUNNER_HPP_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "camphormux/http/client.hpp"
#include "camphormux/load/demand.hpp"
#include "camphormux/load/recorder.hpp"

namespace camphormux::load {

/// @brief Targets, arrival rates and request settings of a runner.
struct RunnerOptions {
  std::vector<std::string> gateways;  ///< "IP:port".
  std::vector<text::Service> services;
  Demand demand;
  PlanOptions plan;
  std::chrono::seconds length{10};
  core::Millis timeout = std::chrono::seconds(5);
  std::uint64_t seed = 1;
  /// Service time in microseconds requested from the endpoint stand-in;
  /// negative: its default.
  std::int64_t service_us = -1;
  std::uint64_t body_bytes = 0;  ///< Padding requested from the stand-in.
  /// Value of the Camphormux-Generation header, for calls directly to an
  /// endpoint; empty: calls go to gateways.
  std::string direct_generation;
};

/// @brief Sends the requests of one thread in an open loop: requests are sent
/// at their arrival times, whether or not earlier ones were answered.
class Runner {
 public:
  /// @param loop Event loop; outlives the runner.
  /// @param options Targets, rates and request settings.
  /// @param recorder Receives a sample for each request; outlives the runner.
  Runner(asio::io_context& loop, RunnerOptions options, Recorder& recorder);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  /// @brief Starts to send; the loop runs out of work when all exchanges ended.
  void Start();

 private:
  struct Exchange;
  void ScheduleNext();
  void SendDue();
  void Begin(const ArrivalStream& stream);
  void ScheduleDuplicate(const Sample& first, std::size_t first_gateway);
  void Send(const std::shared_ptr<Exchange>& exchange);
  void Finish(const std::shared_ptr<Exchange>& exchange,
              const http::ClientResult& result);
  [[nodiscard]] http::ClientRequest MakeRequest(const Sample& sample) const;

  asio::io_context& loop_;
  RunnerOptions options_;
  Recorder& recorder_;
  http::Client client_;
  asio::steady_timer timer_;
  core::Random random_;
  std::vector<ArrivalStream> streams_;
  std::chrono::steady_clock::time_point start_;
  std::int64_t start_unix_us_ = 0;
};

}  // namespace camphormux::load

#endif  // CAMPHORMUX_LOAD_RUNNER_HPP_
