// Compares placement with first fit on generated demand with errors: declared
// sizes and run times are wrong by factors of 0.2 to 5, some jobs can never
// run, some workers fail every task, and many jobs are cancelled at once.
//
// Usage: placement-replay [FIRST_SEED]
// Runs 20 seeds from FIRST_SEED, which is 1 by default.

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "bench/placement/replay.hpp"

namespace camphormux::placement {
namespace {

constexpr std::uint64_t kSeeds = 20;

void PrintMetric(const char* name, const std::vector<ReplayMetrics>& runs,
                 double ReplayMetrics::*member, double scale) {
  double mean = 0.0;
  double deviation = 0.0;
  double worst = 0.0;
  const auto count = static_cast<double>(runs.size());
  for (const ReplayMetrics& run : runs) mean += run.*member * scale / count;
  for (const ReplayMetrics& run : runs) {
    deviation += std::pow(run.*member * scale - mean, 2) / (count - 1.0);
    worst = std::max(worst, run.*member * scale);
  }
  std::printf("  %-34s %10.2f +-%8.2f  largest %10.2f\n", name, mean,
              std::sqrt(deviation), worst);
}

void Print(const char* name, const std::vector<ReplayMetrics>& runs) {
  std::printf("%s: mean +-standard deviation over %zu seeds\n", name,
              runs.size());
  PrintMetric("cores that carry load, %", runs, &ReplayMetrics::load_share,
              100.0);
  PrintMetric("urgent start p50, s", runs, &ReplayMetrics::urgent_p50_s, 1.0);
  PrintMetric("urgent start p99, s", runs, &ReplayMetrics::urgent_p99_s, 1.0);
  PrintMetric("urgent later than 3.1 s, %", runs,
              &ReplayMetrics::urgent_late_share, 100.0);
  PrintMetric("jobs finished, %", runs, &ReplayMetrics::finished_share, 100.0);
  PrintMetric("preemptions", runs, &ReplayMetrics::preemptions, 1.0);
  PrintMetric("tasks ended for memory", runs, &ReplayMetrics::memory_exceeded,
              1.0);
  PrintMetric("quarantines", runs, &ReplayMetrics::quarantines, 1.0);
  PrintMetric("bad workers at the end", runs,
              &ReplayMetrics::undetected_faulty_workers, 1.0);
}

}  // namespace
}  // namespace camphormux::placement

int main(int argc, char** argv) {
  using camphormux::placement::ReplayMetrics;
  std::vector<ReplayMetrics> placement_runs;
  std::vector<ReplayMetrics> first_fit_runs;
  const std::uint64_t first =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  for (std::uint64_t seed = first; seed < first + camphormux::placement::kSeeds;
       ++seed) {
    const auto scenario = camphormux::placement::MakeScenario(seed);
    placement_runs.push_back(
        camphormux::placement::ReplayPlacement(scenario, seed));
    first_fit_runs.push_back(
        camphormux::placement::ReplayNaive(scenario, seed));
  }
  camphormux::placement::Print("placement", placement_runs);
  camphormux::placement::Print("naive first fit", first_fit_runs);
  return 0;
}
