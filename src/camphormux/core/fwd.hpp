#ifndef CAMPHORMUX_CORE_FWD_HPP_
#define CAMPHORMUX_CORE_FWD_HPP_

namespace camphormux::core {

template <typename Tag>
struct Name;

template <typename Tag>
struct Ordinal;

struct Address;
struct Random;

}  // namespace camphormux::core

#endif  // CAMPHORMUX_CORE_FWD_HPP_
