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
constexpr double kKilo = 1e3;
constexpr std::size_t kNoBound = std::size_t{1} << 20;
/// What a heartbeat can carry.
constexpr double kPayloadLimit = membership::kMaxPayloadBytes;

const Series kPlan{"holder: control step with plan, once a second", "ms/s",
                   "hosts", kTargetHosts, kProcessorLimit};
const Series kPlain{"holder: control step without plan, 4 a second", "ms/s",
                    "hosts", kTargetHosts, kProcessorLimit};
const Series kIdle{"no lease: control step, 5 a second", "ms/s", "hosts",
                   kTargetHosts, kProcessorLimit};
const Series kSizing{"holder: sizing, once a second", "ms/s", "pools",
                     kTargetPools, kProcessorLimit};
const Series kMoves{"holder: moves of a zone, once a second", "ms/s",
                    "hosts of the zone", kTargetHosts / kZones,
                    kProcessorLimit};
const Series kMaintenance{"holder: maintenance of a zone, once a second",
                          "ms/s", "hosts of the zone", kTargetHosts / kZones,
                          kProcessorLimit};
const Series kListBytes{"holder: whole host list, once a takeover", "kB",
                        "hosts", kTargetHosts, 0};
const Series kListParse{"holder: parse of the whole host list", "ms", "hosts",
                        kTargetHosts, 0};
const Series kPayload{"gateway: demand summary of busy services", "bytes",
                      "services", kTargetPools, kPayloadLimit};

demand::Summary MakeDemand(int services) {
  demand::Summary summary;
  for (int i = 0; i < services; ++i) {
    summary.services[{"service-" + std::to_string(i)}] = {123.4, 0.0, 2.0, 5.5};
  }
  return summary;
}

demand::ServiceIndexes IndexesOf(const demand::Summary& summary) {
  std::vector<core::ServiceName> names;
  for (const auto& [name, load] : summary.services) {
    names.push_back(name);
  }
  return {{demand::MakeServiceIndex(std::move(names))}, {1}};
}

/// Bytes of the summary of overloaded services: within the bound if all fit.
std::size_t SummaryBytes(int services) {
  demand::Summary summary;
  for (int i = 0; i < services; ++i) {
    summary.services[{"service-" + std::to_string(i)}] = {1234.5 + i, 321.0 + i,
                                                          54.3 + i, 678.0 + i};
  }
  const demand::ServiceIndexes indexes = IndexesOf(summary);
  const std::string payload = demand::EncodeSummary(
      summary, indexes.known.front(), membership::kMaxPayloadBytes);
  const auto decoded = demand::DecodeSummary(payload, indexes);
  const bool whole =
      decoded && decoded->services.size() == summary.services.size();
  return whole ? payload.size()
               : demand::EncodeSummary(summary, indexes.known.front(), kNoBound)
                     .size();
}

/// What a lease holder sees of a fleet at rest.
controller::Observations Observe(const state::FleetState& state, int pools,
                                 core::MonotonicTime now) {
  controller::Observations seen;
  seen.lease = core::Epoch{1};
  seen.log_read_at = now;
  seen.listed.emplace();
  for (const auto& [id, host] : state.hosts) {
    (*seen.listed)[id] = {id,         host.zone,    host.rack,
                          host.shape, host.address, false};
    if (host.zone == ZoneAt(0)) {
      seen.reports[id] = {true,   host.pool, host.generation, false, 1,
                          "boot", now};
    }
  }
  for (int i = 0; i < kGateways; ++i) {
    seen.gateways.push_back({{"gateway-" + std::to_string(i)},
                             ZoneAt(i),
                             state.next,
                             false,
                             MakeDemand(pools)});
  }
  return seen;
}

/// Runs steps at a distance in virtual time.
double StepMillis(const state::FleetState& state,
                  controller::Observations& seen, core::Millis distance) {
  controller::StepMemory memory;
  core::MonotonicTime now = seen.log_read_at + std::chrono::seconds(1);
  const core::WallTime wall = core::WallNow();
  const auto step = [&] {
    seen.log_read_at = now;
    (void)controller::Step({state, seen, ZoneAt(0), now, wall}, memory);
    now += distance;
  };
  step();
  return MedianMillis(step);
}

void MeasureStep(const Size& size) {
  const state::FleetState state =
      MakeState(size.hosts, size.pools, core::WallNow());
  controller::Observations seen =
      Observe(state, size.pools, core::MonotonicNow());
  PrintPoint(kPlan, size.hosts,
             StepMillis(state, seen, std::chrono::seconds(1)));
  // All steps fall into the second after the first plan.
  PrintPoint(kPlain, size.hosts,
             (kStepsPerSecond - 1) * StepMillis(state, seen, core::Millis{10}));
  seen.lease.reset();
  PrintPoint(kIdle, size.hosts,
             kStepsPerSecond *
                 StepMillis(state, seen, std::chrono::milliseconds(200)));
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

void MeasureParts(const Size& size) {
  const core::WallTime wall = core::WallNow();
  const state::FleetState state = MakeState(size.hosts, size.pools, wall);
  const text::OperatorText& text = *state.text.parsed;
  sizing::SizingInput input = MakeSizing(state, size.pools);
  sizing::SizingState memory;
  sizing::Sizes sizes;
  PrintPoint(kSizing, size.pools, MedianMillis([&] {
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
             MedianMillis([&] { (void)moves::DecideMoves(moves); }));
  maintenance.hosts = moves.hosts;
  maintenance.budgets = maintenance::BudgetsOf(text, sizes, ZoneAt(0));
  maintenance.plan = text.maintenance;
  maintenance.now = wall;
  maintenance.epoch_start = wall;
  PrintPoint(kMaintenance, in_zone, MedianMillis([&] {
               (void)maintenance::DecideMaintenance(maintenance);
             }));
}

void MeasureList(int hosts) {
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
  PrintPoint(kListBytes, hosts, static_cast<double>(body.size()) / kKilo);
  PrintPoint(kListParse, hosts,
             MedianMillis([&] { (void)controller::ParseHostList(body); }));
}

}  // namespace

void MeasureControl() {
  for (const Size& size : kSizes) {
    MeasureStep(size);
    MeasureParts(size);
    MeasureList(size.hosts);
    PrintPoint(kPayload, size.pools,
               static_cast<double>(SummaryBytes(size.pools)));
  }
}

}  // namespace camphormux::bench
