#ifndef CAMPHORMUX_HTTP_FWD_HPP_
#define CAMPHORMUX_HTTP_FWD_HPP_

namespace camphormux::http {

struct Header;
struct ClientRequest;
struct ClientResponse;
struct ClientFailure;
enum class ClientError;
class Client;
class CurlLoop;

struct ServerRequest;
struct ServerResponse;
struct ServerOptions;
class Server;

}  // namespace camphormux::http

#endif  // CAMPHORMUX_HTTP_FWD_HPP_
