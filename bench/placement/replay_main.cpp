// Compares placement with naive first fit on seeded demand: declared sizes and
// run times off by factors of 0.2 to 5, jobs that can never run, bad workers
// and waves of cancellations.

// Usage: placement-replay [FIRST_SEED]; 20 seeds from there, default 1.

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "bench/placement/replay.hpp"

namespace camphormux::placement {
namespace {

constexpr std::uint64_t kSeeds = 20;

void PrintFigure(const char* name, const std::vector<Figures>& runs,
                 double Figures::*member, double scale) {
  double mean = 0.0;
  double deviation = 0.0;
  double worst = 0.0;
  const auto count = static_cast<double>(runs.size());
  for (const Figures& run : runs) mean += run.*member * scale / count;
  for (const Figures& run : runs) {
    deviation += std::pow(run.*member * scale - mean, 2) / (count - 1.0);
    worst = std::max(worst, run.*member * scale);
  }
  std::printf("  %-34s %10.2f +-%8.2f  largest %10.2f\n", name, mean,
              std::sqrt(deviation), worst);
}

void Print(const char* name, const std::vector<Figures>& runs) {
  std::printf("%s: mean +-standard deviation over %zu seeds\n", name,
              runs.size());
  PrintFigure("cores that carry load, %", runs, &Figures::load_share, 100.0);
  PrintFigure("urgent start p50, s", runs, &Figures::urgent_p50_s, 1.0);
  PrintFigure("urgent start p99, s", runs, &Figures::urgent_p99_s, 1.0);
  PrintFigure("urgent later than 3.1 s, %", runs, &Figures::urgent_late_share,
              100.0);
  PrintFigure("jobs finished, %", runs, &Figures::finished_share, 100.0);
  PrintFigure("preemptions", runs, &Figures::preemptions, 1.0);
  PrintFigure("tasks ended for memory", runs, &Figures::memory_exceeded, 1.0);
  PrintFigure("quarantines", runs, &Figures::quarantines, 1.0);
  PrintFigure("bad workers at the end", runs, &Figures::bad_left, 1.0);
}

}  // namespace
}  // namespace camphormux::placement

int main(int argc, char** argv) {
  using camphormux::placement::Figures;
  std::vector<Figures> ours;
  std::vector<Figures> naive;
  const std::uint64_t first =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  for (std::uint64_t seed = first; seed < first + camphormux::placement::kSeeds;
       ++seed) {
    const auto scenario = camphormux::placement::MakeScenario(seed);
    ours.push_back(camphormux::placement::ReplayPlacement(scenario, seed));
    naive.push_back(camphormux::placement::ReplayNaive(scenario, seed));
  }
  camphormux::placement::Print("placement", ours);
  camphormux::placement::Print("naive first fit", naive);
  return 0;
}
