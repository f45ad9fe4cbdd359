#include <list>
#include <map>
#include <utility>

#include "bench/placement/replay_setup.hpp"

namespace camphormux::placement {
namespace {

using namespace internal;  // NOLINT(google-build-using-namespace)

/// Naive first fit by declared sizes.
class Naive {
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
      Cancel(cancelled->job, effects);
    } else if (const auto* ended = std::get_if<TaskEnded>(&event)) {
      Close(*ended);
    } else if (std::holds_alternative<Tick>(event)) {
      Place(urgent_, effects);
      Place(normal_, effects);
    }
    return effects;
  }

 private:
  struct Run {
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
      runs_[epoch.value] = {*job, worker, false};
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

  void Cancel(const core::JobId& id, Effects& effects) {
    const auto is_it = [&](const JobSpec& job) { return job.id == id; };
    urgent_.remove_if(is_it);
    normal_.remove_if(is_it);
    for (auto& [epoch, run] : runs_) {
      if (run.job.id != id) continue;
      run.cancelled = true;
      effects.push_back(
          StopTask{workers_[run.worker].first.id, {id, core::Epoch{epoch}}});
    }
  }

  void Close(const TaskEnded& ended) {
    const auto run = runs_.find(ended.task.epoch.value);
    if (run == runs_.end()) return;
    workers_[run->second.worker].second += run->second.job.declared;
    const bool again = ended.outcome != TaskOutcome::kFinished &&
                       !run->second.cancelled && run->second.job.repeatable;
    if (again) normal_.push_back(run->second.job);
    runs_.erase(run);
  }

  std::vector<std::pair<WorkerSpec, Resources>> workers_;
  std::list<JobSpec> urgent_;
  std::list<JobSpec> normal_;
  std::map<std::uint64_t, Run> runs_;
  std::uint64_t next_epoch_ = 1;
};

}  // namespace

Figures ReplayNaive(const Scenario& scenario, std::uint64_t seed) {
  Naive naive;
  return Simulate(scenario, seed,
                  [&naive](const Event& event, core::MonotonicTime) {
                    return naive.Apply(event);
                  });
}

}  // namespace camphormux::placement
