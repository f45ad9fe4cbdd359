#ifndef CAMPHORMUX_TEST_MEMBERSHIP_SIMULATION_HPP_
#define CAMPHORMUX_TEST_MEMBERSHIP_SIMULATION_HPP_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "camphormux/core/random.hpp"
#include "camphormux/membership/view.hpp"

namespace camphormux::membership::simulation {

/// @brief One process.
struct Process {
  View view;
  bool running = true;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t messages = 0;  ///< Sent and received.
};

/// @brief What a run counted.
struct Counts {
  std::uint64_t suspicions = 0;  ///< Of running processes.
  std::uint64_t deaths = 0;      ///< Of running processes.
};

/// @brief Processes that exchange encoded heartbeats in virtual time.
struct Fleet {
  core::Random random;
  double loss = 0.0;  ///< Of each heartbeat and each answer.
  std::vector<Process> processes;
  core::MonotonicTime now{std::chrono::hours(1)};
  Counts counts;
  /// Whether two zones can reach each other.
  std::function<bool(const core::ZoneName&, const core::ZoneName&)> connected =
      [](const auto&, const auto&) { return true; };
  std::map<core::ProcessId, std::size_t> index;
};

inline Identity MakeIdentity(std::size_t number, std::size_t zones,
                             std::uint64_t incarnation = 1) {
  return {{"gateway-" + std::to_string(100 + number)},
          state::ProcessRole::kGateway,
          {"zone-" + std::to_string(number % zones)},
          {"10.0.0." + std::to_string(number), 7000},
          {incarnation}};
}

inline Fleet MakeFleet(std::size_t processes, std::size_t zones,
                       std::size_t payload_bytes, std::uint64_t seed) {
  Fleet fleet;
  fleet.random = core::SeededRandom(seed);
  const core::Address seed_address = MakeIdentity(0, zones).address;
  for (std::size_t i = 0; i < processes; ++i) {
    Process process{
        MakeView(MakeIdentity(i, zones), {seed_address}, {}, fleet.now)};
    process.view.report.payload = std::string(payload_bytes, 'p');
    process.view.report.applied = {1'000'000};
    process.view.report.digest = 0x1234'5678'9abc'def0;
    fleet.index[process.view.self.process] = i;
    fleet.processes.push_back(std::move(process));
  }
  return fleet;
}

inline void Count(Fleet& fleet, const std::vector<Transition>& transitions) {
  for (const Transition& transition : transitions) {
    if (fleet.processes[fleet.index.at(transition.process)].running) {
      fleet.counts.suspicions += transition.after == Health::kSuspect ? 1 : 0;
      fleet.counts.deaths += transition.after == Health::kDead ? 1 : 0;
    }
  }
}

inline bool Lost(Fleet& fleet) {
  return core::UnitInterval(fleet.random) < fleet.loss;
}

inline Process* FindByAddress(Fleet& fleet, const core::Address& address) {
  for (Process& process : fleet.processes) {
    if (process.view.self.address == address) {
      return &process;
    }
  }
  return nullptr;
}

/// Delivers one message unless it is lost; returns what arrived.
inline std::optional<Heartbeat> Deliver(Fleet& fleet, Process& from,
                                        Process& to,
                                        const Heartbeat& heartbeat) {
  const std::string bytes = Encode(heartbeat);
  from.sent_bytes += bytes.size();
  ++from.messages;
  if (!to.running || Lost(fleet) ||
      !fleet.connected(from.view.self.zone, to.view.self.zone)) {
    return std::nullopt;
  }
  to.received_bytes += bytes.size();
  ++to.messages;
  auto decoded = Decode(bytes);
  if (decoded) {
    Count(fleet, Receive(to.view, *decoded, fleet.now));
  }
  return decoded;
}

/// Lets every running process do one round, spread over the interval.
inline void Step(Fleet& fleet) {
  const core::Millis interval = fleet.processes.front().view.config.interval;
  const core::MonotonicTime end = fleet.now + interval;
  const core::Millis gap =
      interval / static_cast<std::int64_t>(fleet.processes.size() + 1);
  for (Process& process : fleet.processes) {
    fleet.now += gap;
    if (!process.running) {
      continue;
    }
    const Round round = BeginRound(process.view, fleet.now);
    Count(fleet, round.transitions);
    for (const Target& target : round.targets) {
      Process* receiver = FindByAddress(fleet, target.address);
      if (receiver == nullptr) {
        continue;
      }
      const auto request = Deliver(
          fleet, process, *receiver,
          MakeHeartbeat(process.view, target.process, nullptr, fleet.now));
      if (request) {
        Deliver(fleet, *receiver, process,
                MakeHeartbeat(receiver->view, request->from.process, &*request,
                              fleet.now));
      }
    }
  }
  fleet.now = end;
}

inline void Steps(Fleet& fleet, int count) {
  for (int i = 0; i < count; ++i) {
    Step(fleet);
  }
}

/// Number of running processes that see a process with a health.
inline std::size_t SeenAs(const Fleet& fleet, const core::ProcessId& process,
                          Health health) {
  std::size_t count = 0;
  for (const Process& observer : fleet.processes) {
    const auto found = observer.view.members.find(process);
    count += observer.running && found != observer.view.members.end() &&
                     found->second.health == health
                 ? 1
                 : 0;
  }
  return count;
}

}  // namespace camphormux::membership::simulation

#endif  // CAMPHORMUX_TEST_MEMBERSHIP_SIMULATION_HPP_
