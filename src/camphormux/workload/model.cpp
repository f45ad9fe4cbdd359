#include "camphormux/workload/model.hpp"

#include <algorithm>

namespace camphormux::workload {
namespace internal {

constexpr double kMillisPerSecond = 1000.0;
constexpr double kMilliCoresPerCore = 1000.0;

std::string_view WithoutPort(std::string_view authority) {
  return authority.substr(0, authority.find(':'));
}

}  // namespace internal

Progress MakeTombstone(core::WallTime cancelled, const Caller& caller) {
  Progress progress;
  progress.state = JobState::kCancelled;
  progress.ended = cancelled;
  progress.account = caller.account;
  return progress;
}

bool IsTombstone(const Progress& progress) noexcept {
  return progress.state == JobState::kCancelled &&
         progress.accepted == core::WallTime{};
}

const Queue* FindQueue(const Catalog& catalog, std::string_view authority,
                       std::string_view path) {
  const std::string_view host = internal::WithoutPort(authority);
  const Queue* best = nullptr;
  for (const Queue& queue : catalog.queues) {
    if (queue.authority == host && path.starts_with(queue.path_prefix) &&
        (best == nullptr ||
         queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const Queue* FindQueue(const Catalog& catalog, const QueueName& name) {
  const auto found =
      std::find_if(catalog.queues.begin(), catalog.queues.end(),
                   [&](const Queue& queue) { return queue.name == name; });
  return found == catalog.queues.end() ? nullptr : &*found;
}

std::uint32_t TasksPerOccurrence(const JobSpec& spec) noexcept {
  std::uint32_t tasks = 0;
  for (const Step& step : spec.steps) {
    tasks += step.count;
  }
  return tasks;
}

std::uint32_t TaskCount(const JobSpec& spec) noexcept {
  return TasksPerOccurrence(spec) * std::max(1U, spec.occurrences);
}

TaskPlace PlaceOf(const JobSpec& spec, std::uint32_t task) {
  const std::uint32_t per_occurrence = TasksPerOccurrence(spec);
  TaskPlace place{task / per_occurrence, 0, task % per_occurrence};
  while (place.index >= spec.steps[place.step].count) {
    place.index -= spec.steps[place.step].count;
    ++place.step;
  }
  return place;
}

std::optional<std::uint32_t> PositionOf(const JobSpec& spec,
                                        const TaskPlace& place) {
  if (place.occurrence >= std::max(1U, spec.occurrences) ||
      place.step >= spec.steps.size() ||
      place.index >= spec.steps[place.step].count) {
    return std::nullopt;
  }
  std::uint32_t position =
      place.occurrence * TasksPerOccurrence(spec) + place.index;
  for (std::uint32_t step = 0; step < place.step; ++step) {
    position += spec.steps[step].count;
  }
  return position;
}

core::Millis CriticalPath(const JobSpec& spec,
                          const std::vector<bool>& complete,
                          const std::vector<core::Millis>& run_times) {
  std::vector<core::Millis> ends(spec.steps.size(), core::Millis(0));
  core::Millis longest(0);
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const Step& step = spec.steps[i];
    core::Millis begin(0);
    for (const std::uint32_t before : step.after) {
      begin = std::max(begin, ends[before]);
    }
    const bool left = (complete.empty() || !complete[i]) && !step.permanent;
    const core::Millis run_time =
        run_times.empty() ? step.estimate : run_times[i];
    ends[i] = begin + (left ? run_time : core::Millis(0));
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

double CoreSeconds(const JobSpec& spec,
                   const std::vector<core::Millis>& run_times) {
  double work = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const Step& step = spec.steps[i];
    const core::Millis run_time =
        run_times.empty() ? step.estimate : run_times[i];
    work += static_cast<double>(step.count) *
            static_cast<double>(step.size.cores.value) /
            internal::kMilliCoresPerCore *
            static_cast<double>(run_time.count()) / internal::kMillisPerSecond;
  }
  return work;
}

}  // namespace camphormux::workload
