#include "test/link_standin/rules.hpp"

namespace camphormux::link_standin {
namespace internal {

bool IsKnown(const Rules& rules, const core::ZoneName& zone) {
  return zone.value == kAllOthers || rules.zones.contains(zone);
}

bool Matches(const core::ZoneName& pattern, const core::ZoneName& zone) {
  return pattern.value == kAllOthers || pattern == zone;
}

}  // namespace internal

std::optional<LinkMode> ParseLinkMode(std::string_view word) {
  if (word == "pass") {
    return LinkMode::kPass;
  }
  if (word == "delay") {
    return LinkMode::kDelay;
  }
  if (word == "hold") {
    return LinkMode::kHold;
  }
  if (word == "drop") {
    return LinkMode::kDrop;
  }
  return std::nullopt;
}

bool SetRule(Rules& rules, const core::ZoneName& from, const core::ZoneName& to,
             const LinkRule& rule) {
  if (!internal::IsKnown(rules, from) || !internal::IsKnown(rules, to)) {
    return false;
  }
  for (const core::ZoneName& sender : rules.zones) {
    for (const core::ZoneName& receiver : rules.zones) {
      if (sender != receiver && internal::Matches(from, sender) &&
          internal::Matches(to, receiver)) {
        rules.directions[{sender, receiver}] = rule;
      }
    }
  }
  return true;
}

LinkRule RuleOf(const Rules& rules, const core::ZoneName& from,
                const core::ZoneName& to) {
  const auto found = rules.directions.find({from, to});
  return found == rules.directions.end() ? LinkRule{} : found->second;
}

}  // namespace camphormux::link_standin
