#include "camphormux/routing/endpoint_health.hpp"

#include <algorithm>
#include <set>

namespace camphormux::routing {
namespace internal {

/// Weight of a new sample in the moving average of the latency.
constexpr double kLatencyWeight = 0.2;
/// Responses received at the concurrency limit that raise it by one slot. A
/// lower number makes more attempts end in a `slots` refusal, and each refusal
/// costs a retry from a budget of 10%.
constexpr double kAnswersPerLimitIncrease = 32.0;
constexpr double kMinConcurrencyLimit = 1.0;

/// Returns `first` doubled `times` times, but at most `longest`.
core::Millis DoubledDelay(core::Millis first, core::Millis longest, int times) {
  core::Millis value = first;
  for (int i = 0; i < times && value < longest; ++i) {
    value *= 2;
  }
  return std::min(value, longest);
}

EndpointHealth InitialHealth(const Endpoint& endpoint, int slots,
                             const Limits& limits, core::MonotonicTime now) {
  EndpointHealth health;
  health.generation = endpoint.generation;
  health.phase_offset = endpoint.phase_offset;
  health.admitted_at = now;
  health.concurrency_limit =
      std::max(kMinConcurrencyLimit,
               static_cast<double>(std::min(slots, limits.connection_share)));
  return health;
}

void Eject(EndpointHealth& health, const Limits& limits,
           core::MonotonicTime now) {
  health.ejected_until =
      now + DoubledDelay(limits.first_ejection, limits.longest_ejection,
                         health.ejections);
  ++health.ejections;
  health.probing = false;
  health.consecutive_failures = 0;
}

void OnServed(EndpointHealth& health, const AttemptReport& report,
              const Limits& limits, core::MonotonicTime now) {
  const auto sample = static_cast<double>(report.latency.count());
  health.latency_ms =
      health.latency_ms == 0.0
          ? sample
          : health.latency_ms + kLatencyWeight * (sample - health.latency_ms);
  health.consecutive_failures = 0;
  health.consecutive_refusals = 0;
  if (health.probing) {
    health.probing = false;
    health.ejected_until.reset();
    health.ejections = 0;
    health.admitted_at = now;
  }
  // `outstanding` no longer includes the attempt that ended, hence the `+ 1`.
  if (health.outstanding + 1 >= static_cast<int>(health.concurrency_limit)) {
    health.concurrency_limit =
        std::min(health.concurrency_limit + 1.0 / kAnswersPerLimitIncrease,
                 static_cast<double>(limits.connection_share));
  }
}

void OnSlotsRefusal(EndpointHealth& health, const Limits& limits,
                    core::MonotonicTime now, core::Random& random) {
  health.concurrency_limit = std::max(
      kMinConcurrencyLimit, std::min(health.concurrency_limit,
                                     static_cast<double>(health.outstanding)));
  const core::Millis hold_off =
      DoubledDelay(limits.first_hold_off, limits.longest_hold_off,
                   health.consecutive_refusals);
  health.hold_off_until = now + hold_off + core::Jitter(random, hold_off);
  ++health.consecutive_refusals;
  // The endpoint responded, so a probe counts as passed.
  if (health.probing) {
    health.probing = false;
    health.ejected_until.reset();
    health.ejections = 0;
  }
}

void OnFailure(EndpointHealth& health, bool may_eject, const Limits& limits,
               core::MonotonicTime now) {
  ++health.consecutive_failures;
  const bool outlier = !health.ejected_until && may_eject &&
                       health.consecutive_failures >= limits.failures_to_eject;
  if (health.probing || outlier) {
    Eject(health, limits, now);
  }
}

void OnClose(EndpointHealth& health, bool below_cap, const Limits& limits,
             core::MonotonicTime now) {
  if (health.doubted_leaving) {
    health.listed_leaving = true;
  } else if (health.ejected_until || below_cap) {
    health.ejected_until = std::max(health.ejected_until.value_or(now),
                                    now + limits.connection_close_ejection);
    health.probing = false;
  }
}

}  // namespace internal

void ApplyLeaving(PoolHealth& pool, const LeavingHosts& hosts) {
  for (auto& [host, health] : pool.endpoints) {
    health.doubted_leaving = hosts.doubted.contains(host);
    // A doubted host whose leaving was confirmed stays excluded as long as it
    // is listed.
    health.listed_leaving = hosts.trusted.contains(host) ||
                            (health.listed_leaving && health.doubted_leaving);
  }
}

void Reconcile(PoolHealth& pool, const RouteTable& table, const Limits& limits,
               core::MonotonicTime now) {
  // Slow start protects a new endpoint among warmed-up ones. When a thread
  // starts, all endpoints are new to it, so they skip slow start.
  const core::MonotonicTime admitted =
      pool.endpoints.empty() ? now - limits.slow_start : now;
  std::set<core::HostId> listed;
  for (const auto& [name, routes] : table.services) {
    for (const Endpoint& endpoint : routes.endpoints) {
      listed.insert(endpoint.host);
      const auto initial = internal::InitialHealth(
          endpoint, routes.service.slots_per_host, limits, admitted);
      const auto [found, added] =
          pool.endpoints.try_emplace(endpoint.host, initial);
      EndpointHealth& health = found->second;
      if (added || (health.generation == endpoint.generation &&
                    health.phase_offset == endpoint.phase_offset)) {
        continue;
      }
      const int outstanding = health.outstanding;
      health = initial;
      health.outstanding = outstanding;
    }
  }
  std::erase_if(pool.endpoints, [&](const auto& item) {
    return item.second.outstanding == 0 && !listed.contains(item.first);
  });
}

void OnStart(PoolHealth& pool, const core::HostId& host) {
  EndpointHealth& health = pool.endpoints[host];
  ++health.outstanding;
  if (health.ejected_until) {
    health.probing = true;
  }
}

void OnFinish(PoolHealth& pool, const AttemptReport& report,
              const ServiceRoutes& routes, const Limits& limits,
              core::MonotonicTime now, core::Random& random) {
  const auto found = pool.endpoints.find(report.host);
  if (found == pool.endpoints.end()) {
    return;
  }
  EndpointHealth& health = found->second;
  --health.outstanding;
  if (health.generation != report.generation) {
    return;  // The attempt ran under an earlier assignment.
  }
  const auto below_cap = [&] {
    return CountEjected(pool, routes) < EjectionCap(routes.endpoints.size());
  };
  switch (report.outcome) {
    case AttemptOutcome::kServed:
      internal::OnServed(health, report, limits, now);
      break;
    case AttemptOutcome::kFailed:
      internal::OnFailure(health, below_cap(), limits, now);
      break;
    case AttemptOutcome::kRefusedSlots:
      internal::OnSlotsRefusal(health, limits, now, random);
      break;
    case AttemptOutcome::kRefusedDraining:
      health.refused_as_draining = true;
      break;
    case AttemptOutcome::kRefusedMisdirected:
      health.hold_off_until = now + limits.misdirected_hold_off;
      health.probing = false;
      break;
    case AttemptOutcome::kCancelled:
      health.probing = false;
      break;
  }
  if (report.connection_closed && !health.refused_as_draining) {
    internal::OnClose(health, below_cap(), limits, now);
  }
}

int CountEjected(const PoolHealth& pool, const ServiceRoutes& routes) {
  return static_cast<int>(
      std::count_if(routes.endpoints.begin(), routes.endpoints.end(),
                    [&](const Endpoint& endpoint) {
                      const auto found = pool.endpoints.find(endpoint.host);
                      return found != pool.endpoints.end() &&
                             found->second.ejected_until.has_value();
                    }));
}

}  // namespace camphormux::routing
