#ifndef CAMPHORMUX_JOBS_CODEC_HPP_
#define CAMPHORMUX_JOBS_CODEC_HPP_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "camphormux/core/result.hpp"
#include "camphormux/jobs/records.hpp"

namespace camphormux::jobs {

/// Longest name in a record. Job names appear in URL paths and therefore
/// consist of letters, digits, `.`, `_` and `-`.
inline constexpr std::size_t kMaxNameBytes = 128;
/// Largest declared amount; low enough that sums over all jobs cannot overflow.
inline constexpr std::int64_t kMaxAmount = std::int64_t{1} << 40;

/// @brief Why bytes could not be decoded.
struct DecodeError {
  std::string reason;
};

/// @brief Job records of one log record. Records of unknown type or version are
/// counted and left out.
struct DecodedBatch {
  std::vector<Record> records;
  std::size_t unknown = 0;
};

/// @brief Encodes job records as one entry of the jobs stream (CBOR).
/// @param records The records in the order in which they are applied.
/// @return The bytes.
[[nodiscard]] std::string EncodeRecords(const std::vector<Record>& records);

/// @brief Decodes the data of one log record, which is either a batch of
/// entries or a single list of job records.
/// @param data The bytes.
/// @return The records, or why they are malformed.
[[nodiscard]] core::Result<DecodedBatch, DecodeError> DecodeRecords(
    std::string_view data);

}  // namespace camphormux::jobs

#endif  // CAMPHORMUX_JOBS_CODEC_HPP_
