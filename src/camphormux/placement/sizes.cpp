#include "camphormux/placement/sizes.hpp"

#include <algorithm>
#include <cmath>

#include "camphormux/placement/tables.hpp"

namespace camphormux::placement::internal {
namespace {

/// Declared sizes are wrong by factors of 0.2 to 5. Corrections are limited to
/// that range, so that one wrong report cannot make the size of a kind
/// arbitrarily small or large.
constexpr double kMinUsageRatio = 0.2;
constexpr double kMaxUsageRatio = 5.0;
/// Extra memory, as tasks of a kind differ. Cores get no margin: too little
/// memory fails the run, too few cores only slow it down.
constexpr double kMemoryMargin = 1.15;
/// Finished tasks before tasks of a kind get less than declared.
constexpr std::uint32_t kSamplesToShrink = 3;
/// Fraction of the distance to a smaller sample by which a ratio decays.
constexpr double kRatioDecay = 0.05;

double RatioOf(std::int64_t used, std::int64_t declared) {
  return static_cast<double>(used) /
         static_cast<double>(std::max<std::int64_t>(1, declared));
}

double EffectiveRatio(const Kind& kind, double ratio) {
  const double least = kind.samples < kSamplesToShrink ? 1.0 : kMinUsageRatio;
  return std::clamp(ratio, least, kMaxUsageRatio);
}

std::int64_t Scale(std::int64_t value, double factor) {
  return static_cast<std::int64_t>(
      std::ceil(static_cast<double>(value) * factor));
}

/// Worker shape with the most memory in the pool into which the declared size
/// fits; the declared size if there is none.
Resources LargestFittingShape(const Pool& pool, const Resources& declared) {
  Resources largest = declared;
  for (const ShapeCount& count : pool.shapes) {
    if (Fits(declared, count.shape) && count.shape.memory >= largest.memory) {
      largest = count.shape;
    }
  }
  return largest;
}

}  // namespace

Resources ReservedSize(const State& state, const JobClass& job_class) {
  const Kind& kind = state.kinds[job_class.key.kind];
  const Resources& declared = job_class.key.declared;
  double memory = EffectiveRatio(kind, kind.memory_ratio);
  if (kind.memory_ratio > 0.0 && memory != 1.0) memory *= kMemoryMargin;
  Resources size = declared;
  size.cores.value =
      Scale(declared.cores.value, EffectiveRatio(kind, kind.cores_ratio));
  size.memory.value = Scale(declared.memory.value, memory)
                      << job_class.key.memory_doublings;
  const Pool& pool = state.pools[job_class.key.pool];
  size = Smallest(size, LargestFittingShape(pool, declared));
  const auto& quota = state.teams[job_class.team].quota;
  if (quota && Fits(declared, *quota)) {
    size = Smallest(size, Largest(*quota, declared));
  }
  return size;
}

void ObserveUsage(State& state, Task& task, core::MilliCores cores,
                  core::Mebibytes memory) {
  task.peak_cores = std::max(task.peak_cores, cores);
  task.peak_memory = std::max(task.peak_memory, memory);
  // Memory in use above the reserved amount counts against the worker as well.
  task.committed.memory = std::max(task.reserved.memory, task.peak_memory);
  const JobClass& job_class = ClassOf(state, task.job);
  Kind& kind = state.kinds[job_class.key.kind];
  const Resources& declared = job_class.key.declared;
  kind.memory_ratio =
      std::max(kind.memory_ratio,
               RatioOf(task.peak_memory.value, declared.memory.value));
  kind.cores_ratio = std::max(
      kind.cores_ratio, RatioOf(task.peak_cores.value, declared.cores.value));
}

void RecordFinishedUsage(State& state, const Task& task) {
  if (task.peak_memory.value <= 0) return;  // No report covered the task.
  const JobClass& job_class = ClassOf(state, task.job);
  Kind& kind = state.kinds[job_class.key.kind];
  const Resources& declared = job_class.key.declared;
  const auto decay = [](double& ratio, double sample) {
    ratio = std::max(sample, ratio - kRatioDecay * (ratio - sample));
  };
  decay(kind.memory_ratio,
        RatioOf(task.peak_memory.value, declared.memory.value));
  decay(kind.cores_ratio, RatioOf(task.peak_cores.value, declared.cores.value));
  ++kind.samples;
}

}  // namespace camphormux::placement::internal
