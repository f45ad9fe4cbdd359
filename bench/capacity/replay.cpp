#include "bench/capacity/replay.hpp"

#include <algorithm>
#include <cmath>
#include <deque>

#include "bench/capacity/fake_fleet.hpp"
#include "camphormux/moves/moves.hpp"
#include "camphormux/sizing/sizing.hpp"

namespace camphormux::bench {
namespace {

/// Age of the usage reports that sizing receives.
constexpr int kReportAgeSeconds = 5;
/// Requests that would wait longer in the queue are refused.
constexpr double kMaxWaitSeconds = 2.0;

/// Share of capacity in use that proportional sizing commonly plans for.
constexpr double kProportionalUtilization = 0.85;

/// Queue of a service and its measured rates, in requests per second.
struct Queue {
  double backlog = 0.0;
  double served = 0.0;  ///< In the current second.
  double lost = 0.0;
  std::deque<double> recent;  ///< Served per second since the usage report.
};

struct PoolHosts {
  int admitted = 0;
  int all = 0;  ///< In any phase of an assignment to the pool.
};

/// State of one replay.
struct ReplayRun {
  const text::OperatorText* text;
  const DemandTrace* trace;
  FakeFleet fleet;
  sizing::SizingState sizing;
  std::map<core::ServiceName, Queue> queues;
  std::map<core::PoolName, PoolHosts> pools;
  ReplayMetrics metrics;
  double offered = 0.0;
  double served = 0.0;
};

void CountPools(ReplayRun& run) {
  run.pools.clear();
  for (const auto& [zone, hosts] : run.fleet.zones) {
    for (const state::Host& host : hosts) {
      if (host.pool) {
        PoolHosts& pool = run.pools[*host.pool];
        ++pool.all;
        pool.admitted += host.phase == state::HostPhase::kAdmitted ? 1 : 0;
      }
    }
  }
}

double HostRate(const ReplayRun& run, const text::Service& service) {
  return service.slots_per_host / run.trace->service_time_s;
}

void ServeSecond(ReplayRun& run, int second) {
  for (const auto& [name, service] : run.text->services) {
    Queue& queue = run.queues[name];
    const double arrivals =
        run.trace->arrivals.at(name)[static_cast<std::size_t>(second)];
    const double capacity =
        run.pools[service.pool].admitted * HostRate(run, service);
    const double offered = queue.backlog + arrivals;
    queue.served = std::min(offered, capacity);
    const double left = offered - queue.served;
    queue.backlog = std::min(left, capacity * kMaxWaitSeconds);
    queue.lost = left - queue.backlog;
    queue.recent.push_back(queue.served);
    if (queue.recent.size() > kReportAgeSeconds + 1) {
      queue.recent.pop_front();
    }
    run.offered += arrivals;
    run.served += queue.served;
  }
}

/// Adds the idle hosts of the current second to the metrics. Hosts of the spare
/// pool count as busy, since they run preemptible jobs; hosts that drain, are
/// being assigned or have no pool serve nothing and count as idle.
void AddIdleHosts(ReplayRun& run) {
  int counted = 0;
  for (const auto& [name, service] : run.text->services) {
    const PoolHosts& pool = run.pools[service.pool];
    counted += pool.all;
    if (service.pool == run.text->spare_pool) {
      continue;
    }
    const double used = run.queues[name].served / HostRate(run, service);
    run.metrics.idle_hosts += std::max(0.0, pool.all - used);
    run.metrics.excess_share += std::max(
        0.0, pool.all - std::max(used, static_cast<double>(service.min_hosts)));
  }
  int total = 0;
  for (const auto& [zone, hosts] : run.fleet.zones) {
    total += static_cast<int>(hosts.size());
  }
  run.metrics.idle_hosts += total - counted;
  run.metrics.excess_share += total - counted;
}

void AddBudgetBreaches(ReplayRun& run) {
  for (const auto& [zone, hosts] : run.fleet.zones) {
    for (const auto& [name, service] : run.text->services) {
      int available = 0;
      int members = 0;
      for (const state::Host& host : hosts) {
        if (host.pool == service.pool) {
          available += host.phase == state::HostPhase::kAdmitted ? 1 : 0;
          members += host.phase != state::HostPhase::kDraining ? 1 : 0;
        }
      }
      const int zones = static_cast<int>(run.fleet.zones.size());
      const int floor = (service.min_hosts + zones - 1) / zones;
      // Hosts that join count as members before they can serve. Only hosts that
      // are taken away may count as a breach of the share.
      const int share = moves::MinAvailableHosts(0, service.host_availability,
                                                 std::min(members, available));
      run.metrics.breaches += available < std::max(floor, share) ? 1 : 0;
    }
  }
}

sizing::SizingInput MakeSizingInput(const ReplayRun& run, int second) {
  sizing::SizingInput input;
  input.text = run.text;
  input.now = core::MonotonicTime{std::chrono::seconds(second)};
  for (const auto& [zone, hosts] : run.fleet.zones) {
    input.usable_hosts[zone] = static_cast<int>(hosts.size());
  }
  for (const auto& [name, queue] : run.queues) {
    sizing::DemandSample& sample = input.demand[name];
    sample.arrivals_per_s =
        run.trace->arrivals.at(name)[static_cast<std::size_t>(second)];
    sample.refused_per_s = queue.lost;
    sample.queued = queue.backlog;
    sample.report_age = std::chrono::seconds(kReportAgeSeconds);
    sample.running = queue.recent.front() * run.trace->service_time_s;
    for (std::size_t i = 1; i < queue.recent.size(); ++i) {
      sample.started_since_report += queue.recent[i];
    }
  }
  return input;
}

void Decide(ReplayRun& run, Policy policy, int second) {
  if (policy == Policy::kFixed) {
    return;
  }
  const sizing::SizingInput input = MakeSizingInput(run, second);
  const sizing::Sizes sizes =
      policy == Policy::kCamphormux
          ? sizing::DecideSizes(run.sizing, input)
          : sizing::ProportionalSizes(
                input, run.trace->service_time_s,
                policy == Policy::kProportionalAtPlannedUse
                    ? sizing::PlannedUse(run.text->policy)
                    : kProportionalUtilization);
  for (const auto& [zone, hosts] : run.fleet.zones) {
    moves::MoveInput move_input;
    move_input.hosts = hosts;
    move_input.spare_pool = run.text->spare_pool;
    move_input.pools = moves::TargetsOf(*run.text, sizes, zone);
    ApplyMoves(run.fleet, zone, moves::DecideMoves(move_input), second);
  }
}

/// Records, for each burst, after how many seconds the capacity of the pool
/// first covers the arrivals.
void RecordBurstCapacity(ReplayRun& run, int second,
                         std::vector<int>& reached_after_s) {
  for (std::size_t i = 0; i < run.trace->bursts.size(); ++i) {
    const Burst& burst = run.trace->bursts[i];
    const bool open = reached_after_s[i] < 0 && second >= burst.start &&
                      second < burst.start + burst.length;
    if (!open) {
      continue;
    }
    const text::Service& service = run.text->services.at(burst.service);
    const double capacity =
        run.pools[service.pool].admitted * HostRate(run, service);
    const double arrivals =
        run.trace->arrivals.at(burst.service)[static_cast<std::size_t>(second)];
    if (capacity >= arrivals) {
      reached_after_s[i] = second - burst.start;
    }
  }
}

void FinalizeMetrics(ReplayRun& run, const std::vector<int>& reached_after_s,
                     int hosts) {
  ReplayMetrics& metrics = run.metrics;
  const double seconds = run.trace->seconds;
  metrics.idle_hosts /= seconds;
  metrics.idle_share = metrics.idle_hosts / hosts;
  metrics.excess_share /= seconds * hosts;
  metrics.served_share = run.served / run.offered;
  const text::Service& first_service = run.text->services.begin()->second;
  metrics.idle_per_served = metrics.idle_hosts * seconds /
                            (run.served / HostRate(run, first_service));
  metrics.moves = run.fleet.moves;
  metrics.reversals = run.fleet.reversals;
  const double surges = static_cast<double>(run.trace->bursts.size());
  metrics.moves_per_surge = metrics.moves / surges;
  for (std::size_t i = 0; i < reached_after_s.size(); ++i) {
    const double time = reached_after_s[i] >= 0 ? reached_after_s[i]
                                                : run.trace->bursts[i].length;
    metrics.surge_mean_s += time / surges;
    metrics.surge_max_s = std::max(metrics.surge_max_s, time);
  }
}

}  // namespace

ReplayMetrics Replay(const text::OperatorText& text, const DemandTrace& trace,
                     Policy policy, int hosts, std::uint64_t seed) {
  ReplayRun run{&text, &trace, MakeFleet(text, hosts, seed), {}, {}, {}, {},
                0,     0};
  std::vector<int> reached_after_s(trace.bursts.size(), -1);
  for (int second = 0; second < trace.seconds; ++second) {
    AdvanceFleet(run.fleet, second);
    CountPools(run);
    ServeSecond(run, second);
    AddIdleHosts(run);
    AddBudgetBreaches(run);
    RecordBurstCapacity(run, second, reached_after_s);
    Decide(run, policy, second);
  }
  FinalizeMetrics(run, reached_after_s, hosts);
  return run.metrics;
}

ReplayMetrics OfflineBound(const text::OperatorText& text,
                           const DemandTrace& trace, int hosts) {
  ReplayMetrics offline_bound;
  offline_bound.served_share = 1.0;
  double served_hosts = 0.0;
  for (const auto& [name, service] : text.services) {
    const double rate = service.slots_per_host / trace.service_time_s;
    for (const double arrivals : trace.arrivals.at(name)) {
      const double used = arrivals / rate;
      served_hosts += used;
      const double size =
          std::max(std::ceil(used), static_cast<double>(service.min_hosts));
      offline_bound.idle_hosts +=
          service.pool == text.spare_pool ? 0.0 : size - used;
    }
  }
  offline_bound.idle_per_served = offline_bound.idle_hosts / served_hosts;
  offline_bound.idle_hosts /= trace.seconds;
  offline_bound.idle_share = offline_bound.idle_hosts / hosts;
  // In a round of bursts every service has its peak once. A host that does not
  // move serves one pool only, so the sum of the peaks above the fleet size is
  // the least number of moves in the round.
  const std::size_t round = text.services.size();
  for (std::size_t i = 0; i + round <= trace.bursts.size(); i += round) {
    double sum = -hosts;
    for (std::size_t j = i; j < i + round; ++j) {
      const Burst& burst = trace.bursts[j];
      const text::Service& service = text.services.at(burst.service);
      const std::vector<double>& arrivals = trace.arrivals.at(burst.service);
      double mean = 0.0;
      for (int t = burst.start; t < burst.start + burst.length; ++t) {
        mean += arrivals[static_cast<std::size_t>(t)] / burst.length;
      }
      sum += std::ceil(mean * trace.service_time_s / service.slots_per_host);
    }
    offline_bound.moves += std::max(0.0, sum);
  }
  offline_bound.moves_per_surge =
      offline_bound.moves / static_cast<double>(trace.bursts.size());
  return offline_bound;
}

}  // namespace camphormux::bench
