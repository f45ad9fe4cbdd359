#ifndef CAMPHORMUX_STATE_CODEC_HPP_
#define CAMPHORMUX_STATE_CODEC_HPP_

#include <string>
#include <string_view>
#include <vector>

#include "camphormux/core/result.hpp"
#include "camphormux/state/records.hpp"

namespace camphormux::state {

/// @brief Why bytes could not be decoded.
struct DecodeError {
  std::string reason;
};

/// @brief Records of one log record. Records of types that this version does
/// not know are counted and left out.
struct DecodedBatch {
  std::vector<Record> records;
  std::size_t unknown = 0;
};

/// @brief Encodes records as the data of one log record (CBOR).
/// @param records The records in the order in which they apply.
/// @return The bytes.
[[nodiscard]] std::string EncodeRecords(const std::vector<Record>& records);

/// @brief Decodes the data of one log record.
/// @param data The bytes.
/// @return The records, or why they are malformed.
[[nodiscard]] core::Result<DecodedBatch, DecodeError> DecodeRecords(
    std::string_view data);

}  // namespace camphormux::state

#endif  // CAMPHORMUX_STATE_CODEC_HPP_
