#ifndef CAMPHORMUX_TEST_LINK_STANDIN_LINKS_FILE_HPP_
#define CAMPHORMUX_TEST_LINK_STANDIN_LINKS_FILE_HPP_

#include <map>
#include <string>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/result.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/settings/ini.hpp"

namespace camphormux::link_standin {

/// @brief One process that is reached through the relay.
struct Target {
  std::string name;
  core::ZoneName zone;
  core::Address listen;   ///< Where the relay accepts for it.
  core::Address address;  ///< Where it listens itself.
};

/// @brief What the relay stands between.
struct Links {
  std::map<std::string, core::ZoneName> zone_of_source;  ///< By IP number.
  std::vector<Target> targets;
};

/// @brief Parses `[zone NAME] source` and `[target NAME] zone, listen,
/// address`.
/// @param file The INI entries.
/// @return The links, or all problems.
[[nodiscard]] core::Result<Links, settings::Problems> ParseLinksFile(
    const settings::IniFile& file);

}  // namespace camphormux::link_standin

#endif  // CAMPHORMUX_TEST_LINK_STANDIN_LINKS_FILE_HPP_
