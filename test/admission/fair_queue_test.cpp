#include "camphormux/admission/fair_queue.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace camphormux::admission {
namespace {

core::MonotonicTime At(int ms) { return core::MonotonicTime(core::Millis(ms)); }

/// Reference implementation: one list in the order of arrival, searched on each
/// operation.
struct ReferenceQueue {
  std::vector<Ticket> tickets;
  std::vector<std::string> round_robin;

  int Count(const std::string& caller) const {
    return static_cast<int>(
        std::count_if(tickets.begin(), tickets.end(),
                      [&](const Ticket& t) { return t.caller == caller; }));
  }

  void DropIdleCallers() {
    std::erase_if(round_robin, [&](const auto& c) { return Count(c) == 0; });
  }

  std::optional<std::uint64_t> Pop() {
    if (round_robin.empty()) {
      return std::nullopt;
    }
    const std::string caller = round_robin.front();
    round_robin.erase(round_robin.begin());
    const auto first =
        std::find_if(tickets.begin(), tickets.end(),
                     [&](const Ticket& t) { return t.caller == caller; });
    const std::uint64_t id = first->id;
    tickets.erase(first);
    round_robin.push_back(caller);
    DropIdleCallers();
    return id;
  }
};

// Guards against tickets that are lost, duplicated or not served in round-robin
// order.
RC_GTEST_PROP(FairQueueTest, MatchesTheReferenceImplementation, ()) {
  FairQueue queue;
  ReferenceQueue reference;
  const int steps = *rc::gen::inRange(0, 100);
  for (int step = 0; step < steps; ++step) {
    const int action = *rc::gen::inRange(0, 10);
    if (action < 6) {
      const Ticket ticket{static_cast<std::uint64_t>(step),
                          std::string(1, *rc::gen::inRange('a', 'e')),
                          At(*rc::gen::inRange(0, 100))};
      RC_ASSERT(Push(queue, ticket, 1000).admitted);
      reference.tickets.push_back(ticket);
      if (reference.Count(ticket.caller) == 1) {
        reference.round_robin.push_back(ticket.caller);
      }
    } else if (action < 9) {
      const auto popped = Pop(queue);
      const auto expected = reference.Pop();
      RC_ASSERT(popped.has_value() == expected.has_value());
      RC_ASSERT(!popped || popped->id == *expected);
    } else {
      const core::MonotonicTime bound = At(*rc::gen::inRange(0, 100));
      const std::size_t removed = RemoveExpired(queue, bound).size();
      const std::size_t expected =
          std::erase_if(reference.tickets,
                        [&](const Ticket& t) { return t.deadline < bound; });
      reference.DropIdleCallers();
      RC_ASSERT(removed == expected);
    }
    RC_ASSERT(queue.size == reference.tickets.size());
  }
}

// Guards against a caller that fills the queue and locks out others.
RC_GTEST_PROP(FairQueueTest, FullQueueShedsTheBusiestCaller, ()) {
  constexpr std::size_t kCapacity = 12;
  FairQueue queue;
  std::map<std::string, int> kept;
  const int steps = *rc::gen::inRange(0, 100);
  for (int step = 0; step < steps; ++step) {
    const std::string caller(1, *rc::gen::inRange('a', 'e'));
    const auto result = Push(
        queue, {static_cast<std::uint64_t>(step), caller, At(1)}, kCapacity);
    int highest = 0;
    for (const auto& [name, count] : kept) {
      highest = std::max(highest, count);
    }
    if (result.admitted) {
      ++kept[caller];
    } else {
      RC_ASSERT(kept[caller] == highest);
    }
    if (result.displaced) {
      RC_ASSERT(kept[result.displaced->caller] == highest);
      --kept[result.displaced->caller];
    }
    RC_ASSERT(queue.size <= kCapacity);
  }
}

}  // namespace
}  // namespace camphormux::admission
