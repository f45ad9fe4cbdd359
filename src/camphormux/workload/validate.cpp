#include "camphormux/workload/validate.hpp"

#include <algorithm>

namespace camphormux::workload {
namespace internal {

std::optional<FieldProblem> ValidateStep(const Step& step, std::size_t index) {
  const std::string name = "steps[" + std::to_string(index) + "].";
  if (step.count == 0 || step.count > kMaxTasks) {
    return FieldProblem{name + "count",
                        "1 to " + std::to_string(kMaxTasks) + " tasks"};
  }
  if (step.size.cores.value < 0 || step.size.memory.value < 0 ||
      step.size.accelerators.value < 0) {
    return FieldProblem{name + "size", "amounts that are not negative"};
  }
  if (step.estimate.count() < 0) {
    return FieldProblem{name + "estimate", "a duration that is not negative"};
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
  if (spec.occurrences > 0 && spec.interval.count() < 0) {
    return FieldProblem{"interval", "a duration that is not negative"};
  }
  return std::nullopt;
}

}  // namespace camphormux::workload
