#include "camphormux/coordinator/job_frontend.hpp"

#include <algorithm>
#include <utility>

#include <asio/steady_timer.hpp>

#include "camphormux/telemetry/log.hpp"

namespace camphormux::coordinator {
namespace internal {

/// Delay between two attempts.
constexpr core::Millis kRetryDelay{80};
/// A submission that is certainly not stored is refused after this time, so
/// that its caller can retry within its objective. Longer than a planned change
/// of holder.
constexpr core::Millis kSubmitTimeout{800};
/// The answer is sent this long before the caller's deadline: the network round
/// trip takes about 6 ms, and late processing adds some more.
constexpr core::Millis kAnswerMargin{50};
/// Least time in which the holder can store a job and answer. An attempt that
/// is cut off earlier leaves it unknown whether the job is stored.
constexpr core::Millis kMinAttemptTime{40};
/// Maximum time to wait for the holder's answer to one attempt.
constexpr core::Millis kAttemptTimeout{1000};
/// A query without an answer ends after this time.
constexpr core::Millis kQueryTimeout{1500};
/// Sent to callers as the time to retry after; a takeover takes about 1.5 s.
constexpr core::Millis kRetryAfter{1000};

core::Millis TimeLeft(core::MonotonicTime deadline) {
  return std::clamp(deadline - core::MonotonicNow(), core::Millis(1),
                    kAttemptTimeout);
}

}  // namespace internal

JobFrontend::JobFrontend(asio::io_context& loop, HolderClient& holder_client,
                         NodeMetrics& node_metrics,
                         std::function<void()> on_no_answer)
    : loop_(loop),
      holder_client_(holder_client),
      node_metrics_(node_metrics),
      on_no_answer_(std::move(on_no_answer)) {}

core::MonotonicTime JobFrontend::Bounded(core::MonotonicTime deadline) const {
  return last_answer_time_ ? std::min(deadline, *last_answer_time_) : deadline;
}

void JobFrontend::RunAfter(core::Millis delay, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(loop_, delay);
  timer->async_wait([weak = weak_from_this(), timer,
                     action = std::move(action)](const asio::error_code&) {
    if (weak.lock()) {
      action();
    }
  });
}

void JobFrontend::Submit(workload::JobSpec spec, core::MonotonicTime deadline,
                         std::function<void(SubmitAnswer)> done) {
  auto submission = std::make_shared<Submission>();
  submission->spec = std::move(spec);
  submission->arrived = core::MonotonicNow();
  submission->deadline = deadline - internal::kAnswerMargin;
  submission->done = std::move(done);
  SendAttempt(submission);
}

void JobFrontend::SendAttempt(const std::shared_ptr<Submission>& submission) {
  if (!submission->may_be_stored &&
      core::MonotonicNow() + internal::kMinAttemptTime >
          Bounded(submission->deadline)) {
    Finish(*submission, {SubmitOutcome::kUnavailable, internal::kRetryAfter});
    return;
  }
  ++submission->attempt_count;
  auto on_answer = [weak = weak_from_this(), submission](SubmitAnswer answer) {
    if (const auto self = weak.lock()) {
      self->OnAnswer(submission, answer);
    }
  };
  if (is_holder()) {
    holder_->Submit(submission->spec, std::move(on_answer));
  } else if (holder_client_.has_holder()) {
    holder_client_.Submit(submission->spec,
                          internal::TimeLeft(Bounded(submission->deadline)),
                          std::move(on_answer));
  } else {
    OnAnswer(submission, {SubmitOutcome::kUnavailable});
  }
}

void JobFrontend::OnAnswer(const std::shared_ptr<Submission>& submission,
                           SubmitAnswer answer) {
  const core::MonotonicTime now = core::MonotonicNow();
  switch (answer.outcome) {
    case SubmitOutcome::kAccepted:
      Finish(*submission, answer);
      return;
    case SubmitOutcome::kNoQueue:
    case SubmitOutcome::kRefused:
      // An earlier attempt may have stored the job.
      if (submission->may_be_stored) {
        answer.outcome = SubmitOutcome::kUnknown;
      }
      Finish(*submission, answer);
      return;
    case SubmitOutcome::kUnknown:
      submission->may_be_stored = true;
      break;
    case SubmitOutcome::kUnavailable:
      // The holder knows that it cannot store jobs for now, which another
      // attempt does not change.
      if (answer.retry_after.count() > 0 && !submission->may_be_stored) {
        Finish(*submission, answer);
        return;
      }
      break;
  }
  on_no_answer_();
  const core::MonotonicTime deadline = Bounded(submission->deadline);
  const core::MonotonicTime give_up_at =
      submission->may_be_stored
          ? deadline
          : std::min(deadline, submission->arrived + internal::kSubmitTimeout);
  if (now + internal::kRetryDelay >= give_up_at) {
    Finish(*submission,
           {submission->may_be_stored ? SubmitOutcome::kUnknown
                                      : SubmitOutcome::kUnavailable,
            internal::kRetryAfter});
    return;
  }
  RunAfter(internal::kRetryDelay,
           [this, submission] { SendAttempt(submission); });
}

void JobFrontend::Finish(const Submission& submission, SubmitAnswer answer) {
  const core::Millis took = core::MonotonicNow() - submission.arrived;
  node_metrics_.submit_seconds->Observe(
      std::chrono::duration<double>(took).count());
  const char* outcome = "accepted";
  switch (answer.outcome) {
    case SubmitOutcome::kAccepted:
      node_metrics_.accepted->Increment();
      break;
    case SubmitOutcome::kRefused:
      node_metrics_.refused->Increment();
      outcome = "refused";
      break;
    case SubmitOutcome::kNoQueue:
      outcome = "no such queue";
      break;
    case SubmitOutcome::kUnavailable:
      node_metrics_.unavailable->Increment();
      outcome = "unavailable";
      break;
    case SubmitOutcome::kUnknown:
      node_metrics_.unanswered->Increment();
      outcome = "unknown";
      break;
  }
  telemetry::Log(telemetry::Level::kInfo, "submission answered",
                 {{"job", submission.spec.id.value},
                  {"queue", submission.spec.queue.value},
                  {"outcome", outcome},
                  {"tries", std::to_string(submission.attempt_count)},
                  {"holder", is_holder() ? "here" : "elsewhere"},
                  {"milliseconds", std::to_string(took.count())}});
  submission.done(answer);
}

template <typename Answer>
void JobFrontend::QueryWithRetry(
    std::function<void(std::function<void(Answer)>)> send_request,
    std::function<bool(const Answer&)> is_final, core::MonotonicTime deadline,
    std::function<void(Answer)> done) {
  auto send_query = send_request;
  send_query([weak = weak_from_this(), send_request = std::move(send_request),
              is_final = std::move(is_final), deadline,
              done = std::move(done)](Answer answer) mutable {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    if (is_final(answer) || core::MonotonicNow() + internal::kRetryDelay >=
                                self->Bounded(deadline)) {
      done(std::move(answer));
      return;
    }
    self->on_no_answer_();
    self->RunAfter(internal::kRetryDelay,
                   [self = self.get(), send_request = std::move(send_request),
                    is_final = std::move(is_final), deadline,
                    done = std::move(done)]() mutable {
                     self->QueryWithRetry<Answer>(std::move(send_request),
                                                  std::move(is_final), deadline,
                                                  std::move(done));
                   });
  });
}

namespace internal {

core::MonotonicTime MaxQueryDeadline(core::MonotonicTime deadline) {
  return std::min(deadline - kAnswerMargin,
                  core::MonotonicNow() + kQueryTimeout);
}

std::string_view DescribeCancel(QueryOutcome outcome) {
  switch (outcome) {
    case QueryOutcome::kKnown:
      return "cancelled";
    case QueryOutcome::kNone:
      return "no such job";
    case QueryOutcome::kUnavailable:
      return "unavailable";
  }
  return "unavailable";
}

}  // namespace internal

void JobFrontend::State(const core::JobId& id, const workload::Caller& caller,
                        core::MonotonicTime deadline,
                        std::function<void(StateAnswer)> done) {
  const core::MonotonicTime until = internal::MaxQueryDeadline(deadline);
  auto log_unknown = [this, id,
                      done = std::move(done)](const StateAnswer& answer) {
    if (answer.outcome == QueryOutcome::kNone) {
      telemetry::Log(
          telemetry::LogRateClass::kFrequent, telemetry::Level::kInfo,
          "job not known",
          {{"job", id.value}, {"holder", is_holder() ? "here" : "elsewhere"}});
    }
    done(answer);
  };
  QueryWithRetry<StateAnswer>(
      [this, id, caller, until](std::function<void(StateAnswer)> answer) {
        if (is_holder()) {
          answer(holder_->StateOf(id, caller));
        } else if (holder_client_.has_holder()) {
          holder_client_.State(id, caller, internal::TimeLeft(Bounded(until)),
                               std::move(answer));
        } else {
          answer({QueryOutcome::kUnavailable});
        }
      },
      [](const StateAnswer& answer) {
        return answer.outcome != QueryOutcome::kUnavailable;
      },
      until, std::move(log_unknown));
}

void JobFrontend::CancelAtHolder(const core::JobId& id,
                                 const workload::Caller& caller,
                                 core::Millis timeout,
                                 std::function<void(QueryOutcome)> done) {
  auto answer_once = [answered = std::make_shared<bool>(false),
                      done = std::move(done)](std::optional<bool> known) {
    if (std::exchange(*answered, true)) {
      return;
    }
    if (!known) {
      done(QueryOutcome::kUnavailable);
    } else {
      done(*known ? QueryOutcome::kKnown : QueryOutcome::kNone);
    }
  };
  RunAfter(timeout, [answer_once] { answer_once(std::nullopt); });
  holder_->Cancel(id, caller, answer_once);
}

void JobFrontend::Cancel(const core::JobId& id, const workload::Caller& caller,
                         core::MonotonicTime deadline,
                         std::function<void(QueryOutcome)> done) {
  const core::MonotonicTime until = deadline - internal::kAnswerMargin;
  auto tries = std::make_shared<std::uint32_t>(0);
  auto log_answer = [this, id, tries, arrived = core::MonotonicNow(),
                     done = std::move(done)](QueryOutcome outcome) {
    const core::Millis took = core::MonotonicNow() - arrived;
    switch (outcome) {
      case QueryOutcome::kKnown:
        node_metrics_.cancelled->Increment();
        break;
      case QueryOutcome::kNone:
        node_metrics_.cancelled_unknown->Increment();
        break;
      case QueryOutcome::kUnavailable:
        node_metrics_.cancel_unavailable->Increment();
        break;
    }
    telemetry::Log(telemetry::Level::kInfo, "cancellation answered",
                   {{"job", id.value},
                    {"outcome", std::string(internal::DescribeCancel(outcome))},
                    {"tries", std::to_string(*tries)},
                    {"holder", is_holder() ? "here" : "elsewhere"},
                    {"milliseconds", std::to_string(took.count())}});
    done(outcome);
  };
  QueryWithRetry<QueryOutcome>(
      [this, id, caller, until,
       tries](std::function<void(QueryOutcome)> answer) {
        ++*tries;
        if (is_holder()) {
          CancelAtHolder(id, caller, internal::TimeLeft(Bounded(until)),
                         std::move(answer));
        } else if (holder_client_.has_holder()) {
          holder_client_.Cancel(id, caller, internal::TimeLeft(Bounded(until)),
                                std::move(answer));
        } else {
          answer(QueryOutcome::kUnavailable);
        }
      },
      [](const QueryOutcome& answer) {
        return answer != QueryOutcome::kUnavailable;
      },
      until, std::move(log_answer));
}

void JobFrontend::Pending(const workload::QueueName& queue,
                          core::MonotonicTime deadline,
                          std::function<void(CountAnswer)> done) {
  const core::MonotonicTime until = internal::MaxQueryDeadline(deadline);
  QueryWithRetry<CountAnswer>(
      [this, queue, until](std::function<void(CountAnswer)> answer) {
        if (is_holder()) {
          answer(holder_->Pending(queue));
        } else if (holder_client_.has_holder()) {
          holder_client_.Pending(queue, internal::TimeLeft(Bounded(until)),
                                 std::move(answer));
        } else {
          answer({QueryOutcome::kUnavailable});
        }
      },
      [](const CountAnswer& answer) {
        return answer.outcome != QueryOutcome::kUnavailable;
      },
      until, std::move(done));
}

}  // namespace camphormux::coordinator
