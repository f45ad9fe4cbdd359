// Compares the capacity decisions with fixed pools and proportional sizing on
// the demand of both deployments, paired over fixed seeds.

#include <cmath>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

#include <gflags/gflags.h>

#include "bench/capacity/replay.hpp"
#include "camphormux/text/parse.hpp"

DEFINE_uint64(first_seed, 1, "first of the seeds");

namespace camphormux::bench {
namespace {

constexpr int kHosts = 50;
constexpr int kSeeds = 20;

/// Mean and standard deviation over seeds.
struct Spread {
  double mean = 0.0;
  double deviation = 0.0;
};

using Runs = std::vector<Figures>;

Spread SpreadOf(const Runs& runs, double Figures::*member) {
  Spread spread;
  for (const Figures& run : runs) {
    spread.mean += run.*member / static_cast<double>(runs.size());
  }
  for (const Figures& run : runs) {
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

void PrintLine(const char* name, const Runs& runs) {
  const auto print = [&runs](double Figures::*member, double scale) {
    const Spread spread = SpreadOf(runs, member);
    std::printf(" %8.2f +-%5.2f", spread.mean * scale,
                spread.deviation * scale);
  };
  std::printf("%-14s", name);
  print(&Figures::served_share, 100.0);
  print(&Figures::idle_share, 100.0);
  print(&Figures::excess_share, 100.0);
  print(&Figures::idle_per_served, 1.0);
  print(&Figures::moves_per_surge, 1.0);
  print(&Figures::surge_mean_s, 1.0);
  print(&Figures::surge_worst_s, 1.0);
  print(&Figures::breaches, 1.0);
  std::printf("\n");
}

/// Paired ratio of a figure over seeds.
void PrintRatio(const char* name, const Runs& ours, const Runs& base,
                double Figures::*member) {
  double worst = 0.0;
  double mean = 0.0;
  for (std::size_t i = 0; i < ours.size(); ++i) {
    const double ratio = ours[i].*member / (base[i].*member);
    worst = std::max(worst, ratio);
    mean += ratio / static_cast<double>(ours.size());
  }
  std::printf("  %-58s mean %.3f worst %.3f\n", name, mean, worst);
}

void PrintServedDifference(const char* name, const Runs& ours,
                           const Runs& base) {
  double lowest = 1.0;
  double mean = 0.0;
  for (std::size_t i = 0; i < ours.size(); ++i) {
    const double difference = ours[i].served_share - base[i].served_share;
    lowest = std::min(lowest, difference);
    mean += difference / static_cast<double>(ours.size());
  }
  std::printf("  %-58s mean %+.2f worst %+.2f points\n", name, 100 * mean,
              100 * lowest);
}

/// Smallest fixed fleet that serves as much as a given share.
Figures FixedForSameDemand(const text::OperatorText& text,
                           const DemandTrace& trace, double served,
                           std::uint64_t seed, int* hosts_used) {
  constexpr int kMostHosts = 200;
  for (int hosts = kHosts; hosts < kMostHosts; ++hosts) {
    const Figures figures = Replay(text, trace, Policy::kFixed, hosts, seed);
    if (figures.served_share >= served) {
      *hosts_used += hosts;
      return figures;
    }
  }
  return Replay(text, trace, Policy::kFixed, kMostHosts, seed);
}

void CompareDeployment(const std::string& deployment) {
  const text::OperatorText text = LoadText(deployment);
  Runs ours;
  Runs fixed;
  Runs proportional;
  Runs tight;
  Runs fixed_same;
  Runs bound;
  int same_hosts = 0;
  for (int i = 0; i < kSeeds; ++i) {
    const std::uint64_t seed = FLAGS_first_seed + static_cast<std::uint64_t>(i);
    const DemandTrace trace = MakeDemand(text, {}, seed);
    ours.push_back(Replay(text, trace, Policy::kCamphormux, kHosts, seed));
    fixed.push_back(Replay(text, trace, Policy::kFixed, kHosts, seed));
    proportional.push_back(
        Replay(text, trace, Policy::kProportional, kHosts, seed));
    tight.push_back(Replay(text, trace, Policy::kTight, kHosts, seed));
    fixed_same.push_back(FixedForSameDemand(
        text, trace, ours.back().served_share, seed, &same_hosts));
    bound.push_back(OfflineBound(text, trace, kHosts));
  }
  std::printf("\n%s: %d hosts, seeds %s to %s, 1800 s each; mean +-deviation\n",
              deployment.c_str(), kHosts,
              std::to_string(FLAGS_first_seed).c_str(),
              std::to_string(FLAGS_first_seed + kSeeds - 1).c_str());
  std::printf(
      "policy            served %%        idle %%    above min %%   idle/served"
      "   moves/surge    surge s (mean, worst)        breaches\n");
  PrintLine("camphormux", ours);
  PrintLine("fixed", fixed);
  PrintLine("proportional", proportional);
  PrintLine("proport. tight", tight);
  PrintLine("fixed, larger", fixed_same);
  PrintLine("offline bound", bound);
  std::printf("  fixed, larger: %.1f hosts in the mean\n",
              static_cast<double>(same_hosts) / kSeeds);
  PrintRatio("moves / proportional", ours, proportional, &Figures::moves);
  PrintServedDifference("served - proportional", ours, proportional);
  PrintRatio("moves / tight proportional", ours, tight, &Figures::moves);
  PrintServedDifference("served - tight proportional", ours, tight);
  PrintRatio("idle hosts / fixed for the same demand", ours, fixed_same,
             &Figures::idle_hosts);
  PrintRatio("idle hosts / fixed with as many hosts", ours, fixed,
             &Figures::idle_hosts);
  PrintServedDifference("served - fixed with as many hosts", ours, fixed);
}

}  // namespace
}  // namespace camphormux::bench

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "compares the capacity decisions with baselines on 20 seeds");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  for (const char* deployment : {"tazi", "brushwick"}) {
    camphormux::bench::CompareDeployment(deployment);
  }
  return 0;
}
