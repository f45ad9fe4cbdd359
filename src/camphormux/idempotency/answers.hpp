#ifndef CAMPHORMUX_IDEMPOTENCY_ANSWERS_HPP_
#define CAMPHORMUX_IDEMPOTENCY_ANSWERS_HPP_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "camphormux/core/time.hpp"
#include "camphormux/http/message.hpp"
#include "camphormux/idempotency/key.hpp"

namespace camphormux::idempotency {

/// @brief The answer of a run, kept for later attempts with the same key.
struct StoredAnswer {
  int status = 0;
  http::Headers headers;
  std::string body;
};

/// @brief Encodes an answer as CBOR.
/// @param answer The answer.
/// @return The bytes.
[[nodiscard]] std::string Encode(const StoredAnswer& answer);

/// @brief Decodes an answer.
/// @param data The bytes.
/// @return The answer, or nothing if the bytes are malformed.
[[nodiscard]] std::optional<StoredAnswer> DecodeAnswer(std::string_view data);

/// @brief Cache of encoded answers, bounded in bytes and age. Evicts the oldest
/// answers first.
struct AnswerCache {
  struct Item {
    std::string data;
    core::MonotonicTime stored;
  };

  std::size_t max_bytes = std::size_t{32} << 20;
  std::size_t max_answer_bytes = std::size_t{256} << 10;
  std::size_t bytes = 0;
  std::map<Key, Item> items;
  std::deque<Key> order;  ///< Oldest first.
};

/// @brief Stores an answer. One that exceeds `max_answer_bytes` is not stored;
/// later attempts with its key get `unknown`.
/// @param cache The cache.
/// @param key The key.
/// @param data The encoded answer.
/// @param now The current time.
void Put(AnswerCache& cache, const Key& key, std::string data,
         core::MonotonicTime now);

/// @brief Finds an answer.
/// @param cache The cache.
/// @param key The key.
/// @return The encoded answer or nullptr.
[[nodiscard]] const std::string* Find(const AnswerCache& cache, const Key& key);

}  // namespace camphormux::idempotency

#endif  // CAMPHORMUX_IDEMPOTENCY_ANSWERS_HPP_
