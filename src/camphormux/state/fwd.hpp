#ifndef CAMPHORMUX_STATE_FWD_HPP_
#define CAMPHORMUX_STATE_FWD_HPP_

namespace camphormux::state {

enum class HostPhase;
enum class DrainReason;
enum class ProcessRole;
struct Host;
struct HostShape;
struct RemovedHost;
struct ZoneLease;
struct MaintenanceRecord;
struct Presence;
struct AcceptedText;
struct PublishOutcome;
struct FleetState;

struct Publish;
struct LeaseClaim;
struct LeaseRenew;
struct LeaseRelease;
struct HostAdded;
struct HostRemoved;
struct Assign;
struct MaintenanceDone;
struct PresenceNotice;
struct SnapshotChunk;

struct LogContact;
struct LogViewTimes;
struct ContactChange;

class Tailer;

}  // namespace camphormux::state

#endif  // CAMPHORMUX_STATE_FWD_HPP_
