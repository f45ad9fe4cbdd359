#include "camphormux/idempotency/key_store.hpp"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include "camphormux/idempotency/answer_query.hpp"
#include "camphormux/peer/client.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::idempotency {
namespace {

using internal::AnswerReply;
using internal::AnswerState;

constexpr std::size_t kMaxReadBytes = std::size_t{1} << 20;

// Intervals of the timer while claims, releases or waiters are pending, and
// otherwise.
constexpr core::Millis kBusyTickInterval{10};
constexpr core::Millis kIdleTickInterval{100};

struct Attempt {
  Key key;
  core::ServiceName service;
  core::MonotonicTime deadline;
  std::function<void(ClaimOutcome)> done;
};

using AttemptPtr = std::shared_ptr<Attempt>;

/// A request that waits for the end of a run.
struct Waiter {
  std::uint64_t number = 0;
  core::MonotonicTime deadline;
  std::function<void(AnswerReply)> done;
};

ClaimOutcome Outcome(ClaimResult result, ClaimReason reason,
                     bool not_run_proven = false) {
  return {result, reason, not_run_proven, std::nullopt};
}

ClaimOutcome ToOutcome(DecisionKind kind) {
  switch (kind) {
    case DecisionKind::kRun:
      return Outcome(ClaimResult::kRun, ClaimReason::kNone);
    case DecisionKind::kServiceMismatch:
      return Outcome(ClaimResult::kUnknown, ClaimReason::kKeyServiceMismatch);
    case DecisionKind::kExpired:
      return Outcome(ClaimResult::kUnknown, ClaimReason::kKeyExpired);
    case DecisionKind::kTooFarAhead:
      return Outcome(ClaimResult::kUnavailable, ClaimReason::kKeyTooFarAhead,
                     true);
    case DecisionKind::kRecordsUnread:
      return Outcome(ClaimResult::kUnknown, ClaimReason::kRecordsMissing);
    case DecisionKind::kNotRun:
      return Outcome(ClaimResult::kUnavailable, ClaimReason::kStoreUnavailable,
                     true);
    case DecisionKind::kAlreadyHeld:
    case DecisionKind::kNotConfirmed:
      break;
  }
  return Outcome(ClaimResult::kUnavailable, ClaimReason::kStoreUnavailable);
}

}  // namespace

struct KeyStore::Impl : std::enable_shared_from_this<KeyStore::Impl> {
  Impl(asio::io_context& event_loop, log::LogPort log_port,
       const KeyStoreOptions& parts, Locate find)
      : loop(event_loop),
        timer(event_loop),
        port(std::move(log_port)),
        options(parts),
        locate(std::move(find)),
        claims(MakeClaims(parts.self, parts.policy, parts.seed)) {
    answers.max_bytes = parts.max_answer_bytes_total;
  }

  void Begin(const AttemptPtr& attempt);
  void AdvanceClaims();
  void ApplyEffects(Effects effects);
  void OnDecision(const Decision& decision);
  void QueryHolder(const AttemptPtr& attempt, const Hold& hold);
  void QueryPeer(const AttemptPtr& attempt, const Hold& hold);
  void OnReply(const AttemptPtr& attempt, const AnswerReply& reply);
  void Retry(const AttemptPtr& attempt);
  void WaitForRun(const Key& key, Waiter waiter);
  [[nodiscard]] std::optional<AnswerReply> AvailableReply(
      const Key& key, std::uint64_t number) const;
  void CompleteWaiters();
  void Tick();

  asio::io_context& loop;
  asio::steady_timer timer;
  log::LogPort port;
  KeyStoreOptions options;
  Locate locate;
  Claims claims;
  AnswerCache answers;
  std::map<std::uint64_t, AttemptPtr> attempts;  ///< By number of the claim.
  std::multimap<Key, Waiter> waiters;
  std::map<core::Address, std::unique_ptr<peer::Client>> clients;
  bool closed = false;
};

void KeyStore::Impl::Begin(const AttemptPtr& attempt) {
  const core::MonotonicTime now = core::MonotonicNow();
  if (now >= attempt->deadline) {
    attempt->done(ToOutcome(DecisionKind::kNotConfirmed));
    return;
  }
  Effects effects;
  // `BeginClaim` may decide at once, so the attempt is stored in advance under
  // the number that the claim will get.
  attempts[claims.last_number + 1] = attempt;
  BeginClaim(claims, attempt->key, attempt->service, attempt->deadline - now,
             now, effects);
  ApplyEffects(std::move(effects));
  AdvanceClaims();
}

void KeyStore::Impl::AdvanceClaims() {
  Effects effects;
  Advance(claims, core::MonotonicNow(), effects);
  ApplyEffects(std::move(effects));
}

void KeyStore::Impl::ApplyEffects(Effects effects) {
  for (AppendRequest& request : effects.appends) {
    port.append(log::kKeyStream, std::move(request.data),
                [weak = weak_from_this(),
                 batch = request.batch](const log::AppendResult& result) {
                  const auto self = weak.lock();
                  if (self && !self->closed) {
                    OnAppend(self->claims, batch, result, core::MonotonicNow());
                    self->AdvanceClaims();
                  }
                });
  }
  if (effects.read) {
    const core::Millis wait =
        claims.waiting.empty()
            ? options.read_wait
            : std::min(options.read_wait, options.busy_read_wait);
    port.read(log::kKeyStream, effects.read->from, kMaxReadBytes, wait,
              [weak = weak_from_this(),
               serial = effects.read->serial](const log::ReadAnswer& answer) {
                const auto self = weak.lock();
                if (self && !self->closed) {
                  Effects decided;
                  OnRead(self->claims, serial, answer, core::MonotonicNow(),
                         decided);
                  self->ApplyEffects(std::move(decided));
                  self->AdvanceClaims();
                }
              });
  }
  for (const Decision& decision : effects.decisions) {
    OnDecision(decision);
  }
  if (!effects.decisions.empty()) {
    CompleteWaiters();
  }
}

void KeyStore::Impl::OnDecision(const Decision& decision) {
  const auto found = attempts.find(decision.number);
  if (found == attempts.end()) {
    return;
  }
  const AttemptPtr attempt = found->second;
  attempts.erase(found);
  if (decision.kind == DecisionKind::kAlreadyHeld) {
    QueryHolder(attempt, *decision.hold);
    return;
  }
  attempt->done(ToOutcome(decision.kind));
}

void KeyStore::Impl::QueryHolder(const AttemptPtr& attempt, const Hold& hold) {
  if (hold.claimant.gateway != options.self.gateway) {
    QueryPeer(attempt, hold);
    return;
  }
  if (hold.claimant != options.self) {
    // An earlier incarnation of this gateway holds the key.
    attempt->done(Outcome(ClaimResult::kUnknown, ClaimReason::kAnswerLost));
    return;
  }
  WaitForRun(attempt->key,
             {hold.number, attempt->deadline,
              [weak = weak_from_this(), attempt](const AnswerReply& reply) {
                if (const auto self = weak.lock()) {
                  self->OnReply(attempt, reply);
                }
              }});
}

void KeyStore::Impl::QueryPeer(const AttemptPtr& attempt, const Hold& hold) {
  const auto address = locate(hold.claimant.gateway);
  const core::Millis wait = attempt->deadline - core::MonotonicNow();
  if (!address || wait <= core::Millis(0)) {
    attempt->done(
        Outcome(ClaimResult::kUnknown, ClaimReason::kOwnerUnreachable));
    return;
  }
  auto& client = clients[*address];
  if (!client) {
    peer::ClientOptions client_options;
    client_options.source_ip = options.source_ip;
    client = std::make_unique<peer::Client>(loop, *address, client_options);
  }
  client->Send(
      {kAnswerPath,
       Encode(internal::AnswerQuery{attempt->key, hold.claimant.incarnation,
                                    hold.number, wait})},
      wait, [weak = weak_from_this(), attempt](const peer::Result& result) {
        const auto self = weak.lock();
        if (!self || self->closed) {
          return;
        }
        const auto reply = result.has_value()
                               ? internal::DecodeReply(result.value().body)
                               : std::nullopt;
        if (reply) {
          self->OnReply(attempt, *reply);
        } else {
          attempt->done(
              Outcome(ClaimResult::kUnknown, ClaimReason::kOwnerUnreachable));
        }
      });
}

void KeyStore::Impl::OnReply(const AttemptPtr& attempt,
                             const AnswerReply& reply) {
  if (reply.state == AnswerState::kNeverRun) {
    Retry(attempt);
    return;
  }
  ClaimOutcome outcome =
      Outcome(ClaimResult::kUnknown, ClaimReason::kAnswerLost);
  if (reply.state == AnswerState::kAnswered) {
    outcome.answer = DecodeAnswer(reply.data);
  }
  if (outcome.answer) {
    outcome.result = ClaimResult::kAnswered;
    outcome.reason = ClaimReason::kNone;
  }
  attempt->done(std::move(outcome));
}

/// Claims again after a wait, because the holder has released the key and its
/// release will be read soon.
void KeyStore::Impl::Retry(const AttemptPtr& attempt) {
  auto wait = std::make_shared<asio::steady_timer>(loop);
  wait->expires_after(options.retry_wait);
  wait->async_wait([weak = weak_from_this(), attempt,
                    wait](const asio::error_code& /*error*/) {
    const auto self = weak.lock();
    if (self && !self->closed) {
      self->Begin(attempt);
    }
  });
}

std::optional<AnswerReply> KeyStore::Impl::AvailableReply(
    const Key& key, std::uint64_t number) const {
  switch (RunStateOf(claims, key, number)) {
    case RunState::kPending:
      return std::nullopt;
    case RunState::kNeverRun:
      return AnswerReply{AnswerState::kNeverRun, {}};
    case RunState::kExpired:
      return AnswerReply{AnswerState::kUnknown, {}};
    case RunState::kFinished:
      break;
  }
  const std::string* data = Find(answers, key);
  return data == nullptr ? AnswerReply{AnswerState::kUnknown, {}}
                         : AnswerReply{AnswerState::kAnswered, *data};
}

void KeyStore::Impl::WaitForRun(const Key& key, Waiter waiter) {
  if (auto reply = AvailableReply(key, waiter.number)) {
    waiter.done(std::move(*reply));
    return;
  }
  waiters.emplace(key, std::move(waiter));
}

void KeyStore::Impl::CompleteWaiters() {
  std::vector<std::pair<Waiter, AnswerReply>> ready;
  const core::MonotonicTime now = core::MonotonicNow();
  for (auto it = waiters.begin(); it != waiters.end();) {
    auto reply = AvailableReply(it->first, it->second.number);
    if (!reply && now >= it->second.deadline) {
      reply = AnswerReply{AnswerState::kUnknown, {}};
    }
    if (!reply) {
      ++it;
      continue;
    }
    ready.emplace_back(std::move(it->second), std::move(*reply));
    it = waiters.erase(it);
  }
  for (auto& [waiter, reply] : ready) {
    waiter.done(std::move(reply));
  }
}

void KeyStore::Impl::Tick() {
  AdvanceClaims();
  CompleteWaiters();
  const bool busy =
      !claims.waiting.empty() || !claims.releases.empty() || !waiters.empty();
  timer.expires_after(busy ? kBusyTickInterval : kIdleTickInterval);
  timer.async_wait([weak = weak_from_this()](const asio::error_code& error) {
    const auto self = weak.lock();
    if (!error && self && !self->closed) {
      self->Tick();
    }
  });
}

KeyStore::KeyStore(asio::io_context& loop, log::LogPort port,
                   const KeyStoreOptions& options, Locate locate)
    : impl_(std::make_shared<Impl>(loop, std::move(port), options,
                                   std::move(locate))) {}

KeyStore::~KeyStore() {
  impl_->closed = true;
  impl_->timer.cancel();
  impl_->clients.clear();
}

void KeyStore::Start() { impl_->Tick(); }

void KeyStore::Claim(const std::string& key, const core::ServiceName& service,
                     core::Millis timeout,
                     std::function<void(ClaimOutcome)> done) {
  const auto parsed = ParseKey(key);
  std::optional<ClaimOutcome> rejection;
  if (!parsed || service.value.size() > kMaxServiceBytes) {
    rejection =
        Outcome(ClaimResult::kUnavailable, ClaimReason::kInvalidKey, true);
  } else if (CheckAge(*parsed, core::WallNow()) == KeyProblem::kExpired) {
    // Keys ahead of the clock are judged by the log's clock only: with a wrong
    // local clock this process would report a key as never run that did run.
    rejection = Outcome(ClaimResult::kUnknown, ClaimReason::kKeyExpired);
  }
  auto attempt = std::make_shared<Attempt>();
  attempt->key = parsed.value_or(Key{});
  attempt->service = service;
  attempt->deadline = core::MonotonicNow() + timeout;
  attempt->done = std::move(done);
  asio::post(impl_->loop, [impl = impl_, attempt, rejection] {
    if (impl->closed) {
      return;
    }
    if (rejection) {
      attempt->done(*rejection);
    } else {
      impl->Begin(attempt);
    }
  });
}

void KeyStore::Release(const std::string& key) {
  if (const auto parsed = ParseKey(key)) {
    ReleaseRun(impl_->claims, *parsed);
    impl_->CompleteWaiters();
    impl_->AdvanceClaims();
  }
}

void KeyStore::Store(const std::string& key, const StoredAnswer& answer) {
  if (const auto parsed = ParseKey(key)) {
    Put(impl_->answers, *parsed, Encode(answer), core::MonotonicNow());
    FinishRun(impl_->claims, *parsed);
    impl_->CompleteWaiters();
  }
}

void KeyStore::FinishWithoutAnswer(const std::string& key) {
  if (const auto parsed = ParseKey(key)) {
    FinishRun(impl_->claims, *parsed);
    impl_->CompleteWaiters();
  }
}

void KeyStore::Handle(const peer::Request& request,
                      const peer::Respond& respond) {
  const auto query = internal::DecodeQuery(request.body);
  if (!query) {
    telemetry::Log(telemetry::Level::kWarning, "malformed answer query",
                   {{"bytes", std::to_string(request.body.size())}});
    respond({peer::kStatusBadRequest, {}});
    return;
  }
  const auto reply = [respond](const AnswerReply& answer) {
    respond({peer::kStatusOk, Encode(answer)});
  };
  if (query->incarnation != impl_->options.self.incarnation) {
    reply({AnswerState::kUnknown, {}});
    return;
  }
  impl_->WaitForRun(query->key,
                    {query->number, core::MonotonicNow() + query->wait, reply});
}

KeyStorePort KeyStore::Port() {
  KeyStorePort port;
  port.claim = [this](const std::string& key, const core::ServiceName& service,
                      core::Millis timeout,
                      std::function<void(ClaimOutcome)> done) {
    Claim(key, service, timeout, std::move(done));
  };
  port.release = [this](const std::string& key) { Release(key); };
  port.store = [this](const std::string& key, const StoredAnswer& answer) {
    Store(key, answer);
  };
  port.finish_without_answer = [this](const std::string& key) {
    FinishWithoutAnswer(key);
  };
  return port;
}

const Claims& KeyStore::claims() const { return impl_->claims; }

}  // namespace camphormux::idempotency
