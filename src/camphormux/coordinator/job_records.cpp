#include "camphormux/coordinator/job_records.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

#include <xxhash.h>

#include "camphormux/scheduler/jobs.hpp"
#include "camphormux/workload/codec.hpp"

namespace camphormux::coordinator {
namespace internal {

/// Number of tasks of a group. A group is stored again when one of its tasks
/// changes.
constexpr std::uint32_t kTasksPerGroup = 128;

std::string Key(std::string_view prefix, const core::JobId& id) {
  return std::string(prefix) + id.value;
}

std::string TasksKey(const core::JobId& id, std::uint32_t first) {
  return Key(kTasksKeyPrefix, id) + "/" + std::to_string(first);
}

/// Parses the key of a record of tasks into the job and the first task.
std::optional<std::pair<core::JobId, std::uint32_t>> ParseTasksKey(
    std::string_view key) {
  key.remove_prefix(kTasksKeyPrefix.size());
  const std::size_t slash = key.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  std::uint32_t first = 0;
  const char* const end = key.data() + key.size();
  const auto parsed = std::from_chars(key.data() + slash + 1, end, first);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return std::pair{core::JobId{std::string(key.substr(0, slash))}, first};
}

void AppendNumber(std::string& bytes, std::uint64_t number) {
  bytes.append(reinterpret_cast<const char*>(&number), sizeof(number));
}

void AppendText(std::string& bytes, const std::string& text) {
  AppendNumber(bytes, text.size());
  bytes.append(text);
}

std::uint64_t Fingerprint(const std::vector<workload::TaskProgress>& tasks,
                          std::uint32_t first, std::uint32_t end) {
  std::string bytes;
  for (std::uint32_t i = first; i < end; ++i) {
    const workload::TaskProgress& task = tasks[i];
    AppendNumber(bytes, task.done ? 1 : 0);
    AppendNumber(bytes, task.next_attempt);
    AppendNumber(bytes, task.failed_attempts.size());
    for (const std::uint32_t attempt : task.failed_attempts) {
      AppendNumber(bytes, attempt);
    }
    AppendText(bytes, task.checkpoint);
    AppendNumber(bytes, task.runs.size());
    for (const workload::StoredRun& run : task.runs) {
      AppendText(bytes, run.host.value);
      AppendNumber(bytes, run.incarnation.value);
      AppendNumber(bytes, run.attempt);
    }
  }
  const std::uint64_t hash = XXH3_64bits(bytes.data(), bytes.size());
  return hash == 0 ? 1 : hash;
}

/// Encodes consecutive tasks into as few records as fit the limit.
void EncodeTaskRecords(const core::JobId& id,
                       const std::vector<workload::TaskProgress>& tasks,
                       std::uint32_t first, std::uint32_t end,
                       std::set<std::uint32_t>& firsts,
                       std::vector<StoreRecord>& records) {
  std::string data = workload::EncodeTasks(tasks, first, end);
  if (data.size() > kMaxRecordBytes && end - first > 1) {
    const std::uint32_t middle = first + (end - first) / 2;
    EncodeTaskRecords(id, tasks, first, middle, firsts, records);
    EncodeTaskRecords(id, tasks, middle, end, firsts, records);
    return;
  }
  firsts.insert(first);
  records.push_back({TasksKey(id, first), std::move(data)});
}

/// Adds the records of the groups of tasks that have changed.
/// @return Whether all were added.
bool CollectTasks(const core::JobId& id,
                  const std::vector<workload::TaskProgress>& tasks,
                  StoredProgress& stored, std::size_t max_bytes,
                  std::vector<StoreRecord>& records) {
  const auto count = static_cast<std::uint32_t>(tasks.size());
  std::size_t bytes = TotalBytes(records);
  for (std::uint32_t first = 0; first < count; first += kTasksPerGroup) {
    const std::uint32_t end = std::min(count, first + kTasksPerGroup);
    const std::uint64_t fingerprint = Fingerprint(tasks, first, end);
    StoredTasks& group = stored.groups[first];
    if (group.fingerprint == fingerprint) {
      continue;
    }
    if (bytes >= max_bytes) {
      return false;
    }
    std::vector<StoreRecord> added;
    const std::set<std::uint32_t> previous = std::exchange(group.records, {});
    EncodeTaskRecords(id, tasks, first, end, group.records, added);
    for (const std::uint32_t record : previous) {
      if (!group.records.contains(record)) {
        added.push_back({TasksKey(id, record), std::nullopt});
      }
    }
    group.fingerprint = fingerprint;
    bytes += TotalBytes(added);
    std::move(added.begin(), added.end(), std::back_inserter(records));
  }
  return bytes < max_bytes;
}

void RemoveTasks(const core::JobId& id, StoredProgress& stored,
                 std::vector<StoreRecord>& records) {
  for (const auto& [first, group] : stored.groups) {
    for (const std::uint32_t record : group.records) {
      records.push_back({TasksKey(id, record), std::nullopt});
    }
  }
  stored.groups.clear();
}

void RemoveSplitJob(const core::JobId& id, StoredProgress& stored,
                    std::vector<StoreRecord>& records) {
  if (stored.is_split) {
    records.push_back({Key(kSplitSpecKeyPrefix, id), std::nullopt});
  }
  stored = {};
}

/// Collects the records of an ended job. If it has runs that may not have
/// ended, its progress lists tasks, and the record of the job is kept with it,
/// which tells what they take on their hosts.
void CollectEndedJob(workload::Progress progress, scheduler::Job& job,
                     StoredProgress& stored,
                     std::vector<StoreRecord>& records) {
  const core::JobId& id = job.spec.id;
  std::string data = workload::EncodeProgress(progress);
  if (data.size() > kMaxRecordBytes) {
    progress.tasks.clear();
    data = workload::EncodeProgress(progress);
  }
  job.final_runs_saved = !progress.tasks.empty();
  records.push_back({Key(kProgressKeyPrefix, id), std::move(data)});
  RemoveTasks(id, stored, records);
  if (!job.final_runs_saved) {
    records.push_back({Key(kSpecKeyPrefix, id), std::nullopt});
    RemoveSplitJob(id, stored, records);
  }
}

StoreRecord JobRecord(std::string_view prefix, const scheduler::Job& job) {
  std::optional<workload::JobPolicy> policy;
  if (scheduler::HasPolicy(job)) {
    policy = job.policy;
  }
  return {Key(prefix, job.spec.id),
          workload::EncodeStoredJob({job.spec, std::move(policy)})};
}

/// Merges the stored progress of a task from two records. Either may be older;
/// runs that have ended since are found out from their hosts.
void MergeTask(workload::TaskProgress& task, workload::TaskProgress other) {
  task.done |= other.done;
  task.next_attempt = std::max(task.next_attempt, other.next_attempt);
  task.failed_attempts.merge(other.failed_attempts);
  if (!other.checkpoint.empty()) {
    task.checkpoint = std::move(other.checkpoint);
  }
  for (workload::StoredRun& run : other.runs) {
    if (std::find(task.runs.begin(), task.runs.end(), run) == task.runs.end()) {
      task.runs.push_back(std::move(run));
    }
  }
}

/// Reads a record of tasks.
/// @return Whether it could be read.
bool LoadTasks(const StoreRecord& record, core::WallTime now,
               LoadedJobs& loaded) {
  const auto key = ParseTasksKey(record.key);
  if (!key) {
    return false;
  }
  const auto& [id, first] = *key;
  LoadedJob& entry = loaded.jobs[id];
  entry.stored.is_split = true;
  entry.stored.groups[first - first % kTasksPerGroup].records.insert(first);
  auto tasks = workload::DecodeTasks(*record.value);
  if (!tasks) {
    return false;
  }
  if (!entry.progress) {
    entry.progress.emplace().accepted = now;
  }
  if (workload::IsFinal(entry.progress->state)) {
    return true;
  }
  std::vector<workload::TaskProgress>& progress = entry.progress->tasks;
  for (auto& [position, task] : *tasks) {
    if (progress.size() <= position) {
      progress.resize(position + 1);
    }
    MergeTask(progress[position], std::move(task));
  }
  return true;
}

/// Keys of jobs, by the kind of record.
struct StoredKeys {
  std::set<core::JobId> jobs;
  std::set<core::JobId> split_jobs;
  std::set<core::JobId> progress;
};

/// Reads a record of a job or its progress; ignores others.
/// @return Whether it could be read.
bool LoadHead(const StoreRecord& record, LoadedJobs& loaded, StoredKeys& keys) {
  const std::string_view key = record.key;
  if (key.starts_with(kSpecKeyPrefix) || key.starts_with(kSplitSpecKeyPrefix)) {
    auto job = workload::DecodeStoredJob(*record.value);
    if (!job) {
      return false;
    }
    const core::JobId id = job->spec.id;
    (key.starts_with(kSpecKeyPrefix) ? keys.jobs : keys.split_jobs).insert(id);
    loaded.jobs[id].job = std::move(job);
  } else if (key.starts_with(kProgressKeyPrefix)) {
    const core::JobId id{std::string(key.substr(kProgressKeyPrefix.size()))};
    keys.progress.insert(id);
    auto progress = workload::DecodeProgress(*record.value);
    if (!progress) {
      return false;
    }
    loaded.jobs[id].progress = std::move(progress);
  }
  return true;
}

}  // namespace internal

bool CollectJobRecords(const scheduler::State& state, scheduler::Job& job,
                       StoredProgress& stored, std::size_t max_bytes,
                       std::vector<StoreRecord>& records) {
  const core::JobId& id = job.spec.id;
  workload::Progress progress = scheduler::ProgressOf(state, job);
  const std::string key = internal::Key(kProgressKeyPrefix, id);
  if (workload::IsFinal(progress.state)) {
    internal::CollectEndedJob(std::move(progress), job, stored, records);
    return true;
  }
  const bool store_policy = scheduler::HasPolicy(job) && !job.policy_saved;
  if (!stored.is_split) {
    std::string data = workload::EncodeProgress(progress);
    if (data.size() <= kMaxRecordBytes) {
      if (store_policy) {
        job.policy_saved = true;
        records.push_back(internal::JobRecord(kSpecKeyPrefix, job));
      }
      records.push_back({key, std::move(data)});
      return true;
    }
    stored.is_split = true;
  }
  // The record without tasks comes last: until it is stored, the previous one
  // holds all tasks or they are in the records of their groups.
  const std::vector<workload::TaskProgress> tasks =
      std::exchange(progress.tasks, {});
  if (!internal::CollectTasks(id, tasks, stored, max_bytes, records)) {
    return false;
  }
  if (!stored.is_split_job_stored || store_policy) {
    stored.is_split_job_stored = true;
    job.policy_saved = scheduler::HasPolicy(job);
    records.push_back({internal::Key(kSpecKeyPrefix, id), std::nullopt});
    records.push_back(internal::JobRecord(kSplitSpecKeyPrefix, job));
  }
  records.push_back({key, workload::EncodeProgress(progress)});
  return true;
}

void InvalidateStoredProgress(StoredProgress& stored) {
  stored.is_split_job_stored = false;
  for (auto& [first, group] : stored.groups) {
    group.fingerprint = 0;
  }
}

std::size_t TotalBytes(const std::vector<StoreRecord>& records) {
  std::size_t bytes = 0;
  for (const StoreRecord& record : records) {
    bytes += record.key.size() + (record.value ? record.value->size() : 0);
  }
  return bytes;
}

StoreRecord SubmissionRecord(const scheduler::Job& job) {
  return internal::JobRecord(kSpecKeyPrefix, job);
}

std::vector<StoreRecord> TombstoneRecords(const core::JobId& id,
                                          core::WallTime cancelled,
                                          const workload::Caller& caller) {
  return {
      {internal::Key(kProgressKeyPrefix, id),
       workload::EncodeProgress(workload::MakeTombstone(cancelled, caller))},
      {internal::Key(kSpecKeyPrefix, id), std::nullopt}};
}

LoadedJobs LoadJobRecords(const std::vector<StoreRecord>& records,
                          core::WallTime now) {
  LoadedJobs loaded;
  internal::StoredKeys keys;
  for (const StoreRecord& record : records) {
    if (record.value && !internal::LoadHead(record, loaded, keys)) {
      loaded.malformed.push_back(record.key);
    }
  }
  for (const StoreRecord& record : records) {
    if (record.value && record.key.starts_with(kTasksKeyPrefix) &&
        !internal::LoadTasks(record, now, loaded)) {
      loaded.malformed.push_back(record.key);
    }
  }
  for (auto it = loaded.jobs.begin(); it != loaded.jobs.end();) {
    auto& [id, entry] = *it;
    const bool is_final =
        entry.progress && workload::IsFinal(entry.progress->state);
    entry.stored.is_split |= keys.split_jobs.contains(id);
    entry.stored.is_split_job_stored =
        keys.split_jobs.contains(id) && !keys.jobs.contains(id);
    const bool is_needed = is_final && !entry.progress->tasks.empty();
    if (is_final && !is_needed && keys.jobs.contains(id)) {
      loaded.obsolete.push_back(internal::Key(kSpecKeyPrefix, id));
    }
    // A split job that is stored as such always has a progress. Without one, a
    // node of an earlier version has ended and forgotten the job.
    const bool is_forgotten = entry.stored.is_split &&
                              !keys.progress.contains(id) &&
                              !keys.jobs.contains(id);
    if (entry.stored.is_split && (is_final || is_forgotten)) {
      std::vector<StoreRecord> removed;
      internal::RemoveTasks(id, entry.stored, removed);
      if (!is_needed) {
        internal::RemoveSplitJob(id, entry.stored, removed);
      }
      for (StoreRecord& record : removed) {
        loaded.obsolete.push_back(std::move(record.key));
      }
    }
    it = is_forgotten ? loaded.jobs.erase(it) : std::next(it);
  }
  return loaded;
}

}  // namespace camphormux::coordinator
