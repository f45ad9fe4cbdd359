// Measures claims of seven gateways on one log in virtual time: the added
// latency of group commit with a limited append rate, and the memory of held
// keys.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <queue>
#include <vector>

#include <malloc.h>

#include "camphormux/idempotency/claims.hpp"

namespace camphormux::idempotency {
namespace {

constexpr std::size_t kGateways = 7;
constexpr std::size_t kAppendsPerSecond = 300;
// Network round trip to the log plus the log's processing time.
constexpr core::Millis kLogRoundTrip{4};
constexpr core::Millis kClaimTimeout{2000};
constexpr int kWarmUpMs = 2000;
constexpr int kMeasuredMs = 10'000;

struct Pending {
  std::size_t gateway = 0;
  AppendRequest request;
  core::MonotonicTime answer_at;
};

struct Simulation {
  explicit Simulation(double keys_per_second) : rate(keys_per_second) {}

  double rate;
  core::MonotonicTime now{std::chrono::hours(1)};
  core::WallTime wall{std::chrono::hours(24 * 365 * 50)};
  core::Random random = core::SeededRandom(20261204);
  std::vector<Claims> gateways;
  std::vector<std::map<std::uint64_t, core::MonotonicTime>> began;
  std::vector<log::StoredRecord> records;
  std::vector<core::MonotonicTime> visible;  ///< Indexed by record.
  std::deque<Pending> pending;
  std::vector<std::optional<ReadRequest>> reads;
  std::vector<std::int64_t> latencies;
  double tokens = 0;
  double due = 0;
  std::uint64_t throttled = 0;
  std::uint64_t begun_claims = 0;
  std::uint64_t claims_not_run = 0;
  std::uint64_t log_bytes = 0;
};

void ApplyEffects(Simulation& simulation, std::size_t index, Effects effects,
                  bool measured) {
  for (AppendRequest& request : effects.appends) {
    simulation.pending.push_back(
        {index, std::move(request), simulation.now + kLogRoundTrip});
  }
  if (effects.read) {
    simulation.reads[index] = effects.read;
  }
  for (const Decision& decision : effects.decisions) {
    const auto found = simulation.began[index].find(decision.number);
    if (decision.kind != DecisionKind::kRun) {
      simulation.claims_not_run += measured ? 1 : 0;
    } else if (measured) {
      simulation.latencies.push_back((simulation.now - found->second).count());
    }
    simulation.began[index].erase(found);
  }
}

Key RandomKey(Simulation& simulation) {
  std::array<std::uint8_t, 10> bytes{};
  for (std::uint8_t& byte : bytes) {
    byte =
        static_cast<std::uint8_t>(core::UniformBelow(simulation.random, 256));
  }
  return MakeKey(simulation.wall, bytes);
}

void BeginClaims(Simulation& simulation, bool measured) {
  simulation.due += simulation.rate / 1000;
  for (; simulation.due >= 1; simulation.due -= 1) {
    const std::size_t index = core::UniformBelow(simulation.random, kGateways);
    Claims& claims = simulation.gateways[index];
    Effects effects;
    simulation.began[index][claims.last_number + 1] = simulation.now;
    simulation.begun_claims += measured ? 1 : 0;
    BeginClaim(claims, RandomKey(simulation), {"kilns"}, kClaimTimeout,
               simulation.now, effects);
    ApplyEffects(simulation, index, std::move(effects), measured);
  }
}

/// Answers appends after the round trip. Those above the rate limit of the log
/// are refused.
void ServeAppends(Simulation& simulation) {
  simulation.tokens = std::min(simulation.tokens + kAppendsPerSecond / 1000.0,
                               kAppendsPerSecond / 20.0);
  while (!simulation.pending.empty() &&
         simulation.pending.front().answer_at <= simulation.now) {
    Pending pending = std::move(simulation.pending.front());
    simulation.pending.pop_front();
    log::AppendResult result = log::AppendError::kThrottled;
    if (simulation.tokens >= 1) {
      simulation.tokens -= 1;
      simulation.log_bytes += pending.request.data.size();
      const core::LogOffset offset{simulation.records.size()};
      simulation.records.push_back(
          {offset, simulation.wall, std::move(pending.request.data)});
      result = offset;
    } else {
      ++simulation.throttled;
    }
    OnAppend(simulation.gateways[pending.gateway], pending.request.batch,
             result, simulation.now);
  }
}

/// Answers long-poll reads. A record is visible to readers half a round trip
/// after it was appended.
void ServeReads(Simulation& simulation, bool measured) {
  for (std::size_t i = 0; i < kGateways; ++i) {
    if (!simulation.reads[i]) {
      continue;
    }
    const std::uint64_t from = simulation.reads[i]->from.value;
    log::ReadResult result{{0}, {simulation.records.size()}, {}};
    for (std::size_t at = from; at < simulation.records.size(); ++at) {
      if (simulation.records[at].time + kLogRoundTrip / 2 > simulation.wall) {
        break;
      }
      result.records.push_back(simulation.records[at]);
    }
    if (result.records.empty()) {
      continue;
    }
    const ReadRequest request =
        *std::exchange(simulation.reads[i], std::nullopt);
    Effects effects;
    OnRead(simulation.gateways[i], request.serial, result, simulation.now,
           effects);
    ApplyEffects(simulation, i, std::move(effects), measured);
  }
}

void Step(Simulation& simulation, bool measured) {
  simulation.now += core::Millis(1);
  simulation.wall += core::Millis(1);
  BeginClaims(simulation, measured);
  ServeAppends(simulation);
  ServeReads(simulation, measured);
  for (std::size_t i = 0; i < kGateways; ++i) {
    Effects effects;
    Advance(simulation.gateways[i], simulation.now, effects);
    ApplyEffects(simulation, i, std::move(effects), measured);
  }
}

std::int64_t Percentile(std::vector<std::int64_t>& values, double share) {
  if (values.empty()) {
    return -1;
  }
  const auto at = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

void RunRate(double rate, const ClaimPolicy& policy, const char* name) {
  Simulation simulation(rate);
  simulation.reads.resize(kGateways);
  simulation.began.resize(kGateways);
  for (std::size_t i = 0; i < kGateways; ++i) {
    simulation.gateways.push_back(
        MakeClaims({{"gateway-" + std::to_string(i)}, {1}}, policy, i));
  }
  const std::clock_t start = std::clock();
  for (int ms = 0; ms < kWarmUpMs + kMeasuredMs; ++ms) {
    Step(simulation, ms >= kWarmUpMs);
  }
  const double cpu = static_cast<double>(std::clock() - start) /
                     CLOCKS_PER_SEC / (kWarmUpMs + kMeasuredMs) * 1000 /
                     kGateways * 100;
  std::printf(
      "%s keys/s=%.0f begun=%lu run=%zu unserved=%lu added latency p50=%ld ms "
      "p99=%ld ms appends/s=%.0f throttled=%lu log kB/s=%.1f "
      "cpu a gateway=%.2f%%\n",
      name, rate, simulation.begun_claims, simulation.latencies.size(),
      simulation.claims_not_run, Percentile(simulation.latencies, 0.5),
      Percentile(simulation.latencies, 0.99),
      static_cast<double>(simulation.records.size()) * 1000 /
          (kWarmUpMs + kMeasuredMs),
      simulation.throttled,
      static_cast<double>(simulation.log_bytes) / (kWarmUpMs + kMeasuredMs),
      cpu);
  std::fflush(stdout);
}

/// Fills a key table with keys from 15 minutes and reports the heap bytes per
/// key.
void MeasureMemory(std::size_t keys) {
  core::Random random = core::SeededRandom(7);
  Fold fold;
  fold.max_keys = keys;
  const core::WallTime start{std::chrono::hours(24 * 365 * 50)};
  const std::size_t before = mallinfo2().uordblks;
  constexpr std::size_t kBatch = 500;
  for (std::size_t at = 0; at < keys; at += kBatch) {
    Batch batch;
    batch.claimant = {{"gateway-" + std::to_string(at % kGateways)}, {1}};
    const auto time = start + kKeyLifetime * static_cast<std::int64_t>(at) /
                                  static_cast<std::int64_t>(keys);
    const auto wall = std::chrono::time_point_cast<core::Millis>(time);
    for (std::size_t i = 0; i < kBatch; ++i) {
      std::array<std::uint8_t, 10> bytes{};
      for (std::uint8_t& byte : bytes) {
        byte = static_cast<std::uint8_t>(core::UniformBelow(random, 256));
      }
      batch.intents.push_back({MakeKey(wall, bytes), {"kilns"}, at + i});
    }
    (void)Apply(fold, {fold.next, wall, Encode(batch)}, {});
  }
  const std::size_t used = mallinfo2().uordblks - before;
  std::printf(
      "memory: %zu keys held, %.1f MB, %.0f bytes a key\n", fold.held.size(),
      static_cast<double>(used) / 1e6,
      static_cast<double>(used) / static_cast<double>(fold.held.size()));
}

}  // namespace
}  // namespace camphormux::idempotency

int main() {
  using camphormux::idempotency::ClaimPolicy;
  const ClaimPolicy grouped;
  for (const double rate : {50, 200, 1000, 3000, 10'000}) {
    camphormux::idempotency::RunRate(rate, grouped, "grouped");
  }
  ClaimPolicy single;
  single.append_interval = camphormux::core::Millis(0);
  single.max_batch = 1;
  single.max_in_flight = 1000;
  for (const double rate : {50, 200, 1000}) {
    camphormux::idempotency::RunRate(rate, single, "one intent an append");
  }
  for (const std::size_t keys : {100'000, 1'000'000}) {
    camphormux::idempotency::MeasureMemory(keys);
  }
  return 0;
}
