#ifndef CAMPHORMUX_WORKLOAD_VALIDATE_HPP_
#define CAMPHORMUX_WORKLOAD_VALIDATE_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "camphormux/workload/model.hpp"

namespace camphormux::workload {

/// Length of a job id, which the caller chooses: 16 hexadecimal digits.
inline constexpr std::size_t kJobIdDigits = 16;
/// Maximum size of a job's payload in bytes; set by the platform's API
/// contract.
inline constexpr std::size_t kMaxPayloadBytes = 4000;
/// Maximum number of steps of a job; bounds the work that one request can
/// cause.
inline constexpr std::size_t kMaxSteps = 64;
/// Maximum number of tasks of a job over all occurrences; bounds the job's
/// memory use.
inline constexpr std::uint32_t kMaxTasks = 20'000;

/// Maximum size of names in a job, in bytes. With the other limits it keeps a
/// job within one record of the store.
inline constexpr std::size_t kMaxNameBytes = 1024;
/// Maximum size of a task's checkpoint in bytes. Longer ones are not kept.
inline constexpr std::size_t kMaxCheckpointBytes = std::size_t{64} << 10;
/// Maximum of amounts and of times in milliseconds.
inline constexpr std::int64_t kMaxAmount = std::int64_t{1} << 50;

/// @brief The first invalid field of a submitted job and what was expected
/// there.
struct FieldProblem {
  std::string field;
  std::string expected;
};

/// @brief Returns whether a text is a job id: 16 hexadecimal digits.
[[nodiscard]] bool IsJobId(std::string_view text) noexcept;

/// @brief Validates a submitted job.
/// @param spec The job.
/// @return The first problem, or nothing if the job is valid.
[[nodiscard]] std::optional<FieldProblem> Validate(const JobSpec& spec);

}  // namespace camphormux::workload

#endif  // CAMPHORMUX_WORKLOAD_VALIDATE_HPP_
