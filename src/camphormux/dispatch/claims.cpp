#include <algorithm>
#include <utility>

#include "camphormux/dispatch/step.hpp"

namespace camphormux::dispatch::internal {
namespace {

using ZoneSet = std::set<core::ZoneName>;

/// Unclaimed jobs that one step looks at.
constexpr std::size_t kMaxLooks = 2000;
/// A job is repeated on the stream when a quarter of the retention has passed.
constexpr int kCarryShare = 4;
constexpr core::Millis kCarryPeriod = std::chrono::seconds(5);

/// Weight of a zone for a job, the same in every process (FNV-1a).
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
  // FNV leaves neighbouring names with similar high bits.
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15;
  constexpr int kShift = 32;
  hash = (hash ^ (hash >> kShift)) * kMultiplier;
  return hash ^ (hash >> kShift);
}

/// Zones with hosts in each pool.
std::map<core::PoolName, ZoneSet> ZonesOfPools(const DriverInput& input) {
  std::map<core::PoolName, ZoneSet> zones;
  for (const auto& [id, host] : input.state.hosts) {
    if (host.pool && host.phase == state::HostPhase::kAdmitted) {
      zones[*host.pool].insert(host.zone);
    }
  }
  return zones;
}

/// Finds the zones that may run jobs.
class Candidates {
 public:
  explicit Candidates(const DriverInput& input)
      : input_(input), pools_(ZonesOfPools(input)) {
    for (const auto& [zone, lease] : input.state.leases) all_.insert(zone);
  }

  /// Place of the own zone in the order of the zones for a job, without those
  /// in `without`; none if it is not for this zone.
  [[nodiscard]] std::optional<std::int64_t> RankOf(
      const jobs::Submit& submit, const ZoneSet& without) const {
    const core::ZoneName& own = input_.zone;
    if (submit.zone) {
      return *submit.zone == own ? std::optional<std::int64_t>(0)
                                 : std::nullopt;
    }
    // A job whose pool has no host goes to some zone, which reports it.
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

void TakeUnclaimed(Context& at, const Candidates& candidates) {
  std::size_t looks = 0;
  for (const core::JobId& job : at.input.fold.unclaimed) {
    if (++looks > kMaxLooks || at.driver.records.size() >= kMaxRecords) return;
    const jobs::Submit& submit = jobs::Find(at.input.fold, job)->submit;
    const auto rank = candidates.RankOf(submit, {});
    if (!rank) continue;
    const core::MonotonicTime since =
        at.driver.unclaimed_since.try_emplace(job, at.input.now).first->second;
    const bool urgent = submit.spec.priority == placement::Priority::kUrgent;
    if (at.input.now - since >=
        *rank * (urgent ? kUrgentClaimDelay : kClaimDelay)) {
      WantRecord(
          at, job,
          jobs::ClaimJob{job, at.input.zone, at.driver.epoch, std::nullopt});
    }
  }
}

/// Takes jobs of a silent zone, but for those that may have run there already
/// and may not be run twice.
void Retake(Context& at, const Candidates& candidates, const ZoneSet& silent) {
  for (const core::ZoneName& zone : silent) {
    const auto claimed = at.input.fold.claimed.find(zone);
    if (claimed == at.input.fold.claimed.end()) continue;
    for (const core::JobId& job : claimed->second) {
      if (at.driver.records.size() >= kMaxRecords) return;
      const jobs::JobEntry& entry = *jobs::Find(at.input.fold, job);
      if (entry.started) continue;
      if (candidates.RankOf(entry.submit, silent) == 0) {
        WantRecord(at, job,
                   jobs::ClaimJob{job, at.input.zone, at.driver.epoch,
                                  entry.claim->offset});
      }
    }
  }
}

/// Zones that were cut off long enough, without the own one.
ZoneSet SilentZones(Context& at) {
  auto& since = at.driver.cut_off_since;
  const ZoneSet now_cut(at.input.cut_off.begin(), at.input.cut_off.end());
  std::erase_if(
      since, [&](const auto& item) { return !now_cut.contains(item.first); });
  ZoneSet silent;
  for (const core::ZoneName& zone : now_cut) {
    const core::MonotonicTime begin =
        since.try_emplace(zone, at.input.now).first->second;
    if (zone != at.input.zone && at.input.now - begin >= kRetakeDelay) {
      silent.insert(zone);
    }
  }
  return silent;
}

}  // namespace

void ClaimJobs(Context& at) {
  std::erase_if(at.driver.unclaimed_since, [&](const auto& item) {
    return !at.input.fold.unclaimed.contains(item.first);
  });
  const ZoneSet silent = SilentZones(at);
  if (at.input.fold.unclaimed.empty() && silent.empty()) return;
  const Candidates candidates(at.input);
  TakeUnclaimed(at, candidates);
  Retake(at, candidates, silent);
}

void CarryJobs(Context& at) {
  if (at.input.now < at.driver.next_carry) return;
  at.driver.next_carry = at.input.now + kCarryPeriod;
  const auto own = at.input.fold.claimed.find(at.input.zone);
  if (own == at.input.fold.claimed.end()) return;
  for (const core::JobId& job : own->second) {
    if (at.output.records.size() >= kMaxRecords) return;
    const jobs::JobEntry& entry = *jobs::Find(at.input.fold, job);
    if (at.input.fold.log_now - entry.last_full_record_time >=
        at.input.retention / kCarryShare) {
      at.output.records.emplace_back(jobs::JobSnapshot{
          entry.submit, at.input.zone, at.driver.epoch, entry.started});
    }
  }
}

void SyncJob(Context& at, const core::JobId& job) {
  const jobs::JobEntry* entry = jobs::Find(at.input.fold, job);
  const bool known = at.driver.placement.jobs_by_id.contains(job);
  if (entry == nullptr || !jobs::IsOpenIn(*entry, at.input.zone)) {
    if (known) Feed(at, placement::JobCancelled{job});
    return;
  }
  if (known) return;
  // The placement has all jobs that were started since this takeover, so an
  // earlier start call may be anywhere.
  const bool ran_before = !entry->submit.spec.repeatable && entry->started;
  if (!ran_before) {
    Feed(at, placement::JobSubmitted{entry->submit.spec});
  } else if (!at.driver.unlisted.empty()) {
    at.driver.undecided.insert(job);
  } else {
    ++at.driver.lost_jobs;
    WantRecord(
        at, job,
        jobs::End{job, at.input.zone, at.driver.epoch, jobs::EndKind::kLost});
  }
}

}  // namespace camphormux::dispatch::internal
