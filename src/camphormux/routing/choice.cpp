#include "camphormux/routing/choice.hpp"

#include <algorithm>
#include <vector>

namespace camphormux::routing {
namespace internal {

/// Latency assumed for an endpoint that has not answered yet, so that a new
/// endpoint is tried but not preferred over fast ones.
constexpr double kAssumedLatencyMs = 5.0;
/// Share of the concurrency limit and of the traffic that an endpoint gets when
/// slow start begins.
constexpr double kMinSlowStartFactor = 0.1;

struct Candidate {
  const Endpoint* endpoint;
  const EndpointHealth* health;
};

/// Rises linearly from `kMinSlowStartFactor` to 1 over `Limits::slow_start`.
double SlowStartFactor(const EndpointHealth& health, const Limits& limits,
                       core::MonotonicTime now) {
  const core::Millis age = now - health.admitted_at;
  if (age >= limits.slow_start) {
    return 1.0;
  }
  return std::max(kMinSlowStartFactor,
                  static_cast<double>(age.count()) /
                      static_cast<double>(limits.slow_start.count()));
}

const Endpoint* ChooseByPowerOfTwo(const std::vector<Candidate>& candidates,
                                   const Limits& limits,
                                   core::MonotonicTime now,
                                   core::Random& random) {
  const std::size_t first = core::UniformBelow(random, candidates.size());
  if (candidates.size() == 1) {
    return candidates[first].endpoint;
  }
  std::size_t second = core::UniformBelow(random, candidates.size() - 1);
  second += second >= first ? 1 : 0;
  const double first_cost = Cost(*candidates[first].health, limits, now);
  const double second_cost = Cost(*candidates[second].health, limits, now);
  return candidates[first_cost <= second_cost ? first : second].endpoint;
}

}  // namespace internal

int EffectiveLimit(const EndpointHealth& health, const Limits& limits,
                   core::MonotonicTime now) {
  const double limit =
      health.concurrency_limit * internal::SlowStartFactor(health, limits, now);
  return std::clamp(static_cast<int>(limit), 1, limits.connection_share);
}

double Cost(const EndpointHealth& health, const Limits& limits,
            core::MonotonicTime now) {
  const double latency = health.latency_ms == 0.0 ? internal::kAssumedLatencyMs
                                                  : health.latency_ms;
  return (health.outstanding + 1) * latency /
         internal::SlowStartFactor(health, limits, now);
}

bool IsEligible(const EndpointHealth& health, const Query& query,
                const Limits& limits) {
  if (health.refused_as_draining || health.listed_leaving ||
      query.now < health.hold_off_until) {
    return false;
  }
  if (health.ejected_until) {
    return query.may_probe && !health.probing && health.outstanding == 0 &&
           query.now >= *health.ejected_until;
  }
  return health.outstanding < EffectiveLimit(health, limits, query.now);
}

core::Result<const Endpoint*, ChoiceFailure> Choose(const ServiceRoutes& routes,
                                                    const PoolHealth& pool,
                                                    const Query& query,
                                                    const Limits& limits,
                                                    core::Random& random) {
  std::vector<internal::Candidate> near;
  std::vector<internal::Candidate> far;
  bool may_become_free = false;
  for (const Endpoint& endpoint : routes.endpoints) {
    const bool own = endpoint.zone == query.own_zone;
    const auto found = pool.endpoints.find(endpoint.host);
    if ((!own && query.own_zone_only) || found == pool.endpoints.end()) {
      continue;
    }
    may_become_free = may_become_free || !(found->second.refused_as_draining ||
                                           found->second.listed_leaving);
    if (query.previous != endpoint.host &&
        IsEligible(found->second, query, limits)) {
      (own ? near : far).push_back({&endpoint, &found->second});
    }
  }
  const auto& candidates = near.empty() ? far : near;
  if (candidates.empty()) {
    return may_become_free ? ChoiceFailure::kAllBusy
                           : ChoiceFailure::kNoEndpoint;
  }
  return internal::ChooseByPowerOfTwo(candidates, limits, query.now, random);
}

}  // namespace camphormux::routing
