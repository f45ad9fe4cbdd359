// Measures the time of one move decision for a zone, and of alternative solvers
// that choose which pools give up hosts.

#include <cstdio>
#include <string>

#include <benchmark/benchmark.h>

#include "bench/capacity/alternatives.hpp"
#include "camphormux/moves/moves.hpp"

namespace camphormux::bench {
namespace {

constexpr std::uint64_t kSeed = 99;

/// Returns the number of pools of a fleet: from 5 for 50 hosts to 154 for
/// 5,000.
int PoolCount(std::int64_t hosts) {
  constexpr std::int64_t kMaxPools = 154;
  constexpr std::int64_t kHostsPerPool = 32;
  return static_cast<int>(
      std::min(kMaxPools, std::max<std::int64_t>(5, hosts / kHostsPerPool)));
}

/// Makes pools that alternate between a surplus and a lack of hosts: every
/// second pool lacks two hosts, which the others can spare.
moves::MoveInput MakeInput(std::int64_t hosts) {
  const int pools = PoolCount(hosts);
  moves::MoveInput input;
  input.spare_pool = {"pool-0"};
  for (std::int64_t i = 0; i < hosts; ++i) {
    state::Host host;
    host.id = {"host-" + std::to_string(100'000 + i)};
    host.rack = {"rack-" + std::to_string(i / 4)};
    host.phase = state::HostPhase::kAdmitted;
    host.pool = core::PoolName{"pool-" + std::to_string(i % pools)};
    input.hosts.push_back(std::move(host));
  }
  const int size = static_cast<int>(hosts) / pools;
  for (int i = 0; i < pools; ++i) {
    moves::PoolTarget target;
    target.pool = {"pool-" + std::to_string(i)};
    target.floor = 1;
    target.needed = i % 2 == 0 ? size - 3 : size + 2;
    target.wanted = size + 2;
    target.host_availability = 0.5;
    input.pools.push_back(target);
  }
  return input;
}

void TimeDecideMoves(benchmark::State& state) {
  const moves::MoveInput input = MakeInput(state.range(0));
  std::size_t moves = 0;
  for (auto _ : state) {
    const moves::MoveDecision decision = moves::DecideMoves(input);
    moves = decision.drains.size();
    benchmark::DoNotOptimize(moves);
  }
  state.counters["moves"] = static_cast<double>(moves);
  state.SetComplexityN(state.range(0));
}
BENCHMARK(TimeDecideMoves)
    ->Arg(50)
    ->Arg(500)
    ->Arg(5000)
    ->Complexity()
    ->Unit(benchmark::kMicrosecond);

using Solver = TransportResult (*)(const TransportProblem&);

template <Solver kSolve>
void TimeTransport(benchmark::State& state) {
  core::Random random = core::SeededRandom(kSeed);
  const TransportProblem problem = GenerateTransportProblem(
      PoolCount(state.range(0)), static_cast<int>(state.range(0)), random);
  TransportResult result;
  for (auto _ : state) {
    result = kSolve(problem);
    benchmark::DoNotOptimize(result);
  }
  state.counters["cost"] = static_cast<double>(result.cost);
  state.counters["moved"] = result.moved;
  state.SetComplexityN(state.range(0));
}

#define CAMPHORMUX_TRANSPORT(solver)        \
  BENCHMARK_TEMPLATE(TimeTransport, solver) \
      ->Arg(50)                             \
      ->Arg(500)                            \
      ->Arg(5000)                           \
      ->Complexity()                        \
      ->Unit(benchmark::kMicrosecond)

CAMPHORMUX_TRANSPORT(SolveGreedy);
CAMPHORMUX_TRANSPORT(SolveLocalSearch);
CAMPHORMUX_TRANSPORT(SolveMinCostFlow);

}  // namespace
}  // namespace camphormux::bench

BENCHMARK_MAIN();
