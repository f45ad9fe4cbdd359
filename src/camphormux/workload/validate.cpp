#include "camphormux/workload/validate.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace camphormux::workload {
namespace internal {

bool IsAmount(std::int64_t number) {
  return number >= 0 && number <= kMaxAmount;
}

std::optional<FieldProblem> ValidateStep(const Step& step, std::size_t index) {
  const std::string name = "steps[" + std::to_string(index) + "].";
  if (step.count == 0 || step.count > kMaxTasks) {
    return FieldProblem{name + "count",
                        "1 to " + std::to_string(kMaxTasks) + " tasks"};
  }
  for (const std::int64_t amount :
       {step.size.cores.value, step.size.memory.value,
        step.size.accelerators.value}) {
    if (!IsAmount(amount)) {
      return FieldProblem{name + "size",
                          "amounts from 0 to " + std::to_string(kMaxAmount)};
    }
  }
  if (!IsAmount(step.estimate.count())) {
    return FieldProblem{name + "estimate", "a duration that is not negative"};
  }
  if (!IsAmount(step.latency_target.count())) {
    return FieldProblem{name + "latency_target",
                        "a duration that is not negative"};
  }
  const std::array<std::pair<const char*, const std::string*>, 3> names{{
      {"required_label", &step.required_label},
      {"data_rack", &step.data_rack.value},
      {"image", &step.image},
  }};
  for (const auto& [field, text] : names) {
    if (text->size() > kMaxNameBytes) {
      return FieldProblem{
          name + field, "at most " + std::to_string(kMaxNameBytes) + " bytes"};
    }
  }
  if (step.after.size() > kMaxSteps) {
    return FieldProblem{name + "after",
                        "at most " + std::to_string(kMaxSteps) + " steps"};
  }
  for (const std::uint32_t before : step.after) {
    if (before >= index) {
      return FieldProblem{name + "after", "numbers of earlier steps"};
    }
  }
  return std::nullopt;
}

}  // namespace internal

bool IsJobId(std::string_view text) noexcept {
  return text.size() == kJobIdDigits &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
                  (c >= 'A' && c <= 'F');
         });
}

std::optional<FieldProblem> Validate(const JobSpec& spec) {
  if (!IsJobId(spec.id.value)) {
    return FieldProblem{"id", "16 hexadecimal digits"};
  }
  if (spec.queue.value.size() > kMaxNameBytes) {
    return FieldProblem{"queue",
                        "at most " + std::to_string(kMaxNameBytes) + " bytes"};
  }
  if (spec.payload.size() > kMaxPayloadBytes) {
    return FieldProblem{
        "payload", "at most " + std::to_string(kMaxPayloadBytes) + " bytes"};
  }
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
    return FieldProblem{"steps", "1 to " + std::to_string(kMaxSteps)};
  }
  std::uint64_t tasks = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    if (auto problem = internal::ValidateStep(spec.steps[i], i)) {
      return problem;
    }
    tasks += spec.steps[i].count;
  }
  tasks *= std::max(1U, spec.occurrences);
  if (tasks > kMaxTasks) {
    return FieldProblem{
        "steps", "at most " + std::to_string(kMaxTasks) + " tasks in all"};
  }
  if (!internal::IsAmount(spec.interval.count())) {
    return FieldProblem{"interval", "a duration that is not negative"};
  }
  if (!internal::IsAmount(spec.first_run.time_since_epoch().count())) {
    return FieldProblem{"first_run", "a time after 1970"};
  }
  return std::nullopt;
}

}  // namespace camphormux::workload
