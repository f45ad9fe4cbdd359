#ifndef CAMPHORMUX_WORKLOAD_CODEC_HPP_
#define CAMPHORMUX_WORKLOAD_CODEC_HPP_

#include <optional>
#include <string>
#include <string_view>

#include "camphormux/workload/model.hpp"

namespace camphormux::workload {

/// @brief Encodes a job as CBOR. Jobs travel between own processes and lie in
/// the store in this form.
[[nodiscard]] std::string EncodeSpec(const JobSpec& spec);

/// @brief Decodes a job.
/// @return The job, or nothing if the bytes are malformed or the job invalid.
[[nodiscard]] std::optional<JobSpec> DecodeSpec(std::string_view data);

/// @brief Encodes a job's progress as CBOR. Tasks that were never started are
/// left out.
[[nodiscard]] std::string EncodeProgress(const Progress& progress);

/// @brief Decodes a job's progress.
/// @param data The bytes.
/// @return The progress; its list of tasks ends with the last one that has
/// any. Nothing if the bytes are malformed.
[[nodiscard]] std::optional<Progress> DecodeProgress(std::string_view data);

}  // namespace camphormux::workload

#endif  // CAMPHORMUX_WORKLOAD_CODEC_HPP_
