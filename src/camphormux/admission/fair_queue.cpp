#include "camphormux/admission/fair_queue.hpp"

#include <algorithm>
#include <utility>

namespace camphormux::admission {
namespace internal {

void Append(FairQueue& queue, Ticket ticket) {
  const auto [found, added] = queue.by_caller.try_emplace(ticket.caller);
  if (added) {
    queue.round_robin.push_back(ticket.caller);
  }
  found->second.push_back(std::move(ticket));
  ++queue.size;
}

void RemoveCaller(FairQueue& queue, const std::string& caller) {
  queue.round_robin.remove(caller);
  queue.by_caller.erase(caller);
}

std::string BusiestCaller(const FairQueue& queue) {
  const auto busiest = std::max_element(
      queue.round_robin.begin(), queue.round_robin.end(),
      [&](const std::string& a, const std::string& b) {
        return queue.by_caller.at(a).size() < queue.by_caller.at(b).size();
      });
  return *busiest;
}

Ticket TakeNewest(FairQueue& queue, const std::string& caller) {
  auto& tickets = queue.by_caller.at(caller);
  Ticket newest = std::move(tickets.back());
  tickets.pop_back();
  --queue.size;
  if (tickets.empty()) {
    RemoveCaller(queue, caller);
  }
  return newest;
}

}  // namespace internal

PushResult Push(FairQueue& queue, Ticket ticket, std::size_t capacity) {
  if (capacity == 0) {
    return {};
  }
  if (queue.size < capacity) {
    internal::Append(queue, std::move(ticket));
    return {true, std::nullopt};
  }
  const std::string busiest = internal::BusiestCaller(queue);
  const auto own = queue.by_caller.find(ticket.caller);
  const std::size_t own_size =
      own == queue.by_caller.end() ? 0 : own->second.size();
  if (own_size + 1 > queue.by_caller.at(busiest).size()) {
    return {};
  }
  PushResult result{true, internal::TakeNewest(queue, busiest)};
  internal::Append(queue, std::move(ticket));
  return result;
}

void PushFront(FairQueue& queue, Ticket ticket) {
  const auto [found, added] = queue.by_caller.try_emplace(ticket.caller);
  if (added) {
    queue.round_robin.push_front(ticket.caller);
  }
  found->second.push_front(std::move(ticket));
  ++queue.size;
}

std::optional<Ticket> Pop(FairQueue& queue) {
  if (queue.round_robin.empty()) {
    return std::nullopt;
  }
  const std::string caller = queue.round_robin.front();
  queue.round_robin.pop_front();
  auto& tickets = queue.by_caller.at(caller);
  Ticket ticket = std::move(tickets.front());
  tickets.pop_front();
  --queue.size;
  if (tickets.empty()) {
    queue.by_caller.erase(caller);
  } else {
    queue.round_robin.push_back(caller);
  }
  return ticket;
}

std::vector<Ticket> RemoveIf(FairQueue& queue,
                             const std::function<bool(const Ticket&)>& remove) {
  std::vector<Ticket> removed;
  for (auto turn = queue.round_robin.begin();
       turn != queue.round_robin.end();) {
    auto& tickets = queue.by_caller.at(*turn);
    const auto kept = std::stable_partition(
        tickets.begin(), tickets.end(),
        [&](const Ticket& ticket) { return !remove(ticket); });
    std::move(kept, tickets.end(), std::back_inserter(removed));
    tickets.erase(kept, tickets.end());
    if (tickets.empty()) {
      queue.by_caller.erase(*turn);
      turn = queue.round_robin.erase(turn);
    } else {
      ++turn;
    }
  }
  queue.size -= removed.size();
  return removed;
}

std::vector<Ticket> RemoveExpired(FairQueue& queue,
                                  core::MonotonicTime earliest_end) {
  return RemoveIf(queue, [earliest_end](const Ticket& ticket) {
    return ticket.deadline < earliest_end;
  });
}

}  // namespace camphormux::admission
