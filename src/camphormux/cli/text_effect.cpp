#include "camphormux/cli/text_effect.hpp"

#include <algorithm>
#include <map>

namespace camphormux::cli {
namespace internal {

std::vector<const text::Service*> ByPriority(const text::OperatorText& text) {
  std::vector<const text::Service*> services;
  for (const auto& [name, service] : text.services) {
    services.push_back(&service);
  }
  std::stable_sort(services.begin(), services.end(),
                   [](const text::Service* a, const text::Service* b) {
                     return a->priority > b->priority;
                   });
  return services;
}

}  // namespace internal

TextEffect EstimateEffect(const state::FleetState& state,
                          const text::OperatorText& text) {
  std::map<core::PoolName, int> present;
  int unpooled = 0;
  for (const auto& [id, host] : state.hosts) {
    if (host.pool) {
      ++present[*host.pool];
    } else {
      ++unpooled;
    }
  }
  TextEffect effect;
  int left = static_cast<int>(state.hosts.size());
  int missing = 0;
  for (const text::Service* service : internal::ByPriority(text)) {
    const int possible = std::min(left, service->min_hosts);
    left -= possible;
    if (possible < service->min_hosts) {
      effect.shortages.push_back({service->name, service->min_hosts, possible});
    }
    missing += std::max(0, possible - present[service->pool]);
    present.erase(service->pool);
  }
  // What is left are pools that the text no longer has.
  int homeless = 0;
  for (const auto& [pool, count] : present) {
    homeless += count;
  }
  effect.moved_hosts = std::max(homeless, missing - unpooled);
  effect.moved_hosts = std::max(0, effect.moved_hosts);
  return effect;
}

}  // namespace camphormux::cli
