#ifndef CAMPHORMUX_TEST_IDEMPOTENCY_SIMULATION_HPP_
#define CAMPHORMUX_TEST_IDEMPOTENCY_SIMULATION_HPP_

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "camphormux/idempotency/claims.hpp"

namespace camphormux::idempotency::simulation {

/// @brief An in-memory log with its own clock.
struct Log {
  std::vector<log::StoredRecord> records;
  std::uint64_t earliest = 0;
  core::WallTime now{std::chrono::hours(24 * 365 * 50)};

  core::LogOffset Append(std::string data) {
    records.push_back({{records.size()}, now, std::move(data)});
    return records.back().offset;
  }

  [[nodiscard]] log::ReadAnswer Read(core::LogOffset from,
                                     std::size_t limit) const {
    if (from.value < earliest) {
      return log::ReadFailure{log::ReadError::kBelowEarliest,
                              core::LogOffset{earliest}};
    }
    log::ReadResult result{{earliest}, {records.size()}, {}};
    for (std::size_t i = from.value; i < records.size(); ++i) {
      if (result.records.size() == limit) {
        break;
      }
      result.records.push_back(records[i]);
    }
    return result;
  }
};

/// @brief A claim that a gateway made.
struct Attempt {
  std::size_t key = 0;      ///< Index in `keys`.
  std::uint64_t began = 0;  ///< Step of the simulation.
};

/// @brief One gateway and its requests that the log has not answered.
struct Gateway {
  Claims claims;
  std::vector<AppendRequest> appends;
  std::optional<ReadRequest> read;
  std::map<std::uint64_t, Attempt> attempts;
  std::vector<std::pair<std::size_t, std::uint64_t>>
      granted;  ///< Runs not begun.
  std::vector<std::size_t> running;
};

/// @brief Several gateways that share one log. Every event is one step, and
/// requests and answers may be delayed, lost or reordered between steps.
struct Simulation {
  Log log;
  core::MonotonicTime now{std::chrono::hours(1)};
  std::vector<Gateway> gateways;
  std::vector<Key> keys;
  std::vector<std::string> delayed_appends;  ///< Appends that may still arrive.
  std::uint64_t step = 0;
  std::uint64_t next_incarnation = 0;
  std::map<std::size_t, std::vector<std::uint64_t>> runs;  ///< Steps, by key.
  std::map<std::size_t, std::pair<std::uint64_t, std::uint64_t>> run_claims;
  std::vector<std::string> violations;
  std::map<DecisionKind, std::size_t> decisions;
};

inline constexpr core::Millis kClaimTimeout = std::chrono::seconds(3);

inline Claims NewIncarnation(Simulation& simulation, std::size_t gateway) {
  ++simulation.next_incarnation;
  return MakeClaims(
      {{"gateway-" + std::to_string(gateway)}, {simulation.next_incarnation}},
      {}, simulation.next_incarnation);
}

inline Simulation MakeSimulation(std::size_t gateways) {
  Simulation simulation;
  for (std::size_t i = 0; i < gateways; ++i) {
    simulation.gateways.emplace_back();
    simulation.gateways.back().claims = NewIncarnation(simulation, i);
  }
  return simulation;
}

inline std::size_t NewKey(Simulation& simulation,
                          core::Millis lead = core::Millis(0)) {
  std::array<std::uint8_t, 10> random{};
  random.back() = static_cast<std::uint8_t>(simulation.keys.size());
  random[8] = static_cast<std::uint8_t>(simulation.keys.size() >> 8);
  simulation.keys.push_back(MakeKey(simulation.log.now + lead, random));
  return simulation.keys.size() - 1;
}

inline void ApplyEffects(Simulation& simulation, Gateway& gateway,
                         Effects effects) {
  for (AppendRequest& request : effects.appends) {
    gateway.appends.push_back(std::move(request));
  }
  if (effects.read) {
    gateway.read = effects.read;
  }
  for (const Decision& decision : effects.decisions) {
    ++simulation.decisions[decision.kind];
    const Attempt attempt = gateway.attempts.at(decision.number);
    if (decision.kind == DecisionKind::kRun) {
      gateway.granted.emplace_back(attempt.key, decision.number);
    }
    const bool says_not_run = decision.kind == DecisionKind::kNotRun ||
                              decision.kind == DecisionKind::kTooFarAhead;
    for (const std::uint64_t run : simulation.runs[attempt.key]) {
      if (says_not_run && run < attempt.began) {
        simulation.violations.push_back(
            "a key that ran was reported as not run");
      }
    }
  }
}

inline void Advance(Simulation& simulation, Gateway& gateway) {
  Effects effects;
  idempotency::Advance(gateway.claims, simulation.now, effects);
  ApplyEffects(simulation, gateway, std::move(effects));
}

inline void Claim(Simulation& simulation, Gateway& gateway, std::size_t key) {
  Effects effects;
  gateway.attempts[gateway.claims.last_number + 1] = {key, simulation.step};
  BeginClaim(gateway.claims, simulation.keys[key], {"s"}, kClaimTimeout,
             simulation.now, effects);
  ApplyEffects(simulation, gateway, std::move(effects));
  Advance(simulation, gateway);
}

/// Answers a gateway's read with at most `limit` records.
inline void AnswerRead(Simulation& simulation, Gateway& gateway,
                       std::size_t limit) {
  if (!gateway.read) {
    return;
  }
  const ReadRequest request = *std::exchange(gateway.read, std::nullopt);
  Effects effects;
  OnRead(gateway.claims, request.serial,
         simulation.log.Read(request.from, limit), simulation.now, effects);
  ApplyEffects(simulation, gateway, std::move(effects));
  Advance(simulation, gateway);
}

inline void FailRead(Simulation& simulation, Gateway& gateway) {
  if (!gateway.read) {
    return;
  }
  const ReadRequest request = *std::exchange(gateway.read, std::nullopt);
  Effects effects;
  OnRead(gateway.claims, request.serial,
         log::ReadFailure{log::ReadError::kUnavailable, std::nullopt},
         simulation.now, effects);
  ApplyEffects(simulation, gateway, std::move(effects));
}

enum class AppendOutcome { kAnswered, kAnswerLost, kRefused, kDelayed };

inline void AnswerAppend(Simulation& simulation, Gateway& gateway,
                         std::size_t index, AppendOutcome append_outcome) {
  if (gateway.appends.empty()) {
    return;
  }
  const auto chosen =
      gateway.appends.begin() +
      static_cast<std::ptrdiff_t>(index % gateway.appends.size());
  AppendRequest request = std::move(*chosen);
  gateway.appends.erase(chosen);
  log::AppendResult result = log::AppendError::kNoAnswer;
  if (append_outcome == AppendOutcome::kAnswered) {
    result = simulation.log.Append(std::move(request.data));
  } else if (append_outcome == AppendOutcome::kAnswerLost) {
    simulation.log.Append(std::move(request.data));
  } else if (append_outcome == AppendOutcome::kDelayed) {
    simulation.delayed_appends.push_back(std::move(request.data));
  } else {
    result = log::AppendError::kThrottled;
  }
  OnAppend(gateway.claims, request.batch, result, simulation.now);
  Advance(simulation, gateway);
}

/// Begins the run that was granted first, however long ago.
inline void Run(Simulation& simulation, Gateway& gateway) {
  if (gateway.granted.empty()) {
    return;
  }
  const auto [key, number] = gateway.granted.front();
  gateway.granted.erase(gateway.granted.begin());
  gateway.running.push_back(key);
  simulation.runs[key].push_back(simulation.step);
  simulation.run_claims[key] = {gateway.claims.self.incarnation.value, number};
  if (simulation.runs[key].size() > 1) {
    simulation.violations.push_back("a key ran more than once");
  }
}

inline void Finish(Simulation& simulation, Gateway& gateway) {
  if (!gateway.running.empty()) {
    FinishRun(gateway.claims, simulation.keys[gateway.running.back()]);
    gateway.running.pop_back();
  }
}

inline void Release(Simulation& simulation, Gateway& gateway) {
  if (!gateway.granted.empty()) {
    ReleaseRun(gateway.claims, simulation.keys[gateway.granted.back().first]);
    gateway.granted.pop_back();
    Advance(simulation, gateway);
  }
}

/// Restarts a gateway as a new incarnation; its appends may still arrive.
inline void Crash(Simulation& simulation, std::size_t index) {
  Gateway& gateway = simulation.gateways[index];
  for (AppendRequest& request : gateway.appends) {
    simulation.delayed_appends.push_back(std::move(request.data));
  }
  gateway = Gateway{};
  gateway.claims = NewIncarnation(simulation, index);
  Advance(simulation, gateway);
}

/// Checks that no holder reports a run that it began as never run.
inline void CheckHolders(Simulation& simulation) {
  for (const auto& [key, claim] : simulation.run_claims) {
    for (const Gateway& gateway : simulation.gateways) {
      if (gateway.claims.self.incarnation.value == claim.first &&
          RunStateOf(gateway.claims, simulation.keys[key], claim.second) ==
              RunState::kNeverRun) {
        simulation.violations.push_back(
            "a holder reports its run as never run");
      }
    }
  }
}

inline void AdvanceTime(Simulation& simulation, core::Millis time) {
  simulation.now += time;
  simulation.log.now += time;
  for (Gateway& gateway : simulation.gateways) {
    Advance(simulation, gateway);
  }
}

/// Lets the log answer all requests for 50 rounds, until the gateways are idle.
inline void RunUntilIdle(Simulation& simulation) {
  for (int i = 0; i < 50; ++i) {
    AdvanceTime(simulation, core::Millis(30));
    for (Gateway& gateway : simulation.gateways) {
      AnswerAppend(simulation, gateway, 0, AppendOutcome::kAnswered);
      AnswerRead(simulation, gateway, 1000);
    }
  }
}

}  // namespace camphormux::idempotency::simulation

#endif  // CAMPHORMUX_TEST_IDEMPOTENCY_SIMULATION_HPP_
