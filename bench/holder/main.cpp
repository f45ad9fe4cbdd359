/// Measures the processor time that a holder needs per started run, without the
/// platform's protocol: hosts and store are fakes on the same event loop.
#include <cstdio>
#include <ctime>
#include <iostream>

#include <gflags/gflags.h>

#include "camphormux/coordinator/holder.hpp"
#include "camphormux/telemetry/log.hpp"
#include "test/coordinator/fake_platform.hpp"

DEFINE_int32(hosts, 300, "Hosts in the pool.");
DEFINE_int32(seconds, 5, "Duration.");
DEFINE_int32(jobs, 60, "Jobs per second.");
DEFINE_int32(tasks, 12, "Tasks per job, in one step.");
DEFINE_int32(waiting, 0, "Jobs submitted at the start.");
DEFINE_bool(log, true, "Write the log to standard output.");

namespace camphormux::coordinator {
namespace {

constexpr core::Millis kRunTime{640};
constexpr std::int64_t kTaskMillicores = 6000;
constexpr std::int64_t kTaskMemoryMib = 1000;
constexpr double kNanosPerMilli = 1e6;

double ProcessorMillis() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e3 +
         static_cast<double>(now.tv_nsec) / kNanosPerMilli;
}

workload::JobSpec MakeSpec(std::uint64_t number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016llx",
                static_cast<unsigned long long>(number));  // NOLINT
  workload::JobSpec spec;
  spec.id.value = id;
  spec.queue.value = "q";
  workload::Step step;
  step.count = static_cast<std::uint32_t>(FLAGS_tasks);
  step.size = {{kTaskMillicores}, {kTaskMemoryMib}, {0}};
  step.estimate = kRunTime;
  spec.steps = {step};
  return spec;
}

int Main() {
  asio::io_context loop{1};
  prometheus::Registry registry;
  NodeMetrics node_metrics = RegisterNodeMetrics(registry);
  FakePlatform platform(loop, static_cast<std::size_t>(FLAGS_hosts), kRunTime);
  const auto holder = std::make_shared<Holder>(
      loop, scheduler::Settings{}, platform.MakePorts(), core::Epoch{1},
      node_metrics, UnlimitedAuthority(), [] {});
  workload::Catalog catalog;
  workload::Queue queue;
  queue.name.value = "q";
  queue.pool.value = "pool";
  queue.stretch = 2.0;
  queue.latency_target = core::Millis(600);
  catalog.queues = {queue};
  catalog.pools[{"pool"}];
  holder->Start(catalog);
  holder->OnHosts(platform.Listings(), core::MonotonicTime{});
  loop.run_for(std::chrono::milliseconds(200));
  std::uint64_t number = 0;
  std::uint64_t accepted = 0;
  const auto submit = [&] {
    holder->Submit(MakeSpec(++number), [&accepted](SubmitAnswer answer) {
      accepted += answer.outcome == SubmitOutcome::kAccepted ? 1U : 0U;
    });
  };
  for (int i = 0; i < FLAGS_waiting; ++i) {
    submit();
  }
  asio::steady_timer timer(loop);
  const core::Millis gap(1000 / FLAGS_jobs);
  std::function<void()> next = [&] {
    submit();
    timer.expires_at(timer.expiry() + gap);
    timer.async_wait([&](const asio::error_code&) { next(); });
  };
  timer.expires_after(core::Millis(1));
  timer.async_wait([&](const asio::error_code&) { next(); });
  const double before = ProcessorMillis();
  const std::uint64_t starts = platform.starts();
  loop.run_for(std::chrono::seconds(FLAGS_seconds));
  const double took = ProcessorMillis() - before;
  const std::uint64_t started = platform.starts() - starts;
  std::cerr << "accepted " << accepted << " of " << number << ", started "
            << started << ", processor ms " << took << ", us per start "
            << took * 1e3 / static_cast<double>(started) << ", stored KB "
            << platform.stored_bytes() / 1024 << '\n';
  holder->Stop();
  return 0;
}

}  // namespace
}  // namespace camphormux::coordinator

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_log) {
    camphormux::telemetry::ConfigureLog(
        "bench", camphormux::telemetry::Level::kInfo,
        camphormux::telemetry::LogStream::kOutput);
  } else {
    camphormux::telemetry::ConfigureLog(
        "bench", camphormux::telemetry::Level::kError,
        camphormux::telemetry::LogStream::kOutput);
  }
  return camphormux::coordinator::Main();
}
