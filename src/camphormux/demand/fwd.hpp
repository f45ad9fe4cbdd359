#ifndef CAMPHORMUX_DEMAND_FWD_HPP_
#define CAMPHORMUX_DEMAND_FWD_HPP_

namespace camphormux::demand {

struct ServiceIndex;
struct ServiceIndexes;
struct ServiceLoad;
struct Summary;

}  // namespace camphormux::demand

#endif  // CAMPHORMUX_DEMAND_FWD_HPP_
