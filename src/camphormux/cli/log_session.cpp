#include "camphormux/cli/log_session.hpp"

#include <memory>
#include <optional>
#include <utility>

#include <asio/steady_timer.hpp>

namespace camphormux::cli {
namespace internal {

constexpr std::size_t kMaxReadBytes = std::size_t{1} << 20;
constexpr core::Millis kRetryDelay{100};

/// Runs the loop until the slot is filled or the limit passes. The slot is
/// shared because the callback may run after the wait has timed out.
template <typename T>
std::optional<T> Await(asio::io_context& loop,
                       const std::shared_ptr<std::optional<T>>& slot,
                       core::Millis limit) {
  const core::MonotonicTime deadline = core::MonotonicNow() + limit;
  while (!slot->has_value() && core::MonotonicNow() < deadline) {
    loop.restart();
    loop.run_one_until(deadline);
  }
  return std::move(*slot);
}

}  // namespace internal

LogSession::LogSession(asio::io_context& loop, log::LogPort port,
                       core::Millis limit)
    : loop_(loop), port_(std::move(port)), limit_(limit) {}

log::ReadAnswer LogSession::Read(core::LogOffset from) {
  const auto slot = std::make_shared<std::optional<log::ReadAnswer>>();
  port_.read(log::kStateStream, from, internal::kMaxReadBytes, core::Millis(0),
             [slot](log::ReadAnswer answer) { *slot = std::move(answer); });
  auto answer = internal::Await(loop_, slot, limit_);
  return answer
             ? std::move(*answer)
             : log::ReadAnswer(log::ReadFailure{log::ReadError::kNoAnswer, {}});
}

ReadOutcome LogSession::ReadToEnd(
    core::LogOffset from,
    const std::function<void(const log::StoredRecord&)>& visit) {
  core::MonotonicTime deadline = core::MonotonicNow() + limit_;
  while (core::MonotonicNow() < deadline) {
    const log::ReadAnswer answer = Read(from);
    if (!answer.has_value()) {
      const log::ReadFailure& failure = answer.error();
      if (failure.error == log::ReadError::kBelowEarliest && failure.earliest) {
        from = *failure.earliest;
      } else {
        Pause(internal::kRetryDelay);
      }
      continue;
    }
    for (const log::StoredRecord& record : answer.value().records) {
      visit(record);
      from = core::Next(record.offset);
    }
    if (answer.value().next <= from) {
      return from;
    }
    deadline = core::MonotonicNow() + limit_;
  }
  return LogFailure::kUnreachable;
}

ReadOutcome LogSession::Follow(state::Follower& follower) {
  core::MonotonicTime deadline = core::MonotonicNow() + limit_;
  while (core::MonotonicNow() < deadline) {
    const log::ReadAnswer answer = Read(follower.read_from);
    if (answer.has_value()) {
      // Skipped records are not reported here; see `history`.
      (void)state::OnRead(follower, answer.value());
      deadline = core::MonotonicNow() + limit_;
    } else if (answer.error().error == log::ReadError::kBelowEarliest &&
               answer.error().earliest) {
      state::OnBelowEarliest(follower, *answer.error().earliest);
    } else {
      Pause(internal::kRetryDelay);
      continue;
    }
    if (follower.at_end) {
      return follower.read_from;
    }
    if (state::HasGap(follower)) {
      return LogFailure::kNoSnapshot;
    }
  }
  return LogFailure::kUnreachable;
}

log::AppendResult LogSession::Append(const std::string& data) {
  const auto slot = std::make_shared<std::optional<log::AppendResult>>();
  port_.append(log::kStateStream, data,
               [slot](log::AppendResult result) { *slot = result; });
  auto result = internal::Await(loop_, slot, limit_);
  return result ? *result : log::AppendResult(log::AppendError::kNoAnswer);
}

void LogSession::Pause(core::Millis time) {
  const auto slot = std::make_shared<std::optional<bool>>();
  asio::steady_timer timer(loop_, time);
  timer.async_wait([slot](const asio::error_code&) { *slot = true; });
  (void)internal::Await(loop_, slot, time + internal::kRetryDelay);
}

}  // namespace camphormux::cli
