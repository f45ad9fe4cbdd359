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

#include "camphormux/core/time.hpp"

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

struct OptionDeleter {
  void operator()(nghttp2_option* option) const { nghttp2_option_del(option); }
};
using Option = std::unique_ptr<nghttp2_option, OptionDeleter>;

/// When a connection reads.
enum class ReadPolicy {
  kAlways,
  /// Not while the peer leaves output unread, which would grow with each read.
  /// Only for servers: two ends that both wait for the other would stall.
  kWhenWritten
};

/// @brief What a connection tells its owner.
struct ConnectionEvents {
  /// Called once when the connection ended by itself or by `Fail`.
  std::function<void()> on_close;
  /// Called after input was handled and after output has moved; may be empty.
  /// Must not close the connection.
  std::function<void()> on_activity;
};

/// @brief Moves bytes between a socket and an nghttp2 session. The session is
/// destroyed with the connection, so callbacks of nghttp2 may close it.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(asio::ip::tcp::socket socket);

  /// @brief Sends the settings frame and begins to read.
  /// @param session The session.
  /// @param events Callbacks.
  /// @param read_policy When it reads.
  void Start(Session session, ConnectionEvents events,
             ReadPolicy read_policy = ReadPolicy::kAlways);

  /// @brief Schedules a write of what the session has to send. May be called
  /// within callbacks of nghttp2.
  void Flush();

  /// @brief Closes the socket. No more events are called.
  void Close();

  /// @brief Closes the socket and calls `on_close`.
  void Fail();

  [[nodiscard]] nghttp2_session* session() { return session_.get(); }
  [[nodiscard]] bool closed() const { return closed_; }
  [[nodiscard]] std::uint64_t received_bytes() const { return received_; }
  /// @return Size of the write that is under way.
  [[nodiscard]] std::size_t unsent_bytes() const { return output_.size(); }
  /// @return When the last write began.
  [[nodiscard]] core::MonotonicTime write_began() const { return write_began_; }

 private:
  void Read();
  void ReadIfAllowed();
  void Write();
  void NotifyActivity();

  static constexpr std::size_t kReadBytes = std::size_t{16} << 10;

  asio::ip::tcp::socket socket_;
  Session session_;
  ConnectionEvents events_;
  ReadPolicy read_policy_ = ReadPolicy::kAlways;
  std::array<std::uint8_t, kReadBytes> input_{};
  std::string output_;
  std::uint64_t received_ = 0;
  core::MonotonicTime write_began_;
  bool reading_ = false;
  bool flush_scheduled_ = false;
  bool writing_ = false;
  bool closed_ = false;
};

}  // namespace camphormux::peer::internal

#endif  // CAMPHORMUX_PEER_CONNECTION_HPP_
