#include <algorithm>
#include <utility>

#include "camphormux/dispatch/step.hpp"

namespace camphormux::dispatch::internal {
namespace {

using ZoneSet = std::set<core::ZoneName>;

/// Unclaimed jobs that one step examines.
constexpr std::size_t kMaxExaminedJobs = 2000;
/// An open job is appended to the stream again when a quarter of the retention
/// has passed since its last record.
constexpr int kRepeatsPerRetention = 4;
constexpr core::Millis kRepeatCheckPeriod = std::chrono::seconds(5);

/// Rendezvous hash of a zone and a job (FNV-1a), the same in every process.
std::uint64_t WeightOf(const core::ZoneName& zone, const core::JobId& job) {
  constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t hash = 0xcbf29ce484222325;
  const auto mix = [&hash](const std::string& text) {
    for (const char c : text) {
      hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
    }
    hash = (hash ^ 0xff) * kPrime;
  };
  mix(zone.value);
  mix(job.value);
  // FNV gives similar names similar high bits, so the hash is mixed further.
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15;
  constexpr int kShift = 32;
  hash = (hash ^ (hash >> kShift)) * kMultiplier;
  return hash ^ (hash >> kShift);
}

/// Zones with admitted hosts, by pool.
std::map<core::PoolName, ZoneSet> ZonesOfPools(const DriverInput& input) {
  std::map<core::PoolName, ZoneSet> zones;
  for (const auto& [id, host] : input.state.hosts) {
    if (host.pool && host.phase == state::HostPhase::kAdmitted) {
      zones[*host.pool].insert(host.zone);
    }
  }
  return zones;
}

/// Orders the zones that may run a job.
class ZoneRanking {
 public:
  explicit ZoneRanking(const DriverInput& input)
      : input_(input), pools_(ZonesOfPools(input)) {
    for (const auto& [zone, lease] : input.state.leases) all_.insert(zone);
  }

  /// Rank of this controller's zone among the zones for a job, 0 being first.
  /// Zones in `without` are left out. None if this zone may not run the job.
  [[nodiscard]] std::optional<std::int64_t> RankOf(
      const jobs::Submit& submit, const ZoneSet& without) const {
    const core::ZoneName& own = input_.zone;
    if (submit.zone) {
      return *submit.zone == own ? std::optional<std::int64_t>(0)
                                 : std::nullopt;
    }
    // If no zone has a host of the pool, all zones are candidates, so that one
    // of them claims the job and reports the problem.
    const auto found = pools_.find(submit.spec.pool);
    const ZoneSet& zones = found == pools_.end() ? all_ : found->second;
    if (!zones.contains(own)) return std::nullopt;
    const std::uint64_t weight = WeightOf(own, submit.spec.id);
    return std::count_if(zones.begin(), zones.end(), [&](const auto& zone) {
      return zone != own && !without.contains(zone) &&
             WeightOf(zone, submit.spec.id) > weight;
    });
  }

 private:
  const DriverInput& input_;
  std::map<core::PoolName, ZoneSet> pools_;
  ZoneSet all_;
};

void ClaimUnclaimedJobs(Context& context, const ZoneRanking& ranking) {
  std::size_t examined = 0;
  for (const core::JobId& job : context.input.fold.unclaimed) {
    if (++examined > kMaxExaminedJobs ||
        context.driver.records.size() >= kMaxRecords)
      return;
    const jobs::Submit& submit = jobs::Find(context.input.fold, job)->submit;
    const auto rank = ranking.RankOf(submit, {});
    if (!rank) continue;
    const core::MonotonicTime since =
        context.driver.unclaimed_since.try_emplace(job, context.input.now)
            .first->second;
    const bool urgent = submit.spec.priority == placement::Priority::kUrgent;
    if (context.input.now - since >=
        *rank * (urgent ? kUrgentClaimDelay : kClaimDelay)) {
      RequestRecord(context, job,
                    jobs::ClaimJob{job, context.input.zone,
                                   context.driver.epoch, std::nullopt});
    }
  }
}

/// Claims jobs of zones that are cut off, except started ones that must not run
/// twice, because they may have run there.
void ReclaimJobs(Context& context, const ZoneRanking& ranking,
                 const ZoneSet& reclaimable) {
  for (const core::ZoneName& zone : reclaimable) {
    const auto claimed = context.input.fold.claimed.find(zone);
    if (claimed == context.input.fold.claimed.end()) continue;
    for (const core::JobId& job : claimed->second) {
      if (context.driver.records.size() >= kMaxRecords) return;
      const jobs::JobEntry& entry = *jobs::Find(context.input.fold, job);
      if (entry.started) continue;
      if (ranking.RankOf(entry.submit, reclaimable) == 0) {
        RequestRecord(
            context, job,
            jobs::ClaimJob{job, context.input.zone, context.driver.epoch,
                           entry.claim->offset});
      }
    }
  }
}

/// Other zones that have been cut off for `kReclaimDelay`.
ZoneSet ReclaimableZones(Context& context) {
  auto& since = context.driver.cut_off_since;
  const ZoneSet now_cut(context.input.cut_off.begin(),
                        context.input.cut_off.end());
  std::erase_if(
      since, [&](const auto& item) { return !now_cut.contains(item.first); });
  ZoneSet reclaimable;
  for (const core::ZoneName& zone : now_cut) {
    const core::MonotonicTime begin =
        since.try_emplace(zone, context.input.now).first->second;
    if (zone != context.input.zone &&
        context.input.now - begin >= kReclaimDelay) {
      reclaimable.insert(zone);
    }
  }
  return reclaimable;
}

}  // namespace

void ClaimJobs(Context& context) {
  std::erase_if(context.driver.unclaimed_since, [&](const auto& item) {
    return !context.input.fold.unclaimed.contains(item.first);
  });
  const ZoneSet reclaimable = ReclaimableZones(context);
  if (context.input.fold.unclaimed.empty() && reclaimable.empty()) return;
  const ZoneRanking ranking(context.input);
  ClaimUnclaimedJobs(context, ranking);
  ReclaimJobs(context, ranking, reclaimable);
}

void RepeatOpenJobs(Context& context) {
  if (context.input.now < context.driver.next_repeat_check) return;
  context.driver.next_repeat_check = context.input.now + kRepeatCheckPeriod;
  const auto own = context.input.fold.claimed.find(context.input.zone);
  if (own == context.input.fold.claimed.end()) return;
  for (const core::JobId& job : own->second) {
    if (context.output.records.size() >= kMaxRecords) return;
    const jobs::JobEntry& entry = *jobs::Find(context.input.fold, job);
    if (context.input.fold.log_now - entry.last_full_record_time >=
        context.input.retention / kRepeatsPerRetention) {
      context.output.records.emplace_back(
          jobs::JobSnapshot{entry.submit, context.input.zone,
                            context.driver.epoch, entry.started});
    }
  }
}

void SyncJob(Context& context, const core::JobId& job) {
  const jobs::JobEntry* entry = jobs::Find(context.input.fold, job);
  const bool known = context.driver.placement.jobs_by_id.contains(job);
  if (entry == nullptr || !jobs::IsOpenIn(*entry, context.input.zone)) {
    if (known) ApplyEvent(context, placement::JobCancelled{job});
    return;
  }
  if (known) return;
  // The placement has every job started since this takeover. This job was
  // started before it, so its task may be on any worker.
  const bool ran_before = !entry->submit.spec.repeatable && entry->started;
  if (!ran_before) {
    ApplyEvent(context, placement::JobSubmitted{entry->submit.spec});
  } else if (!context.driver.unlisted.empty()) {
    context.driver.unresolved_jobs.insert(job);
  } else {
    ++context.driver.lost_jobs;
    RequestRecord(context, job,
                  jobs::End{job, context.input.zone, context.driver.epoch,
                            jobs::EndKind::kLost});
  }
}

}  // namespace camphormux::dispatch::internal
