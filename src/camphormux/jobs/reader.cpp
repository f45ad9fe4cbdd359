#include "camphormux/jobs/reader.hpp"

#include <algorithm>
#include <random>
#include <string>
#include <utility>

#include <asio/steady_timer.hpp>

#include "camphormux/core/random.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::jobs {
namespace internal {

constexpr std::size_t kMaxReadBytes = std::size_t{1} << 20;
// Long-poll time: the log holds a read for this long until a record arrives.
constexpr core::Millis kReadWait{1000};
constexpr core::Millis kMinBackoff{50};
constexpr core::Millis kMaxBackoff{2000};

}  // namespace internal

struct Reader::Impl : std::enable_shared_from_this<Reader::Impl> {
  Impl(asio::io_context& loop, log::LogPort log_port)
      : port(std::move(log_port)),
        timer(loop),
        random(core::SeededRandom(std::random_device{}())) {}

  void Read() {
    const core::MonotonicTime sent = core::MonotonicNow();
    port.read(log::kJobStream, fold.next, internal::kMaxReadBytes,
              internal::kReadWait,
              [weak = weak_from_this(), sent](const log::ReadAnswer& answer) {
                if (const auto self = weak.lock()) self->OnAnswer(sent, answer);
              });
  }

  void OnAnswer(core::MonotonicTime sent, const log::ReadAnswer& answer) {
    if (!answer.has_value()) {
      OnFailure(answer.error());
      return;
    }
    backoff = internal::kMinBackoff;
    for (const log::StoredRecord& record : answer.value().records) {
      const Applied applied = Apply(fold, record);
      changed.insert(applied.changed.begin(), applied.changed.end());
      for (const SkippedRecord& skipped : applied.skipped) {
        telemetry::Log(telemetry::Level::kWarning, "skipped a job record",
                       {{"offset", std::to_string(skipped.offset.value)},
                        {"reason", skipped.reason}});
      }
    }
    if (fold.next >= answer.value().next) confirmed_sent = sent;
    Read();
  }

  void OnFailure(const log::ReadFailure& failure) {
    if (failure.error == log::ReadError::kBelowEarliest && failure.earliest) {
      // Skipping loses no open job: each is repeated on the stream before its
      // records expire.
      telemetry::Log(telemetry::Level::kWarning,
                     "job records expired before they were read",
                     {{"from", std::to_string(fold.next.value)},
                      {"earliest", std::to_string(failure.earliest->value)}});
      fold.next = std::max(fold.next, *failure.earliest);
    }
    timer.expires_after(backoff / 2 + core::Jitter(random, backoff / 2));
    backoff = std::min(backoff * 2, internal::kMaxBackoff);
    timer.async_wait([weak = weak_from_this()](const asio::error_code& error) {
      const auto self = weak.lock();
      if (self && !error) self->Read();
    });
  }

  log::LogPort port;
  asio::steady_timer timer;
  core::Random random;
  Fold fold;
  std::set<core::JobId> changed;
  core::MonotonicTime confirmed_sent;
  core::Millis backoff = internal::kMinBackoff;
};

Reader::Reader(asio::io_context& loop, log::LogPort port)
    : impl_(std::make_shared<Impl>(loop, std::move(port))) {}

Reader::~Reader() = default;

void Reader::Start() { impl_->Read(); }

const Fold& Reader::fold() const { return impl_->fold; }

std::set<core::JobId> Reader::TakeChanged() {
  return std::exchange(impl_->changed, {});
}

core::MonotonicTime Reader::last_confirmed_sent() const {
  return impl_->confirmed_sent;
}

}  // namespace camphormux::jobs
