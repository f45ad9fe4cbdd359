#ifndef CAMPHORMUX_PLACEMENT_FWD_HPP_
#define CAMPHORMUX_PLACEMENT_FWD_HPP_

namespace camphormux::placement {

struct Resources;
struct JobSpec;
struct WorkerSpec;
struct TaskRef;
struct Settings;
struct State;

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_PLACEMENT_FWD_HPP_
