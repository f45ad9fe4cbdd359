#ifndef CAMPHORMUX_PEER_CONNECTION_HPP_
#define CAMPHORMUX_PEER_CONNECTION_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>
#include <nghttp2/nghttp2.h>

namespace camphormux::peer::internal {

/// @brief A body that nghttp2 reads piece by piece.
struct Outgoing {
  std::string body;
  std::size_t offset = 0;
};

/// @brief Makes nghttp2 read a body.
/// @param outgoing The body; must live until the stream is closed.
/// @return The data source.
[[nodiscard]] nghttp2_data_provider BodySource(Outgoing& outgoing);

/// @brief Makes a header field that nghttp2 copies.
/// @param name Name in lower case.
/// @param value The value.
/// @return The field.
[[nodiscard]] nghttp2_nv HeaderField(std::string_view name,
                                     std::string_view value);

struct CallbacksDeleter {
  void operator()(nghttp2_session_callbacks* callbacks) const {
    nghttp2_session_callbacks_del(callbacks);
  }
};
using Callbacks = std::unique_ptr<nghttp2_session_callbacks, CallbacksDeleter>;

/// @brief Makes an empty set of callbacks.
[[nodiscard]] Callbacks MakeCallbacks();

struct SessionDeleter {
  void operator()(nghttp2_session* session) const {
    nghttp2_session_del(session);
  }
};
using Session = std::unique_ptr<nghttp2_session, SessionDeleter>;

/// @brief Moves bytes between a socket and an nghttp2 session. The session is
/// destroyed with the connection, so callbacks of nghttp2 may close it.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(asio::ip::tcp::socket socket);

  /// @brief Sends the settings frame and begins to read.
  /// @param session The session.
  /// @param on_close Called once when the connection ended by itself.
  void Start(Session session, std::function<void()> on_close);

  /// @brief Schedules a write of what the session has to send. May be called
  /// within callbacks of nghttp2.
  void Flush();

  /// @brief Closes the socket. `on_close` is not called.
  void Close();

  [[nodiscard]] nghttp2_session* session() { return session_.get(); }
  [[nodiscard]] bool closed() const { return closed_; }
  [[nodiscard]] std::uint64_t received_bytes() const { return received_; }

 private:
  void Read();
  void Write();
  void Fail();

  static constexpr std::size_t kReadBytes = std::size_t{16} << 10;

  asio::ip::tcp::socket socket_;
  Session session_;
  std::function<void()> on_close_;
  std::array<std::uint8_t, kReadBytes> input_{};
  std::string output_;
  std::uint64_t received_ = 0;
  bool flush_scheduled_ = false;
  bool writing_ = false;
  bool closed_ = false;
};

}  // namespace camphormux::peer::internal

#endif  // CAMPHORMUX_PEER_CONNECTION_HPP_
