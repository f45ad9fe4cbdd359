#include "camphormux/sizing/sizing.hpp"

#include <algorithm>
#include <cmath>
#include <set>

#include "camphormux/sizing/zones.hpp"

namespace camphormux::sizing {
namespace internal {

/// Planned utilisation of a host's slots when only idle hosts have weight (min)
/// and when only moves have weight (max): headroom costs a move at each surge.
constexpr double kMinPlannedUse = 0.90;
constexpr double kMaxPlannedUse = 0.98;
/// A size is raised when demand exceeds this share of its slots. The gap to the
/// planned utilisation prevents noise from raising it.
constexpr double kScaleUpUse = 1.02;
/// Time in which a backlog should be worked off when only roll-out time has
/// weight. A shorter time costs more in moves than it saves in lost demand.
constexpr core::Millis kMinBacklogTime = std::chrono::seconds(9);
constexpr core::Millis kMaxBacklogTime = std::chrono::minutes(5);
/// Weight of a new sample in exponential smoothing (about 10 samples).
constexpr double kSmoothing = 0.1;
/// Demand above this multiple of a surge's mean level counts as a rise; less is
/// noise.
constexpr double kRiseRatio = 1.15;
/// Number of samples in the leading edge of a surge.
constexpr int kLeadingEdgeSamples = 3;
/// Demand above this multiple of the calm level starts a surge.
constexpr double kSurgeRatio = 2.0;
/// A surge ends when demand falls below this share of its peak.
constexpr double kSurgeEndShare = 0.5;
/// On the leading edge of a surge, sizes plan for the remembered peak once
/// demand exceeds this share of it.
constexpr double kPeakShare = 0.3;
/// Expected further rise of a first surge, as a share of the rise in the last
/// second.
constexpr double kGrowthShare = 0.5;
/// Share of the remembered peak for which hosts are prepared before an expected
/// surge; the rest is added while queues fill.
constexpr double kPreparedShare = 0.5;
/// A recurring surge is expected from this long before its mean time.
constexpr core::Millis kSurgeLeadTime = std::chrono::seconds(15);
/// It stays expected for this fraction (1/n) of its interval after that time.
constexpr int kOverdueDivisor = 4;
/// Demand that stays high for longer becomes the new calm level; otherwise
/// maintenance would wait for the surge to end.
constexpr core::Millis kMaxSurgeDuration = std::chrono::minutes(10);
/// Share of the remembered peak that is kept after a smaller surge.
constexpr double kPeakDecay = 0.8;
/// Minimum time for which a raised needed size is held.
constexpr core::Millis kNeededHold = std::chrono::seconds(1);
/// Hold time when moves and idle hosts have the same weight.
constexpr core::Millis kBaseHold = std::chrono::seconds(30);
constexpr core::Millis kMinHold = std::chrono::seconds(5);
constexpr core::Millis kMaxHold = std::chrono::minutes(30);
/// Older usage reports are not used to estimate the service time.
constexpr core::Millis kMaxReportAge = std::chrono::seconds(30);
constexpr double kDefaultServiceTimeSeconds = 0.1;
using Rates = std::map<core::ServiceName, double>;

DemandSample SampleOf(const SizingInput& input, const core::ServiceName& name) {
  const auto found = input.demand.find(name);
  return found == input.demand.end() ? DemandSample{} : found->second;
}

/// Calls per second that the services of the operator text make to each
/// service, computed from the observed arrivals of the calling services.
Rates CallRates(const SizingInput& input) {
  Rates calls;
  for (const auto& [name, service] : input.text->services) {
    const double arrivals = SampleOf(input, name).arrivals_per_s;
    for (const text::Dependency& dependency : service.depends_on) {
      calls[dependency.service] += arrivals * dependency.calls_per_request;
    }
  }
  return calls;
}

double Smooth(double old_value, double sample, double weight = kSmoothing) {
  return old_value + weight * (sample - old_value);
}

/// Updates the estimated service time from a usage report and the start rate at
/// the time of the report. Reports under overload are not used, as the running
/// requests then do not reflect the demand.
void UpdateServiceTime(const DemandSample& sample, core::MonotonicTime now,
                       ServiceMemory& memory) {
  const bool calm = sample.queued < 1.0 && sample.refused_per_s <= 0.0;
  memory.history.push_back(
      {now, sample.arrivals_per_s - sample.refused_per_s, calm});
  while (memory.history.front().time + kMaxReportAge < now) {
    memory.history.pop_front();
  }
  const core::MonotonicTime reported = now - sample.report_age;
  const auto rate_at_report = std::find_if(
      memory.history.begin(), memory.history.end(),
      [reported](const StartedRate& rate) { return rate.time >= reported; });
  const bool usable = rate_at_report != memory.history.end() &&
                      rate_at_report->calm && rate_at_report->per_s >= 1.0 &&
                      sample.running > 0.0;
  if (!usable) {
    return;
  }
  // Smooths both terms of the ratio instead of the ratio: a first sample of few
  // requests may be far off and would distort a smoothed ratio for many
  // samples.
  ++memory.calm_samples;
  const double weight = std::max(kSmoothing, 1.0 / memory.calm_samples);
  memory.calm_running = Smooth(memory.calm_running, sample.running, weight);
  memory.calm_per_s = Smooth(memory.calm_per_s, rate_at_report->per_s, weight);
  memory.service_time_s = memory.calm_running / memory.calm_per_s;
}

double ServiceTimeOrDefault(const ServiceMemory& memory) {
  return memory.service_time_s > 0.0 ? memory.service_time_s
                                     : kDefaultServiceTimeSeconds;
}

/// Slots that arrivals, running requests and the backlog fill.
double DemandSlots(const DemandSample& sample, double arrivals,
                   double service_time_s, core::Millis backlog_time) {
  const double age_s = static_cast<double>(sample.report_age.count()) / 1000.0;
  // Requests shorter than the report's age have ended since. The arrivals of
  // this step then reflect the running requests sooner than the mean since the
  // report.
  const double running =
      service_time_s < age_s ? 0.0 : RunningNow(sample, service_time_s);
  const double steady = std::max(arrivals * service_time_s, running);
  const double backlog_s = static_cast<double>(backlog_time.count()) / 1000.0;
  return steady + sample.queued * service_time_s / backlog_s;
}

void StartSurge(core::MonotonicTime now, ServiceMemory& memory) {
  if (memory.surge_start) {
    const core::Millis interval = now - *memory.surge_start;
    memory.surge_interval = memory.surge_interval.count() == 0
                                ? interval
                                : (memory.surge_interval + interval) / 2;
  }
  memory.surge_start = now;
  memory.surging = true;
  memory.surge_samples = 0;
  memory.surge_level_slots = 0.0;
}

void EndSurge(ServiceMemory& memory) {
  memory.surging = false;
  memory.peak_slots =
      std::max(memory.surge_level_slots, memory.peak_slots * kPeakDecay);
}

/// Averages the surge's demand; a rise above noise restarts the average.
void UpdateSurgeLevel(double slots, ServiceMemory& memory) {
  if (slots > kRiseRatio * memory.surge_level_slots) {
    memory.surge_level_slots = slots;
    memory.surge_samples = 1;
    return;
  }
  ++memory.surge_samples;
  const double weight = std::max(kSmoothing, 1.0 / memory.surge_samples);
  memory.surge_level_slots = Smooth(memory.surge_level_slots, slots, weight);
}

/// Slots to plan for during a surge: on the leading edge the extrapolated rise
/// or the peak of earlier surges, later the average.
double PlanSurge(double slots, ServiceMemory& memory) {
  const double growth = std::max(0.0, slots - memory.previous_slots);
  UpdateSurgeLevel(slots, memory);
  if (memory.surge_samples > kLeadingEdgeSamples) {
    return memory.surge_level_slots;
  }
  if (memory.peak_slots <= 0.0) {
    return slots + kGrowthShare * growth;
  }
  // Within kRiseRatio of the known peak, samples above it are noise that does
  // not justify a move.
  const bool near_peak = slots > kPeakShare * memory.peak_slots &&
                         slots < kRiseRatio * memory.peak_slots;
  return near_peak ? memory.peak_slots : slots;
}

/// Detects surges of a service's own demand, without the calls of other
/// services, and returns the slots to plan for.
double PlanSlots(double slots, int slots_per_host, core::MonotonicTime now,
                 ServiceMemory& memory) {
  const bool known = memory.calm_slots > 0.0;
  // With small demand, a rise of less than a host is noise. If it counted as a
  // surge, its peak would be used to plan the leading edge of a real surge.
  const bool rise = known && slots > kSurgeRatio * memory.calm_slots &&
                    slots > memory.calm_slots + slots_per_host;
  const bool fallen = slots < kSurgeEndShare * memory.surge_level_slots;
  const bool lasting =
      memory.surging && now - *memory.surge_start > kMaxSurgeDuration;
  if (!memory.surging && rise) {
    StartSurge(now, memory);
  } else if (memory.surging && fallen) {
    EndSurge(memory);
  } else if (lasting) {
    memory.calm_slots = memory.surge_level_slots;
    EndSurge(memory);
  }
  double planned = slots;
  if (memory.surging) {
    planned = PlanSurge(slots, memory);
  } else {
    memory.calm_slots =
        memory.calm_slots <= 0.0 ? slots : Smooth(memory.calm_slots, slots);
  }
  memory.previous_slots = slots;
  return planned;
}

int HostsFor(double slots, int slots_per_host, double use) {
  return static_cast<int>(std::ceil(slots / (slots_per_host * use)));
}

/// Raises a held size immediately; lowers it to the highest target of the last
/// one to two hold times.
int HoldSize(int target, core::MonotonicTime now, core::Millis hold,
             HeldSize& held) {
  if (now >= held.window_end) {
    held.previous_peak = now >= held.window_end + hold ? 0 : held.peak;
    held.peak = 0;
    held.window_end = now + hold;
  }
  held.peak = std::max(held.peak, target);
  return std::max(held.peak, held.previous_peak);
}

SizeConstraint ConstraintOf(const SizeReason& reason, const TotalSize& total,
                            int min_hosts) {
  if (total.needed <= min_hosts) {
    return SizeConstraint::kMinHosts;
  }
  if (total.needed > reason.demand_hosts) {
    return SizeConstraint::kHold;
  }
  if (reason.planned_slots > reason.demand_slots) {
    return SizeConstraint::kLeadingEdge;
  }
  return reason.from_callers_per_s > reason.arrivals_per_s
             ? SizeConstraint::kDependencies
             : SizeConstraint::kDemand;
}

TotalSize HoldTotals(const SizeReason& reason, int min_hosts,
                     core::MonotonicTime now, ServiceMemory& memory) {
  const int scale_up_hosts =
      HostsFor(reason.planned_slots, reason.slots_per_host, kScaleUpUse);
  const bool within_band = scale_up_hosts <= memory.needed_hosts;
  const int target = within_band
                         ? std::min(reason.demand_hosts, memory.needed_hosts)
                         : reason.demand_hosts;
  memory.needed_hosts =
      HoldSize(std::max(target, min_hosts), now, kNeededHold, memory.needed);
  const int wanted =
      HoldSize(memory.needed_hosts, now, reason.hold, memory.wanted);
  return {memory.needed_hosts, wanted};
}

std::optional<core::Millis> UntilNextSurge(const ServiceMemory& memory,
                                           core::MonotonicTime now) {
  if (memory.surge_interval.count() == 0 || !memory.surge_start) {
    return std::nullopt;
  }
  return std::max(core::Millis{0},
                  *memory.surge_start + memory.surge_interval - now);
}

/// Hosts for a surge that is about to recur; 0 if none is. Hosts are prepared
/// only if the hold time covers the surge interval, as they would then sit idle
/// in some pool anyway.
int ExpectedHosts(const SizeReason& reason, double planned_use,
                  const ServiceMemory& memory, core::MonotonicTime now) {
  const bool recurs = !memory.surging && memory.surge_interval.count() > 0 &&
                      memory.surge_interval <= reason.hold;
  if (!recurs) {
    return 0;
  }
  const core::MonotonicTime next = *memory.surge_start + memory.surge_interval;
  const bool near = now + kSurgeLeadTime >= next &&
                    now <= next + memory.surge_interval / kOverdueDivisor;
  return near ? HostsFor(kPreparedShare * memory.peak_slots,
                         reason.slots_per_host, planned_use)
              : 0;
}

/// Sizes one service over all zones and fills in its reason.
TotalSize SizeService(const SizingInput& input, const text::Service& service,
                      double calls, ServiceMemory& memory, ServiceSize& size) {
  const DemandSample sample = SampleOf(input, service.name);
  UpdateServiceTime(sample, input.now, memory);
  // The calls derived from the calling services show their surge before the
  // calls arrive; the other arrivals are added at their calm level.
  const double arrivals = std::max(
      sample.arrivals_per_s, calls > 0.0 ? memory.external_per_s + calls : 0.0);
  if (!memory.surging) {
    const double external = std::max(0.0, sample.arrivals_per_s - calls);
    memory.external_per_s = Smooth(memory.external_per_s, external);
  }
  SizeReason& reason = size.reason;
  reason.arrivals_per_s = sample.arrivals_per_s;
  reason.from_callers_per_s = calls;
  reason.service_time_s = ServiceTimeOrDefault(memory);
  reason.demand_slots = DemandSlots(sample, arrivals, reason.service_time_s,
                                    BacklogTime(input.text->policy));
  // Calls are planned without surge prediction, as the surge that causes them
  // is that of the calling service.
  const double own_slots =
      std::max(0.0, sample.arrivals_per_s - calls) * reason.service_time_s;
  reason.planned_slots =
      std::max(0.0, reason.demand_slots - own_slots) +
      PlanSlots(own_slots, service.slots_per_host, input.now, memory);
  reason.slots_per_host = service.slots_per_host;
  reason.demand_hosts = HostsFor(reason.planned_slots, service.slots_per_host,
                                 PlannedUse(input.text->policy));
  reason.hold = HoldTime(input.text->policy);
  TotalSize total = HoldTotals(reason, service.min_hosts, input.now, memory);
  total.expected =
      ExpectedHosts(reason, PlannedUse(input.text->policy), memory, input.now);
  reason.constraint = ConstraintOf(reason, total, service.min_hosts);
  size.surging = memory.surging;
  size.until_next_surge = UntilNextSurge(memory, input.now);
  return total;
}

void MarkReduced(Sizes& sizes) {
  for (auto& [name, size] : sizes.services) {
    for (const auto& [zone, zone_size] : size.zones) {
      if (zone_size.reduced) {
        size.reason.constraint = SizeConstraint::kFleet;
      }
    }
  }
}

}  // namespace internal

core::Millis HoldTime(const text::Policy& policy) {
  constexpr double kSmallestWeight = 0.001;
  const double ratio = std::max(policy.moves_weight, kSmallestWeight) /
                       std::max(policy.buffer_weight, kSmallestWeight);
  const double hold = static_cast<double>(internal::kBaseHold.count()) * ratio;
  return core::Millis{static_cast<core::Millis::rep>(
      std::clamp(hold, static_cast<double>(internal::kMinHold.count()),
                 static_cast<double>(internal::kMaxHold.count())))};
}

core::Millis BacklogTime(const text::Policy& policy) {
  const double sum =
      policy.moves_weight + policy.buffer_weight + policy.rollout_weight;
  const double longest = static_cast<double>(internal::kMaxBacklogTime.count());
  const double shortest =
      static_cast<double>(internal::kMinBacklogTime.count());
  const double time = policy.rollout_weight > 0.0
                          ? shortest * sum / policy.rollout_weight
                          : longest;
  return core::Millis{static_cast<core::Millis::rep>(std::min(time, longest))};
}

double PlannedUse(const text::Policy& policy) {
  const double sum = policy.moves_weight + policy.buffer_weight;
  const double moves_share = sum > 0.0 ? policy.moves_weight / sum : 0.5;
  return internal::kMinPlannedUse +
         (internal::kMaxPlannedUse - internal::kMinPlannedUse) * moves_share;
}

double RunningNow(const DemandSample& sample, double service_time_s) {
  const double age_s = static_cast<double>(sample.report_age.count()) / 1000.0;
  if (age_s <= 0.0) {
    return sample.running + sample.started_since_report;
  }
  const double still = std::max(0.0, 1.0 - age_s / service_time_s);
  const double started = std::min(1.0, service_time_s / age_s);
  return sample.running * still + sample.started_since_report * started;
}

Sizes DecideSizes(SizingState& state, const SizingInput& input) {
  Sizes sizes;
  std::map<core::ServiceName, internal::TotalSize> totals;
  const internal::Rates calls = internal::CallRates(input);
  std::erase_if(state.services, [&](const auto& entry) {
    return !input.text->services.contains(entry.first);
  });
  for (const auto& [name, service] : input.text->services) {
    ServiceSize& size = sizes.services[name];
    size.service = name;
    size.pool = service.pool;
    const auto found = calls.find(name);
    totals[name] = internal::SizeService(
        input, service, found == calls.end() ? 0.0 : found->second,
        state.services[name], size);
  }
  internal::DivideOverZones(input, totals, sizes);
  internal::MarkReduced(sizes);
  return sizes;
}

Sizes ProportionalSizes(const SizingInput& input, double service_time_s,
                        double planned_use) {
  Sizes sizes;
  std::map<core::ServiceName, internal::TotalSize> totals;
  for (const auto& [name, service] : input.text->services) {
    ServiceSize& size = sizes.services[name];
    size.service = name;
    size.pool = service.pool;
    const double arrivals = internal::SampleOf(input, name).arrivals_per_s;
    const int hosts =
        std::max(service.min_hosts,
                 internal::HostsFor(arrivals * service_time_s,
                                    service.slots_per_host, planned_use));
    totals[name] = {hosts, hosts};
  }
  internal::DivideOverZones(input, totals, sizes);
  return sizes;
}

}  // namespace camphormux::sizing
