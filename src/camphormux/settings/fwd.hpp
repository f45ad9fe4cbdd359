#ifndef CAMPHORMUX_SETTINGS_FWD_HPP_
#define CAMPHORMUX_SETTINGS_FWD_HPP_

namespace camphormux::settings {

struct IniEntry;
struct IniFile;
struct Problem;
struct Reader;

}  // namespace camphormux::settings

#endif  // CAMPHORMUX_SETTINGS_FWD_HPP_
