#include "camphormux/coordinator/election.hpp"

#include <algorithm>
#include <ctime>
#include <utility>

#include "camphormux/telemetry/log.hpp"

namespace camphormux::coordinator {
namespace internal {

/// A quarter of the time to live, so that a lost call does not cost ownership.
constexpr core::Millis kJoinPause{375};
/// Time between two looks at who is the holder while it answers.
constexpr core::Millis kLookPause{1000};
/// Least time between two looks; a fraction of a takeover.
constexpr core::Millis kSoonestLook{150};
/// Without a holder for this long, twice a takeover, any node will do.
constexpr core::Millis kReluctance{4000};
/// Time between two announcements, a third of their time to live.
constexpr core::Millis kAnnouncePause{1500};

/// Time between the turns of two nodes: at least this, and long enough that a
/// slow store shows the first candidate to the next node.
constexpr core::Millis kTurn{25};
constexpr core::Millis kLongestTurn{300};

core::Millis TurnDelay(std::size_t turn, core::Millis look_took) {
  return std::clamp(look_took * 2, kTurn, kLongestTurn) *
         static_cast<std::int64_t>(turn);
}

/// Time since boot, with suspensions.
std::chrono::nanoseconds BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

}  // namespace internal

Election::Election(asio::io_context& loop, ElectionPort port, Listener listener,
                   std::size_t turn, bool reluctant)
    : look_timer_(loop),
      join_timer_(loop),
      announce_timer_(loop),
      port_(std::move(port)),
      listener_(std::move(listener)),
      turn_(turn),
      reluctant_(reluctant) {}

void Election::Start() {
  Announce();
  Look();
}

void Election::Close() {
  closed_ = true;
  look_timer_.cancel();
  join_timer_.cancel();
  announce_timer_.cancel();
}

bool Election::is_confirmed() const {
  return internal::BootTime() - confirmed_ < kOwnershipTtl;
}

void Election::Announce() {
  port_.announce([weak = weak_from_this()](
                     const std::optional<std::vector<Member>>& nodes) {
    const auto self = weak.lock();
    if (!self || self->closed_) {
      return;
    }
    if (nodes) {
      self->listener_.on_members(*nodes);
    }
    self->announce_timer_.expires_after(internal::kAnnouncePause);
    self->announce_timer_.async_wait([weak](const asio::error_code& error) {
      const auto again = weak.lock();
      if (again && !error && !again->closed_) {
        again->Announce();
      }
    });
  });
}

void Election::ScheduleLook(core::Millis delay) {
  // Never later than planned: many callers in trouble must not put it off.
  const core::MonotonicTime now = core::MonotonicNow();
  const core::MonotonicTime at =
      std::max(now + delay, last_look_ + internal::kSoonestLook);
  if (next_look_ > now && next_look_ <= at) {
    return;
  }
  next_look_ = at;
  look_timer_.expires_at(at);
  look_timer_.async_wait(
      [weak = weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (self && !error && !self->closed_) {
          self->Look();
        }
      });
}

void Election::Look() {
  if (looking_ || held_) {
    return;
  }
  looking_ = true;
  last_look_ = core::MonotonicNow();
  port_.find_holder(
      [weak = weak_from_this()](const std::optional<Ownership>& ownership) {
        const auto self = weak.lock();
        if (self && !self->closed_) {
          self->looking_ = false;
          self->look_took_ = core::MonotonicNow() - self->last_look_;
          self->OnLooked(ownership);
        }
      });
}

void Election::OnLooked(const std::optional<Ownership>& ownership) {
  NoteStore(ownership.has_value());
  ScheduleLook(ownership ? internal::kLookPause : internal::kSoonestLook);
  if (!ownership || held_) {
    return;
  }
  if (ownership->is_previous_process) {
    // Its process has ended, as this one has its address.
    port_.evict_previous_process([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->ScheduleLook(core::Millis(0));
      }
    });
    return;
  }
  if (!ownership->holder) {
    OnVacant();
    return;
  }
  vacant_since_.reset();
  if (holder_ != ownership->holder) {
    holder_ = ownership->holder;
    telemetry::Log(
        telemetry::Level::kInfo, "holder found",
        {{"address", holder_->ip + ":" + std::to_string(holder_->port)},
         {"generation", std::to_string(generation_.value)}});
  }
  if (candidate_ && !joining_) {
    Withdraw();
  }
}

void Election::OnVacant() {
  const core::MonotonicTime now = core::MonotonicNow();
  if (left_ || candidate_) {
    return;
  }
  if (!vacant_since_) {
    vacant_since_ = now;
  }
  const core::MonotonicTime due =
      *vacant_since_ + internal::TurnDelay(turn_, look_took_) +
      (reluctant_ ? internal::kReluctance : core::Millis(0));
  if (now < due) {
    ScheduleLook(due - now);
    return;
  }
  if (reluctant_) {
    telemetry::Log(telemetry::Level::kWarning,
                   "no larger node holds the ownership; becoming a candidate");
  }
  candidate_ = true;
  Join();
}

void Election::ScheduleJoin() {
  join_timer_.expires_after(internal::kJoinPause);
  join_timer_.async_wait(
      [weak = weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (self && !error && !self->closed_) {
          self->Join();
        }
      });
}

void Election::Join() {
  if (!candidate_ || joining_) {
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
  if (!candidate_) {
    return;
  }
  ScheduleJoin();
  NoteStore(answer.has_value());
  if (!answer) {
    return;
  }
  confirmed_ = sent;
  generation_ = answer->generation;
  if (answer->holder && !held_) {
    held_ = true;
    holder_.reset();
    vacant_since_.reset();
    listener_.on_gain(generation_);
  } else if (!answer->holder && held_) {
    held_ = false;
    listener_.on_loss();
  }
  if (!held_) {
    ScheduleLook(core::Millis(0));
  }
}

void Election::Withdraw() {
  candidate_ = false;
  join_timer_.cancel();
  port_.leave([] {});
}

void Election::NoteStore(bool answered) {
  if (answered == !store_lost_) {
    return;
  }
  store_lost_ = !answered;
  telemetry::Log(
      answered ? telemetry::Level::kInfo : telemetry::Level::kWarning,
      answered ? "store regained" : "store lost",
      {{"generation", std::to_string(generation_.value)}});
}

void Election::Refresh() {
  if (!held_) {
    ScheduleLook(core::Millis(0));
  }
}

void Election::Rejoin() {
  held_ = false;
  holder_.reset();
  Withdraw();
  ScheduleLook(internal::kJoinPause);
}

void Election::Leave(std::function<void()> done) {
  left_ = true;
  const bool was_candidate = std::exchange(candidate_, false);
  held_ = false;
  join_timer_.cancel();
  if (was_candidate) {
    port_.leave(std::move(done));
  } else {
    done();
  }
  ScheduleLook(internal::kSoonestLook);
}

}  // namespace camphormux::coordinator
