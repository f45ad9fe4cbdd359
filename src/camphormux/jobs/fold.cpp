#include "camphormux/jobs/fold.hpp"

#include <algorithm>
#include <utility>

#include "camphormux/jobs/codec.hpp"

namespace camphormux::jobs {
namespace internal {

bool SameContent(const Submit& a, const Submit& b) {
  const placement::JobSpec& x = a.spec;
  const placement::JobSpec& y = b.spec;
  return x.team == y.team && x.kind == y.kind && x.priority == y.priority &&
         x.preemptible == y.preemptible && x.repeatable == y.repeatable &&
         x.declared == y.declared &&
         x.declared_run_time == y.declared_run_time && x.pool == y.pool &&
         a.zone == b.zone;
}

/// Applies one record to the state; one overload for each record type.
struct RecordApplier {
  Fold& fold;
  core::LogOffset offset;
  core::WallTime time;
  Applied& applied;

  void operator()(const Submit& record) {
    const JobEntry* known = FindKnown(record);
    if (known == nullptr) {
      if (AddJob(record) == nullptr) return;
      fold.unclaimed.insert(record.spec.id);
      applied.changed.push_back(record.spec.id);
    } else if (!known->submission_read || SameContent(known->submit, record)) {
      ++fold.stale;
    } else {
      SkipConflicting("job " + record.spec.id.value +
                      " exists with different content");
    }
  }

  void operator()(const Cancel& record) {
    if (RecordEndOfUnseen(record.job, record.team, EndKind::kCancelled)) return;
    JobEntry* entry = FindOpen(record.job);
    if (entry == nullptr) return;
    if (entry->submit.spec.team != record.team) {
      SkipConflicting("job " + record.job.value + " does not belong to team " +
                      record.team.value);
      return;
    }
    EndJob(*entry, EndKind::kCancelled);
  }

  void operator()(const Holder& record) {
    (void)AcceptEpoch(record.zone, record.epoch);
  }

  void operator()(const ClaimJob& record) {
    if (!AcceptEpoch(record.zone, record.epoch)) return;
    JobEntry* entry = FindOpen(record.job);
    if (entry == nullptr) return;
    const std::optional<core::LogOffset> current =
        entry->claim ? std::optional(entry->claim->offset) : std::nullopt;
    const bool other_zone =
        entry->submit.zone && *entry->submit.zone != record.zone;
    // A started job that is not repeatable stays in its zone.
    if (current != record.after || entry->started || other_zone) {
      ++fold.stale;
      return;
    }
    SetClaim(*entry, record.zone);
    applied.changed.push_back(record.job);
  }

  void operator()(const Start& record) {
    if (!AcceptEpoch(record.zone, record.epoch)) return;
    JobEntry* entry = FindOpen(record.job);
    if (entry == nullptr) return;
    if (!IsOpenIn(*entry, record.zone) || entry->started) {
      ++fold.stale;
      return;
    }
    entry->started = record.epoch;
    applied.changed.push_back(record.job);
  }

  void operator()(const End& record) {
    if (!AcceptEpoch(record.zone, record.epoch)) return;
    if (RecordEndOfUnseen(record.job, {}, record.kind)) return;
    JobEntry* entry = FindOpen(record.job);
    if (entry == nullptr) return;
    if (!IsOpenIn(*entry, record.zone)) {
      ++fold.stale;
      return;
    }
    EndJob(*entry, record.kind);
  }

  void operator()(const JobSnapshot& record) {
    if (!AcceptEpoch(record.zone, record.epoch)) return;
    const core::JobId& id = record.submit.spec.id;
    if (JobEntry* known = FindKnown(record.submit)) {
      if (IsOpenIn(*known, record.zone)) known->last_full_record_time = time;
      return;
    }
    JobEntry* entry = AddJob(record.submit);
    if (entry == nullptr) return;
    SetClaim(*entry, record.zone);
    entry->started = record.started;
    applied.changed.push_back(id);
  }

  /// Returns false if the epoch is below the zone's highest; else records it.
  [[nodiscard]] bool AcceptEpoch(const core::ZoneName& zone,
                                 core::Epoch epoch) {
    core::Epoch& highest = fold.epochs[zone];
    if (epoch < highest) {
      ++fold.stale;
      return false;
    }
    highest = epoch;
    return true;
  }

  /// Finds the entry of a submitted job. An end without a submission binds only
  /// the team that ended the job: the entry is dropped when another team
  /// submits the name, so that no team can block the names of others.
  [[nodiscard]] JobEntry* FindKnown(const Submit& submit) {
    const auto found = fold.jobs.find(submit.spec.id);
    if (found == fold.jobs.end()) return nullptr;
    JobEntry& entry = found->second;
    const core::TeamName& ending_team = entry.submit.spec.team;
    if (entry.submission_read || ending_team.value.empty() ||
        ending_team == submit.spec.team) {
      return &entry;
    }
    fold.jobs.erase(found);
    return nullptr;
  }

  /// Records the end of a job whose submission was not read, because it expired
  /// or follows later. Otherwise a snapshot of the job that was in flight when
  /// the job ended would reopen it.
  [[nodiscard]] bool RecordEndOfUnseen(const core::JobId& job,
                                       const core::TeamName& team,
                                       EndKind kind) {
    if (fold.jobs.contains(job)) return false;
    JobEntry entry;
    entry.submission_read = false;
    entry.submit.spec.id = job;
    entry.submit.spec.team = team;
    entry.end = kind;
    entry.offset = offset;
    fold.jobs.emplace(job, std::move(entry));
    fold.ended.push_back({job, time});
    return true;
  }

  JobEntry* AddJob(const Submit& submit) {
    if (fold.open >= kMaxOpenJobs) {
      SkipConflicting("limit of open jobs reached");
      return nullptr;
    }
    ++fold.open;
    JobEntry entry;
    entry.submit = submit;
    entry.offset = offset;
    entry.last_full_record_time = time;
    return &fold.jobs.emplace(submit.spec.id, std::move(entry)).first->second;
  }

  /// Finds an open job. Counts the record as stale if the job has ended or is
  /// unknown: a team may cancel a job while it ends, and a reader may have
  /// started at an offset after the submission.
  [[nodiscard]] JobEntry* FindOpen(const core::JobId& job) {
    const auto found = fold.jobs.find(job);
    if (found == fold.jobs.end() || found->second.end) {
      ++fold.stale;
      return nullptr;
    }
    return &found->second;
  }

  void SetClaim(JobEntry& entry, const core::ZoneName& zone) {
    const core::JobId& id = entry.submit.spec.id;
    RemoveFromIndexes(entry);
    entry.claim = Claim{zone, offset};
    fold.claimed[zone].insert(id);
  }

  void RemoveFromIndexes(const JobEntry& entry) {
    const core::JobId& id = entry.submit.spec.id;
    fold.unclaimed.erase(id);
    if (entry.claim) fold.claimed[entry.claim->zone].erase(id);
  }

  void EndJob(JobEntry& entry, EndKind kind) {
    RemoveFromIndexes(entry);
    entry.end = kind;
    --fold.open;
    fold.ended.push_back({entry.submit.spec.id, time});
    applied.changed.push_back(entry.submit.spec.id);
  }

  void SkipConflicting(std::string reason) {
    ++fold.conflicting;
    applied.skipped.push_back({offset, std::move(reason)});
  }
};

void ExpireEndedJobs(Fold& fold) {
  while (!fold.ended.empty() &&
         (fold.ended.size() > kMaxEndedJobs ||
          fold.log_now - fold.ended.front().time > kEndedJobRetention)) {
    const auto found = fold.jobs.find(fold.ended.front().job);
    if (found != fold.jobs.end() && found->second.end) fold.jobs.erase(found);
    fold.ended.pop_front();
  }
}

}  // namespace internal

Applied Apply(Fold& fold, const log::StoredRecord& record) {
  Applied applied;
  if (record.offset < fold.next) return applied;
  fold.next = core::Next(record.offset);
  // The log's clock may step back; `log_now` must not.
  fold.log_now = std::max(fold.log_now, record.time);
  const auto batch = DecodeRecords(record.data);
  if (!batch.has_value()) {
    ++fold.malformed;
    applied.skipped.push_back({record.offset, batch.error().reason});
    return applied;
  }
  internal::RecordApplier applier{fold, record.offset, fold.log_now, applied};
  for (const Record& item : batch.value().records) std::visit(applier, item);
  internal::ExpireEndedJobs(fold);
  return applied;
}

const JobEntry* Find(const Fold& fold, const core::JobId& job) {
  const auto found = fold.jobs.find(job);
  return found == fold.jobs.end() ? nullptr : &found->second;
}

bool IsOpenIn(const JobEntry& entry, const core::ZoneName& zone) {
  return !entry.end && entry.claim && entry.claim->zone == zone;
}

}  // namespace camphormux::jobs
