#ifndef CAMPHORMUX_LOG_BATCH_HPP_
#define CAMPHORMUX_LOG_BATCH_HPP_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphormux::log {

/// @brief Entries that share one log record.
struct Batch {
  std::string id;  ///< Unique, to find the batch after a lost answer.
  std::vector<std::string> entries;
};

/// @brief Encodes a batch as the data of one log record (CBOR).
/// @param batch The batch.
/// @return The bytes.
[[nodiscard]] std::string EncodeBatch(const Batch& batch);

/// @brief Decodes the data of one log record.
/// @param data The bytes.
/// @return The batch, or nothing if the data is not a batch.
[[nodiscard]] std::optional<Batch> DecodeBatch(std::string_view data);

}  // namespace camphormux::log

#endif  // CAMPHORMUX_LOG_BATCH_HPP_
