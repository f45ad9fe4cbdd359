// Compares the sizing and move decisions with fixed pools and proportional
// sizing, on generated demand for both example deployments. Every policy runs
// on the same seeds, so that results can be compared in pairs.

#include <cmath>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

#include <gflags/gflags.h>

#include "bench/capacity/replay.hpp"
#include "camphormux/text/parse.hpp"

DEFINE_uint64(first_seed, 1, "first of the 20 seeds");

namespace camphormux::bench {
namespace {

constexpr int kHosts = 50;
constexpr int kSeeds = 20;

/// Mean and standard deviation of a metric over seeds.
struct MeanAndDeviation {
  double mean = 0.0;
  double deviation = 0.0;
};

using Runs = std::vector<ReplayMetrics>;

MeanAndDeviation Summarize(const Runs& runs, double ReplayMetrics::*member) {
  MeanAndDeviation spread;
  for (const ReplayMetrics& run : runs) {
    spread.mean += run.*member / static_cast<double>(runs.size());
  }
  for (const ReplayMetrics& run : runs) {
    spread.deviation += std::pow(run.*member - spread.mean, 2) /
                        static_cast<double>(runs.size() - 1);
  }
  spread.deviation = std::sqrt(spread.deviation);
  return spread;
}

text::OperatorText LoadText(const std::string& deployment) {
  const std::string path =
      std::string(EXAMPLES_DIR) + "/" + deployment + "/fleet.ini";
  std::ifstream file(path);
  const std::string source{std::istreambuf_iterator<char>(file), {}};
  return text::ParseOperatorText(path, source).value();
}

void PrintPolicy(const char* name, const Runs& runs) {
  const auto print = [&runs](double ReplayMetrics::*member, double scale) {
    const MeanAndDeviation spread = Summarize(runs, member);
    std::printf(" %8.2f +-%5.2f", spread.mean * scale,
                spread.deviation * scale);
  };
  std::printf("%-14s", name);
  print(&ReplayMetrics::served_share, 100.0);
  print(&ReplayMetrics::idle_share, 100.0);
  print(&ReplayMetrics::excess_share, 100.0);
  print(&ReplayMetrics::idle_per_served, 1.0);
  print(&ReplayMetrics::moves_per_surge, 1.0);
  print(&ReplayMetrics::surge_mean_s, 1.0);
  print(&ReplayMetrics::surge_max_s, 1.0);
  print(&ReplayMetrics::breaches, 1.0);
  std::printf("\n");
}

/// Prints the mean and largest ratio of a metric, paired by seed.
void PrintRatio(const char* name, const Runs& camphormux, const Runs& base,
                double ReplayMetrics::*member) {
  double worst = 0.0;
  double mean = 0.0;
  for (std::size_t i = 0; i < camphormux.size(); ++i) {
    const double ratio = camphormux[i].*member / (base[i].*member);
    worst = std::max(worst, ratio);
    mean += ratio / static_cast<double>(camphormux.size());
  }
  std::printf("  %-58s mean %.3f worst %.3f\n", name, mean, worst);
}

void PrintServedDifference(const char* name, const Runs& camphormux,
                           const Runs& base) {
  double lowest = 1.0;
  double mean = 0.0;
  for (std::size_t i = 0; i < camphormux.size(); ++i) {
    const double difference = camphormux[i].served_share - base[i].served_share;
    lowest = std::min(lowest, difference);
    mean += difference / static_cast<double>(camphormux.size());
  }
  std::printf("  %-58s mean %+.2f worst %+.2f points\n", name, 100 * mean,
              100 * lowest);
}

/// Replays fixed pools with the smallest fleet that serves at least a given
/// share of the demand; adds its number of hosts to `hosts_used`.
ReplayMetrics FixedForSameDemand(const text::OperatorText& text,
                                 const DemandTrace& trace, double served,
                                 std::uint64_t seed, int* hosts_used) {
  constexpr int kMaxHosts = 200;
  for (int hosts = kHosts; hosts < kMaxHosts; ++hosts) {
    const ReplayMetrics metrics =
        Replay(text, trace, Policy::kFixed, hosts, seed);
    if (metrics.served_share >= served) {
      *hosts_used += hosts;
      return metrics;
    }
  }
  return Replay(text, trace, Policy::kFixed, kMaxHosts, seed);
}

void CompareDeployment(const std::string& deployment) {
  const text::OperatorText text = LoadText(deployment);
  Runs camphormux;
  Runs fixed;
  Runs proportional;
  Runs proportional_at_planned_use;
  Runs fixed_same_demand;
  Runs offline_bound;
  int total_fixed_hosts = 0;
  for (int i = 0; i < kSeeds; ++i) {
    const std::uint64_t seed = FLAGS_first_seed + static_cast<std::uint64_t>(i);
    const DemandTrace trace = GenerateDemand(text, {}, seed);
    camphormux.push_back(
        Replay(text, trace, Policy::kCamphormux, kHosts, seed));
    fixed.push_back(Replay(text, trace, Policy::kFixed, kHosts, seed));
    proportional.push_back(
        Replay(text, trace, Policy::kProportional, kHosts, seed));
    proportional_at_planned_use.push_back(
        Replay(text, trace, Policy::kProportionalAtPlannedUse, kHosts, seed));
    fixed_same_demand.push_back(FixedForSameDemand(
        text, trace, camphormux.back().served_share, seed, &total_fixed_hosts));
    offline_bound.push_back(OfflineBound(text, trace, kHosts));
  }
  std::printf("\n%s: %d hosts, seeds %s to %s, 1800 s each; mean +-deviation\n",
              deployment.c_str(), kHosts,
              std::to_string(FLAGS_first_seed).c_str(),
              std::to_string(FLAGS_first_seed + kSeeds - 1).c_str());
  std::printf(
      "policy            served %%        idle %%    above min %%   idle/served"
      "   moves/surge    surge s (mean, worst)        breaches\n");
  PrintPolicy("camphormux", camphormux);
  PrintPolicy("fixed", fixed);
  PrintPolicy("proportional", proportional);
  PrintPolicy("proport. tight", proportional_at_planned_use);
  PrintPolicy("fixed, larger", fixed_same_demand);
  PrintPolicy("offline bound", offline_bound);
  std::printf("  fixed, larger: %.1f hosts in the mean\n",
              static_cast<double>(total_fixed_hosts) / kSeeds);
  PrintRatio("moves / proportional", camphormux, proportional,
             &ReplayMetrics::moves);
  PrintServedDifference("served - proportional", camphormux, proportional);
  PrintRatio("moves / tight proportional", camphormux,
             proportional_at_planned_use, &ReplayMetrics::moves);
  PrintServedDifference("served - tight proportional", camphormux,
                        proportional_at_planned_use);
  PrintRatio("idle hosts / fixed for the same demand", camphormux,
             fixed_same_demand, &ReplayMetrics::idle_hosts);
  PrintRatio("idle hosts / fixed with as many hosts", camphormux, fixed,
             &ReplayMetrics::idle_hosts);
  PrintServedDifference("served - fixed with as many hosts", camphormux, fixed);
}

}  // namespace
}  // namespace camphormux::bench

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "compares the sizing and move decisions with baselines on 20 seeds");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  for (const char* deployment : {"tazi", "brushwick"}) {
    camphormux::bench::CompareDeployment(deployment);
  }
  return 0;
}
