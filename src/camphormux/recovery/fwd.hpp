#ifndef CAMPHORMUX_RECOVERY_FWD_HPP_
#define CAMPHORMUX_RECOVERY_FWD_HPP_

namespace camphormux::recovery {

struct ChunkQuery;
struct Fetch;
class StateFetcher;
class StateServer;

}  // namespace camphormux::recovery

#endif  // CAMPHORMUX_RECOVERY_FWD_HPP_
