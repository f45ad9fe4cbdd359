#ifndef CAMPHORMUX_MOVES_FWD_HPP_
#define CAMPHORMUX_MOVES_FWD_HPP_

namespace camphormux::moves {

enum class MoveCause;
enum class MoveBlocker;
struct PoolTarget;
struct MoveLimits;
struct MoveInput;
struct MoveReason;
struct Move;
struct Reversal;
struct Shortfall;
struct MoveDecision;

}  // namespace camphormux::moves

#endif  // CAMPHORMUX_MOVES_FWD_HPP_
