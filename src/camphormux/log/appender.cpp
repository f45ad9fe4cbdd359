#include "camphormux/log/appender.hpp"

#include <map>
#include <random>
#include <utility>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace camphormux::log {
namespace internal {

// Bytes per read when a batch is looked for after a lost answer.
constexpr std::size_t kReadBackBytes = std::size_t{1} << 20;

std::uint64_t RandomNumber() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

AppenderOptions WithRandomDefaults(AppenderOptions options) {
  if (options.writer.empty()) {
    options.writer = std::to_string(RandomNumber());
  }
  if (options.seed == 0) {
    options.seed = RandomNumber();
  }
  return options;
}

}  // namespace internal

struct Appender::Impl : std::enable_shared_from_this<Appender::Impl> {
  using Done = std::function<void(AppendResult)>;

  Impl(asio::io_context& event_loop, LogPort log_port, std::string name,
       AppenderOptions options)
      : loop(event_loop),
        port(std::move(log_port)),
        stream(std::move(name)),
        timer(event_loop),
        batcher(MakeBatcher(internal::WithRandomDefaults(std::move(options)))) {
  }

  void Perform(BatcherEffects effects) {
    Notify(effects.completions);
    if (effects.append) {
      port.append(stream, std::move(*effects.append),
                  [weak = weak_from_this()](const AppendResult& answer) {
                    if (const auto self = weak.lock()) {
                      BatcherEffects next;
                      OnAppendAnswer(self->batcher, answer,
                                     core::MonotonicNow(), next);
                      self->Perform(std::move(next));
                    }
                  });
    }
    if (effects.read) {
      port.read(
          stream, *effects.read, internal::kReadBackBytes, core::Millis{0},
          [weak = weak_from_this()](const ReadAnswer& answer) {
            if (const auto self = weak.lock()) {
              BatcherEffects next;
              OnReadAnswer(self->batcher, answer, core::MonotonicNow(), next);
              self->Perform(std::move(next));
            }
          });
    }
    if (effects.timer) {
      StartTimer(*effects.timer);
    }
  }

  void StartTimer(core::Millis delay) {
    timer.expires_after(delay);
    timer.async_wait([weak = weak_from_this()](const asio::error_code& error) {
      const auto self = weak.lock();
      if (self && !error) {
        BatcherEffects next;
        OnTimer(self->batcher, core::MonotonicNow(), next);
        self->Perform(std::move(next));
      }
    });
  }

  // Posts the callbacks to the loop, so that a callback may append again or
  // destroy the appender.
  void Notify(const std::vector<Completion>& completions) {
    for (const Completion& completion : completions) {
      auto node = callbacks.extract(completion.number);
      asio::post(loop,
                 [weak = weak_from_this(), done = std::move(node.mapped()),
                  result = completion.result] {
                   if (!weak.expired()) {
                     done(result);
                   }
                 });
    }
  }

  asio::io_context& loop;
  LogPort port;
  std::string stream;
  asio::steady_timer timer;
  Batcher batcher;
  std::map<std::uint64_t, Done> callbacks;
};

Appender::Appender(asio::io_context& loop, LogPort port, std::string stream,
                   AppenderOptions options)
    : impl_(std::make_shared<Impl>(loop, std::move(port), std::move(stream),
                                   std::move(options))) {}

Appender::~Appender() = default;

void Appender::Append(std::string entry,
                      std::function<void(AppendResult)> done) {
  BatcherEffects effects;
  const std::uint64_t number =
      Enqueue(impl_->batcher, std::move(entry), core::MonotonicNow(), effects);
  impl_->callbacks.emplace(number, std::move(done));
  impl_->Perform(std::move(effects));
}

std::size_t Appender::queued() const {
  return impl_->batcher.waiting.size() + impl_->batcher.in_flight.size();
}

}  // namespace camphormux::log
