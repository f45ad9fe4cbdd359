#include "camphormux/controller/lease.hpp"

namespace camphormux::controller {
namespace internal {

/// Contenders of a zone wait differently long, so that one claim wins.
constexpr core::Millis kMaxJitter = std::chrono::seconds(2);

void Watch(const LeaseInput& input, LeaseMemory& memory, core::Random& random) {
  const auto found = input.state.leases.find(input.zone);
  const auto current = found == input.state.leases.end()
                           ? std::nullopt
                           : std::optional(found->second);
  if (memory.seen != current || memory.seen_at == core::MonotonicTime{}) {
    memory.seen = current;
    memory.seen_at = input.now;
    memory.jitter = core::Jitter(random, kMaxJitter);
  }
}

/// Takes an own record that the state shows as proof from its send time on.
void TakeProof(const LeaseInput& input, LeaseMemory& memory) {
  if (!memory.in_flight || !memory.in_flight->offset ||
      input.state.next <= *memory.in_flight->offset) {
    return;
  }
  const bool holds = memory.seen && memory.seen->holder == input.process &&
                     memory.seen->epoch == memory.in_flight->epoch;
  if (holds) {
    memory.own_epoch = memory.in_flight->epoch;
    memory.proven = memory.in_flight->sent;
  }
  memory.in_flight.reset();
}

bool IsOwn(const LeaseInput& input, const LeaseMemory& memory) {
  return memory.seen && memory.own_epoch.value != 0 &&
         memory.seen->holder == input.process &&
         memory.seen->epoch == memory.own_epoch;
}

bool MayClaim(const LeaseInput& input, const LeaseMemory& memory) {
  return input.at_end && (!memory.seen || input.now - memory.seen_at >=
                                              kLeaseDuration + memory.jitter);
}

}  // namespace internal

std::optional<state::Record> LeaseStep(const LeaseInput& input,
                                       LeaseMemory& memory,
                                       core::Random& random) {
  internal::Watch(input, memory, random);
  internal::TakeProof(input, memory);
  if (memory.in_flight) {
    return std::nullopt;
  }
  if (internal::IsOwn(input, memory)) {
    if (input.now - memory.proven < kRenewPeriod) {
      return std::nullopt;
    }
    memory.in_flight = {memory.own_epoch, input.now, std::nullopt};
    return state::LeaseRenew{input.zone, input.process, memory.own_epoch};
  }
  memory.own_epoch = {};
  if (!internal::MayClaim(input, memory)) {
    return std::nullopt;
  }
  const core::Epoch epoch =
      core::Next(memory.seen ? memory.seen->epoch : core::Epoch{});
  memory.in_flight = {epoch, input.now, std::nullopt};
  return state::LeaseClaim{input.zone, input.process, epoch};
}

std::optional<core::Epoch> ProvenLease(const LeaseMemory& memory,
                                       core::MonotonicTime now) {
  const bool held =
      memory.own_epoch.value != 0 && now - memory.proven <= kLeaseProof;
  return held ? std::optional(memory.own_epoch) : std::nullopt;
}

}  // namespace camphormux::controller
