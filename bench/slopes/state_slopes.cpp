#include <array>
#include <memory>
#include <optional>
#include <string>

#include "bench/slopes/fleet.hpp"
#include "bench/slopes/points.hpp"
#include "bench/slopes/slopes.hpp"
#include "camphormux/idempotency/fold.hpp"
#include "camphormux/log/batch.hpp"
#include "camphormux/routing/route_table.hpp"
#include "camphormux/state/codec.hpp"
#include "camphormux/state/fold.hpp"
#include "camphormux/state/packed_state.hpp"
#include "camphormux/state/snapshot.hpp"
#include "camphormux/text/parse.hpp"

namespace camphormux::bench {
namespace {

constexpr double kBytesPerMegabyte = 1e6;
constexpr std::size_t kBatchIdBytes = 40;

const Series kStateMemory{"state: fleet state in memory", "MB", "hosts",
                          kTargetHosts, kMemoryLimitMegabytes};
const Series kTextMemory{"state: operator text in memory", "MB", "pools",
                         kTargetPools, kMemoryLimitMegabytes};
const Series kRouteMemory{"gateway: route table in memory", "MB", "hosts",
                          kTargetHosts, kMemoryLimitMegabytes};
const Series kFold{"all: fold of lease renewals", "ms/s", "hosts", kTargetHosts,
                   kProcessorLimitMsPerSecond};
const Series kDigest{"all: digest once a second, hosts unchanged", "ms/s",
                     "hosts", kTargetHosts, kProcessorLimitMsPerSecond};
const Series kFullDigest{"all: digest after hosts or text changed", "ms",
                         "hosts", kTargetHosts, 0};
const Series kRoutes{"gateway: route table after hosts or text changed", "ms",
                     "hosts", kTargetHosts, 0};
const Series kSnapshotBytes{"snapshot: bytes", "MB", "hosts", kTargetHosts, 0};
const Series kSnapshotTime{"snapshot: encode", "ms", "hosts", kTargetHosts, 0};
const Series kRestoreTime{"snapshot: decode", "ms", "hosts", kTargetHosts,
                          5000};
const Series kParse{"all: parse of a published text", "ms", "pools",
                    kTargetPools, 5000};
const Series kKeyMemory{"gateway: idempotency keys in memory", "MB", "keys",
                        1e6, kMemoryLimitMegabytes};
const Series kKeyFold{"gateway: fold of 1,000 keys", "ms", "keys", 1e6, 0};

void MeasureFleetState(const FleetSize& size) {
  const core::WallTime now = core::WallNow();
  const double before = HeapBytes();
  auto state = std::make_unique<state::FleetState>(
      MakeState(size.hosts, size.pools, now));
  PrintPoint(kStateMemory, size.hosts,
             (HeapBytes() - before) / kBytesPerMegabyte);
  const state::LeaseRenew renewal{ZoneAt(0), {"controller"}, {1}};
  const std::string data = log::EncodeBatch(
      {std::string(kBatchIdBytes, 'i'), {state::EncodeRecords({renewal})}});
  PrintPoint(kFold, size.hosts, kRenewalsPerSecond * MedianCpuMillis([&] {
                                  (void)state::ApplyEncoded(*state, data,
                                                            state->next);
                                }));
  PrintPoint(kFullDigest, size.hosts,
             MedianCpuMillis([&] { (void)state::Digest(*state); }));
  state::DigestCache digests;
  PrintPoint(kDigest, size.hosts,
             MedianCpuMillis([&] { (void)state::Digest(*state, digests); }));
  const double without_table = HeapBytes();
  routing::RouteTable table = routing::BuildRouteTable(*state);
  PrintPoint(kRouteMemory, size.hosts,
             (HeapBytes() - without_table) / kBytesPerMegabyte);
  PrintPoint(kRoutes, size.hosts, MedianCpuMillis([&] {
               table = routing::BuildRouteTable(*state);
             }));
  const std::string encoded = state::EncodePackedState(*state);
  PrintPoint(kSnapshotBytes, size.hosts,
             static_cast<double>(encoded.size()) / kBytesPerMegabyte);
  PrintPoint(kSnapshotTime, size.hosts, MedianCpuMillis([&] {
               (void)state::MakeSnapshot(*state, "s", /*recovery=*/false);
             }));
  PrintPoint(kRestoreTime, size.hosts,
             MedianCpuMillis([&] { (void)state::DecodePackedState(encoded); }));
}

void MeasureText(int pools) {
  const std::string source = MakeOperatorText(pools);
  const double before = HeapBytes();
  const auto parsed = text::ParseOperatorText("text", source);
  PrintPoint(kTextMemory, pools,
             (HeapBytes() - before + static_cast<double>(source.size())) /
                 kBytesPerMegabyte);
  PrintPoint(kParse, pools, MedianCpuMillis([&] {
               (void)text::ParseOperatorText("text", source);
             }));
}

idempotency::Key MakeNumberedKey(std::uint64_t number, core::WallTime now) {
  std::array<std::uint8_t, 10> random{};
  // Puts the number into the last bytes: the first ones lose bits to the
  // version and variant fields of the key.
  for (auto byte = random.rbegin(); number != 0; ++byte, number >>= 8) {
    *byte = static_cast<std::uint8_t>(number);
  }
  return idempotency::MakeKey(now, random);
}

void MeasureKeys(std::uint64_t keys) {
  constexpr std::uint64_t kKeysPerBatch = 100;
  constexpr std::uint64_t kKeysPerMeasurement = 1000;
  const core::WallTime now = core::WallNow();
  const idempotency::Claimant self{{"gateway-1"}, {1}};
  const double before = HeapBytes();
  auto fold = std::make_unique<idempotency::Fold>();
  double fold_ms = 0;
  for (std::uint64_t first = 0; first < keys; first += kKeysPerBatch) {
    idempotency::Batch batch;
    batch.claimant = self;
    for (std::uint64_t i = first; i < first + kKeysPerBatch; ++i) {
      batch.intents.push_back({MakeNumberedKey(i, now), {"service-1"}, i});
    }
    const log::StoredRecord record{fold->next, now, Encode(batch)};
    const double start = ThreadCpuMillis();
    (void)idempotency::Apply(*fold, record, self);
    fold_ms += ThreadCpuMillis() - start;
  }
  if (fold->held.size() != keys) {
    std::fprintf(stderr, "only %zu of %lu idempotency keys were stored\n",
                 fold->held.size(), keys);
    std::exit(1);
  }
  PrintPoint(kKeyMemory, static_cast<double>(keys),
             (HeapBytes() - before) / kBytesPerMegabyte);
  PrintPoint(kKeyFold, static_cast<double>(keys),
             fold_ms * kKeysPerMeasurement / static_cast<double>(keys));
}

void PrintRecord(const char* name, const state::Record& record) {
  const std::string data = log::EncodeBatch(
      {std::string(kBatchIdBytes, 'i'), {state::EncodeRecords({record})}});
  std::printf("RECORD\t%s\t%zu\n", name, data.size());
}

/// Prints, for each kind of state record, the bytes of a log record that holds
/// only that one.
void PrintRecords() {
  const core::ZoneName zone{"north-west-1"};
  const core::HostId host{"host-100001"};
  PrintRecord("lease_renew", state::LeaseRenew{zone, {"controller-1"}, {1}});
  state::Assign assign;
  assign.zone = zone;
  assign.epoch = {1};
  assign.host = host;
  assign.phase = state::HostPhase::kDraining;
  assign.drain_reason = state::DrainReason::kMaintenance;
  assign.pool = core::PoolName{"pool-100"};
  assign.generation = {100};
  PrintRecord("assign", assign);
  PrintRecord("host_added", state::HostAdded{zone,
                                             {1},
                                             host,
                                             {"north-west-1-100"},
                                             {{64'000}, {262'144}, {2}},
                                             {"10.0.0.1", 8080}});
  PrintRecord("host_removed", state::HostRemoved{zone, {1}, host});
  PrintRecord("maintenance",
              state::MaintenanceDone{zone, {1}, host, core::WallNow()});
  PrintRecord("presence", state::PresenceNotice{{"gateway-1"},
                                                state::ProcessRole::kGateway,
                                                zone,
                                                {"10.0.0.1", 7000},
                                                {1}});
  PrintRecord("publish, one line changed",
              state::Publish{{"0123456789abcdef0123456789abcdef"},
                             "author",
                             {100},
                             std::nullopt,
                             {{100, 1, {"min_hosts = 12"}}}});
  PrintRecord("publish, whole text of 154 pools",
              state::Publish{{"0123456789abcdef0123456789abcdef"},
                             "author",
                             {100},
                             MakeOperatorText(static_cast<int>(kTargetPools)),
                             {}});
}

}  // namespace

void MeasureState() {
  PrintRecords();
  for (const FleetSize& size : kFleetSizes) {
    MeasureFleetState(size);
    MeasureText(size.pools);
  }
  for (const std::uint64_t keys : {10'000, 100'000, 1'000'000}) {
    MeasureKeys(keys);
  }
}

}  // namespace camphormux::bench
