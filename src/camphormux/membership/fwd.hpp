#ifndef CAMPHORMUX_MEMBERSHIP_FWD_HPP_
#define CAMPHORMUX_MEMBERSHIP_FWD_HPP_

namespace camphormux::membership {

enum class Health;
struct Config;
struct Identity;
struct Report;
struct Member;
struct Change;
struct Relay;
struct Vouch;
struct Heartbeat;
struct Transition;
struct Round;
struct View;
class Node;

struct HostEvidencePolicy;
struct HostEvidence;
struct HostEvidenceState;
struct ListObservation;
enum class HostVerdict;

}  // namespace camphormux::membership

#endif  // CAMPHORMUX_MEMBERSHIP_FWD_HPP_
