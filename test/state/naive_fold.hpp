#ifndef CAMPHORMUX_TEST_STATE_NAIVE_FOLD_HPP_
#define CAMPHORMUX_TEST_STATE_NAIVE_FOLD_HPP_

#include <algorithm>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "camphormux/state/fleet_state.hpp"
#include "camphormux/state/records.hpp"
#include "camphormux/text/parse.hpp"

namespace camphormux::state {

/// @brief The rules of the fold written down once more in the simplest way:
/// flat lists, linear searches, a table of allowed steps, and always from the
/// first record. Record `i` has offset `i`.
class NaiveFold {
 public:
  static constexpr std::size_t kRememberedOutcomes = 256;

  explicit NaiveFold(const std::vector<Record>& records) {
    for (std::size_t i = 0; i < records.size(); ++i) {
      std::visit([&](const auto& record) { Take(record, i); }, records[i]);
    }
  }

  std::uint64_t revision = 0;
  std::string source;
  std::vector<Host> hosts;
  std::vector<std::pair<core::HostId, std::uint64_t>> gone;
  std::vector<LeaseClaim> claims;         ///< Those that counted.
  std::vector<core::LogOffset> renewals;  ///< Of each claim.
  std::vector<bool> releases;             ///< Of each claim.
  std::vector<MaintenanceDone> maintained;
  std::vector<Presence> present;
  std::vector<std::pair<core::AppendId, bool>> published;

  [[nodiscard]] std::uint64_t EpochOf(const core::ZoneName& zone) const {
    return static_cast<std::uint64_t>(
        std::count_if(claims.begin(), claims.end(),
                      [&](const LeaseClaim& c) { return c.zone == zone; }));
  }

 private:
  Host* Find(const core::HostId& id) {
    for (Host& host : hosts) {
      if (host.id == id) {
        return &host;
      }
    }
    return nullptr;
  }

  template <typename Owned>
  Host* Owner(const Owned& record) {
    Host* host = Find(record.host);
    const bool current =
        record.epoch.value > 0 && record.epoch.value == EpochOf(record.zone);
    return current && host != nullptr && host->zone == record.zone ? host
                                                                   : nullptr;
  }

  void Take(const Publish& record, std::size_t /*offset*/) {
    for (const auto& [id, accepted] : published) {
      if (id == record.id) {
        return;
      }
    }
    const bool valid = record.source &&
                       text::ParseOperatorText("t", *record.source).has_value();
    const bool accepted = record.base.value == revision && valid;
    if (accepted) {
      ++revision;
      source = *record.source;
    }
    published.emplace_back(record.id, accepted);
    if (published.size() > kRememberedOutcomes) {
      published.erase(published.begin());
    }
  }

  void Take(const LeaseClaim& record, std::size_t offset) {
    if (record.epoch.value == EpochOf(record.zone) + 1) {
      claims.push_back(record);
      renewals.push_back({offset});
      releases.push_back(false);
    }
  }

  void Take(const LeaseRenew& record, std::size_t offset) {
    for (std::size_t i = 0; i < claims.size(); ++i) {
      if (claims[i].zone == record.zone && claims[i].epoch == record.epoch &&
          claims[i].holder == record.holder &&
          record.epoch.value == EpochOf(record.zone)) {
        renewals[i] = {offset};
      }
    }
  }

  void Take(const LeaseRelease& record, std::size_t /*offset*/) {
    for (std::size_t i = 0; i < claims.size(); ++i) {
      if (claims[i].zone == record.zone && claims[i].epoch == record.epoch &&
          claims[i].holder == record.holder &&
          record.epoch.value == EpochOf(record.zone)) {
        releases[i] = true;
      }
    }
  }

  void Take(const HostAdded& record, std::size_t offset) {
    if (record.epoch.value == 0 || record.epoch.value != EpochOf(record.zone)) {
      return;
    }
    Host* host = Find(record.host);
    if (host == nullptr) {
      host = &hosts.emplace_back();
      host->id = record.host;
      host->zone = record.zone;
      host->phase_offset = {offset};
      for (const auto& [id, generation] : gone) {
        if (id == record.host) {
          host->generation = {generation};
        }
      }
    }
    if (host->zone == record.zone) {
      host->rack = record.rack;
      host->shape = record.shape;
      host->address = record.address;
    }
  }

  void Take(const HostRemoved& record, std::size_t /*offset*/) {
    const Host* host = Owner(record);
    if (host != nullptr) {
      gone.emplace_back(host->id, host->generation.value);
      hosts.erase(hosts.begin() + (host - hosts.data()));
    }
  }

  void Take(const Assign& record, std::size_t offset) {
    using P = HostPhase;
    static const std::vector<std::pair<P, P>> steps = {
        {P::kReleased, P::kAssigned}, {P::kAssigned, P::kAdmitted},
        {P::kAdmitted, P::kDraining}, {P::kDraining, P::kEmpty},
        {P::kEmpty, P::kReleased},    {P::kDraining, P::kAssigned},
        {P::kEmpty, P::kAssigned}};
    Host* host = Owner(record);
    if (host == nullptr ||
        std::find(steps.begin(), steps.end(),
                  std::pair(host->phase, record.phase)) == steps.end()) {
      return;
    }
    const std::uint64_t growth = record.phase == P::kAssigned ? 1 : 0;
    if (record.generation.value != host->generation.value + growth) {
      return;
    }
    const bool pool_fits = record.phase == P::kReleased ? !record.pool
                           : host->phase == P::kReleased
                               ? record.pool.has_value()
                               : record.pool == host->pool;
    const bool draining = record.phase == P::kDraining;
    if (!pool_fits || (draining && record.drain_reason == DrainReason::kNone)) {
      return;
    }
    if (record.phase != P::kEmpty) {
      host->drain_reason = draining ? record.drain_reason : DrainReason::kNone;
    }
    host->phase = record.phase;
    host->pool = record.pool;
    host->generation = record.generation;
    host->phase_offset = {offset};
  }

  void Take(const MaintenanceDone& record, std::size_t /*offset*/) {
    if (Owner(record) == nullptr) {
      return;
    }
    for (const MaintenanceDone& done : maintained) {
      if (done.host == record.host && done.time > record.time) {
        return;
      }
    }
    maintained.push_back(record);
  }

  void Take(const PresenceNotice& record, std::size_t offset) {
    for (Presence& known : present) {
      if (known.process == record.process) {
        if (record.incarnation >= known.incarnation) {
          known = {record.process,      record.role,        record.zone,
                   record.peer_address, record.incarnation, {offset}};
        }
        return;
      }
    }
    present.push_back({record.process,
                       record.role,
                       record.zone,
                       record.peer_address,
                       record.incarnation,
                       {offset}});
  }

  void Take(const SnapshotChunk& /*record*/, std::size_t /*offset*/) {}
};

}  // namespace camphormux::state

#endif  // CAMPHORMUX_TEST_STATE_NAIVE_FOLD_HPP_
