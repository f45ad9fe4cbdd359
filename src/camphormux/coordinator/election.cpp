#include "camphormux/coordinator/election.hpp"

#include <ctime>
#include <utility>

#include "camphormux/telemetry/log.hpp"

namespace camphormux::coordinator {
namespace internal {

/// A quarter of the time to live, so that a lost call does not cost ownership.
constexpr core::Millis kJoinPause{375};
constexpr core::Millis kSoon{30};
/// A node that does not join looks for the holder in these steps.
constexpr core::Millis kLookPause{1000};
/// Without a holder for this long, twice a takeover, any node will do.
constexpr core::Millis kReluctance{4000};
/// Least time between two questions for the holder's address.
constexpr core::Millis kFindPause{200};

/// Time since boot, with suspensions.
std::chrono::nanoseconds BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

}  // namespace internal

Election::Election(asio::io_context& loop, ElectionPort port, Listener listener,
                   bool reluctant)
    : timer_(loop),
      port_(std::move(port)),
      listener_(std::move(listener)),
      reluctant_(reluctant) {}

void Election::Start() {
  last_holder_ = core::MonotonicNow();
  Join();
}

void Election::Close() {
  closed_ = true;
  timer_.cancel();
}

bool Election::is_confirmed() const {
  return internal::BootTime() - confirmed_ < kOwnershipTtl;
}

void Election::Schedule(core::Millis delay) {
  // Never later than planned: many callers in trouble must not put it off.
  const core::MonotonicTime now = core::MonotonicNow();
  if (next_join_ > now && next_join_ <= now + delay) {
    return;
  }
  next_join_ = now + delay;
  timer_.expires_at(next_join_);
  timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
    const auto self = weak.lock();
    if (self && !error && !self->closed_) {
      self->Join();
    }
  });
}

void Election::Join() {
  if (left_ || joining_) {
    return;
  }
  next_join_ = core::MonotonicTime{};
  if (StandsBack()) {
    FindMembers();
    Schedule(internal::kLookPause);
    return;
  }
  joining_ = true;
  port_.join([weak = weak_from_this(), sent = internal::BootTime()](
                 const std::optional<MembershipAnswer>& answer) {
    const auto self = weak.lock();
    if (self && !self->closed_) {
      self->OnJoined(sent, answer);
    }
  });
}

void Election::OnJoined(std::chrono::nanoseconds sent,
                        const std::optional<MembershipAnswer>& answer) {
  joining_ = false;
  if (left_) {
    return;
  }
  Schedule(internal::kJoinPause);
  if (!answer) {
    if (!store_lost_) {
      store_lost_ = true;
      telemetry::Log(telemetry::Level::kWarning, "store lost",
                     {{"generation", std::to_string(generation_.value)}});
    }
    return;
  }
  if (store_lost_) {
    store_lost_ = false;
    telemetry::Log(telemetry::Level::kInfo, "store regained",
                   {{"generation", std::to_string(answer->generation.value)}});
  }
  confirmed_ = sent;
  const bool changed = answer->generation != generation_;
  generation_ = answer->generation;
  if (answer->holder && !held_) {
    held_ = true;
    holder_.reset();
    listener_.on_gain(generation_);
  } else if (!answer->holder && held_) {
    held_ = false;
    listener_.on_loss();
  }
  if (changed || (!held_ && !holder_)) {
    FindMembers();
  }
}

bool Election::StandsBack() {
  if (reluctant_ &&
      core::MonotonicNow() >= last_holder_ + internal::kReluctance) {
    reluctant_ = false;
    telemetry::Log(telemetry::Level::kWarning,
                   "no larger node holds the ownership; joining");
  }
  return reluctant_;
}

void Election::FindMembers() {
  const core::MonotonicTime now = core::MonotonicNow();
  if (finding_ || now < last_find_ + internal::kFindPause) {
    return;
  }
  finding_ = true;
  last_find_ = now;
  port_.find_members(
      [weak = weak_from_this()](const std::optional<Members>& members) {
        const auto self = weak.lock();
        if (!self || self->closed_) {
          return;
        }
        self->finding_ = false;
        if (!members) {
          return;
        }
        self->listener_.on_members(members->all);
        const std::optional<core::Address>& address = members->holder;
        if (address && self->holder_ != address && !self->held_) {
          telemetry::Log(
              telemetry::Level::kInfo, "holder found",
              {{"address", address->ip + ":" + std::to_string(address->port)},
               {"generation", std::to_string(self->generation_.value)}});
        }
        if (address && !self->held_) {
          self->holder_ = address;
          self->last_holder_ = core::MonotonicNow();
        }
      });
}

void Election::Refresh() {
  if (held_) {
    return;
  }
  FindMembers();
  if (!joining_ && !left_) {
    Schedule(internal::kSoon);
  }
}

void Election::Rejoin() {
  held_ = false;
  holder_.reset();
  joining_ = true;  // No join between the two calls.
  port_.leave([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->closed_) {
      self->joining_ = false;
      self->Schedule(internal::kJoinPause);
    }
  });
}

void Election::Leave(std::function<void()> done) {
  left_ = true;
  held_ = false;
  timer_.cancel();
  port_.leave(std::move(done));
}

}  // namespace camphormux::coordinator
