#ifndef CAMPHORMUX_CORE_IDS_HPP_
#define CAMPHORMUX_CORE_IDS_HPP_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace camphormux::core {

/// @brief A textual identifier that cannot be mixed up with one of another
/// kind.
/// @tparam Tag Distinguishes kinds of identifiers.
template <typename Tag>
struct Name {
  std::string value;

  friend auto operator<=>(const Name&, const Name&) = default;
};

/// @brief A counting identifier that cannot be mixed up with one of another
/// kind.
/// @tparam Tag Distinguishes kinds of identifiers.
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
/// Number of an accepted operator text; only grows.
using Revision = Ordinal<struct RevisionTag>;
/// Number of a zone's controller lease; only grows.
using Epoch = Ordinal<struct EpochTag>;
/// Number of a host's assignment to a pool; only grows.
using Generation = Ordinal<struct GenerationTag>;
/// Number of a process's life; a restarted process has a higher one.
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
