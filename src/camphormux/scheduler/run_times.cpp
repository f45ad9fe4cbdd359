#include "camphormux/scheduler/run_times.hpp"

#include <algorithm>
#include <cmath>

#include "camphormux/cbor/cbor.hpp"
#include "camphormux/workload/validate.hpp"

namespace camphormux::scheduler {
namespace internal {

using nlohmann::json;

/// Factor by which older runs count less with each new one; the memory of a
/// kind is the last 200 runs or so.
constexpr double kRetained = 0.995;
/// Runs after which the learned part of an expectation weighs as much as the
/// estimate.
constexpr double kPriorRuns = 20;
/// Variance of the logarithms of estimates that is assumed before any were
/// seen.
constexpr double kPriorVariance = 0.25;
/// The expectation differs from the estimate by this factor at most.
constexpr double kMaxCorrection = 8;
/// Single runs that differ by more from the expectation count as if they
/// differed by this factor: hosts that stand still say nothing about the work.
constexpr double kMaxSurprise = 6;
/// Moments are stored as whole numbers of this fraction.
constexpr double kStoredFraction = 1e6;
/// Logarithms of milliseconds and their squares are below this by far.
constexpr double kMaxMoment = 1e6;
constexpr std::uint64_t kMomentOffset = 1ULL << 42;

double Log(core::Millis time) {
  return std::log(static_cast<double>(std::max<std::int64_t>(1, time.count())));
}

/// Expected logarithm of a run time and the variance around it.
struct Expectation {
  double log_time = 0;
  double variance = 0;
};

Expectation Expect(const RunTimeModel& model, double estimate) {
  const double mean_x = model.x / model.runs;
  const double mean_y = model.y / model.runs;
  const double variance_x =
      std::max(0.0, model.xx / model.runs - mean_x * mean_x);
  const double variance_y =
      std::max(0.0, model.yy / model.runs - mean_y * mean_y);
  const double covariance = model.xy / model.runs - mean_x * mean_y;
  const double prior = kPriorRuns * kPriorVariance;
  const double slope = std::clamp(
      (covariance * model.runs + prior) / (variance_x * model.runs + prior),
      0.0, 1.0);
  const double learned = mean_y + slope * (estimate - mean_x);
  const double weight = model.runs / (model.runs + kPriorRuns);
  return {weight * learned + (1 - weight) * estimate,
          weight * std::max(0.0, variance_y - slope * slope * variance_x)};
}

void Forget(RunTimeModel& model) {
  for (double* sum :
       {&model.runs, &model.x, &model.y, &model.xx, &model.xy, &model.yy,
        &model.estimate_error, &model.expected_error}) {
    *sum *= kRetained;
  }
}

void MakeRoom(RunTimes& run_times) {
  if (run_times.models.size() < kMaxRunTimeKinds) {
    return;
  }
  run_times.models.erase(
      std::min_element(run_times.models.begin(), run_times.models.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.last_run < b.second.last_run;
                       }));
}

std::uint64_t EncodeMoment(double moment) {
  return kMomentOffset +
         static_cast<std::uint64_t>(static_cast<std::int64_t>(
             std::clamp(moment, -kMaxMoment, kMaxMoment) * kStoredFraction));
}

double DecodeMoment(std::uint64_t stored) {
  return static_cast<double>(static_cast<std::int64_t>(stored) -
                             static_cast<std::int64_t>(kMomentOffset)) /
         kStoredFraction;
}

}  // namespace internal

void Learn(RunTimes& run_times, const FinishedRun& run) {
  auto found = run_times.models.find(run.kind);
  if (found == run_times.models.end()) {
    internal::MakeRoom(run_times);
    found = run_times.models.emplace(run.kind, RunTimeModel{}).first;
  }
  RunTimeModel& model = found->second;
  const double estimate = internal::Log(run.estimate);
  double took = internal::Log(run.took);
  if (model.runs > 0) {
    const double expected = internal::Expect(model, estimate).log_time;
    const double limit = std::log(internal::kMaxSurprise);
    model.estimate_error += std::abs(took - estimate);
    model.expected_error += std::abs(took - expected);
    took = std::clamp(took, expected - limit, expected + limit);
  }
  internal::Forget(model);
  model.runs += 1;
  model.x += estimate;
  model.y += took;
  model.xx += estimate * estimate;
  model.xy += estimate * took;
  model.yy += took * took;
  model.last_run = ++run_times.runs;
}

core::Millis ExpectedRunTime(const RunTimes& run_times, const RunTimeKind& kind,
                             core::Millis estimate) {
  const auto found = run_times.models.find(kind);
  if (found == run_times.models.end() || found->second.runs <= 0) {
    return estimate;
  }
  const internal::Expectation expectation =
      internal::Expect(found->second, internal::Log(estimate));
  double millis = std::exp(expectation.log_time + expectation.variance / 2);
  if (estimate.count() > 0) {
    const auto given = static_cast<double>(estimate.count());
    millis = std::clamp(millis, given / internal::kMaxCorrection,
                        given * internal::kMaxCorrection);
  }
  return core::Millis(
      std::max<std::int64_t>(1, static_cast<std::int64_t>(millis)));
}

std::vector<RunTimeError> RunTimeErrors(const RunTimes& run_times,
                                        std::size_t limit) {
  std::vector<const std::pair<const RunTimeKind, RunTimeModel>*> latest;
  for (const auto& entry : run_times.models) {
    latest.push_back(&entry);
  }
  std::sort(latest.begin(), latest.end(), [](const auto* a, const auto* b) {
    return a->second.last_run > b->second.last_run;
  });
  latest.resize(std::min(limit, latest.size()));
  std::vector<RunTimeError> errors;
  for (const auto* entry : latest) {
    const RunTimeModel& model = entry->second;
    errors.push_back({entry->first, model.runs,
                      model.estimate_error / model.runs,
                      model.expected_error / model.runs});
  }
  return errors;
}

std::string EncodeRunTimes(const RunTimes& run_times) {
  internal::json models = internal::json::array();
  for (const auto& [kind, model] : run_times.models) {
    internal::json moments = internal::json::array();
    for (const double moment :
         {model.runs, model.x, model.y, model.xx, model.xy, model.yy}) {
      moments.push_back(internal::EncodeMoment(moment));
    }
    models.push_back(internal::json::array(
        {kind.queue.value, kind.image, model.last_run, std::move(moments)}));
  }
  return cbor::Serialize(
      internal::json::array({run_times.runs, std::move(models)}));
}

RunTimes DecodeRunTimes(std::string_view data) {
  const auto value = cbor::Parse(data);
  if (!value) {
    return {};
  }
  cbor::ArrayReader reader(*value);
  RunTimes run_times;
  run_times.runs = reader.Unsigned();
  for (const internal::json& entry : reader.Array(kMaxRunTimeKinds)) {
    cbor::ArrayReader fields(entry);
    RunTimeKind kind;
    RunTimeModel model;
    kind.queue.value = fields.Text(workload::kMaxNameBytes);
    kind.image = fields.Text(workload::kMaxNameBytes);
    model.last_run = fields.Unsigned();
    cbor::ArrayReader moments(fields.Array(SIZE_MAX));
    for (double* moment :
         {&model.runs, &model.x, &model.y, &model.xx, &model.xy, &model.yy}) {
      *moment =
          internal::DecodeMoment(moments.Unsigned(2 * internal::kMomentOffset));
    }
    if (!fields.ok() || !moments.ok() || model.runs <= 0) {
      return {};
    }
    run_times.models.emplace(std::move(kind), model);
  }
  return reader.ok() ? run_times : RunTimes{};
}

}  // namespace camphormux::scheduler
