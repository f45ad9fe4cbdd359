#ifndef CAMPHORMUX_TEST_ENDPOINT_STANDIN_CONNECTION_HPP_
#define CAMPHORMUX_TEST_ENDPOINT_STANDIN_CONNECTION_HPP_

#include <array>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <http_parser.h>

#include "camphormux/http/message.hpp"
#include "test/endpoint_standin/server.hpp"

namespace camphormux::endpoint_standin {

/// @brief One accepted connection. Handles its requests sequentially. It parses
/// and writes HTTP itself, so that it can inject faults that an HTTP server
/// library does not allow, such as truncated or surplus responses.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HostServer& server, asio::ip::tcp::socket socket);

  /// @brief Reads the first request.
  void Start();
  /// @brief Closes the connection; the journal records a run in progress with
  /// outcome "cut".
  void Close();

 private:
  enum class Phase { kReading, kRunning, kResponding, kClosed };

  struct Message {
    std::string method;
    std::string target;
    http::Headers headers;
    std::string body;
    bool keep_alive = true;
    bool in_value = false;  ///< The last header callback was for a value.
    bool complete = false;
  };

  static http_parser_settings Callbacks();
  void Read();
  void Parse();
  void Handle();
  void Refuse(Refusal refusal);
  void StartRun();
  void FinishRun();
  void Send(std::string bytes, bool then_close);
  void SendResponse();
  void RunAfter(std::chrono::microseconds delay, void (Connection::*next)());
  void EndExchange();
  [[nodiscard]] const std::string& HeaderOrEmpty(std::string_view name) const;
  [[nodiscard]] std::string ResponseBody() const;
  [[nodiscard]] std::string ResponseHead(int status, std::size_t length,
                                         const std::string& extra) const;

  HostServer& server_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  http_parser parser_{};
  Message message_;
  Phase phase_ = Phase::kReading;
  Run run_;
  FaultMode fault_ = FaultMode::kNone;
  core::Millis fault_delay_{0};
  std::array<char, 16384> chunk_{};
  std::string unread_;  ///< Received but not parsed yet.
  std::string outgoing_;
  std::string response_body_;
};

}  // namespace camphormux::endpoint_standin

#endif  // CAMPHORMUX_TEST_ENDPOINT_STANDIN_CONNECTION_HPP_
