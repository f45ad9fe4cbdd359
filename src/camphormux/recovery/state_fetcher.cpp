#include "camphormux/recovery/state_fetcher.hpp"

#include <optional>
#include <utility>

#include <asio/steady_timer.hpp>

#include "camphormux/peer/client.hpp"
#include "camphormux/recovery/fetch.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::recovery {
namespace internal {

constexpr core::Millis kCheckPeriod{200};
/// Delay after a rejected or failed transfer; jitter of up to the same time is
/// added.
constexpr core::Millis kRetryDelay{500};
constexpr core::Millis kChunkTimeout = std::chrono::seconds(3);
/// Limits a transfer from a peer that answers each chunk slowly, so that it
/// does not delay the start for long.
constexpr core::Millis kTransferTimeout = std::chrono::seconds(30);
/// A chunk with its CBOR framing.
constexpr std::size_t kMaxAnswerBytes = 2 * state::kMaxChunkBytes;

}  // namespace internal

struct StateFetcher::Impl : std::enable_shared_from_this<StateFetcher::Impl> {
  Impl(asio::io_context& event_loop, state::Tailer& state_tailer,
       const membership::Node& node, core::Random random_source)
      : loop(event_loop),
        tailer(state_tailer),
        members(node),
        random(random_source),
        timer(event_loop) {}

  void ScheduleCheck(core::Millis delay);
  void StartTransferIfNeeded();
  void RequestChunk();
  void OnAnswer(const peer::Result& result);
  void AbortTransfer(const std::string& why);
  void FinishTransfer();

  asio::io_context& loop;
  state::Tailer& tailer;
  const membership::Node& members;
  core::Random random;
  asio::steady_timer timer;
  std::unique_ptr<peer::Client> client;
  core::ProcessId peer;
  core::MonotonicTime started_at;
  Fetch fetch;
  std::string progress;
};

void StateFetcher::Impl::ScheduleCheck(core::Millis delay) {
  timer.expires_after(delay);
  timer.async_wait([weak = weak_from_this()](const asio::error_code& error) {
    const auto self = weak.lock();
    if (self && !error) {
      self->StartTransferIfNeeded();
    }
  });
}

void StateFetcher::Impl::StartTransferIfNeeded() {
  client.reset();
  if (!state::NeedsBase(tailer.follower())) {
    ScheduleCheck(internal::kCheckPeriod);
    return;
  }
  const membership::Member* chosen =
      ChoosePeer(members.view(), tailer.follower().kept_from, peer, random);
  if (chosen == nullptr) {
    progress = kNoPeerHasState;
    ScheduleCheck(internal::kCheckPeriod);
    return;
  }
  peer = chosen->identity.process;
  started_at = core::MonotonicNow();
  fetch = {};
  peer::ClientOptions options;
  options.max_body_bytes = internal::kMaxAnswerBytes;
  client =
      std::make_unique<peer::Client>(loop, chosen->identity.address, options);
  RequestChunk();
}

void StateFetcher::Impl::RequestChunk() {
  progress = "transferring the state from " + peer.value + ", chunk " +
             std::to_string(fetch.next_index);
  client->Send({kChunkPath, Encode(NextQuery(fetch))}, internal::kChunkTimeout,
               [weak = weak_from_this()](const peer::Result& result) {
                 if (const auto self = weak.lock()) {
                   self->OnAnswer(result);
                 }
               });
}

void StateFetcher::Impl::OnAnswer(const peer::Result& result) {
  if (!result.has_value()) {
    AbortTransfer("no answer");
    return;
  }
  if (result.value().status != peer::kStatusOk) {
    AbortTransfer("status " + std::to_string(result.value().status));
    return;
  }
  const auto problem = AddAnswer(fetch, result.value().body);
  if (problem) {
    AbortTransfer(*problem);
  } else if (fetch.complete) {
    FinishTransfer();
  } else if (core::MonotonicNow() - started_at >= internal::kTransferTimeout) {
    AbortTransfer("the transfer exceeded its time limit");
  } else {
    RequestChunk();
  }
}

void StateFetcher::Impl::AbortTransfer(const std::string& why) {
  progress = "state transfer from " + peer.value + " failed: " + why;
  telemetry::Log(telemetry::Level::kWarning,
                 "state transfer from a peer failed",
                 {{"peer", peer.value}, {"reason", why}});
  fetch = {};
  ScheduleCheck(internal::kRetryDelay +
                core::Jitter(random, internal::kRetryDelay));
}

void StateFetcher::Impl::FinishTransfer() {
  const auto conflict = FindDigestConflict(*fetch.complete, members.view());
  if (conflict) {
    AbortTransfer(*conflict);
    return;
  }
  const std::string next = std::to_string(fetch.complete->next.value);
  const auto problem = tailer.TakeBase(std::move(*fetch.complete));
  if (problem) {
    AbortTransfer(*problem);
    return;
  }
  progress = "state from " + peer.value + " loaded";
  telemetry::Log(telemetry::Level::kInfo, "state loaded from a peer",
                 {{"peer", peer.value}, {"next", next}});
  fetch = {};
  ScheduleCheck(internal::kCheckPeriod);
}

StateFetcher::StateFetcher(asio::io_context& loop, state::Tailer& tailer,
                           const membership::Node& members, core::Random random)
    : impl_(std::make_shared<Impl>(loop, tailer, members, random)) {}

StateFetcher::~StateFetcher() { impl_->client.reset(); }

void StateFetcher::Start() { impl_->StartTransferIfNeeded(); }

state::Readiness StateFetcher::ready() const {
  state::Readiness readiness = impl_->tailer.ready();
  if (!readiness.ready && state::NeedsBase(impl_->tailer.follower()) &&
      !impl_->progress.empty()) {
    readiness.reason += "; " + impl_->progress;
  }
  return readiness;
}

}  // namespace camphormux::recovery
