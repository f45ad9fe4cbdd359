#include "camphormux/state/tailer.hpp"

#include <algorithm>
#include <random>
#include <string>
#include <utility>

#include <asio/steady_timer.hpp>

#include "camphormux/core/random.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::state {
namespace internal {

constexpr std::size_t kReadBytes = std::size_t{1} << 20;
// A read waits so long for the next record; roll-out needs no polling.
constexpr core::Millis kReadWait{1000};
constexpr core::Millis kFirstBackoff{50};
/// After a cut, the last read that was lost ends by its timeout of 3 s; with
/// this back-off the next one is sent within 4 s, so that the state is in force
/// within 5 s.
constexpr core::Millis kMaxBackoff{1000};

}  // namespace internal

struct Tailer::Impl : std::enable_shared_from_this<Tailer::Impl> {
  Impl(asio::io_context& loop, log::LogPort log_port,
       std::function<void(const FleetState&)> changed)
      : port(std::move(log_port)),
        on_change(std::move(changed)),
        timer(loop),
        random(core::SeededRandom(std::random_device{}())) {}

  void Read() {
    const core::MonotonicTime sent = core::MonotonicNow();
    port.read(log::kStateStream, follower.read_from, internal::kReadBytes,
              failing ? core::Millis(0) : internal::kReadWait,
              [weak = weak_from_this(), sent,
               from = follower.read_from](const log::ReadAnswer& answer) {
                const auto self = weak.lock();
                if (!self) {
                  return;
                }
                // A peer's state was taken meanwhile; the answer skips records
                // that follow it.
                if (from != self->follower.read_from) {
                  self->Read();
                  return;
                }
                self->OnAnswer(sent, answer);
              });
  }

  void OnAnswer(core::MonotonicTime sent, const log::ReadAnswer& answer) {
    if (!answer.has_value()) {
      OnFailure(answer.error());
      return;
    }
    backoff = internal::kFirstBackoff;
    failing = false;
    answered = core::MonotonicNow();
    const FollowResult result = OnRead(follower, answer.value());
    for (const SkippedRecord& skipped : result.skipped) {
      telemetry::Log(telemetry::Level::kWarning, "skipped a record",
                     {{"offset", std::to_string(skipped.offset.value)},
                      {"reason", skipped.reason}});
    }
    if (follower.at_end) {
      confirmed = core::MonotonicNow();
      confirmed_sent = sent;
    }
    if (result.changed) {
      on_change(follower.state);
    }
    Read();
  }

  void OnFailure(const log::ReadFailure& failure) {
    failing = true;
    if (failure.error == log::ReadError::kBelowEarliest && failure.earliest) {
      telemetry::Log(telemetry::Level::kWarning, "records expired unread",
                     {{"from", std::to_string(follower.read_from.value)},
                      {"earliest", std::to_string(failure.earliest->value)}});
      OnBelowEarliest(follower, *failure.earliest);
    }
    timer.expires_after(backoff / 2 + core::Jitter(random, backoff / 2));
    backoff = std::min(backoff * 2, internal::kMaxBackoff);
    timer.async_wait([weak = weak_from_this()](const asio::error_code& error) {
      const auto self = weak.lock();
      if (self && !error) {
        self->Read();
      }
    });
  }

  log::LogPort port;
  std::function<void(const FleetState&)> on_change;
  asio::steady_timer timer;
  core::Random random;
  Follower follower;
  core::MonotonicTime answered;
  core::MonotonicTime confirmed;
  core::MonotonicTime confirmed_sent;
  core::Millis backoff = internal::kFirstBackoff;
  /// The last read got no answer. The next one does not wait for records, so
  /// that it ends sooner if it is lost too.
  bool failing = false;
};

Tailer::Tailer(asio::io_context& loop, log::LogPort port,
               std::function<void(const FleetState&)> on_change)
    : impl_(std::make_shared<Impl>(loop, std::move(port),
                                   std::move(on_change))) {}

Tailer::~Tailer() = default;

void Tailer::Start() { impl_->Read(); }

std::optional<std::string> Tailer::TakeBase(FleetState base) {
  return state::TakeBase(impl_->follower, std::move(base));
}

const FleetState& Tailer::state() const { return impl_->follower.state; }

Readiness Tailer::ready() const {
  const auto reason = WhyNotReady(impl_->follower);
  return {!reason.has_value(), reason.value_or("")};
}

const Follower& Tailer::follower() const { return impl_->follower; }

bool Tailer::at_end() const { return impl_->follower.at_end; }

core::MonotonicTime Tailer::last_confirmed() const { return impl_->confirmed; }

core::MonotonicTime Tailer::last_answered() const { return impl_->answered; }

core::MonotonicTime Tailer::last_confirmed_sent() const {
  return impl_->confirmed_sent;
}

}  // namespace camphormux::state
