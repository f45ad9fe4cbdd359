#ifndef CAMPHORMUX_PEER_FWD_HPP_
#define CAMPHORMUX_PEER_FWD_HPP_

namespace camphormux::peer {

struct BackoffPolicy;
struct Request;
struct Response;
struct ServerOptions;
struct ClientOptions;
enum class Error;
struct Failure;
class Server;
class Client;

}  // namespace camphormux::peer

#endif  // CAMPHORMUX_PEER_FWD_HPP_
