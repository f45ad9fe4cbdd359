#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "bench/slopes/fleet.hpp"
#include "bench/slopes/points.hpp"
#include "bench/slopes/slopes.hpp"
#include "camphormux/controller/list_cache.hpp"
#include "camphormux/controller/step.hpp"
#include "camphormux/demand/summary.hpp"
#include "camphormux/maintenance/maintenance.hpp"
#include "camphormux/membership/messages.hpp"
#include "camphormux/moves/moves.hpp"
#include "camphormux/sizing/sizing.hpp"

namespace camphormux::bench {
namespace {

constexpr int kGateways = 7;
constexpr double kStepsPerSecond = 5;
constexpr double kBytesPerKilobyte = 1e3;
constexpr std::size_t kUnlimitedBytes = std::size_t{1} << 20;
/// Largest payload of a heartbeat, in bytes.
constexpr double kPayloadLimitBytes = membership::kMaxPayloadBytes;

const Series kPlanningStep{"holder: control step with plan, once a second",
                           "ms/s", "hosts", kTargetHosts,
                           kProcessorLimitMsPerSecond};
const Series kStepWithoutPlan{"holder: control step without plan, 4 a second",
                              "ms/s", "hosts", kTargetHosts,
                              kProcessorLimitMsPerSecond};
const Series kStepWithoutLease{"no lease: control step, 5 a second", "ms/s",
                               "hosts", kTargetHosts,
                               kProcessorLimitMsPerSecond};
const Series kSizing{"holder: sizing, once a second", "ms/s", "pools",
                     kTargetPools, kProcessorLimitMsPerSecond};
const Series kMoves{"holder: moves of a zone, once a second", "ms/s",
                    "hosts of the zone", kTargetHosts / kZones,
                    kProcessorLimitMsPerSecond};
const Series kMaintenance{"holder: maintenance of a zone, once a second",
                          "ms/s", "hosts of the zone", kTargetHosts / kZones,
                          kProcessorLimitMsPerSecond};
const Series kListBytes{"holder: whole host list, once a takeover", "kB",
                        "hosts", kTargetHosts, 0};
const Series kListParse{"holder: parse of the whole host list", "ms", "hosts",
                        kTargetHosts, 0};
const Series kDemandSummary{"gateway: demand summary of busy services", "bytes",
                            "services", kTargetPools, kPayloadLimitBytes};

demand::Summary MakeDemand(int services) {
  demand::Summary summary;
  for (int i = 0; i < services; ++i) {
    summary.services[{"service-" + std::to_string(i)}] = {123.4, 0.0, 2.0, 5.5};
  }
  return summary;
}

demand::ServiceIndexes MakeServiceIndexes(const demand::Summary& summary) {
  std::vector<core::ServiceName> names;
  for (const auto& [name, load] : summary.services) {
    names.push_back(name);
  }
  return {{demand::MakeServiceIndex(std::move(names))}, {1}};
}

/// Returns the encoded size, in bytes, of a demand summary in which every
/// service is overloaded. If the size limit of heartbeat payloads would drop
/// services, returns the size without that limit.
std::size_t EncodedSummaryBytes(int services) {
  demand::Summary summary;
  for (int i = 0; i < services; ++i) {
    summary.services[{"service-" + std::to_string(i)}] = {1234.5 + i, 321.0 + i,
                                                          54.3 + i, 678.0 + i};
  }
  const demand::ServiceIndexes indexes = MakeServiceIndexes(summary);
  const std::string payload = demand::EncodeSummary(
      summary, indexes.known.front(), membership::kMaxPayloadBytes);
  const auto decoded = demand::DecodeSummary(payload, indexes);
  const bool complete =
      decoded && decoded->services.size() == summary.services.size();
  return complete ? payload.size()
                  : demand::EncodeSummary(summary, indexes.known.front(),
                                          kUnlimitedBytes)
                        .size();
}

/// Makes the observations of the controller that holds the lease of zone 0, for
/// a fleet in which no host changes.
controller::Observations MakeObservations(const state::FleetState& state,
                                          int pools, core::MonotonicTime now) {
  controller::Observations observations;
  observations.lease = core::Epoch{1};
  observations.log_read_at = now;
  observations.listed.emplace();
  for (const auto& [id, host] : state.hosts) {
    (*observations.listed)[id] = {id,         host.zone,    host.rack,
                                  host.shape, host.address, false};
    if (host.zone == ZoneAt(0)) {
      observations.reports[id] = {true,   host.pool, host.generation, false, 1,
                                  "boot", now};
    }
  }
  for (int i = 0; i < kGateways; ++i) {
    observations.gateways.push_back({{"gateway-" + std::to_string(i)},
                                     ZoneAt(i),
                                     state.next,
                                     false,
                                     MakeDemand(pools)});
  }
  return observations;
}

/// Returns the median processor time, in ms, of controller steps that follow
/// each other at a fixed interval of virtual time.
double MedianStepMillis(const state::FleetState& state,
                        controller::Observations& observations,
                        core::Millis interval) {
  controller::StepMemory memory;
  core::MonotonicTime now = observations.log_read_at + std::chrono::seconds(1);
  const core::WallTime wall = core::WallNow();
  const auto step = [&] {
    observations.log_read_at = now;
    (void)controller::Step({state, observations, ZoneAt(0), now, wall}, memory);
    now += interval;
  };
  step();
  return MedianCpuMillis(step);
}

void MeasureStep(const FleetSize& size) {
  const state::FleetState state =
      MakeState(size.hosts, size.pools, core::WallNow());
  controller::Observations observations =
      MakeObservations(state, size.pools, core::MonotonicNow());
  PrintPoint(kPlanningStep, size.hosts,
             MedianStepMillis(state, observations, std::chrono::seconds(1)));
  // At intervals of 10 ms all measured steps fall within one second after the
  // first plan, so none of them plans again.
  PrintPoint(kStepWithoutPlan, size.hosts,
             (kStepsPerSecond - 1) *
                 MedianStepMillis(state, observations, core::Millis{10}));
  observations.lease.reset();
  PrintPoint(
      kStepWithoutLease, size.hosts,
      kStepsPerSecond * MedianStepMillis(state, observations,
                                         std::chrono::milliseconds(200)));
}

sizing::SizingInput MakeSizing(const state::FleetState& state, int pools) {
  sizing::SizingInput input;
  input.text = state.text.parsed.get();
  for (const auto& [name, load] : MakeDemand(pools).services) {
    input.demand[name].arrivals_per_s = load.arrivals_per_s * kGateways;
    input.demand[name].queued = load.queued;
    input.demand[name].running = load.running;
  }
  for (const auto& [id, host] : state.hosts) {
    ++input.usable_hosts[host.zone];
  }
  input.now = core::MonotonicNow();
  return input;
}

void MeasureDecisions(const FleetSize& size) {
  const core::WallTime wall = core::WallNow();
  const state::FleetState state = MakeState(size.hosts, size.pools, wall);
  const text::OperatorText& text = *state.text.parsed;
  sizing::SizingInput input = MakeSizing(state, size.pools);
  sizing::SizingState memory;
  sizing::Sizes sizes;
  PrintPoint(kSizing, size.pools, MedianCpuMillis([&] {
               sizes = sizing::DecideSizes(memory, input);
               input.now += std::chrono::seconds(1);
             }));
  moves::MoveInput moves;
  maintenance::MaintenanceInput maintenance;
  for (const auto& [id, host] : state.hosts) {
    if (host.zone == ZoneAt(0)) {
      moves.hosts.push_back(host);
      maintenance.last_done[id] = state.maintenance.at(id).last_done;
    }
  }
  moves.pools = moves::TargetsOf(text, sizes, ZoneAt(0));
  moves.spare_pool = text.spare_pool;
  const auto in_zone = static_cast<double>(moves.hosts.size());
  PrintPoint(kMoves, in_zone,
             MedianCpuMillis([&] { (void)moves::DecideMoves(moves); }));
  maintenance.hosts = moves.hosts;
  maintenance.budgets = maintenance::BudgetsOf(text, sizes, ZoneAt(0));
  maintenance.plan = text.maintenance;
  maintenance.now = wall;
  maintenance.epoch_start = wall;
  PrintPoint(kMaintenance, in_zone, MedianCpuMillis([&] {
               (void)maintenance::DecideMaintenance(maintenance);
             }));
}

void MeasureHostList(int hosts) {
  nlohmann::json list = nlohmann::json::array();
  for (int i = 0; i < hosts; ++i) {
    list.push_back({{"id", "host-" + std::to_string(100'000 + i)},
                    {"zone", "z" + std::to_string(i % kZones)},
                    {"rack", "z1-" + std::to_string(i / kZones)},
                    {"address", "10.0.0.1"},
                    {"port", 8080},
                    {"cores", 64},
                    {"memory_mib", 262'144},
                    {"accelerators", 2},
                    {"state", "live"}});
  }
  const std::string body = list.dump();
  PrintPoint(kListBytes, hosts,
             static_cast<double>(body.size()) / kBytesPerKilobyte);
  PrintPoint(kListParse, hosts,
             MedianCpuMillis([&] { (void)controller::ParseHostList(body); }));
}

}  // namespace

void MeasureControl() {
  for (const FleetSize& size : kFleetSizes) {
    MeasureStep(size);
    MeasureDecisions(size);
    MeasureHostList(size.hosts);
    PrintPoint(kDemandSummary, size.pools,
               static_cast<double>(EncodedSummaryBytes(size.pools)));
  }
}

}  // namespace camphormux::bench
