#ifndef CAMPHORMUX_MEMBERSHIP_MESSAGES_HPP_
#define CAMPHORMUX_MEMBERSHIP_MESSAGES_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::membership {

/// Bound of the opaque payload of a process.
inline constexpr std::size_t kMaxPayloadBytes = 1024;
/// Bound of each list of a heartbeat; longer ones are malformed.
inline constexpr std::size_t kMaxListLength = 64;
/// Bound of names and addresses; longer ones are malformed.
inline constexpr std::size_t kMaxNameBytes = 128;

/// @brief What others believe of a process; the order is that of precedence
/// within one incarnation.
enum class Health { kAlive, kSuspect, kDead };

/// @brief Who a process is.
struct Identity {
  core::ProcessId process;
  state::ProcessRole role = state::ProcessRole::kGateway;
  core::ZoneName zone;
  core::Address address;  ///< Of its peer server.
  core::Incarnation incarnation;

  friend bool operator==(const Identity&, const Identity&) = default;
};

/// @brief What a process tells of itself with each heartbeat.
struct Report {
  std::uint64_t sequence = 0;  ///< Grows within an incarnation; 0 for none.
  core::LogOffset applied;     ///< `next` of its shared state.
  /// Of its shared state at that offset; 0 if it was not computed.
  std::uint64_t digest = 0;
  std::string payload;  ///< Demand summary of a gateway; opaque here.

  friend bool operator==(const Report&, const Report&) = default;
};

/// @brief A belief that is passed on.
struct Change {
  Identity identity;
  Health health = Health::kAlive;

  friend bool operator==(const Change&, const Change&) = default;
};

/// @brief The latest known report of a third process.
struct Relay {
  core::ProcessId process;
  core::Incarnation incarnation;
  Report report;

  friend bool operator==(const Relay&, const Relay&) = default;
};

/// @brief Says how long ago the sender heard directly of a process.
struct Vouch {
  core::ProcessId process;
  core::Millis age{0};

  friend bool operator==(const Vouch&, const Vouch&) = default;
};

/// @brief A heartbeat or the answer to one.
struct Heartbeat {
  Identity from;
  Report report;
  std::vector<Change> changes;
  std::vector<Relay> relays;
  std::vector<core::ProcessId> asks;  ///< Processes the sender misses.
  std::vector<Vouch> vouches;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// @brief Encodes a heartbeat as a CBOR array that begins with a version.
/// @param heartbeat The heartbeat.
/// @return The bytes.
[[nodiscard]] std::string Encode(const Heartbeat& heartbeat);

/// @brief Decodes a heartbeat. Elements that a later version appends are
/// ignored.
/// @param data The bytes.
/// @return The heartbeat, or nothing if the bytes are malformed.
[[nodiscard]] std::optional<Heartbeat> Decode(std::string_view data);

/// @brief Computes how many bytes a relay adds to a heartbeat.
/// @param relay The relay.
/// @return The encoded size.
[[nodiscard]] std::size_t EncodedBytes(const Relay& relay);

}  // namespace camphormux::membership

#endif  // CAMPHORMUX_MEMBERSHIP_MESSAGES_HPP_
