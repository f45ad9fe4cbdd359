#include "camphormux/http/connection_budget.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace camphormux::http {
namespace internal {

/// A search looks at every connection.
constexpr core::Millis kSearchInterval{100};
constexpr std::int64_t kMillisPerSecond = 1000;

void ShutDown(ConnectionBudget& budget, ConnectionUse& use,
              ConnectionRefusal reason) {
  use.closing = true;
  budget.options.on_refusal(reason);
  use.shut_down();
}

void DropSlow(ConnectionBudget& budget, core::MonotonicTime now) {
  if (now - budget.searched < kSearchInterval) {
    return;
  }
  budget.searched = now;
  std::vector<ConnectionUse*> slow;
  for (ConnectionUse* use : budget.connections) {
    if (use->counted > 0 && !use->paused && !use->closing &&
        IsTooSlow(budget.options, *use, now)) {
      slow.push_back(use);
    }
  }
  std::ranges::sort(slow, std::greater(),
                    [](const ConnectionUse* use) { return use->counted; });
  // Some room is made at once, as each search frees it for a short time only.
  const std::int64_t wanted = budget.options.total.value * 3 / 4;
  std::int64_t after = budget.held;
  for (ConnectionUse* use : slow) {
    if (after <= wanted) {
      break;
    }
    after -= use->counted;
    ShutDown(budget, *use, ConnectionRefusal::kMemoryShort);
  }
}

}  // namespace internal

const char* Name(ConnectionRefusal reason) {
  switch (reason) {
    case ConnectionRefusal::kBodyTooLarge:
      return "body too large";
    case ConnectionRefusal::kHeadTooLarge:
      return "head too large";
    case ConnectionRefusal::kMalformed:
      return "malformed";
    case ConnectionRefusal::kMemoryShort:
      return "stalled while memory is short";
    case ConnectionRefusal::kRequestRefused:
      return "refused while memory is short";
    case ConnectionRefusal::kTooManyConnections:
      break;
  }
  return "too many connections";
}

void Count(ConnectionBudget& budget, ConnectionUse& use) {
  if (use.admitted && use.held <= budget.options.always_read.value) {
    use.admitted = false;
    --budget.admitted;
  }
  const std::int64_t counted =
      use.admitted ? std::max(use.held, use.may_hold) : use.held;
  budget.held += counted - use.counted;
  use.counted = counted;
}

void Forget(ConnectionBudget& budget, ConnectionUse& use) {
  use.held = 0;
  Count(budget, use);
  budget.connections.erase(&use);
}

bool IsTooSlow(const ConnectionBudgetOptions& options, const ConnectionUse& use,
               core::MonotonicTime now) {
  if (!use.unfinished || use.handling) {
    return false;
  }
  if (now - use.moved >= options.stalled_after) {
    return true;
  }
  const core::Millis late =
      std::chrono::duration_cast<core::Millis>(now - use.admitted_at) -
      options.slow_after;
  return use.admitted && late.count() > 0 &&
         use.read - use.read_at_admission <
             options.min_rate.value * late.count() / internal::kMillisPerSecond;
}

bool MayRead(ConnectionBudget& budget, ConnectionUse& use,
             core::MonotonicTime now) {
  const auto fits = [&] {
    const std::int64_t others = budget.held - use.counted;
    return budget.admitted == 0 || others + std::max(use.held, use.may_hold) <=
                                       budget.options.total.value;
  };
  if (!use.closing && !use.admitted &&
      use.held > budget.options.always_read.value) {
    if (!fits()) {
      internal::DropSlow(budget, now);
    }
    if (!fits()) {
      use.paused = true;
      return false;
    }
    use.admitted = true;
    use.admitted_at = now;
    use.read_at_admission = use.read;
    ++budget.admitted;
    Count(budget, use);
  }
  if (use.paused) {
    // Its client could not move while it was paused.
    use.moved = now;
    use.paused = false;
  }
  return true;
}

bool MayHold(ConnectionBudget& budget, const ConnectionUse& use,
             std::int64_t bytes, core::MonotonicTime now) {
  const auto fits = [&] {
    return use.held + bytes <= budget.options.always_read.value ||
           budget.held + bytes <= budget.options.total.value;
  };
  if (!fits()) {
    internal::DropSlow(budget, now);
  }
  return !use.closing && fits();
}

void MakeRoom(ConnectionBudget& budget,
              const std::unordered_set<ConnectionUse*>& connections,
              const ConnectionUse& newest) {
  ConnectionUse* oldest = nullptr;
  for (ConnectionUse* use : connections) {
    if (use != &newest && !use->handling && !use->closing &&
        (oldest == nullptr || std::pair(use->served, use->moved) <
                                  std::pair(oldest->served, oldest->moved))) {
      oldest = use;
    }
  }
  if (oldest != nullptr) {
    internal::ShutDown(budget, *oldest, ConnectionRefusal::kTooManyConnections);
  }
}

}  // namespace camphormux::http
