#include <list>
#include <map>
#include <utility>

#include "bench/placement/replay_setup.hpp"

namespace camphormux::placement {
namespace {

using namespace internal;  // NOLINT(google-build-using-namespace)

/// Baseline: puts each job on the first worker that its declared size fits.
class FirstFitPlacement {
 public:
  Effects Apply(const Event& event) {
    Effects effects;
    if (const auto* added = std::get_if<WorkerAdded>(&event)) {
      workers_.emplace_back(added->worker, added->worker.shape);
    } else if (const auto* job = std::get_if<JobSubmitted>(&event)) {
      const bool urgent = job->job.priority == Priority::kUrgent;
      (urgent ? urgent_ : normal_).push_back(job->job);
      if (urgent) Place(urgent_, effects);
    } else if (const auto* cancelled = std::get_if<JobCancelled>(&event)) {
      CancelJob(cancelled->job, effects);
    } else if (const auto* ended = std::get_if<TaskEnded>(&event)) {
      OnTaskEnded(*ended);
    } else if (std::holds_alternative<Tick>(event)) {
      Place(urgent_, effects);
      Place(normal_, effects);
    }
    return effects;
  }

 private:
  struct RunningTask {
    JobSpec job;
    std::size_t worker = 0;
    bool cancelled = false;
  };

  void Place(std::list<JobSpec>& queue, Effects& effects) {
    for (auto job = queue.begin(); job != queue.end();) {
      const std::size_t worker = FirstFit(*job);
      if (worker == workers_.size()) {
        ++job;
        continue;
      }
      workers_[worker].second -= job->declared;
      const core::Epoch epoch{next_epoch_++};
      running_tasks_[epoch.value] = {*job, worker, false};
      effects.push_back(StartTask{
          workers_[worker].first.id, {job->id, epoch}, job->declared, kSecond});
      job = queue.erase(job);
    }
  }

  std::size_t FirstFit(const JobSpec& job) const {
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      if (workers_[i].first.pool == job.pool &&
          Fits(job.declared, workers_[i].second)) {
        return i;
      }
    }
    return workers_.size();
  }

  void CancelJob(const core::JobId& id, Effects& effects) {
    const auto matches = [&](const JobSpec& job) { return job.id == id; };
    urgent_.remove_if(matches);
    normal_.remove_if(matches);
    for (auto& [epoch, running] : running_tasks_) {
      if (running.job.id != id) continue;
      running.cancelled = true;
      effects.push_back(StopTask{workers_[running.worker].first.id,
                                 {id, core::Epoch{epoch}}});
    }
  }

  void OnTaskEnded(const TaskEnded& ended) {
    const auto running = running_tasks_.find(ended.task.epoch.value);
    if (running == running_tasks_.end()) return;
    workers_[running->second.worker].second += running->second.job.declared;
    const bool retry = ended.outcome != TaskOutcome::kFinished &&
                       !running->second.cancelled &&
                       running->second.job.repeatable;
    if (retry) normal_.push_back(running->second.job);
    running_tasks_.erase(running);
  }

  std::vector<std::pair<WorkerSpec, Resources>> workers_;
  std::list<JobSpec> urgent_;
  std::list<JobSpec> normal_;
  std::map<std::uint64_t, RunningTask> running_tasks_;
  std::uint64_t next_epoch_ = 1;
};

}  // namespace

ReplayMetrics ReplayNaive(const Scenario& scenario, std::uint64_t seed) {
  FirstFitPlacement first_fit;
  return Simulate(scenario, seed,
                  [&first_fit](const Event& event, core::MonotonicTime) {
                    return first_fit.Apply(event);
                  });
}

}  // namespace camphormux::placement
