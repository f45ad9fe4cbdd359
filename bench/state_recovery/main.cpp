// Measures how long a process takes to rebuild the replicated state from a
// snapshot and the log records after it, and the time to apply one record.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "camphormux/log/batch.hpp"
#include "camphormux/state/codec.hpp"
#include "camphormux/state/fold.hpp"
#include "camphormux/state/follower.hpp"
#include "camphormux/state/snapshot.hpp"
#include "camphormux/state/state_codec.hpp"

namespace camphormux::state {
namespace {

constexpr int kPools = 154;
constexpr int kZones = 10;
constexpr int kHostsPerRack = 4;
/// Same as SnapshotPolicy::max_tail.
constexpr std::size_t kRecordsAfterSnapshot = 20'000;
constexpr std::size_t kPageBytes = std::size_t{1} << 20;
constexpr int kRuns = 5;

double MillisSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - start)
      .count();
}

core::ZoneName ZoneAt(int host) {
  return {"z" + std::to_string(host % kZones)};
}

core::HostId HostIdAt(int host) { return {"host-" + std::to_string(host)}; }

std::string MakeOperatorText() {
  std::string text = "[deployment]\nname = bench\nspare_pool = pool-0\n";
  for (int i = 0; i < kZones; ++i) {
    text += "[zone z";
    text += std::to_string(i);
    text += "]\nregion = r";
    text += std::to_string(i / 3);
    text += "\n";
  }
  for (int i = 0; i < kPools; ++i) {
    const std::string number = std::to_string(i);
    text += "[service service-";
    text += number;
    text += "]\npool = pool-";
    text += number;
    text += "\nmin_hosts = 3\n";
  }
  return text;
}

/// An in-memory log of state records and the state that they result in.
struct StateStream {
  FleetState state;
  std::vector<log::StoredRecord> records;
  std::size_t bytes = 0;

  void Append(const std::vector<Record>& batch) {
    const core::LogOffset offset{records.size()};
    std::string data = log::EncodeBatch({"bench", {EncodeRecords(batch)}});
    bytes += data.size();
    if (ApplyEncoded(state, data, offset)) {
      std::fprintf(stderr, "a generated state record was rejected\n");
      std::exit(1);
    }
    records.push_back({offset, {}, std::move(data)});
  }
};

/// Returns the record that takes a host to the next phase of its assignment.
Assign NextAssignment(const FleetState& state, int number) {
  const Host& host = state.hosts.at(HostIdAt(number));
  Assign record;
  record.zone = host.zone;
  record.epoch = {1};
  record.host = host.id;
  record.pool = host.pool;
  record.generation = host.generation;
  switch (host.phase) {
    case HostPhase::kReleased:
      record.phase = HostPhase::kAssigned;
      record.generation = core::Next(host.generation);
      record.pool = core::PoolName{"pool-" + std::to_string(number % kPools)};
      break;
    case HostPhase::kAssigned:
      record.phase = HostPhase::kAdmitted;
      break;
    case HostPhase::kAdmitted:
      record.phase = HostPhase::kDraining;
      record.drain_reason = DrainReason::kMove;
      break;
    case HostPhase::kDraining:
      record.phase = HostPhase::kEmpty;
      break;
    case HostPhase::kEmpty:
      record.phase = HostPhase::kReleased;
      record.pool.reset();
      break;
  }
  return record;
}

/// Makes the log of a fleet in which every host is admitted to a pool.
StateStream MakeFleetStream(int hosts) {
  StateStream stream;
  stream.Append({Publish{{"p"}, "bench", {0}, MakeOperatorText(), {}}});
  for (int i = 0; i < kZones; ++i) {
    stream.Append({LeaseClaim{ZoneAt(i), {"controller"}, {1}}});
  }
  for (int i = 0; i < hosts; ++i) {
    const std::string rack = "rack-" + std::to_string(i % kZones) + "-" +
                             std::to_string(i / kZones / kHostsPerRack);
    stream.Append({HostAdded{ZoneAt(i),
                             {1},
                             HostIdAt(i),
                             {rack},
                             {{64'000}, {262'144}, {2}},
                             {"10.0.0.1", 8080}}});
    stream.Append({MaintenanceDone{
        ZoneAt(i), {1}, HostIdAt(i), core::WallTime{core::Millis{i}}}});
    stream.Append({NextAssignment(stream.state, i)});
    stream.Append({NextAssignment(stream.state, i)});
  }
  return stream;
}

struct RecoveryMetrics {
  std::size_t snapshot_bytes = 0;
  std::size_t chunks = 0;
  double encode_ms = 0;
  double digest_ms = 0;
  double tail_mib = 0;
  double recover_ms = 0;
  double fold_us = 0;
};

/// Returns the time, in ms, that a new follower takes to read the log in pages
/// up to its end. Records before `earliest` are no longer on the log.
double MeasureRecoveryMillis(const StateStream& stream,
                             core::LogOffset earliest,
                             std::uint64_t expected_digest) {
  const auto start = std::chrono::steady_clock::now();
  Follower follower;
  OnBelowEarliest(follower, earliest);
  while (!follower.at_end) {
    log::ReadResult page{earliest, {stream.records.size()}, {}};
    std::size_t bytes = 0;
    for (std::size_t i = follower.read_from.value;
         i < stream.records.size() && bytes < kPageBytes; ++i) {
      bytes += stream.records[i].data.size();
      page.records.push_back(stream.records[i]);
    }
    (void)OnRead(follower, page);
  }
  const double taken = MillisSince(start);
  if (Digest(follower.state) != expected_digest) {
    std::fprintf(
        stderr,
        "the digest of the recovered state differs from the original\n");
    std::exit(1);
  }
  return taken;
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

RecoveryMetrics MeasureRecovery(int hosts) {
  RecoveryMetrics metrics;
  StateStream stream = MakeFleetStream(hosts);
  const core::LogOffset earliest = stream.state.next;
  auto start = std::chrono::steady_clock::now();
  const auto chunks = MakeSnapshot(stream.state, "s", /*recovery=*/false);
  metrics.encode_ms = MillisSince(start);
  metrics.chunks = chunks.size();
  for (const SnapshotChunk& chunk : chunks) {
    metrics.snapshot_bytes += chunk.data.size();
    stream.Append({chunk});
  }
  const std::size_t bytes_before = stream.bytes;
  const std::size_t tail_begin = stream.records.size();
  FleetState folded_state = stream.state;
  for (std::size_t i = 0; i < kRecordsAfterSnapshot; ++i) {
    const int host = static_cast<int>(i % static_cast<std::size_t>(hosts));
    stream.Append({NextAssignment(stream.state, host)});
  }
  metrics.tail_mib =
      static_cast<double>(stream.bytes - bytes_before) / (1 << 20);
  start = std::chrono::steady_clock::now();
  const std::uint64_t digest = Digest(stream.state);
  metrics.digest_ms = MillisSince(start);
  start = std::chrono::steady_clock::now();
  for (std::size_t i = tail_begin; i < stream.records.size(); ++i) {
    (void)ApplyEncoded(folded_state, stream.records[i].data,
                       stream.records[i].offset);
  }
  metrics.fold_us = MillisSince(start) * 1000 / kRecordsAfterSnapshot;
  std::vector<double> runs;
  runs.reserve(kRuns);
  for (int i = 0; i < kRuns; ++i) {
    runs.push_back(MeasureRecoveryMillis(stream, earliest, digest));
  }
  metrics.recover_ms = Median(runs);
  return metrics;
}

void MeasureFleets() {
  std::printf("%d pools, tail of %zu records, median of %d runs\n", kPools,
              kRecordsAfterSnapshot, kRuns);
  std::printf("%8s %12s %8s %10s %10s %10s %12s %14s\n", "hosts",
              "snapshot KiB", "chunks", "encode ms", "digest ms", "tail MiB",
              "recover ms", "fold us/record");
  for (const int hosts : {50, 500, 5000}) {
    const RecoveryMetrics metrics = MeasureRecovery(hosts);
    std::printf("%8d %12zu %8zu %10.2f %10.2f %10.2f %12.1f %14.2f\n", hosts,
                metrics.snapshot_bytes >> 10, metrics.chunks, metrics.encode_ms,
                metrics.digest_ms, metrics.tail_mib, metrics.recover_ms,
                metrics.fold_us);
  }
}

}  // namespace
}  // namespace camphormux::state

int main() {
  camphormux::state::MeasureFleets();
  return 0;
}
