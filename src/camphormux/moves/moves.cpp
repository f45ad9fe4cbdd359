#include "camphormux/moves/moves.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>

#include "camphormux/moves/zone_view.hpp"

namespace camphormux::moves {
namespace internal {

/// A pool whose own next surge is nearer than this gives no host for another
/// pool's expected surge.
constexpr core::Millis kMinTimeToNextSurge = std::chrono::seconds(60);

/// A pool that is short of hosts. The most urgent deficit is served first.
struct Deficit {
  PoolIndex pool = 0;
  int missing = 0;
  MoveCause cause = MoveCause::kBelowNeeded;
};

/// Cost of taking a host from a pool; the lowest cost wins.
using DonorCost = std::tuple<int, double, core::PoolName>;

bool IsSpare(const ZoneView& view, PoolIndex pool) {
  return view.input->pools[pool].pool == view.input->spare_pool;
}

/// Hosts above this number are surplus. The spare pool has no limit.
int MaxSize(const ZoneView& view, PoolIndex pool) {
  const PoolTarget& target = view.input->pools[pool];
  constexpr int kNoBound = 1 << 30;
  return IsSpare(view, pool) ? kNoBound
                             : std::max(target.wanted, target.needed);
}

/// Order of deficits: floors first, then present demand, then expected demand.
int UrgencyRank(MoveCause cause) {
  switch (cause) {
    case MoveCause::kBelowFloor:
      return 0;
    case MoveCause::kBelowNeeded:
      return 1;
    default:
      return 2;
  }
}

std::vector<Deficit> FindDeficits(const ZoneView& view) {
  std::vector<Deficit> deficits;
  for (PoolIndex i = 0; i < view.pools.size(); ++i) {
    const PoolTarget& target = view.input->pools[i];
    const int needed = std::max(target.needed, target.floor);
    const int missing = needed - ServingHosts(view.pools[i]);
    if (missing > 0) {
      const bool below_floor = ServingHosts(view.pools[i]) < target.floor;
      deficits.push_back(
          {i, missing,
           below_floor ? MoveCause::kBelowFloor : MoveCause::kBelowNeeded});
    }
    const int missing_for_surge =
        target.expected - std::max(needed, ServingHosts(view.pools[i]));
    if (missing_for_surge > 0) {
      deficits.push_back({i, missing_for_surge, MoveCause::kExpected});
    }
  }
  std::stable_sort(deficits.begin(), deficits.end(),
                   [&view](const Deficit& a, const Deficit& b) {
                     const auto key = [&view](const Deficit& deficit) {
                       return std::tuple(
                           UrgencyRank(deficit.cause),
                           -view.input->pools[deficit.pool].priority,
                           -deficit.missing);
                     };
                     return key(a) < key(b);
                   });
  return deficits;
}

MoveReason ReasonOf(const ZoneView& view, MoveCause cause, PoolIndex to) {
  const PoolTarget& target = view.input->pools[to];
  return {cause, ServingHosts(view.pools[to]),
          std::max(target.needed, target.floor), 0, 0};
}

/// Reverses drains of pools that have become short of hosts; this is cheaper
/// than a new move.
void ReverseDrains(ZoneView& view, MoveDecision& decision) {
  std::vector<std::size_t> kept;
  for (const std::size_t host : view.draining) {
    const state::Host& item = view.input->hosts[host];
    const PoolIndex pool = view.pool_of_name.at(*item.pool);
    PoolCount& count = view.pools[pool];
    const PoolTarget& target = view.input->pools[pool];
    const int needed = std::max(target.needed, target.floor);
    if (ServingHosts(count) >= needed ||
        view.input->missing.contains(item.id)) {
      kept.push_back(host);
      continue;
    }
    decision.reversals.push_back(
        {item.id, *item.pool, ServingHosts(count), needed});
    ++count.available;
    ++count.members;
    --count.leaving;
  }
  view.draining = std::move(kept);
}

/// Reverses up to `uncommitted` drains whose host no deficit needs, if the
/// host's pool is below its maximum size.
void ReverseUnneededDrains(ZoneView& view, int uncommitted,
                           MoveDecision& decision) {
  for (const std::size_t host : view.draining) {
    const state::Host& item = view.input->hosts[host];
    const PoolIndex pool = view.pool_of_name.at(*item.pool);
    PoolCount& count = view.pools[pool];
    const bool keeps = ServingHosts(count) < MaxSize(view, pool);
    if (uncommitted <= 0 || !keeps || view.input->missing.contains(item.id)) {
      continue;
    }
    --uncommitted;
    decision.reversals.push_back({item.id, *item.pool, ServingHosts(count),
                                  view.input->pools[pool].needed});
    ++count.available;
    ++count.members;
    --count.leaving;
  }
}

/// The most urgent deficit that is not covered yet; null if there is none.
Deficit* NextDeficit(std::vector<Deficit>& deficits) {
  const auto found =
      std::find_if(deficits.begin(), deficits.end(),
                   [](const Deficit& deficit) { return deficit.missing > 0; });
  return found == deficits.end() ? nullptr : &*found;
}

/// Assigns released hosts to the most urgent deficits and the rest to the spare
/// pool.
void AssignReleased(ZoneView& view, std::vector<Deficit>& deficits,
                    MoveDecision& decision) {
  const auto spare = view.pool_of_name.find(view.input->spare_pool);
  for (const std::size_t host : view.released) {
    Deficit* deficit = NextDeficit(deficits);
    const bool needed = deficit != nullptr;
    if (!needed && spare == view.pool_of_name.end()) {
      continue;
    }
    const PoolIndex to = needed ? deficit->pool : spare->second;
    const MoveCause cause = needed ? deficit->cause : MoveCause::kNewHost;
    decision.assignments.push_back({view.input->hosts[host].id, std::nullopt,
                                    view.input->pools[to].pool,
                                    ReasonOf(view, cause, to)});
    ++view.pools[to].arriving;
    ++view.pools[to].members;
    if (needed) {
      --deficit->missing;
    }
  }
}

/// Reduces the deficits by hosts that will be released soon, the most urgent
/// deficit first. Returns the number of hosts that no deficit needs.
int CoverDeficits(int uncommitted, std::vector<Deficit>& deficits) {
  for (Deficit& deficit : deficits) {
    const int bound = std::min(uncommitted, deficit.missing);
    deficit.missing -= bound;
    uncommitted -= bound;
  }
  return uncommitted;
}

/// Whether a pool can give a host and still meet its demand and its budget. For
/// another pool's expected surge, only pools whose own surge is much later give
/// a host.
bool CanDonate(const ZoneView& view, PoolIndex from, PoolIndex to,
               MoveCause cause) {
  const PoolCount& count = view.pools[from];
  const PoolTarget& target = view.input->pools[from];
  const bool surges_too_soon =
      cause == MoveCause::kExpected &&
      (ServingHosts(count) <= target.expected ||
       (target.until_next_surge &&
        *target.until_next_surge < kMinTimeToNextSurge));
  return !surges_too_soon && from != to &&
         ServingHosts(count) - 1 >= target.needed &&
         count.available - 1 >= MinimumAfterDrain(view, from);
}

DonorCost DonorCostOf(const ZoneView& view, PoolIndex from) {
  constexpr double kNever = 1e18;
  const PoolTarget& target = view.input->pools[from];
  if (ServingHosts(view.pools[from]) > MaxSize(view, from)) {
    return {0, 0.0,
            target.pool};  // Surplus: would move to the spare pool anyway.
  }
  // The pool whose next surge is last can do without the host the longest.
  const double idle_ms =
      target.until_next_surge
          ? static_cast<double>(target.until_next_surge->count())
          : kNever;
  return {1, -idle_ms, target.pool};
}

std::optional<PoolIndex> ChooseDonor(const ZoneView& view, PoolIndex to,
                                     MoveCause cause, std::size_t& host,
                                     MoveBlocker& blocker) {
  std::optional<PoolIndex> best;
  DonorCost best_cost;
  for (PoolIndex from = 0; from < view.pools.size(); ++from) {
    const bool surplus = from != to && ServingHosts(view.pools[from]) >
                                           view.input->pools[from].needed;
    if (surplus && blocker == MoveBlocker::kNoDonor) {
      blocker = MoveBlocker::kBudget;
    }
    if (!CanDonate(view, from, to, cause)) {
      continue;
    }
    const std::optional<std::size_t> candidate = ChooseHost(view, from, to);
    if (!candidate) {
      blocker = MoveBlocker::kInFlight;
      continue;
    }
    DonorCost cost = DonorCostOf(view, from);
    if (!best || cost < best_cost) {
      best = from;
      best_cost = std::move(cost);
      host = *candidate;
    }
  }
  return best;
}

Move MakeMove(const ZoneView& view, std::size_t host, PoolIndex from,
              PoolIndex to, MoveCause cause) {
  MoveReason reason = ReasonOf(view, cause, to);
  reason.from_hosts = view.pools[from].available;
  reason.from_minimum = MinimumAfterDrain(view, from);
  return {view.input->hosts[host].id, view.input->pools[from].pool,
          view.input->pools[to].pool, reason};
}

/// Drains hosts of the cheapest donors for the pools that are short of hosts.
void FillDeficits(ZoneView& view, const std::vector<Deficit>& deficits,
                  MoveDecision& decision) {
  for (const Deficit& deficit : deficits) {
    MoveBlocker blocker = MoveBlocker::kNoDonor;
    int missing = deficit.missing;
    for (; missing > 0; --missing) {
      std::size_t host = 0;
      const std::optional<PoolIndex> from =
          ChooseDonor(view, deficit.pool, deficit.cause, host, blocker);
      if (!from) {
        break;
      }
      decision.drains.push_back(
          MakeMove(view, host, *from, deficit.pool, deficit.cause));
      StartDrain(view, host, *from);
    }
    if (missing > 0 && deficit.cause != MoveCause::kExpected) {
      const PoolTarget& target = view.input->pools[deficit.pool];
      decision.shortfalls.push_back({target.pool,
                                     ServingHosts(view.pools[deficit.pool]),
                                     target.needed, blocker});
    }
  }
}

/// Drains surplus hosts of pools towards the spare pool.
void ReturnSurplus(ZoneView& view, MoveDecision& decision) {
  const auto spare = view.pool_of_name.find(view.input->spare_pool);
  if (spare == view.pool_of_name.end()) {
    return;
  }
  for (PoolIndex from = 0; from < view.pools.size(); ++from) {
    while (ServingHosts(view.pools[from]) > MaxSize(view, from) &&
           CanDonate(view, from, spare->second, MoveCause::kToSpare)) {
      const std::optional<std::size_t> host =
          ChooseHost(view, from, spare->second);
      if (!host) {
        break;
      }
      decision.drains.push_back(
          MakeMove(view, *host, from, spare->second, MoveCause::kToSpare));
      StartDrain(view, *host, from);
    }
  }
}

/// Drains hosts whose pool is no longer in the operator text. They have to move
/// in any case, so they cover deficits before other hosts do, even while the
/// limits on moves in flight delay their drain. Otherwise a renamed pool would
/// be filled from other pools and its old hosts would move as well.
void DrainOrphans(ZoneView& view, std::vector<Deficit>& deficits,
                  MoveDecision& decision) {
  CoverDeficits(view.orphans_in_motion, deficits);
  const auto spare = view.pool_of_name.find(view.input->spare_pool);
  for (const std::size_t host : view.orphans) {
    Deficit* deficit = NextDeficit(deficits);
    if (deficit == nullptr && spare == view.pool_of_name.end()) {
      continue;
    }
    const PoolIndex to = deficit != nullptr ? deficit->pool : spare->second;
    if (deficit != nullptr) {
      --deficit->missing;
    }
    int& in_flight = view.in_flight_of_rack[view.rack_of_host[host]];
    if (in_flight >= view.input->limits.in_flight_per_rack) {
      continue;
    }
    ++in_flight;
    const state::Host& item = view.input->hosts[host];
    decision.drains.push_back({item.id, item.pool, view.input->pools[to].pool,
                               ReasonOf(view, MoveCause::kUnknownPool, to)});
  }
}

std::set<core::HostId> UnconfirmedMissingHosts(const MoveInput& input) {
  std::set<core::HostId> unconfirmed_missing;
  std::set_difference(
      input.missing.begin(), input.missing.end(), input.confirmed_dead.begin(),
      input.confirmed_dead.end(),
      std::inserter(unconfirmed_missing, unconfirmed_missing.end()));
  return unconfirmed_missing;
}

void ReportFrozen(const ZoneView& view, MoveDecision& decision) {
  decision.frozen = true;
  for (const Deficit& deficit : FindDeficits(view)) {
    if (deficit.cause == MoveCause::kExpected) {
      continue;
    }
    const PoolTarget& target = view.input->pools[deficit.pool];
    decision.shortfalls.push_back({target.pool,
                                   ServingHosts(view.pools[deficit.pool]),
                                   target.needed, MoveBlocker::kManyMissing});
  }
}

}  // namespace internal

bool ManyMissing(const std::vector<state::Host>& hosts,
                 const std::set<core::HostId>& missing, double share) {
  const auto count = std::count_if(hosts.begin(), hosts.end(),
                                   [&missing](const state::Host& host) {
                                     return missing.contains(host.id);
                                   });
  return static_cast<double>(count) > share * static_cast<double>(hosts.size());
}

int MinAvailableHosts(int floor, double host_availability, int members) {
  // Without the tolerance, a rounding error of the product could require one
  // host too many.
  constexpr double kTolerance = 1e-9;
  const double share = host_availability * members - kTolerance;
  return std::max(floor, static_cast<int>(std::ceil(std::max(0.0, share))));
}

MoveDecision DecideMoves(const MoveInput& input) {
  MoveDecision decision;
  internal::ZoneView view = internal::MakeView(input);
  const std::set<core::HostId> unconfirmed_missing =
      internal::UnconfirmedMissingHosts(input);
  if (ManyMissing(input.hosts, unconfirmed_missing,
                  input.limits.missing_share)) {
    internal::ReportFrozen(view, decision);
    return decision;
  }
  internal::ReverseDrains(view, decision);
  std::vector<internal::Deficit> deficits = internal::FindDeficits(view);
  internal::AssignReleased(view, deficits, decision);
  internal::DrainOrphans(view, deficits, decision);
  const int uncommitted =
      internal::CoverDeficits(static_cast<int>(view.draining.size()), deficits);
  internal::ReverseUnneededDrains(view, uncommitted, decision);
  internal::FillDeficits(view, deficits, decision);
  internal::ReturnSurplus(view, decision);
  return decision;
}

std::vector<PoolTarget> TargetsOf(const text::OperatorText& text,
                                  const sizing::Sizes& sizes,
                                  const core::ZoneName& zone) {
  std::vector<PoolTarget> targets;
  for (const auto& [name, size] : sizes.services) {
    const auto found = size.zones.find(zone);
    if (found == size.zones.end()) {
      continue;
    }
    const text::Service& service = text.services.at(name);
    targets.push_back({size.pool, found->second.floor, found->second.needed,
                       found->second.wanted, service.host_availability,
                       service.priority, size.until_next_surge,
                       found->second.expected});
  }
  return targets;
}

}  // namespace camphormux::moves
