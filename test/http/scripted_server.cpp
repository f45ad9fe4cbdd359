#include "test/http/scripted_server.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

namespace camphormux::http {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLengthHeader = "Content-Length: ";

struct ScriptedServer::Connection {
  explicit Connection(asio::io_context& loop) : socket(loop) {}
  asio::ip::tcp::socket socket;
  std::string data;
};

ScriptedServer::ScriptedServer(asio::io_context& loop,
                               std::vector<ScriptedAnswer> script)
    : loop_(loop),
      acceptor_(loop, {asio::ip::address_v4::loopback(), 0}),
      script_(std::move(script)) {
  Accept();
}

void ScriptedServer::Accept() {
  auto connection = std::make_shared<Connection>(loop_);
  acceptor_.async_accept(connection->socket,
                         [this, connection](const asio::error_code& error) {
                           if (!error) {
                             ReadHead(connection);
                             Accept();
                           }
                         });
}

void ScriptedServer::ReadHead(const std::shared_ptr<Connection>& connection) {
  asio::async_read_until(
      connection->socket, asio::dynamic_buffer(connection->data), kHeadEnd,
      [this, connection](const asio::error_code& error, std::size_t bytes) {
        if (!error) {
          ReadBody(connection, bytes);
        }
      });
}

void ScriptedServer::ReadBody(const std::shared_ptr<Connection>& connection,
                              std::size_t head_bytes) {
  const std::size_t header = connection->data.find(kLengthHeader);
  const std::size_t body_bytes = std::strtoull(
      connection->data.c_str() + header + kLengthHeader.size(), nullptr, 10);
  const std::size_t whole = head_bytes + body_bytes;
  const std::size_t missing = whole - std::min(whole, connection->data.size());
  asio::async_read(
      connection->socket, asio::dynamic_buffer(connection->data),
      asio::transfer_exactly(missing),
      [this, connection, whole](const asio::error_code& error, std::size_t) {
        if (!error) {
          connection->data.erase(0, whole);
          Answer(connection);
        }
      });
}

void ScriptedServer::Answer(const std::shared_ptr<Connection>& connection) {
  const ScriptedAnswer& answer =
      script_[std::min(received_, script_.size() - 1)];
  ++received_;
  if (answer.refuse) {
    acceptor_.close();
  }
  if (answer.close) {
    connection->socket.close();
    return;
  }
  const std::string text =
      "HTTP/1.1 " + std::to_string(answer.status) +
      " x\r\nContent-Length: " + std::to_string(answer.body.size()) +
      std::string(kHeadEnd) + answer.body;
  asio::write(connection->socket, asio::buffer(text));
  ReadHead(connection);
}

}  // namespace camphormux::http
