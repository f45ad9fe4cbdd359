#include "camphormux/cbor/cbor.hpp"

#include <vector>

namespace camphormux::cbor {
namespace internal {

constexpr std::size_t kMaxDepth = 16;

/// SAX handler that rejects values nested deeper than kMaxDepth and stores
/// nothing.
struct DepthCheck : nlohmann::json_sax<nlohmann::json> {
  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return true;
  }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool key(string_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*size*/) override {
    return ++depth <= kMaxDepth;
  }
  bool end_object() override {
    --depth;
    return true;
  }
  bool start_array(std::size_t /*size*/) override {
    return ++depth <= kMaxDepth;
  }
  bool end_array() override {
    --depth;
    return true;
  }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

  std::size_t depth = 0;
};

const nlohmann::json& EmptyArray() {
  static const nlohmann::json empty = nlohmann::json::array();
  return empty;
}

}  // namespace internal

std::optional<nlohmann::json> Parse(std::string_view data) {
  internal::DepthCheck check;
  if (!nlohmann::json::sax_parse(data, &check,
                                 nlohmann::json::input_format_t::cbor)) {
    return std::nullopt;
  }
  auto value = nlohmann::json::from_cbor(data, true, false);
  if (value.is_discarded()) {
    return std::nullopt;
  }
  return value;
}

std::string Serialize(const nlohmann::json& value) {
  std::string data;
  nlohmann::json::to_cbor(value, data);
  return data;
}

nlohmann::json Bytes(std::string_view bytes) {
  return nlohmann::json::binary(
      std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

ArrayReader::ArrayReader(const nlohmann::json& value)
    : value_(&value), ok_(value.is_array()) {}

bool ArrayReader::has_more() const {
  return ok_ && value_->is_array() && index_ < value_->size();
}

const nlohmann::json* ArrayReader::Next() {
  if (!ok_ || index_ >= value_->size()) {
    ok_ = false;
    return nullptr;
  }
  return &(*value_)[index_++];
}

std::uint64_t ArrayReader::Unsigned(std::uint64_t limit) {
  const nlohmann::json* next = Next();
  ok_ = next != nullptr && next->is_number_unsigned() &&
        *next->get_ptr<const std::uint64_t*>() <= limit;
  return ok_ ? *next->get_ptr<const std::uint64_t*>() : 0;
}

std::string ArrayReader::Text(std::size_t max_bytes) {
  const nlohmann::json* next = Next();
  ok_ = next != nullptr && next->is_string() &&
        next->get_ptr<const std::string*>()->size() <= max_bytes;
  return ok_ ? *next->get_ptr<const std::string*>() : std::string();
}

std::string ArrayReader::Bytes(std::size_t max_bytes) {
  const nlohmann::json* next = Next();
  ok_ = next != nullptr && next->is_binary() &&
        next->get_binary().size() <= max_bytes;
  if (!ok_) {
    return {};
  }
  return {next->get_binary().begin(), next->get_binary().end()};
}

const nlohmann::json& ArrayReader::Array(std::size_t max_size) {
  const nlohmann::json* next = Next();
  ok_ = next != nullptr && next->is_array() && next->size() <= max_size;
  return ok_ ? *next : internal::EmptyArray();
}

}  // namespace camphormux::cbor
