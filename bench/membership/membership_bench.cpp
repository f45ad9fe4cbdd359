// Measures the cost of heartbeats and the behaviour of failure detection in
// virtual time. Prints one line a case.

#include <algorithm>
#include <cstdio>
#include <vector>

#include "test/membership/simulation.hpp"

namespace camphormux::membership {
namespace {

using simulation::Fleet;

constexpr int kWarmUpSeconds = 120;
constexpr int kMeasuredSeconds = 120;
constexpr int kLossSeconds = 600;
constexpr std::size_t kPayloadBytes = 64;

/// Bytes around the CBOR of one message: frame headers and compressed header
/// fields of HTTP/2 (31 for a request, 19 for an answer) and TCP and IP headers
/// with timestamps for its packet and half of an acknowledgement (52 + 26).
constexpr std::uint64_t kFramingBytes = 25 + 78;

struct Cost {
  double mean_kb = 0;  ///< Sent and received, a process and second.
  double max_kb = 0;
  double max_sent_kb = 0;
  double mean_messages = 0;
  double max_messages = 0;
};

Cost MeasureCost(Fleet& fleet) {
  for (auto& process : fleet.processes) {
    process.sent_bytes = process.received_bytes = process.messages = 0;
  }
  simulation::Steps(fleet, kMeasuredSeconds);
  Cost cost;
  const auto count = static_cast<double>(fleet.processes.size());
  for (const auto& process : fleet.processes) {
    const double messages =
        static_cast<double>(process.messages) / kMeasuredSeconds;
    const double framing = messages * kFramingBytes / 1000;
    const double sent =
        static_cast<double>(process.sent_bytes) / 1000 / kMeasuredSeconds;
    const double both =
        sent + framing +
        static_cast<double>(process.received_bytes) / 1000 / kMeasuredSeconds;
    cost.mean_kb += both / count;
    cost.mean_messages += messages / count;
    cost.max_kb = std::max(cost.max_kb, both);
    cost.max_sent_kb = std::max(cost.max_sent_kb, sent + framing / 2);
    cost.max_messages = std::max(cost.max_messages, messages);
  }
  return cost;
}

struct Detection {
  int in_zone = 0;     ///< Seconds until all of its zone see it dead.
  int everywhere = 0;  ///< Seconds until all see it dead.
};

Detection MeasureDetection(Fleet& fleet) {
  auto& victim = fleet.processes.back();
  const Identity dead = victim.view.self;
  victim.running = false;
  Detection detection;
  const auto sees = [&](const simulation::Process& process) {
    const auto found = process.view.members.find(dead.process);
    return !process.running || (found != process.view.members.end() &&
                                found->second.health == Health::kDead);
  };
  for (int second = 1; second <= 300 && detection.everywhere == 0; ++second) {
    simulation::Step(fleet);
    const auto all = [&](bool zone_only) {
      return std::all_of(fleet.processes.begin(), fleet.processes.end(),
                         [&](const simulation::Process& process) {
                           const bool other =
                               process.view.self.zone != dead.zone;
                           return (zone_only && other) || sees(process);
                         });
    };
    if (detection.in_zone == 0 && all(true)) {
      detection.in_zone = second;
    }
    if (all(false)) {
      detection.everywhere = second;
    }
  }
  return detection;
}

void Run(std::size_t processes, std::size_t zones, std::uint64_t seed) {
  Fleet fleet = simulation::MakeFleet(processes, zones, kPayloadBytes, seed);
  simulation::Steps(fleet, kWarmUpSeconds);
  const Cost cost = MeasureCost(fleet);
  fleet.loss = 0.2;
  fleet.counts = {};
  simulation::Steps(fleet, kLossSeconds);
  const simulation::Counts flaps = fleet.counts;
  const Detection lossy = MeasureDetection(fleet);
  Fleet second = simulation::MakeFleet(processes, zones, kPayloadBytes, seed);
  simulation::Steps(second, kWarmUpSeconds);
  const Detection clean = MeasureDetection(second);
  std::printf(
      "processes=%zu zones=%zu seed=%lu kB/s mean=%.2f max=%.2f max_sent=%.2f "
      "messages/s mean=%.1f max=%.1f | 20%% loss, %d s: suspicions=%lu "
      "deaths=%lu | dead after zone=%d s all=%d s, with loss zone=%d s "
      "all=%d s\n",
      processes, zones, seed, cost.mean_kb, cost.max_kb, cost.max_sent_kb,
      cost.mean_messages, cost.max_messages, kLossSeconds, flaps.suspicions,
      flaps.deaths, clean.in_zone, clean.everywhere, lossy.in_zone,
      lossy.everywhere);
  std::fflush(stdout);
}

}  // namespace
}  // namespace camphormux::membership

int main() {
  constexpr std::uint64_t kSeed = 20261204;
  for (const std::size_t processes : {10, 30, 100}) {
    for (const std::size_t zones : {3, 5, 10}) {
      camphormux::membership::Run(processes, zones, kSeed);
    }
  }
  for (const std::uint64_t seed : {1, 2, 3, 4}) {
    camphormux::membership::Run(14, 4, seed);
  }
  return 0;
}
