#ifndef CAMPHORMUX_OWNERSHIP_FWD_HPP_
#define CAMPHORMUX_OWNERSHIP_FWD_HPP_

namespace camphormux::ownership {

enum class Role;
struct LeaseOptions;
struct Lease;
struct LogView;
struct LeaseStep;

}  // namespace camphormux::ownership

#endif  // CAMPHORMUX_OWNERSHIP_FWD_HPP_
