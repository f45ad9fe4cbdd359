#ifndef CAMPHORMUX_WORKLOAD_VALIDATE_HPP_
#define CAMPHORMUX_WORKLOAD_VALIDATE_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "camphormux/workload/model.hpp"

namespace camphormux::workload {

/// Length of a job's id: 16 hexadecimal digits, as callers choose it.
inline constexpr std::size_t kJobIdDigits = 16;
/// Longest payload of a job, in bytes, as the platform's contract allows.
inline constexpr std::size_t kMaxPayloadBytes = 4000;
/// Most steps of a job; bounds the work that one request can cause.
inline constexpr std::size_t kMaxSteps = 64;
/// Most tasks of a job over all occurrences; bounds its memory.
inline constexpr std::uint32_t kMaxTasks = 20'000;

/// @brief What is wrong with a submitted job.
struct FieldProblem {
  std::string field;
  std::string expected;
};

/// @brief Tells whether a text is a job id: 16 hexadecimal digits.
[[nodiscard]] bool IsJobId(std::string_view text) noexcept;

/// @brief Checks a submitted job.
/// @param spec The job.
/// @return The first problem, or nothing.
[[nodiscard]] std::optional<FieldProblem> Validate(const JobSpec& spec);

}  // namespace camphormux::workload

#endif  // CAMPHORMUX_WORKLOAD_VALIDATE_HPP_
