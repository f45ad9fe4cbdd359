#include "camphormux/coordinator/election.hpp"

#include <algorithm>
#include <utility>

#include "camphormux/core/boot_time.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::coordinator {
namespace internal {

/// A quarter of the ownership's time to live, so that one lost call does not
/// cost the ownership.
constexpr core::Millis kJoinInterval{375};
/// Interval between lookups of the holder while the store answers.
constexpr core::Millis kLookupInterval{1000};
/// Minimum interval between lookups; a fraction of the time of a takeover.
constexpr core::Millis kMinLookupInterval{150};
/// A holder that did not answer counts as silent for this long; longer than the
/// interval of the calls to it.
constexpr core::Millis kSilenceDuration{1200};
/// Without a holder for this long, twice the time of a takeover, even a
/// last-resort node becomes a candidate.
constexpr core::Millis kLastResortDelay{4000};
/// Interval between announcements; a third of their time to live.
constexpr core::Millis kAnnounceInterval{1500};

/// Bounds of the delay between the candidacies of two consecutive ranks. Nodes
/// find out at different times, up to one lookup interval apart, that there is
/// no holder, and the next node must see the first candidate even when the
/// store is slow.
constexpr core::Millis kMinRankDelay{170};
constexpr core::Millis kMaxRankDelay{400};

core::Millis RankDelay(std::size_t candidate_rank,
                       core::Millis lookup_duration) {
  return std::clamp(kMinLookupInterval + lookup_duration * 2, kMinRankDelay,
                    kMaxRankDelay) *
         static_cast<std::int64_t>(candidate_rank);
}

}  // namespace internal

Election::Election(asio::io_context& loop, ElectionPort port, Listener listener,
                   std::function<std::size_t()> candidate_rank,
                   bool last_resort)
    : lookup_timer_(loop),
      join_timer_(loop),
      announce_timer_(loop),
      port_(std::move(port)),
      listener_(std::move(listener)),
      candidate_rank_(std::move(candidate_rank)),
      last_resort_(last_resort) {}

void Election::Start() {
  Announce();
  LookUpHolder();
}

void Election::Close() {
  closed_ = true;
  lookup_timer_.cancel();
  join_timer_.cancel();
  announce_timer_.cancel();
}

bool Election::is_confirmed() const {
  return core::BootTime() - confirmed_by_store_ < kOwnershipTtl;
}

core::Millis Election::since_confirmation() const {
  // Rounded up, so that it is never too short.
  return std::chrono::ceil<core::Millis>(
      core::BootTime() - std::max(confirmed_by_store_, confirmed_by_nodes_));
}

void Election::ConfirmByNodes(std::chrono::nanoseconds asked) {
  confirmed_by_nodes_ = std::max(confirmed_by_nodes_, asked);
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
    self->announce_timer_.expires_after(internal::kAnnounceInterval);
    self->announce_timer_.async_wait([weak](const asio::error_code& error) {
      const auto again = weak.lock();
      if (again && !error && !again->closed_) {
        again->Announce();
      }
    });
  });
}

void Election::ScheduleLookup(core::Millis delay) {
  // A scheduled lookup is never postponed: otherwise frequent refreshes by
  // callers that get no answer would delay it for ever.
  const core::MonotonicTime now = core::MonotonicNow();
  const core::MonotonicTime at =
      std::max(now + delay, last_lookup_ + internal::kMinLookupInterval);
  if (next_lookup_ > now && next_lookup_ <= at) {
    return;
  }
  next_lookup_ = at;
  lookup_timer_.expires_at(at);
  lookup_timer_.async_wait(
      [weak = weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (self && !error && !self->closed_) {
          self->LookUpHolder();
        }
      });
}

void Election::LookUpHolder() {
  if (lookup_pending_ || is_holder_) {
    return;
  }
  lookup_pending_ = true;
  last_lookup_ = core::MonotonicNow();
  port_.find_holder([weak = weak_from_this()](
                        const std::optional<Ownership>& ownership) {
    const auto self = weak.lock();
    if (self && !self->closed_) {
      self->lookup_pending_ = false;
      self->last_lookup_duration_ = core::MonotonicNow() - self->last_lookup_;
      self->OnOwnership(ownership);
    }
  });
}

void Election::OnOwnership(const std::optional<Ownership>& ownership) {
  UpdateStoreState(ownership.has_value());
  const bool is_answering =
      ownership && core::MonotonicNow() >= holder_silent_until_;
  ScheduleLookup(is_answering ? internal::kLookupInterval
                              : internal::kMinLookupInterval);
  if (!ownership || is_holder_) {
    return;
  }
  if (ownership->is_previous_process) {
    // That process has ended, because this one now has its address.
    port_.evict_previous_process([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->ScheduleLookup(core::Millis(0));
      }
    });
    return;
  }
  if (!ownership->holder) {
    OnNoHolder();
    return;
  }
  no_holder_since_.reset();
  if (holder_ != ownership->holder) {
    holder_ = ownership->holder;
    telemetry::Log(
        telemetry::Level::kInfo, "holder found",
        {{"address", holder_->ip + ":" + std::to_string(holder_->port)},
         {"generation", std::to_string(generation_.value)}});
  }
  if (is_candidate_ && !join_pending_) {
    Withdraw();
  }
}

void Election::OnNoHolder() {
  const core::MonotonicTime now = core::MonotonicNow();
  if (left_ || is_candidate_) {
    return;
  }
  if (!no_holder_since_) {
    no_holder_since_ = now;
  }
  const core::MonotonicTime due =
      *no_holder_since_ +
      internal::RankDelay(candidate_rank_(), last_lookup_duration_) +
      (last_resort_ ? internal::kLastResortDelay : core::Millis(0));
  if (now < due) {
    ScheduleLookup(due - now);
    return;
  }
  if (last_resort_) {
    telemetry::Log(telemetry::Level::kWarning,
                   "no larger node became the holder; becoming a candidate");
  }
  is_candidate_ = true;
  Join();
}

void Election::ScheduleJoin() {
  join_timer_.expires_after(internal::kJoinInterval);
  join_timer_.async_wait(
      [weak = weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (self && !error && !self->closed_) {
          self->RenewMembership();
        }
      });
}

void Election::RenewMembership() {
  if (!is_candidate_ || join_pending_) {
    return;
  }
  if (is_confirmed()) {
    Join();
    return;
  }
  // The membership may have expired while the process was suspended. Joining
  // again would take the ownership from a node that has taken over.
  join_pending_ = true;
  port_.find_holder(
      [weak = weak_from_this()](const std::optional<Ownership>& ownership) {
        const auto self = weak.lock();
        if (self && !self->closed_) {
          self->join_pending_ = false;
          self->OnOwnershipBeforeJoin(ownership);
        }
      });
}

void Election::OnOwnershipBeforeJoin(
    const std::optional<Ownership>& ownership) {
  if (!is_candidate_) {
    return;
  }
  UpdateStoreState(ownership.has_value());
  if (!ownership) {
    ScheduleJoin();
    return;
  }
  const bool is_other_node = ownership->holder && !ownership->is_self &&
                             !ownership->is_previous_process;
  if (!is_other_node) {
    Join();
    return;
  }
  telemetry::Log(telemetry::Level::kInfo, "another node has taken over",
                 {{"generation", std::to_string(generation_.value)}});
  holder_ = ownership->holder;
  Withdraw();
  if (std::exchange(is_holder_, false)) {
    listener_.on_loss();
  }
  ScheduleLookup(internal::kLookupInterval);
}

void Election::Join() {
  if (!is_candidate_ || join_pending_) {
    return;
  }
  join_pending_ = true;
  port_.join([weak = weak_from_this(), sent = core::BootTime()](
                 const std::optional<MembershipAnswer>& answer) {
    const auto self = weak.lock();
    if (self && !self->closed_) {
      self->OnJoined(sent, answer);
    }
  });
}

void Election::OnJoined(std::chrono::nanoseconds sent,
                        const std::optional<MembershipAnswer>& answer) {
  join_pending_ = false;
  if (!is_candidate_) {
    return;
  }
  ScheduleJoin();
  UpdateStoreState(answer.has_value());
  if (!answer) {
    return;
  }
  confirmed_by_store_ = sent;
  generation_ = answer->generation;
  if (answer->holder && !is_holder_) {
    is_holder_ = true;
    holder_.reset();
    no_holder_since_.reset();
    listener_.on_gain(generation_);
  } else if (!answer->holder && is_holder_) {
    is_holder_ = false;
    listener_.on_loss();
  }
  if (!is_holder_) {
    // Another candidate was earlier. The store would move the ownership to this
    // one if it stayed in the group.
    Withdraw();
    ScheduleLookup(core::Millis(0));
  }
}

void Election::Withdraw() {
  is_candidate_ = false;
  join_timer_.cancel();
  port_.leave([] {});
}

void Election::UpdateStoreState(bool answered) {
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
  if (!is_holder_) {
    // All nodes must find out soon, as those of a low rank go first.
    holder_silent_until_ = core::MonotonicNow() + internal::kSilenceDuration;
    ScheduleLookup(core::Millis(0));
  }
}

void Election::Rejoin() {
  is_holder_ = false;
  holder_.reset();
  Withdraw();
  ScheduleLookup(internal::kJoinInterval);
}

void Election::Leave(std::function<void()> done) {
  left_ = true;
  const bool was_candidate = std::exchange(is_candidate_, false);
  is_holder_ = false;
  join_timer_.cancel();
  if (was_candidate) {
    port_.leave(std::move(done));
  } else {
    done();
  }
  ScheduleLookup(internal::kMinLookupInterval);
}

}  // namespace camphormux::coordinator
