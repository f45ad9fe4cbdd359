#ifndef TEST_HTTP_SCRIPTED_SERVER_HPP_
#define TEST_HTTP_SCRIPTED_SERVER_HPP_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace camphormux::http {

/// An answer of the server, or the end of the connection without one.
struct ScriptedAnswer {
  int status = 200;
  std::string body;
  bool close = false;   ///< Closes the connection without an answer.
  bool refuse = false;  ///< Accepts no connections from now on.
};

/// HTTP server that answers the requests of all connections, in the order of
/// their arrival, from a script. Requests must have a body.
class ScriptedServer {
 public:
  /// @param loop Event loop; outlives the server.
  /// @param script Answers; the last one is repeated.
  ScriptedServer(asio::io_context& loop, std::vector<ScriptedAnswer> script);

  [[nodiscard]] std::uint16_t port() const {
    return acceptor_.local_endpoint().port();
  }
  /// @return Number of requests that were received completely.
  [[nodiscard]] std::size_t received() const { return received_; }

 private:
  struct Connection;

  void Accept();
  void ReadHead(const std::shared_ptr<Connection>& connection);
  void ReadBody(const std::shared_ptr<Connection>& connection,
                std::size_t head_bytes);
  void Answer(const std::shared_ptr<Connection>& connection);

  asio::io_context& loop_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<ScriptedAnswer> script_;
  std::size_t received_ = 0;
};

}  // namespace camphormux::http

#endif  // TEST_HTTP_SCRIPTED_SERVER_HPP_
