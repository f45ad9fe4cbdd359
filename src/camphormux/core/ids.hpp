#ifndef CAMPHORMUX_CORE_IDS_HPP_
#define CAMPHORMUX_CORE_IDS_HPP_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace camphormux::core {

/// @brief String identifier. Identifiers of different kinds are distinct types.
/// @tparam Tag Kind of the identifier.
template <typename Tag>
struct Name {
  std::string value;

  friend auto operator<=>(const Name&, const Name&) = default;
};

/// @brief Integer identifier. Identifiers of different kinds are distinct
/// types.
/// @tparam Tag Kind of the identifier.
template <typename Tag>
struct Ordinal {
  std::uint64_t value = 0;

  friend auto operator<=>(const Ordinal&, const Ordinal&) = default;
};

/// @brief Returns the successor of an ordinal.
/// @param ordinal The ordinal to advance.
/// @return The next ordinal.
template <typename Tag>
[[nodiscard]] constexpr Ordinal<Tag> Next(Ordinal<Tag> ordinal) noexcept {
  return Ordinal<Tag>{ordinal.value + 1};
}

using HostId = Name<struct HostTag>;
using ServiceName = Name<struct ServiceTag>;
using PoolName = Name<struct PoolTag>;
using ZoneName = Name<struct ZoneTag>;
using RackName = Name<struct RackTag>;
using RegionName = Name<struct RegionTag>;
using TeamName = Name<struct TeamTag>;
using JobId = Name<struct JobTag>;
using ProcessId = Name<struct ProcessTag>;
using RequestId = Name<struct RequestTag>;
using RequestKey = Name<struct RequestKeyTag>;
using AppendId = Name<struct AppendTag>;

/// Position of a record in a log stream.
using LogOffset = Ordinal<struct LogOffsetTag>;
/// Revision of the accepted operator text; increases monotonically.
using Revision = Ordinal<struct RevisionTag>;
/// Fencing epoch of a zone's controller lease; increases monotonically.
using Epoch = Ordinal<struct EpochTag>;
/// Generation of a host's pool assignment; increases monotonically.
using Generation = Ordinal<struct GenerationTag>;
/// Incarnation of a process; increases with each restart.
using Incarnation = Ordinal<struct IncarnationTag>;

}  // namespace camphormux::core

namespace std {

template <typename Tag>
struct hash<camphormux::core::Name<Tag>> {
  size_t operator()(const camphormux::core::Name<Tag>& name) const noexcept {
    return hash<string>{}(name.value);
  }
};

template <typename Tag>
struct hash<camphormux::core::Ordinal<Tag>> {
  size_t operator()(camphormux::core::Ordinal<Tag> number) const noexcept {
    return hash<uint64_t>{}(number.value);
  }
};

}  // namespace std

#endif  // CAMPHORMUX_CORE_IDS_HPP_
