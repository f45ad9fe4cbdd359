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

/// @brief What went over one direction between two zones.
struct Traffic {
  std::uint64_t connections = 0;  ///< Accepted from the first zone.
  std::uint64_t passed_bytes = 0;
  std::uint64_t dropped_bytes = 0;
};

using Direction = std::pair<core::ZoneName, core::ZoneName>;

/// @brief Relays TCP connections between zones and applies the rules. The zone
/// of a caller is that of its source address; callers of unknown addresses are
/// never cut. Use it on the loop's thread only.
class Relay {
 public:
  /// @param loop Event loop; outlives the relay.
  /// @param links Targets and source addresses.
  /// @throws std::exception if an address cannot be bound.
  Relay(asio::io_context& loop, const Links& links);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// @brief Changes rules; applies to open connections too.
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
