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

/// @brief One process that callers reach through the relay.
struct Target {
  std::string name;
  core::ZoneName zone;
  core::Address listen;   ///< Where the relay accepts connections for it.
  core::Address address;  ///< Where the process itself listens.
};

/// @brief Configuration of the relay: source address of each zone and the
/// targets.
struct Links {
  std::map<std::string, core::ZoneName> zone_of_source;  ///< By IP number.
  std::vector<Target> targets;
};

/// @brief Parses `[zone NAME] source` and `[target NAME] zone, listen,
/// address`.
/// @param file The parsed INI file.
/// @return The links, or all problems.
[[nodiscard]] core::Result<Links, settings::Problems> ParseLinksFile(
    const settings::IniFile& file);

}  // namespace camphormux::link_standin

#endif  // CAMPHORMUX_TEST_LINK_STANDIN_LINKS_FILE_HPP_
