#include "camphormux/controller/host_list.hpp"

#include <algorithm>

namespace camphormux::controller {
namespace internal {

bool IsReportedUnknown(const StepInput& input, const core::HostId& host) {
  const auto report = input.observed.reports.find(host);
  return report != input.observed.reports.end() && !report->second.known;
}

bool AttributesDiffer(const state::Host& host, const ListedHost& listed) {
  return host.rack != listed.rack || host.shape != listed.shape ||
         host.address != listed.address;
}

}  // namespace internal

std::vector<core::HostId> MissingHosts(const StepInput& input) {
  std::vector<core::HostId> missing;
  for (const auto& [id, host] : input.state.hosts) {
    if (host.zone == input.zone && !input.observed.listed->contains(id)) {
      missing.push_back(id);
    }
  }
  return missing;
}

bool IsListDoubtful(const StepInput& input,
                    const std::vector<core::HostId>& missing) {
  const auto in_zone = std::count_if(
      input.state.hosts.begin(), input.state.hosts.end(),
      [&](const auto& item) { return item.second.zone == input.zone; });
  const auto unexplained = std::count_if(
      missing.begin(), missing.end(), [&](const core::HostId& id) {
        return !internal::IsReportedUnknown(input, id);
      });
  return static_cast<double>(unexplained) >
         kMaxMissingShare * static_cast<double>(in_zone);
}

void ReconcileHosts(const StepInput& input,
                    const std::vector<core::HostId>& missing,
                    StepResult& result) {
  const core::Epoch epoch = *input.observed.lease;
  for (const auto& [id, listed] : *input.observed.listed) {
    if (listed.zone != input.zone) {
      continue;
    }
    const auto known = input.state.hosts.find(listed.id);
    if (known == input.state.hosts.end() ||
        internal::AttributesDiffer(known->second, listed)) {
      result.records.emplace_back(state::HostAdded{input.zone, epoch, listed.id,
                                                   listed.rack, listed.shape,
                                                   listed.address});
      // A host that joins is freshly installed, so its maintenance period
      // starts now.
      if (known == input.state.hosts.end() &&
          !input.state.maintenance.contains(listed.id)) {
        result.records.emplace_back(
            state::MaintenanceDone{input.zone, epoch, listed.id, input.wall});
      }
    }
  }
  for (const core::HostId& id : missing) {
    if (internal::IsReportedUnknown(input, id)) {
      result.records.emplace_back(state::HostRemoved{input.zone, epoch, id});
    }
  }
}

bool IsListedAndStaying(const StepInput& input, const core::HostId& host) {
  const auto found = input.observed.listed->find(host);
  return found != input.observed.listed->end() && !found->second.leaving;
}

bool IsLeaving(const StepInput& input, const core::HostId& host) {
  const auto found = input.observed.listed->find(host);
  return found != input.observed.listed->end() && found->second.leaving;
}

}  // namespace camphormux::controller
