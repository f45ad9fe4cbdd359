#include "camphormux/demand/load_codec.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace camphormux::demand::internal {

/// Values are encoded as whole tenths or as the logarithm of tenths.
constexpr double kTenths = 10.0;
constexpr double kMaxTenths = 1e12;
constexpr int kVarintBits = 7;
constexpr int kByteBits = 8;
constexpr std::uint32_t kByteMask = 0xff;

/// Logarithmic scale: code 0 is the value 0, the other codes are spaced evenly
/// by logarithm over 1 to `max` tenths.
struct LogScale {
  std::uint32_t codes;
  double max;
};

/// Steps of 0.51% and 6.5%; the rounding error is at most half a step.
constexpr LogScale kFine{1U << 12, 1e9};
constexpr LogScale kCoarse{1U << 8, 1e7};

double LogStep(const LogScale& scale) {
  return std::log(scale.max) / static_cast<double>(scale.codes - 2);
}

std::uint32_t ToCode(double value, const LogScale& scale) {
  const double tenths = std::min(value * kTenths, scale.max);
  if (!(tenths >= 0.5)) {
    return 0;
  }
  const double steps = std::log(std::max(tenths, 1.0)) / LogStep(scale);
  return 1 + static_cast<std::uint32_t>(std::lround(steps));
}

double FromCode(std::uint32_t code, const LogScale& scale) {
  return code == 0 ? 0.0 : std::exp((code - 1) * LogStep(scale)) / kTenths;
}

void AppendVarint(std::string& out, std::uint64_t value) {
  constexpr std::uint64_t kContinuationBit = 1U << kVarintBits;
  for (; value >= kContinuationBit; value >>= kVarintBits) {
    out.push_back(
        static_cast<char>(value % kContinuationBit + kContinuationBit));
  }
  out.push_back(static_cast<char>(value));
}

std::uint64_t ToTenths(double value) {
  return static_cast<std::uint64_t>(
      std::round(std::clamp(value * kTenths, 0.0, kMaxTenths)));
}

/// Reads bytes and variable-length integers. After a truncated or overlong
/// integer, ok() stays false.
class Reader {
 public:
  explicit Reader(std::string_view data) : data_(data) {}

  std::uint32_t Byte() {
    if (at_ == data_.size()) {
      ok_ = false;
      return 0;
    }
    return static_cast<unsigned char>(data_[at_++]);
  }

  std::uint64_t Varint() {
    constexpr std::uint32_t kContinuationBit = 1U << kVarintBits;
    constexpr int kMaxBits = 63;
    std::uint64_t value = 0;
    for (int shift = 0; shift < kMaxBits; shift += kVarintBits) {
      const std::uint32_t byte = Byte();
      value |= std::uint64_t{byte % kContinuationBit} << shift;
      if (byte < kContinuationBit) {
        return value;
      }
    }
    ok_ = false;
    return 0;
  }

  [[nodiscard]] bool ok() const { return ok_; }
  [[nodiscard]] bool more() const { return ok_ && at_ < data_.size(); }

 private:
  std::string_view data_;
  std::size_t at_ = 0;
  bool ok_ = true;
};

double ReadTenths(Reader& in) {
  return static_cast<double>(in.Varint()) / kTenths;
}

ServiceLoad ReadExactLoad(Reader& in) {
  ServiceLoad load;
  load.arrivals_per_s = ReadTenths(in);
  load.refused_per_s = ReadTenths(in);
  load.queued = ReadTenths(in);
  load.running = ReadTenths(in);
  return load;
}

ServiceLoad ReadRoundedLoad(Reader& in) {
  std::uint32_t pair = 0;
  for (int shift = 0; shift < 3 * kByteBits; shift += kByteBits) {
    pair |= in.Byte() << shift;
  }
  ServiceLoad load;
  load.arrivals_per_s = FromCode(pair % kFine.codes, kFine);
  load.running = FromCode(pair / kFine.codes, kFine);
  // The two scales round differently; refused requests must not exceed
  // arrivals.
  load.refused_per_s =
      std::min(FromCode(in.Byte(), kCoarse), load.arrivals_per_s);
  load.queued = FromCode(in.Byte(), kCoarse);
  return load;
}

std::string EncodeExact(const std::vector<IndexedLoad>& loads) {
  std::string out;
  std::uint64_t next = 0;
  for (const auto& [index_position, load] : loads) {
    AppendVarint(out, index_position - next);
    next = index_position + 1;
    AppendVarint(out, ToTenths(load.arrivals_per_s));
    AppendVarint(out, ToTenths(load.refused_per_s));
    AppendVarint(out, ToTenths(load.queued));
    AppendVarint(out, ToTenths(load.running));
  }
  return out;
}

std::string EncodeRounded(const std::vector<IndexedLoad>& loads) {
  std::string out;
  std::uint64_t next = 0;
  for (const auto& [index_position, load] : loads) {
    AppendVarint(out, index_position - next);
    next = index_position + 1;
    const std::uint32_t pair = ToCode(load.arrivals_per_s, kFine) +
                               ToCode(load.running, kFine) * kFine.codes;
    for (int shift = 0; shift < 3 * kByteBits; shift += kByteBits) {
      out.push_back(static_cast<char>((pair >> shift) & kByteMask));
    }
    out.push_back(static_cast<char>(ToCode(load.refused_per_s, kCoarse)));
    out.push_back(static_cast<char>(ToCode(load.queued, kCoarse)));
  }
  return out;
}

std::optional<std::vector<IndexedLoad>> DecodeLoads(std::string_view data,
                                                    bool rounded) {
  Reader in(data);
  std::vector<IndexedLoad> loads;
  std::uint64_t next = 0;
  while (in.more()) {
    const std::uint64_t index_position = next + in.Varint();
    if (index_position >= kMaxServices) {
      return std::nullopt;
    }
    next = index_position + 1;
    loads.push_back(
        {index_position, rounded ? ReadRoundedLoad(in) : ReadExactLoad(in)});
  }
  if (!in.ok()) {
    return std::nullopt;
  }
  return loads;
}

}  // namespace camphormux::demand::internal
