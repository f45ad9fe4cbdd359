#ifndef CAMPHORMUX_IDEMPOTENCY_RECORDS_HPP_
#define CAMPHORMUX_IDEMPOTENCY_RECORDS_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/idempotency/key.hpp"

namespace camphormux::idempotency {

/// Longest service name in a record, in bytes.
inline constexpr std::size_t kMaxServiceBytes = 256;

/// @brief One incarnation of a gateway process, which claims keys.
struct Claimant {
  core::ProcessId gateway;
  core::Incarnation incarnation;

  friend auto operator<=>(const Claimant&, const Claimant&) = default;
};

/// @brief Claim of a key: its gateway wants to run the request.
struct Intent {
  Key key;
  core::ServiceName service;
  std::uint64_t number = 0;  ///< Unique within the claimant.

  friend bool operator==(const Intent&, const Intent&) = default;
};

/// @brief States that an intent led to no run and never will.
struct Release {
  Key key;
  std::uint64_t number = 0;  ///< Number of the intent.

  friend bool operator==(const Release&, const Release&) = default;
};

/// @brief Content of one log record of the keys stream.
struct Batch {
  Claimant claimant;
  std::vector<Intent> intents;
  std::vector<Release> releases;  ///< Applied after the intents.

  friend bool operator==(const Batch&, const Batch&) = default;
};

/// @brief Encodes a batch as CBOR.
/// @param batch The batch.
/// @return The bytes.
[[nodiscard]] std::string Encode(const Batch& batch);

/// @brief Decodes a batch.
/// @param data The bytes.
/// @return The batch, or nothing if the bytes are malformed.
[[nodiscard]] std::optional<Batch> DecodeBatch(std::string_view data);

}  // namespace camphormux::idempotency

#endif  // CAMPHORMUX_IDEMPOTENCY_RECORDS_HPP_
