#ifndef CAMPHORMUX_COORDINATOR_FWD_HPP_
#define CAMPHORMUX_COORDINATOR_FWD_HPP_

namespace camphormux::coordinator {

struct Authority;
struct NodeSettings;
struct StorePort;
struct ElectionPort;
struct HostPort;
struct Member;
struct CloudPort;
struct FeedPort;
struct Ports;
struct NodeMetrics;
struct StoredProgress;
struct LoadedJobs;
class ConfirmationPoll;
class Election;
class JobFrontend;
class Holder;
class HostAgent;
class HostLinks;
class HostRouter;
class PeerForwarder;
class Node;
class HolderClient;
class StoreWriter;

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_FWD_HPP_
