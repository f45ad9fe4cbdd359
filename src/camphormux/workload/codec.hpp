#ifndef CAMPHORMUX_WORKLOAD_CODEC_HPP_
#define CAMPHORMUX_WORKLOAD_CODEC_HPP_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "camphormux/workload/model.hpp"

namespace camphormux::workload {

/// @brief Encodes a job as CBOR, the form in which jobs are sent between nodes.
[[nodiscard]] std::string EncodeSpec(const JobSpec& spec);

/// @brief Decodes a job.
/// @return The job, or nothing if the bytes are malformed or the job is
/// invalid.
[[nodiscard]] std::optional<JobSpec> DecodeSpec(std::string_view data);

/// @brief Encodes a job as it is stored: as EncodeSpec does, with the policy
/// appended. DecodeSpec ignores the policy.
[[nodiscard]] std::string EncodeStoredJob(const StoredJob& job);

/// @brief Decodes a stored job.
/// @return The job, or nothing if the bytes are malformed or the job is
/// invalid. A job whose policy cannot be read has none.
[[nodiscard]] std::optional<StoredJob> DecodeStoredJob(std::string_view data);

/// @brief Encodes a job's progress as CBOR. Tasks in their initial state are
/// omitted.
[[nodiscard]] std::string EncodeProgress(const Progress& progress);

/// @brief Decodes a job's progress.
/// @param data The bytes.
/// @return The progress, or nothing if the bytes are malformed. The list of
/// tasks ends with the last encoded task and may be shorter than the job's.
[[nodiscard]] std::optional<Progress> DecodeProgress(std::string_view data);

/// @brief Encodes the progress of some tasks as CBOR. Tasks in their initial
/// state are omitted.
/// @param tasks All tasks of a job.
/// @param first Position of the first task to encode.
/// @param end Position after the last one.
[[nodiscard]] std::string EncodeTasks(const std::vector<TaskProgress>& tasks,
                                      std::size_t first, std::size_t end);

/// @brief A task's position in the list of all tasks, and its progress.
using PositionedTask = std::pair<std::size_t, TaskProgress>;

/// @brief Decodes the progress of some tasks.
/// @return The tasks, or nothing if the bytes are malformed.
[[nodiscard]] std::optional<std::vector<PositionedTask>> DecodeTasks(
    std::string_view data);

}  // namespace camphormux::workload

#endif  // CAMPHORMUX_WORKLOAD_CODEC_HPP_
