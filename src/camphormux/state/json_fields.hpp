#ifndef CAMPHORMUX_STATE_JSON_FIELDS_HPP_
#define CAMPHORMUX_STATE_JSON_FIELDS_HPP_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include <nlohmann/json.hpp>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/state/fleet_state.hpp"

/// Reads and writes typed values as fields of CBOR maps. Fields that a reader
/// does not know are ignored by construction.
namespace camphormux::state::internal {

using nlohmann::json;

/// Highest values of the enumerations that this version knows.
inline constexpr std::uint64_t kLastPhase =
    static_cast<std::uint64_t>(HostPhase::kEmpty);
inline constexpr std::uint64_t kLastReason =
    static_cast<std::uint64_t>(DrainReason::kQuarantine);
inline constexpr std::uint64_t kLastRole =
    static_cast<std::uint64_t>(ProcessRole::kController);

template <typename Tag>
json ToField(const core::Name<Tag>& name) {
  return name.value;
}
template <typename Tag>
json ToField(core::Ordinal<Tag> number) {
  return number.value;
}
template <typename Tag>
json ToField(core::Quantity<Tag> amount) {
  return amount.value;
}
inline json ToField(const std::string& text) { return text; }
inline json ToField(std::uint32_t number) { return number; }
inline json ToField(std::uint64_t number) { return number; }
inline json ToField(core::WallTime time) {
  return time.time_since_epoch().count();
}
inline json ToField(const core::Address& address) {
  return json{{"ip", address.ip}, {"port", address.port}};
}
inline json ToField(const HostShape& shape) {
  return json{{"cores", shape.cores.value},
              {"memory", shape.memory.value},
              {"accelerators", shape.accelerators.value}};
}
template <typename E>
requires std::is_enum_v<E> json ToField(E value) {
  return static_cast<std::uint64_t>(value);
}

/// @brief Reads the fields of one map and remembers the first that is wrong.
class FieldReader {
 public:
  explicit FieldReader(const json& map) : map_(map) {
    if (!map.is_object()) {
      reason_ = "not a map";
    }
  }

  /// @brief Reads a mandatory field.
  /// @param key Its name.
  /// @param out Where the value goes; unchanged if the field is wrong.
  template <typename T>
  void Read(const char* key, T& out) {
    const json* field = Field(key);
    if (field == nullptr || !Convert(*field, out)) {
      Fail(key);
    }
  }

  /// @brief Reads a field that may be absent.
  template <typename T>
  void ReadOptional(const char* key, std::optional<T>& out) {
    const json* field = Field(key);
    if (field == nullptr) {
      return;
    }
    T value{};
    if (Convert(*field, value)) {
      out = std::move(value);
    } else {
      Fail(key);
    }
  }

  /// @return Why the map is malformed; empty if it is not.
  [[nodiscard]] const std::string& reason() const { return reason_; }

 private:
  [[nodiscard]] const json* Field(const char* key) const {
    if (!map_.is_object()) {
      return nullptr;
    }
    const auto it = map_.find(key);
    return it == map_.end() ? nullptr : &*it;
  }

  void Fail(const char* key) {
    if (reason_.empty()) {
      reason_ = std::string("field ") + key + " is missing or malformed";
    }
  }

  static bool Convert(const json& field, std::string& out) {
    if (field.is_binary()) {
      const auto& bytes = field.get_binary();
      out.assign(bytes.begin(), bytes.end());
      return true;
    }
    if (!field.is_string()) {
      return false;
    }
    out = field.get<std::string>();
    return true;
  }
  template <typename T>
  requires std::is_unsigned_v<T>
  static bool Convert(const json& field, T& out) {
    if (!field.is_number_unsigned() ||
        field.get<std::uint64_t>() > std::numeric_limits<T>::max()) {
      return false;
    }
    out = field.get<T>();
    return true;
  }
  static bool Convert(const json& field, std::int64_t& out) {
    if (!field.is_number_integer() ||
        (field.is_number_unsigned() &&
         field.get<std::uint64_t>() >
             static_cast<std::uint64_t>(
                 std::numeric_limits<std::int64_t>::max()))) {
      return false;
    }
    out = field.get<std::int64_t>();
    return true;
  }
  template <typename Tag>
  static bool Convert(const json& field, core::Name<Tag>& out) {
    return Convert(field, out.value);
  }
  template <typename Tag>
  static bool Convert(const json& field, core::Ordinal<Tag>& out) {
    return Convert(field, out.value);
  }
  template <typename Tag>
  static bool Convert(const json& field, core::Quantity<Tag>& out) {
    return Convert(field, out.value);
  }
  static bool Convert(const json& field, core::WallTime& out) {
    std::int64_t millis = 0;
    if (!Convert(field, millis)) {
      return false;
    }
    out = core::WallTime{core::Millis{millis}};
    return true;
  }
  static bool Convert(const json& field, core::Address& out) {
    FieldReader reader(field);
    reader.Read("ip", out.ip);
    reader.Read("port", out.port);
    return reader.reason().empty();
  }
  static bool Convert(const json& field, HostShape& out) {
    FieldReader reader(field);
    reader.Read("cores", out.cores);
    reader.Read("memory", out.memory);
    reader.Read("accelerators", out.accelerators);
    return reader.reason().empty();
  }
  static bool Convert(const json& field, HostPhase& out) {
    return ConvertEnum(field, kLastPhase, out);
  }
  static bool Convert(const json& field, DrainReason& out) {
    return ConvertEnum(field, kLastReason, out);
  }
  static bool Convert(const json& field, ProcessRole& out) {
    return ConvertEnum(field, kLastRole, out);
  }
  template <typename E>
  static bool ConvertEnum(const json& field, std::uint64_t last, E& out) {
    std::uint64_t number = 0;
    if (!Convert(field, number) || number > last) {
      return false;
    }
    out = static_cast<E>(number);
    return true;
  }
  template <typename T>
  static bool Convert(const json& field, std::vector<T>& out) {
    if (!field.is_array()) {
      return false;
    }
    for (const json& item : field) {
      if (!Convert(item, out.emplace_back())) {
        return false;
      }
    }
    return true;
  }

  const json& map_;
  std::string reason_;
};

}  // namespace camphormux::state::internal

#endif  // CAMPHORMUX_STATE_JSON_FIELDS_HPP_
