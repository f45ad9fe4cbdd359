#ifndef CAMPHORMUX_TEST_LINK_STANDIN_RELAY_HPP_
#define CAMPHORMUX_TEST_LINK_STANDIN_RELAY_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>

#include "camphormux/core/ids.hpp"
#include "test/link_standin/links_file.hpp"
#include "test/link_standin/rules.hpp"

namespace camphormux::link_standin {

/// @brief Traffic counters of one direction between two zones.
struct Traffic {
  std::uint64_t connections =
      0;  ///< Accepted from callers of the sending zone.
  std::uint64_t passed_bytes = 0;
  std::uint64_t dropped_bytes = 0;
};

/// Sending and receiving zone.
using Direction = std::pair<core::ZoneName, core::ZoneName>;

/// @brief Relays TCP connections between zones and applies the link rules. The
/// source address of a caller determines its zone; no rules apply to callers
/// with an unknown address. Not thread-safe: use it on the loop's thread only.
class Relay {
 public:
  /// @param loop Event loop; outlives the relay.
  /// @param links Targets and source addresses.
  /// @throws std::exception if an address cannot be bound.
  Relay(asio::io_context& loop, const Links& links);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// @brief Changes the rule of one or more directions, for open connections
  /// too.
  /// @param from Zone that sends, or `kAllOthers`.
  /// @param to Zone that receives, or `kAllOthers`.
  /// @param rule The rule.
  /// @return Whether both names are known.
  bool Set(const core::ZoneName& from, const core::ZoneName& to,
           const LinkRule& rule);

  [[nodiscard]] const std::map<Direction, Traffic>& traffic() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::link_standin

#endif  // CAMPHORMUX_TEST_LINK_STANDIN_RELAY_HPP_
