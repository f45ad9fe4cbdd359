#include "camphormux/workload/codec.hpp"

#include <utility>

#include "camphormux/cbor/cbor.hpp"
#include "camphormux/workload/validate.hpp"

namespace camphormux::workload {
namespace internal {

using nlohmann::json;

/// Bits of the boolean properties of an encoded step.
enum StepFlag : std::uint32_t {
  kCheckpoints = 1,
  kGang = 2,
  kColocated = 4,
  kSpeculative = 8,
  kPermanent = 16,
  kBestEffort = 32,
};

std::int64_t Millis(core::WallTime time) {
  return time.time_since_epoch().count();
}

std::uint32_t Flags(const Step& step) {
  return (step.checkpoints ? kCheckpoints : 0U) | (step.gang ? kGang : 0U) |
         (step.colocated ? kColocated : 0U) |
         (step.speculative ? kSpeculative : 0U) |
         (step.permanent ? kPermanent : 0U) |
         (step.best_effort ? kBestEffort : 0U);
}

json ToJson(const Step& step) {
  json after = json::array();
  for (const std::uint32_t before : step.after) {
    after.push_back(before);
  }
  return json::array({step.count, step.size.cores.value, step.size.memory.value,
                      step.size.accelerators.value, step.estimate.count(),
                      std::move(after), Flags(step), step.required_label,
                      step.data_rack.value, step.max_per_host, step.image,
                      step.latency_target.count(),
                      step.max_unavailable ? *step.max_unavailable + 1 : 0});
}

Step StepFrom(const json& value, bool& ok) {
  cbor::ArrayReader reader(value);
  Step step;
  step.count = static_cast<std::uint32_t>(reader.Unsigned(kMaxTasks));
  step.size.cores.value =
      static_cast<std::int64_t>(reader.Unsigned(kMaxAmount));
  step.size.memory.value =
      static_cast<std::int64_t>(reader.Unsigned(kMaxAmount));
  step.size.accelerators.value =
      static_cast<std::int64_t>(reader.Unsigned(kMaxAmount));
  step.estimate =
      core::Millis(static_cast<std::int64_t>(reader.Unsigned(kMaxAmount)));
  cbor::ArrayReader after(reader.Array(kMaxSteps));
  for (;;) {
    const auto before = static_cast<std::uint32_t>(after.Unsigned(kMaxSteps));
    if (!after.ok()) {
      break;
    }
    step.after.push_back(before);
  }
  const auto flags = static_cast<std::uint32_t>(reader.Unsigned(UINT32_MAX));
  step.checkpoints = (flags & kCheckpoints) != 0;
  step.gang = (flags & kGang) != 0;
  step.colocated = (flags & kColocated) != 0;
  step.speculative = (flags & kSpeculative) != 0;
  step.permanent = (flags & kPermanent) != 0;
  step.best_effort = (flags & kBestEffort) != 0;
  step.required_label = reader.Text(kMaxNameBytes);
  step.data_rack.value = reader.Text(kMaxNameBytes);
  step.max_per_host = static_cast<std::uint32_t>(reader.Unsigned(UINT32_MAX));
  step.image = reader.Text(kMaxNameBytes);
  step.latency_target =
      core::Millis(static_cast<std::int64_t>(reader.Unsigned(kMaxAmount)));
  const auto budget = static_cast<std::uint32_t>(reader.Unsigned(UINT32_MAX));
  if (budget > 0) {
    step.max_unavailable = budget - 1;
  }
  ok = ok && reader.ok();
  return step;
}

json ToJson(const JobSpec& spec) {
  json steps = json::array();
  for (const Step& step : spec.steps) {
    steps.push_back(ToJson(step));
  }
  return json::array({spec.id.value, spec.queue.value, spec.payload,
                      std::move(steps), spec.occurrences,
                      Millis(spec.first_run), spec.interval.count()});
}

/// Reads the account of a job, which follows its policy.
void ReadAccount(cbor::ArrayReader& reader, JobSpec& spec) {
  if (reader.has_more()) {
    spec.account.value = reader.Text(kMaxNameBytes);
  }
}

/// Reads the elements of a job but its account; returns nothing if they are
/// malformed or the job is invalid.
std::optional<JobSpec> ReadSpec(cbor::ArrayReader& reader) {
  JobSpec spec;
  bool ok = true;
  spec.id.value = reader.Text(kJobIdDigits);
  spec.queue.value = reader.Text(kMaxNameBytes);
  spec.payload = reader.Text(kMaxPayloadBytes);
  for (const json& step : reader.Array(kMaxSteps)) {
    spec.steps.push_back(StepFrom(step, ok));
  }
  spec.occurrences = static_cast<std::uint32_t>(reader.Unsigned(UINT32_MAX));
  spec.first_run = core::WallTime(
      core::Millis(static_cast<std::int64_t>(reader.Unsigned(kMaxAmount))));
  spec.interval =
      core::Millis(static_cast<std::int64_t>(reader.Unsigned(kMaxAmount)));
  if (!ok || !reader.ok() || Validate(spec)) {
    return std::nullopt;
  }
  return spec;
}

json ToJson(const JobPolicy& policy) {
  return json::array({policy.pool.value, policy.priority, policy.max_failures,
                      policy.objective.count()});
}

std::optional<JobPolicy> PolicyFrom(const json& value) {
  cbor::ArrayReader reader(value);
  JobPolicy policy;
  policy.pool.value = reader.Text(kMaxNameBytes);
  policy.priority = static_cast<std::uint32_t>(reader.Unsigned(UINT32_MAX));
  policy.max_failures = static_cast<std::uint32_t>(reader.Unsigned(UINT32_MAX));
  policy.objective =
      core::Millis(static_cast<std::int64_t>(reader.Unsigned(kMaxAmount)));
  if (!reader.ok() || policy.pool.value.empty()) {
    return std::nullopt;
  }
  return policy;
}

bool IsInitial(const TaskProgress& task) { return task == TaskProgress{}; }

json ToJson(std::size_t position, const TaskProgress& task) {
  json failed = json::array();
  for (const std::uint32_t attempt : task.failed_attempts) {
    failed.push_back(attempt);
  }
  json runs = json::array();
  for (const StoredRun& run : task.runs) {
    runs.push_back(
        json::array({run.host.value, run.incarnation.value, run.attempt}));
  }
  return json::array({position, task.done ? 1 : 0, task.next_attempt,
                      std::move(failed), task.checkpoint, std::move(runs)});
}

/// Decodes a task and its position; returns nothing if it is malformed.
std::optional<PositionedTask> TaskFrom(const json& value) {
  cbor::ArrayReader reader(value);
  const std::uint64_t position = reader.Unsigned(kMaxTasks);
  TaskProgress task;
  task.done = reader.Unsigned(1) == 1;
  task.next_attempt = static_cast<std::uint32_t>(reader.Unsigned(UINT32_MAX));
  for (const json& attempt : reader.Array(kMaxTasks)) {
    if (!attempt.is_number_unsigned()) {
      return std::nullopt;
    }
    task.failed_attempts.insert(attempt.get<std::uint32_t>());
  }
  task.checkpoint = reader.Text(kMaxCheckpointBytes);
  for (const json& entry : reader.Array(kMaxTasks)) {
    cbor::ArrayReader fields(entry);
    StoredRun run;
    run.host.value = fields.Text(kMaxNameBytes);
    run.incarnation.value = fields.Unsigned();
    run.attempt = static_cast<std::uint32_t>(fields.Unsigned(UINT32_MAX));
    if (!fields.ok()) {
      return std::nullopt;
    }
    task.runs.push_back(std::move(run));
  }
  if (!reader.ok()) {
    return std::nullopt;
  }
  return PositionedTask{position, std::move(task)};
}

json TasksToJson(const std::vector<TaskProgress>& tasks, std::size_t first,
                 std::size_t end) {
  json values = json::array();
  for (std::size_t i = first; i < end; ++i) {
    if (!IsInitial(tasks[i])) {
      values.push_back(ToJson(i, tasks[i]));
    }
  }
  return values;
}

}  // namespace internal

std::string EncodeSpec(const JobSpec& spec) {
  return EncodeStoredJob({spec, std::nullopt});
}

std::optional<JobSpec> DecodeSpec(std::string_view data) {
  const auto value = cbor::Parse(data);
  if (!value) {
    return std::nullopt;
  }
  cbor::ArrayReader reader(*value);
  auto spec = internal::ReadSpec(reader);
  if (spec && reader.has_more()) {
    (void)reader.Array(SIZE_MAX);  // The policy of a stored job.
    internal::ReadAccount(reader, *spec);
  }
  return reader.ok() ? spec : std::nullopt;
}

std::string EncodeStoredJob(const StoredJob& job) {
  internal::json value = internal::ToJson(job.spec);
  if (job.policy) {
    value.push_back(internal::ToJson(*job.policy));
  }
  if (!job.spec.account.value.empty()) {
    if (!job.policy) {
      value.push_back(internal::json::array());
    }
    value.push_back(job.spec.account.value);
  }
  return cbor::Serialize(value);
}

std::optional<StoredJob> DecodeStoredJob(std::string_view data) {
  const auto value = cbor::Parse(data);
  if (!value) {
    return std::nullopt;
  }
  cbor::ArrayReader reader(*value);
  auto spec = internal::ReadSpec(reader);
  if (!spec) {
    return std::nullopt;
  }
  StoredJob job{*std::move(spec), std::nullopt};
  if (reader.has_more()) {
    job.policy = internal::PolicyFrom(reader.Array(SIZE_MAX));
  }
  internal::ReadAccount(reader, job.spec);
  if (!reader.ok()) {
    return std::nullopt;
  }
  return job;
}

std::string EncodeProgress(const Progress& progress) {
  internal::json value = internal::json::array(
      {static_cast<int>(progress.state), progress.queue.value,
       internal::Millis(progress.accepted), internal::Millis(progress.ended),
       internal::TasksToJson(progress.tasks, 0, progress.tasks.size())});
  if (progress.account) {
    value.push_back(progress.account->value);
  }
  return cbor::Serialize(value);
}

std::optional<Progress> DecodeProgress(std::string_view data) {
  const auto value = cbor::Parse(data);
  if (!value) {
    return std::nullopt;
  }
  cbor::ArrayReader reader(*value);
  Progress progress;
  progress.state = static_cast<JobState>(
      reader.Unsigned(static_cast<std::uint64_t>(JobState::kCancelled)));
  progress.queue.value = reader.Text(kMaxNameBytes);
  progress.accepted = core::WallTime(
      core::Millis(static_cast<std::int64_t>(reader.Unsigned(kMaxAmount))));
  progress.ended = core::WallTime(
      core::Millis(static_cast<std::int64_t>(reader.Unsigned(kMaxAmount))));
  for (const internal::json& task : reader.Array(kMaxTasks)) {
    auto decoded = internal::TaskFrom(task);
    if (!decoded) {
      return std::nullopt;
    }
    auto& [position, decoded_task] = *decoded;
    if (progress.tasks.size() <= position) {
      progress.tasks.resize(position + 1);
    }
    progress.tasks[position] = std::move(decoded_task);
  }
  if (reader.has_more()) {
    progress.account = AccountName{reader.Text(kMaxNameBytes)};
  }
  if (!reader.ok()) {
    return std::nullopt;
  }
  return progress;
}

std::string EncodeTasks(const std::vector<TaskProgress>& tasks,
                        std::size_t first, std::size_t end) {
  return cbor::Serialize(internal::TasksToJson(tasks, first, end));
}

std::optional<std::vector<PositionedTask>> DecodeTasks(std::string_view data) {
  const auto value = cbor::Parse(data);
  if (!value || !value->is_array()) {
    return std::nullopt;
  }
  std::vector<PositionedTask> tasks;
  for (const internal::json& entry : *value) {
    auto task = internal::TaskFrom(entry);
    if (!task) {
      return std::nullopt;
    }
    tasks.push_back(*std::move(task));
  }
  return tasks;
}

}  // namespace camphormux::workload
