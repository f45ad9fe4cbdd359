#include "camphormux/state/packed_state.hpp"

#include <cstdint>
#include <optional>

#include <zlib.h>

#include "camphormux/state/state_codec.hpp"

namespace camphormux::state {
namespace internal {

/// 0xff begins no CBOR item. The digit is the version of the compression.
constexpr std::string_view kMagic("\xffZ1", 3);
constexpr std::size_t kSizeBytes = 4;
constexpr std::size_t kHeaderBytes = kMagic.size() + kSizeBytes;
/// Deflate expands its input at most this much.
constexpr std::size_t kMaxRatio = 1032;
constexpr int kByteBits = 8;
constexpr std::size_t kByteValues = 256;

std::string PackHeader(std::size_t size) {
  std::string header(kMagic);
  for (std::size_t i = 0; i < kSizeBytes; ++i) {
    header.push_back(static_cast<char>(size >> (i * kByteBits)));
  }
  return header;
}

std::size_t SizeIn(std::string_view header) {
  std::size_t size = 0;
  for (std::size_t i = kSizeBytes; i > 0; --i) {
    size = size * kByteValues +
           static_cast<unsigned char>(header[kMagic.size() + i - 1]);
  }
  return size;
}

std::optional<std::string> Expand(std::string_view data) {
  if (data.size() < kHeaderBytes) {
    return std::nullopt;
  }
  const std::size_t size = SizeIn(data);
  const std::string_view packed = data.substr(kHeaderBytes);
  if (size > kMaxStateBytes || size > packed.size() * kMaxRatio) {
    return std::nullopt;
  }
  std::string bytes(size, '\0');
  uLongf written = bytes.size();
  const int status =
      uncompress(reinterpret_cast<Bytef*>(bytes.data()), &written,
                 reinterpret_cast<const Bytef*>(packed.data()), packed.size());
  if (status != Z_OK || written != size) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace internal

std::string EncodePackedState(const FleetState& state) {
  const std::string bytes = EncodeState(state);
  std::string packed = internal::PackHeader(bytes.size());
  const std::size_t header = packed.size();
  uLongf length = compressBound(bytes.size());
  packed.resize(header + length);
  // The bound leaves enough room, so that this cannot fail.
  compress(reinterpret_cast<Bytef*>(packed.data() + header), &length,
           reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
  packed.resize(header + length);
  return packed;
}

core::Result<FleetState, DecodeError> DecodePackedState(std::string_view data) {
  if (!data.starts_with(internal::kMagic)) {
    return DecodeState(data);
  }
  const auto bytes = internal::Expand(data);
  if (!bytes) {
    return DecodeError{"the compressed state is damaged or too large"};
  }
  return DecodeState(*bytes);
}

}  // namespace camphormux::state
