#ifndef CAMPHORMUX_TEST_IDEMPOTENCY_WORLD_HPP_
#define CAMPHORMUX_TEST_IDEMPOTENCY_WORLD_HPP_

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "camphormux/idempotency/claims.hpp"

namespace camphormux::idempotency::world {

/// @brief A log in memory with a clock of its own.
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
  std::size_t key = 0;
  std::uint64_t began = 0;  ///< Step of the world.
};

/// @brief One gateway with what it sent and has not got an answer to.
struct Gateway {
  Claims claims;
  std::vector<AppendOrder> appends;
  std::optional<ReadOrder> read;
  std::map<std::uint64_t, Attempt> attempts;
  std::vector<std::pair<std::size_t, std::uint64_t>> granted;  ///< Not begun.
  std::vector<std::size_t> running;
};

/// @brief Several gateways on one log. Every event is a step; anything may be
/// delayed, lost or reordered between steps.
struct World {
  Log log;
  core::MonotonicTime now{std::chrono::hours(1)};
  std::vector<Gateway> gateways;
  std::vector<Key> keys;
  std::vector<std::string> late;  ///< Appends that may still arrive.
  std::uint64_t step = 0;
  std::uint64_t next_life = 0;
  std::map<std::size_t, std::vector<std::uint64_t>> runs;  ///< Steps, by key.
  std::map<std::size_t, std::pair<std::uint64_t, std::uint64_t>> run_claims;
  std::vector<std::string> violations;
  std::map<DecisionKind, std::size_t> decisions;
};

inline constexpr core::Millis kClaimTimeout = std::chrono::seconds(3);

inline Claims NewLife(World& world, std::size_t gateway) {
  ++world.next_life;
  return MakeClaims({{"gateway-" + std::to_string(gateway)}, {world.next_life}},
                    {}, world.next_life);
}

inline World MakeWorld(std::size_t gateways) {
  World world;
  for (std::size_t i = 0; i < gateways; ++i) {
    world.gateways.emplace_back();
    world.gateways.back().claims = NewLife(world, i);
  }
  return world;
}

inline std::size_t NewKey(World& world, core::Millis lead = core::Millis(0)) {
  std::array<std::uint8_t, 10> random{};
  random.back() = static_cast<std::uint8_t>(world.keys.size());
  random[8] = static_cast<std::uint8_t>(world.keys.size() >> 8);
  world.keys.push_back(MakeKey(world.log.now + lead, random));
  return world.keys.size() - 1;
}

inline void Collect(World& world, Gateway& gateway, Effects effects) {
  for (AppendOrder& order : effects.appends) {
    gateway.appends.push_back(std::move(order));
  }
  if (effects.read) {
    gateway.read = effects.read;
  }
  for (const Decision& decision : effects.decisions) {
    ++world.decisions[decision.kind];
    const Attempt attempt = gateway.attempts.at(decision.number);
    if (decision.kind == DecisionKind::kRun) {
      gateway.granted.emplace_back(attempt.key, decision.number);
    }
    const bool says_not_run = decision.kind == DecisionKind::kNotRun ||
                              decision.kind == DecisionKind::kAhead;
    for (const std::uint64_t run : world.runs[attempt.key]) {
      if (says_not_run && run < attempt.began) {
        world.violations.push_back("not-run was said for a key that ran");
      }
    }
  }
}

inline void Advance(World& world, Gateway& gateway) {
  Effects effects;
  idempotency::Advance(gateway.claims, world.now, effects);
  Collect(world, gateway, std::move(effects));
}

inline void Claim(World& world, Gateway& gateway, std::size_t key) {
  Effects effects;
  gateway.attempts[gateway.claims.last_number + 1] = {key, world.step};
  BeginClaim(gateway.claims, world.keys[key], {"s"}, kClaimTimeout, world.now,
             effects);
  Collect(world, gateway, std::move(effects));
  Advance(world, gateway);
}

/// Lets the log answer one read with at most `limit` records.
inline void AnswerRead(World& world, Gateway& gateway, std::size_t limit) {
  if (!gateway.read) {
    return;
  }
  const ReadOrder order = *std::exchange(gateway.read, std::nullopt);
  Effects effects;
  OnRead(gateway.claims, order.serial, world.log.Read(order.from, limit),
         world.now, effects);
  Collect(world, gateway, std::move(effects));
  Advance(world, gateway);
}

inline void FailRead(World& world, Gateway& gateway) {
  if (!gateway.read) {
    return;
  }
  const ReadOrder order = *std::exchange(gateway.read, std::nullopt);
  Effects effects;
  OnRead(gateway.claims, order.serial,
         log::ReadFailure{log::ReadError::kUnavailable, std::nullopt},
         world.now, effects);
  Collect(world, gateway, std::move(effects));
}

enum class AppendFate { kAnswered, kAnswerLost, kRefused, kDelayed };

inline void AnswerAppend(World& world, Gateway& gateway, std::size_t index,
                         AppendFate fate) {
  if (gateway.appends.empty()) {
    return;
  }
  const auto chosen =
      gateway.appends.begin() +
      static_cast<std::ptrdiff_t>(index % gateway.appends.size());
  AppendOrder order = std::move(*chosen);
  gateway.appends.erase(chosen);
  log::AppendResult result = log::AppendError::kNoAnswer;
  if (fate == AppendFate::kAnswered) {
    result = world.log.Append(std::move(order.data));
  } else if (fate == AppendFate::kAnswerLost) {
    world.log.Append(std::move(order.data));
  } else if (fate == AppendFate::kDelayed) {
    world.late.push_back(std::move(order.data));
  } else {
    result = log::AppendError::kThrottled;
  }
  OnAppend(gateway.claims, order.batch, result, world.now);
  Advance(world, gateway);
}

/// Begins the request of the oldest grant, however old it is.
inline void Run(World& world, Gateway& gateway) {
  if (gateway.granted.empty()) {
    return;
  }
  const auto [key, number] = gateway.granted.front();
  gateway.granted.erase(gateway.granted.begin());
  gateway.running.push_back(key);
  world.runs[key].push_back(world.step);
  world.run_claims[key] = {gateway.claims.self.incarnation.value, number};
  if (world.runs[key].size() > 1) {
    world.violations.push_back("a key ran twice");
  }
}

inline void Finish(World& world, Gateway& gateway) {
  if (!gateway.running.empty()) {
    FinishRun(gateway.claims, world.keys[gateway.running.back()]);
    gateway.running.pop_back();
  }
}

inline void Release(World& world, Gateway& gateway) {
  if (!gateway.granted.empty()) {
    ReleaseRun(gateway.claims, world.keys[gateway.granted.back().first]);
    gateway.granted.pop_back();
    Advance(world, gateway);
  }
}

/// Ends the process; what it sent may still arrive.
inline void Crash(World& world, std::size_t index) {
  Gateway& gateway = world.gateways[index];
  for (AppendOrder& order : gateway.appends) {
    world.late.push_back(std::move(order.data));
  }
  gateway = Gateway{};
  gateway.claims = NewLife(world, index);
  Advance(world, gateway);
}

/// Checks what holders tell others about keys that ran.
inline void CheckHolders(World& world) {
  for (const auto& [key, claim] : world.run_claims) {
    for (const Gateway& gateway : world.gateways) {
      if (gateway.claims.self.incarnation.value == claim.first &&
          StateOf(gateway.claims, world.keys[key], claim.second) ==
              RunState::kNeverRun) {
        world.violations.push_back("a holder denies a run");
      }
    }
  }
}

inline void Pass(World& world, core::Millis time) {
  world.now += time;
  world.log.now += time;
  for (Gateway& gateway : world.gateways) {
    Advance(world, gateway);
  }
}

/// Lets the log answer everything until nothing is left to do.
inline void Settle(World& world) {
  for (int i = 0; i < 50; ++i) {
    Pass(world, core::Millis(30));
    for (Gateway& gateway : world.gateways) {
      AnswerAppend(world, gateway, 0, AppendFate::kAnswered);
      AnswerRead(world, gateway, 1000);
    }
  }
}

}  // namespace camphormux::idempotency::world

#endif  // CAMPHORMUX_TEST_IDEMPOTENCY_WORLD_HPP_
