#ifndef CAMPHORMUX_TEST_LINK_STANDIN_RULES_HPP_
#define CAMPHORMUX_TEST_LINK_STANDIN_RULES_HPP_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"

namespace camphormux::link_standin {

/// Wildcard for every zone other than the opposite one of a direction.
inline constexpr std::string_view kAllOthers = "*";

/// @brief How the relay treats bytes from one zone to another.
enum class LinkMode {
  kPass,
  kDelay,  ///< Bytes arrive after the rule's delay.
  kHold,   ///< Bytes wait until the link passes, like TCP retransmits.
  /// Bytes are lost. A connection that lost bytes delivers nothing more in that
  /// direction, as if a firewall had lost its translation entry.
  kDrop,
};

/// @brief Rule of one direction between two zones.
struct LinkRule {
  LinkMode mode = LinkMode::kPass;
  core::Millis delay{0};
};

/// @brief The known zones (the platform counts as one) and the rules by
/// direction; a direction without a rule passes. Traffic within a zone always
/// passes.
struct Rules {
  std::set<core::ZoneName> zones;
  std::map<std::pair<core::ZoneName, core::ZoneName>, LinkRule> directions;
};

/// @brief Parses the name of a mode.
/// @param word The name: pass, delay, hold or drop.
/// @return The mode, or nothing if the name is unknown.
[[nodiscard]] std::optional<LinkMode> ParseLinkMode(std::string_view word);

/// @brief Sets the rule of all directions that match `from` and `to`.
/// @param rules The rules.
/// @param from Zone that sends, or `kAllOthers`.
/// @param to Zone that receives, or `kAllOthers`.
/// @param rule The rule.
/// @return Whether both names are known.
[[nodiscard]] bool SetRule(Rules& rules, const core::ZoneName& from,
                           const core::ZoneName& to, const LinkRule& rule);

/// @brief Looks up the rule of a direction.
/// @param rules The rules.
/// @param from Zone that sends.
/// @param to Zone that receives.
/// @return The rule; `kPass` within a zone.
[[nodiscard]] LinkRule RuleOf(const Rules& rules, const core::ZoneName& from,
                              const core::ZoneName& to);

}  // namespace camphormux::link_standin

#endif  // CAMPHORMUX_TEST_LINK_STANDIN_RULES_HPP_
