#include <memory>

#include <fmt/format.h>
#include <xxhash.h>

#include "camphormux/state/fold.hpp"

namespace camphormux::state {
namespace internal {

/// Hashes fields in a fixed order. Strings and lists go with their lengths, so
/// that neighbours cannot be confused.
class FieldHasher {
 public:
  FieldHasher() : state_(XXH64_createState()) { XXH64_reset(state_.get(), 0); }

  void Add(std::uint64_t number) {
    XXH64_update(state_.get(), &number, sizeof(number));
  }
  void Add(std::int64_t number) { Add(static_cast<std::uint64_t>(number)); }
  void Add(const std::string& text) {
    Add(std::uint64_t{text.size()});
    XXH64_update(state_.get(), text.data(), text.size());
  }
  template <typename Tag>
  void Add(const core::Name<Tag>& name) {
    Add(name.value);
  }
  template <typename Tag>
  void Add(core::Ordinal<Tag> number) {
    Add(number.value);
  }
  template <typename Tag>
  void Add(core::Quantity<Tag> amount) {
    Add(amount.value);
  }
  void Add(const core::Address& address) {
    Add(address.ip);
    Add(std::uint64_t{address.port});
  }
  template <typename T>
  void Add(const std::optional<T>& value) {
    Add(std::uint64_t{value.has_value()});
    if (value) {
      Add(*value);
    }
  }
  void Add(const Host& host) {
    Add(host.zone);
    Add(host.rack);
    Add(host.shape.cores);
    Add(host.shape.memory);
    Add(host.shape.accelerators);
    Add(host.address);
    Add(static_cast<std::uint64_t>(host.phase));
    Add(static_cast<std::uint64_t>(host.drain_reason));
    Add(host.pool);
    Add(host.generation);
    Add(host.phase_offset);
  }
  void Add(const RemovedHost& removed) {
    Add(removed.generation);
    Add(removed.offset);
  }
  void Add(const ZoneLease& lease) {
    Add(lease.holder);
    Add(lease.epoch);
    Add(lease.last_renewal);
  }
  void Add(const MaintenanceRecord& done) {
    Add(std::int64_t{done.last_done.time_since_epoch().count()});
  }
  void Add(const Presence& presence) {
    Add(static_cast<std::uint64_t>(presence.role));
    Add(presence.zone);
    Add(presence.peer_address);
    Add(presence.incarnation);
    Add(presence.offset);
  }
  void Add(const PublishOutcome& outcome) {
    Add(outcome.id);
    Add(outcome.offset);
    Add(outcome.author);
    Add(outcome.base);
    Add(outcome.accepted);
    Add(outcome.reason);
  }
  template <typename Key, typename Value>
  void Add(const std::map<Key, Value>& map) {
    Add(std::uint64_t{map.size()});
    for (const auto& [key, value] : map) {
      Add(key);
      Add(value);
    }
  }

  [[nodiscard]] std::uint64_t Value() const {
    return XXH64_digest(state_.get());
  }

 private:
  struct Free {
    void operator()(XXH64_state_t* state) const { XXH64_freeState(state); }
  };
  std::unique_ptr<XXH64_state_t, Free> state_;
};

}  // namespace internal

// Hashes the fields instead of the encoded state: heartbeats carry the digest
// every second, and encoding 5,000 hosts takes about 50 ms.
std::uint64_t Digest(const FleetState& state) {
  internal::FieldHasher hasher;
  hasher.Add(state.next);
  hasher.Add(state.text.revision);
  hasher.Add(state.text.author);
  hasher.Add(state.text.source);
  hasher.Add(state.hosts);
  hasher.Add(state.removed_hosts);
  hasher.Add(state.leases);
  hasher.Add(state.maintenance);
  hasher.Add(state.presence);
  hasher.Add(std::uint64_t{state.outcomes.size()});
  for (const PublishOutcome& outcome : state.outcomes) {
    hasher.Add(outcome);
  }
  hasher.Add(state.skipped_records);
  if (state.numbering_floor > 0) {
    hasher.Add(state.numbering_floor);
  }
  // Last and only if there is one, so that a state without released leases has
  // the digest that versions without release records compute.
  for (const auto& [zone, lease] : state.leases) {
    if (lease.released) {
      hasher.Add(zone);
    }
  }
  return hasher.Value();
}

std::string FormatDigest(std::uint64_t digest) {
  return fmt::format("{:016x}", digest);
}

}  // namespace camphormux::state
