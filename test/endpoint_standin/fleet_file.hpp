#ifndef CAMPHORMUX_TEST_ENDPOINT_STANDIN_FLEET_FILE_HPP_
#define CAMPHORMUX_TEST_ENDPOINT_STANDIN_FLEET_FILE_HPP_

#include <vector>

#include "camphormux/settings/ini.hpp"
#include "test/endpoint_standin/host.hpp"

namespace camphormux::endpoint_standin {

/// @brief Reads the hosts of a fleet file (sections `[host NAME]`).
/// @param file The parsed INI file.
/// @return The hosts in the order of the file, or all problems.
[[nodiscard]] core::Result<std::vector<HostSpec>, settings::Problems>
ParseFleetFile(const settings::IniFile& file);

}  // namespace camphormux::endpoint_standin

#endif  // CAMPHORMUX_TEST_ENDPOINT_STANDIN_FLEET_FILE_HPP_
