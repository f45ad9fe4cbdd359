#include "camphormux/state/snapshot_writer.hpp"

#include <deque>
#include <random>
#include <string>
#include <utility>

#include <asio/steady_timer.hpp>

#include "camphormux/core/random.hpp"
#include "camphormux/state/codec.hpp"
#include "camphormux/state/snapshot.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::state {
namespace internal {

constexpr core::Millis kCheckPeriod{1000};

std::string SnapshotId(const core::ProcessId& self) {
  std::random_device device;
  const std::uint64_t number =
      (static_cast<std::uint64_t>(device()) << 32) | device();
  return self.value + "-" + std::to_string(number);
}

}  // namespace internal

SnapshotDuty DecideSnapshot(const SnapshotPolicy& policy,
                            const Follower& follower, bool owner,
                            std::optional<core::MonotonicTime> gap_since,
                            core::Millis jitter, core::MonotonicTime now) {
  if (follower.ready && gap_since && HasGap(follower)) {
    const bool waited = now >= *gap_since + policy.recovery_wait + jitter;
    return waited ? SnapshotDuty::kRecovery : SnapshotDuty::kNone;
  }
  if (!owner || !follower.at_end || follower.state.next.value == 0) {
    return SnapshotDuty::kNone;
  }
  if (!follower.last_snapshot) {
    return SnapshotDuty::kSnapshot;
  }
  const SnapshotMark& last = *follower.last_snapshot;
  constexpr int kSnapshotsPerRetention = 4;
  const bool old = follower.newest_time - last.time >=
                   policy.retention / kSnapshotsPerRetention;
  // A log that keeps records for less than the setting says has dropped the
  // snapshot or records after it; no process could start.
  const bool expired = follower.kept_from > last.at;
  const bool far = follower.state.next.value - last.at.value >= policy.max_tail;
  return old || far || expired ? SnapshotDuty::kSnapshot : SnapshotDuty::kNone;
}

struct SnapshotWriter::Impl
    : std::enable_shared_from_this<SnapshotWriter::Impl> {
  Impl(asio::io_context& loop, log::Appender& state_appender,
       const Tailer& state_tailer, core::ProcessId process,
       SnapshotPolicy snapshot_policy, std::function<bool()> owner)
      : timer(loop),
        appender(state_appender),
        tailer(state_tailer),
        self(std::move(process)),
        policy(snapshot_policy),
        is_owner(std::move(owner)),
        random(core::SeededRandom(std::random_device{}())) {}

  void Wait(core::Millis delay) {
    timer.expires_after(delay);
    timer.async_wait([weak = weak_from_this()](const asio::error_code& error) {
      const auto self_alive = weak.lock();
      if (self_alive && !error) {
        self_alive->Continue();
      }
    });
  }

  void Continue() {
    if (chunks.empty()) {
      Check();
    } else {
      SendChunk();
    }
  }

  void Check() {
    const core::MonotonicTime now = core::MonotonicNow();
    if (!HasGap(tailer.follower())) {
      gap_since.reset();
    } else if (!gap_since) {
      gap_since = now;
      jitter = core::Jitter(random, policy.recovery_jitter);
    }
    const SnapshotDuty duty = DecideSnapshot(
        policy, tailer.follower(), is_owner(), gap_since, jitter, now);
    if (duty == SnapshotDuty::kNone) {
      Wait(internal::kCheckPeriod);
      return;
    }
    gap_since.reset();
    auto made = MakeSnapshot(tailer.state(), internal::SnapshotId(self),
                             duty == SnapshotDuty::kRecovery);
    telemetry::Log(
        telemetry::Level::kInfo, "writing a snapshot",
        {{"next", std::to_string(tailer.state().next.value)},
         {"chunks", std::to_string(made.size())},
         {"recovery", duty == SnapshotDuty::kRecovery ? "yes" : "no"}});
    chunks.assign(std::make_move_iterator(made.begin()),
                  std::make_move_iterator(made.end()));
    SendChunk();
  }

  void SendChunk() {
    std::string entry = EncodeRecords({std::move(chunks.front())});
    chunks.pop_front();
    appender.Append(std::move(entry),
                    [weak = weak_from_this()](const log::AppendResult& result) {
                      if (const auto self_alive = weak.lock()) {
                        self_alive->OnChunk(result);
                      }
                    });
  }

  void OnChunk(const log::AppendResult& result) {
    if (!result.has_value()) {
      telemetry::Log(telemetry::Level::kWarning, "a snapshot was not written");
      chunks.clear();
    }
    // After the last chunk the tailer gets time to read it.
    Wait(chunks.empty() ? internal::kCheckPeriod : policy.chunk_period);
  }

  asio::steady_timer timer;
  log::Appender& appender;
  const Tailer& tailer;
  core::ProcessId self;
  SnapshotPolicy policy;
  std::function<bool()> is_owner;
  core::Random random;
  std::deque<SnapshotChunk> chunks;
  std::optional<core::MonotonicTime> gap_since;
  core::Millis jitter{0};
};

SnapshotWriter::SnapshotWriter(asio::io_context& loop, log::Appender& appender,
                               const Tailer& tailer, core::ProcessId self,
                               SnapshotPolicy policy,
                               std::function<bool()> is_owner)
    : impl_(std::make_shared<Impl>(loop, appender, tailer, std::move(self),
                                   policy, std::move(is_owner))) {}

SnapshotWriter::~SnapshotWriter() = default;

void SnapshotWriter::Start() { impl_->Check(); }

}  // namespace camphormux::state
