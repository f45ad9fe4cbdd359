// Measures the network cost of heartbeats, and the delay and false detections
// of failure detection, on a simulated network in virtual time. Prints one line
// per case.

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

/// Bytes that a message takes on the network besides its CBOR payload: on
/// average 25 for HTTP/2 frame headers and compressed header fields (31 for a
/// request, 19 for a response), and 78 for TCP and IP headers with timestamps
/// (52 for its packet, 26 for half of an acknowledgement).
constexpr std::uint64_t kFramingBytesPerMessage = 25 + 78;

struct HeartbeatCost {
  double mean_kb = 0;  ///< Sent and received per process, per second.
  double max_kb = 0;
  double max_sent_kb = 0;
  double mean_messages = 0;
  double max_messages = 0;
};

HeartbeatCost MeasureCost(Fleet& fleet) {
  for (auto& process : fleet.processes) {
    process.sent_bytes = process.received_bytes = process.messages = 0;
  }
  simulation::Steps(fleet, kMeasuredSeconds);
  HeartbeatCost cost;
  const auto count = static_cast<double>(fleet.processes.size());
  for (const auto& process : fleet.processes) {
    const double messages =
        static_cast<double>(process.messages) / kMeasuredSeconds;
    const double framing = messages * kFramingBytesPerMessage / 1000;
    const double sent =
        static_cast<double>(process.sent_bytes) / 1000 / kMeasuredSeconds;
    const double total =
        sent + framing +
        static_cast<double>(process.received_bytes) / 1000 / kMeasuredSeconds;
    cost.mean_kb += total / count;
    cost.mean_messages += messages / count;
    cost.max_kb = std::max(cost.max_kb, total);
    cost.max_sent_kb = std::max(cost.max_sent_kb, sent + framing / 2);
    cost.max_messages = std::max(cost.max_messages, messages);
  }
  return cost;
}

struct DetectionTime {
  int in_zone = 0;     ///< Seconds until its zone has marked it dead.
  int everywhere = 0;  ///< Seconds until all have marked it dead.
};

DetectionTime MeasureDetection(Fleet& fleet) {
  auto& stopped = fleet.processes.back();
  const Identity stopped_identity = stopped.view.self;
  stopped.running = false;
  DetectionTime detection;
  const auto sees_dead = [&](const simulation::Process& process) {
    const auto found = process.view.members.find(stopped_identity.process);
    return !process.running || (found != process.view.members.end() &&
                                found->second.health == Health::kDead);
  };
  for (int second = 1; second <= 300 && detection.everywhere == 0; ++second) {
    simulation::Step(fleet);
    const auto all_see_dead = [&](bool zone_only) {
      return std::all_of(fleet.processes.begin(), fleet.processes.end(),
                         [&](const simulation::Process& process) {
                           const bool other =
                               process.view.self.zone != stopped_identity.zone;
                           return (zone_only && other) || sees_dead(process);
                         });
    };
    if (detection.in_zone == 0 && all_see_dead(true)) {
      detection.in_zone = second;
    }
    if (all_see_dead(false)) {
      detection.everywhere = second;
    }
  }
  return detection;
}

void MeasureCase(std::size_t processes, std::size_t zones, std::uint64_t seed) {
  Fleet fleet = simulation::MakeFleet(processes, zones, kPayloadBytes, seed);
  simulation::Steps(fleet, kWarmUpSeconds);
  const HeartbeatCost cost = MeasureCost(fleet);
  fleet.loss = 0.2;
  fleet.counts = {};
  simulation::Steps(fleet, kLossSeconds);
  const simulation::Counts false_detections = fleet.counts;
  const DetectionTime with_loss = MeasureDetection(fleet);
  Fleet lossless_fleet =
      simulation::MakeFleet(processes, zones, kPayloadBytes, seed);
  simulation::Steps(lossless_fleet, kWarmUpSeconds);
  const DetectionTime without_loss = MeasureDetection(lossless_fleet);
  std::printf(
      "processes=%zu zones=%zu seed=%lu kB/s mean=%.2f max=%.2f max_sent=%.2f "
      "messages/s mean=%.1f max=%.1f | 20%% loss, %d s: suspicions=%lu "
      "deaths=%lu | dead after zone=%d s all=%d s, with loss zone=%d s "
      "all=%d s\n",
      processes, zones, seed, cost.mean_kb, cost.max_kb, cost.max_sent_kb,
      cost.mean_messages, cost.max_messages, kLossSeconds,
      false_detections.suspicions, false_detections.deaths,
      without_loss.in_zone, without_loss.everywhere, with_loss.in_zone,
      with_loss.everywhere);
  std::fflush(stdout);
}

}  // namespace
}  // namespace camphormux::membership

int main() {
  constexpr std::uint64_t kSeed = 20261204;
  for (const std::size_t processes : {10, 30, 100}) {
    for (const std::size_t zones : {3, 5, 10}) {
      camphormux::membership::MeasureCase(processes, zones, kSeed);
    }
  }
  for (const std::uint64_t seed : {1, 2, 3, 4}) {
    camphormux::membership::MeasureCase(14, 4, seed);
  }
  return 0;
}
