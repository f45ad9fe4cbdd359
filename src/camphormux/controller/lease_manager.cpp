#include "camphormux/controller/lease_manager.hpp"

#include <utility>

#include <asio/steady_timer.hpp>

#include "camphormux/state/codec.hpp"

namespace camphormux::controller {

struct LeaseManager::Impl : std::enable_shared_from_this<LeaseManager::Impl> {
  Impl(asio::io_context& loop, log::Appender& state_appender,
       const state::Tailer& state_tailer, ownership::Lease initial)
      : appender(state_appender),
        tailer(state_tailer),
        lease(std::move(initial)),
        timer(loop) {}

  void Append(const state::Record& record, core::MonotonicTime sent);
  void FinishRelease();

  log::Appender& appender;
  const state::Tailer& tailer;
  ownership::Lease lease;
  asio::steady_timer timer;
  std::function<void()> on_released;
};

void LeaseManager::Impl::Append(const state::Record& record,
                                core::MonotonicTime sent) {
  appender.Append(
      state::EncodeRecords({record}),
      [weak = weak_from_this(), sent](const log::AppendResult& result) {
        const auto impl = weak.lock();
        if (impl && result.has_value()) {
          ownership::OnAppended(impl->lease, sent);
        }
      });
}

// Called by the log's answer and by the deadline; only the first call reports
// completion.
void LeaseManager::Impl::FinishRelease() {
  timer.cancel();
  if (on_released) {
    std::exchange(on_released, nullptr)();
  }
}

LeaseManager::LeaseManager(asio::io_context& loop, log::Appender& appender,
                           const state::Tailer& tailer, ownership::Lease lease)
    : impl_(std::make_shared<Impl>(loop, appender, tailer, std::move(lease))) {}

LeaseManager::~LeaseManager() = default;

void LeaseManager::Step(core::MonotonicTime now) {
  const state::Tailer& tailer = impl_->tailer;
  const auto& leases = tailer.state().leases;
  const auto found = leases.find(impl_->lease.zone);
  ownership::LogView view;
  view.lease = found == leases.end() ? nullptr : &found->second;
  if (tailer.at_end()) {
    view.complete_until = tailer.last_confirmed_sent();
  }
  const ownership::LeaseStep step = ownership::Advance(impl_->lease, view, now);
  if (step.claim) {
    impl_->Append(*step.claim, now);
  }
  if (step.renew) {
    impl_->Append(*step.renew, now);
  }
}

std::optional<core::Epoch> LeaseManager::HeldEpoch(
    core::MonotonicTime now) const {
  return ownership::HeldEpoch(impl_->lease, now);
}

void LeaseManager::Release(core::MonotonicTime deadline,
                           std::function<void()> done) {
  const auto release = ownership::Release(impl_->lease);
  if (!release) {
    done();
    return;
  }
  impl_->on_released = std::move(done);
  const auto finish = [weak = std::weak_ptr(impl_)] {
    if (const auto impl = weak.lock()) {
      impl->FinishRelease();
    }
  };
  impl_->timer.expires_at(deadline);
  impl_->timer.async_wait([finish](const asio::error_code& error) {
    if (!error) {
      finish();
    }
  });
  impl_->appender.Append(state::EncodeRecords({*release}),
                         [finish](const log::AppendResult&) { finish(); });
}

}  // namespace camphormux::controller
