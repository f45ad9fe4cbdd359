#include "test/endpoint_standin/host.hpp"

#include <array>
#include <utility>

namespace camphormux::endpoint_standin {

std::string_view Describe(Refusal refusal) {
  switch (refusal) {
    case Refusal::kSlots:
      return "slots";
    case Refusal::kDraining:
      return "draining";
    case Refusal::kMisdirected:
      return "misdirected";
  }
  return "misdirected";
}

std::optional<Refusal> CheckAdmission(
    const Host& host, const core::ServiceName& service,
    std::optional<core::Generation> generation) {
  if (host.service.value.empty() || host.service != service || !generation ||
      *generation != host.generation) {
    return Refusal::kMisdirected;
  }
  if (host.draining) {
    return Refusal::kDraining;
  }
  if (host.running >= kSlots) {
    return Refusal::kSlots;
  }
  return std::nullopt;
}

void CountRefusal(Host& host, Refusal refusal) {
  switch (refusal) {
    case Refusal::kSlots:
      ++host.counts.refused_slots;
      break;
    case Refusal::kDraining:
      ++host.counts.refused_draining;
      break;
    case Refusal::kMisdirected:
      ++host.counts.refused_misdirected;
      break;
  }
}

bool Assign(Host& host, const core::ServiceName& service,
            core::Generation generation) {
  if (generation == host.generation) {
    return service == host.service;
  }
  if (generation < host.generation) {
    return false;
  }
  host.service = service;
  host.generation = generation;
  host.draining = false;
  return true;
}

bool Drain(Host& host, core::Generation generation) {
  if (generation < host.generation) {
    return false;
  }
  host.draining = true;
  return true;
}

bool BeginReboot(Host& host, const std::string& maintenance_id) {
  if (host.last_maintenance == maintenance_id) {
    return false;
  }
  host.last_maintenance = maintenance_id;
  host.rebooting = true;
  return true;
}

void EndReboot(Host& host) {
  host.rebooting = false;
  ++host.boot_id;
}

std::optional<FaultMode> ParseFaultMode(std::string_view name) {
  static constexpr std::array<std::pair<std::string_view, FaultMode>, 8> kModes{
      {{"none", FaultMode::kNone},
       {"slow", FaultMode::kSlow},
       {"fail", FaultMode::kFail},
       {"truncate", FaultMode::kTruncate},
       {"late", FaultMode::kLate},
       {"surplus", FaultMode::kSurplus},
       {"close", FaultMode::kClose},
       {"hang", FaultMode::kHang}}};
  for (const auto& [word, mode] : kModes) {
    if (word == name) {
      return mode;
    }
  }
  return std::nullopt;
}

FaultMode SampleFault(const Host& host, core::Random& random) {
  if (host.fault.mode == FaultMode::kNone ||
      core::UnitInterval(random) >= host.fault.probability) {
    return FaultMode::kNone;
  }
  return host.fault.mode;
}

}  // namespace camphormux::endpoint_standin
