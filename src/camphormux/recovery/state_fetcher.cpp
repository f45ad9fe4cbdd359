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
/// Back-off after a refused or broken transfer, plus as much jitter.
constexpr core::Millis kRetryAfter{500};
constexpr core::Millis kChunkTimeout = std::chrono::seconds(3);
/// A peer that answers each chunk slowly does not hold the start up for long.
constexpr core::Millis kFetchLimit = std::chrono::seconds(30);
/// A chunk with its CBOR framing.
constexpr std::size_t kMaxAnswerBytes = 2 * state::kMaxChunkBytes;

}  // namespace internal

struct StateFetcher::Impl : std::enable_shared_from_this<StateFetcher::Impl> {
  Impl(asio::io_context& event_loop, state::Tailer& state_tailer,
       const membership::Node& node, core::Random source)
      : loop(event_loop),
        tailer(state_tailer),
        members(node),
        random(source),
        timer(event_loop) {}

  void Wait(core::Millis delay);
  void Check();
  void Ask();
  void OnAnswer(const peer::Result& result);
  void Fail(const std::string& why);
  void Finish();

  asio::io_context& loop;
  state::Tailer& tailer;
  const membership::Node& members;
  core::Random random;
  asio::steady_timer timer;
  std::unique_ptr<peer::Client> client;
  core::ProcessId peer;
  core::MonotonicTime began;
  Fetch fetch;
  std::string progress;
};

void StateFetcher::Impl::Wait(core::Millis delay) {
  timer.expires_after(delay);
  timer.async_wait([weak = weak_from_this()](const asio::error_code& error) {
    const auto self = weak.lock();
    if (self && !error) {
      self->Check();
    }
  });
}

void StateFetcher::Impl::Check() {
  client.reset();
  if (!state::NeedsBase(tailer.follower())) {
    Wait(internal::kCheckPeriod);
    return;
  }
  const membership::Member* chosen =
      ChoosePeer(members.view(), tailer.follower().kept_from, peer, random);
  if (chosen == nullptr) {
    progress = kNoPeerHasState;
    Wait(internal::kCheckPeriod);
    return;
  }
  peer = chosen->identity.process;
  began = core::MonotonicNow();
  fetch = {};
  peer::ClientOptions options;
  options.max_body_bytes = internal::kMaxAnswerBytes;
  client =
      std::make_unique<peer::Client>(loop, chosen->identity.address, options);
  Ask();
}

void StateFetcher::Impl::Ask() {
  progress = "taking the state from " + peer.value + ", chunk " +
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
    Fail("no answer");
    return;
  }
  if (result.value().status != peer::kStatusOk) {
    Fail("status " + std::to_string(result.value().status));
    return;
  }
  const auto problem = TakeAnswer(fetch, result.value().body);
  if (problem) {
    Fail(*problem);
  } else if (fetch.complete) {
    Finish();
  } else if (core::MonotonicNow() - began >= internal::kFetchLimit) {
    Fail("the transfer takes too long");
  } else {
    Ask();
  }
}

void StateFetcher::Impl::Fail(const std::string& why) {
  progress = "the state of " + peer.value + " was refused: " + why;
  telemetry::Log(telemetry::Level::kWarning, "no state from a peer",
                 {{"peer", peer.value}, {"reason", why}});
  fetch = {};
  Wait(internal::kRetryAfter + core::Jitter(random, internal::kRetryAfter));
}

void StateFetcher::Impl::Finish() {
  const auto contradiction = Contradiction(*fetch.complete, members.view());
  if (contradiction) {
    Fail(*contradiction);
    return;
  }
  const std::string next = std::to_string(fetch.complete->next.value);
  const auto problem = tailer.TakeBase(std::move(*fetch.complete));
  if (problem) {
    Fail(*problem);
    return;
  }
  progress = "the state of " + peer.value + " is loaded";
  telemetry::Log(telemetry::Level::kInfo, "took the state from a peer",
                 {{"peer", peer.value}, {"next", next}});
  fetch = {};
  Wait(internal::kCheckPeriod);
}

StateFetcher::StateFetcher(asio::io_context& loop, state::Tailer& tailer,
                           const membership::Node& members, core::Random random)
    : impl_(std::make_shared<Impl>(loop, tailer, members, random)) {}

StateFetcher::~StateFetcher() { impl_->client.reset(); }

void StateFetcher::Start() { impl_->Check(); }

state::Readiness StateFetcher::ready() const {
  state::Readiness readiness = impl_->tailer.ready();
  if (!readiness.ready && state::NeedsBase(impl_->tailer.follower()) &&
      !impl_->progress.empty()) {
    readiness.reason += "; " + impl_->progress;
  }
  return readiness;
}

}  // namespace camphormux::recovery
