#ifndef CAMPHORMUX_GATEWAY_FWD_HPP_
#define CAMPHORMUX_GATEWAY_FWD_HPP_

namespace camphormux::gateway {

struct GatewaySettings;
struct CallerRequest;
class CallerResponse;
class CallerServer;
struct AttemptRequest;
struct AttemptObserver;
class Upstream;
struct KeyStorePort;
struct RequestOptions;
class Dispatcher;
class Gateway;
class LeavingHostsPoller;
class App;

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_FWD_HPP_
