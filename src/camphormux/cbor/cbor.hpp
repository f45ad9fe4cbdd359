#ifndef CAMPHORMUX_CBOR_CBOR_HPP_
#define CAMPHORMUX_CBOR_CBOR_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace camphormux::cbor {

/// @brief Parses untrusted CBOR without throwing. Nesting deeper than 16 is
/// rejected, because the parser of nlohmann::json is recursive.
/// @param data The bytes.
/// @return The value, or nothing if the bytes are malformed or nested too deep.
[[nodiscard]] std::optional<nlohmann::json> Parse(std::string_view data);

/// @brief Serialises a value as CBOR.
/// @param value The value.
/// @return The bytes.
[[nodiscard]] std::string Serialize(const nlohmann::json& value);

/// @brief Makes a value that is serialised as a CBOR byte string.
/// @param bytes The bytes.
/// @return The value.
[[nodiscard]] nlohmann::json Bytes(std::string_view bytes);

/// @brief Reads the elements of a CBOR array one after another. After the
/// first element that is missing, of another type or above its limit, `ok`
/// stays false and all reads return empty values.
class ArrayReader {
 public:
  /// @param value The array; outlives the reader.
  explicit ArrayReader(const nlohmann::json& value);

  /// @return The next element, an unsigned integer up to `limit`.
  std::uint64_t Unsigned(std::uint64_t limit = UINT64_MAX);
  /// @return The next element, a text of at most `max_bytes` bytes.
  std::string Text(std::size_t max_bytes);
  /// @return The next element, a byte string of at most `max_bytes` bytes.
  std::string Bytes(std::size_t max_bytes);
  /// @return The next element, an array of at most `max_size` elements.
  const nlohmann::json& Array(std::size_t max_size);

  [[nodiscard]] bool ok() const { return ok_; }
  /// @return Whether the array has elements that were not read; a newer version
  /// of the program may have appended some.
  [[nodiscard]] bool has_more() const;

 private:
  const nlohmann::json* Next();

  const nlohmann::json* value_;
  std::size_t index_ = 0;
  bool ok_ = true;
};

}  // namespace camphormux::cbor

#endif  // CAMPHORMUX_CBOR_CBOR_HPP_
