#include "camphormux/peer/server.hpp"

#include <array>
#include <map>
#include <string>
#include <utility>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include "camphormux/core/time.hpp"
#include "camphormux/peer/connection.hpp"

namespace camphormux::peer {
namespace internal {

/// Pause after a failed accept; without a free descriptor each one fails.
constexpr core::Millis kAcceptRetry{100};

/// A request of a peer and its response.
struct Incoming {
  Request request;
  Outgoing response;
  bool path_too_long = false;
  bool too_large = false;
  bool answered = false;
};

/// One accepted connection.
struct Accepted : std::enable_shared_from_this<Accepted> {
  std::shared_ptr<Connection> connection;
  std::shared_ptr<const Handler> handler;
  std::size_t max_body_bytes = 0;
  std::map<std::int32_t, Incoming> streams;

  void Handle(std::int32_t id);
  void Answer(std::int32_t id, Response response);
};

void Accepted::Handle(std::int32_t id) {
  const auto found = streams.find(id);
  if (connection->closed() || found == streams.end()) {
    return;
  }
  Incoming& incoming = found->second;
  if (incoming.too_large) {
    Answer(id, {kStatusTooLarge, {}});
    return;
  }
  if (incoming.path_too_long) {
    Answer(id, {kStatusBadRequest, {}});
    return;
  }
  (*handler)(std::move(incoming.request),
             [weak = weak_from_this(), id](Response response) {
               if (const auto accepted = weak.lock()) {
                 accepted->Answer(id, std::move(response));
               }
             });
}

void Accepted::Answer(std::int32_t id, Response response) {
  const auto found = streams.find(id);
  if (connection->closed() || found == streams.end() ||
      found->second.answered) {
    return;
  }
  found->second.answered = true;
  found->second.response.body = std::move(response.body);
  const std::string status = std::to_string(response.status);
  const std::array<nghttp2_nv, 1> headers{HeaderField(":status", status)};
  const nghttp2_data_provider body = BodySource(found->second.response);
  nghttp2_submit_response(connection->session(), id, headers.data(),
                          headers.size(), &body);
  connection->Flush();
}

int OnBeginHeaders(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                   void* user) {
  if (frame->hd.type == NGHTTP2_HEADERS &&
      frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
    static_cast<Accepted*>(user)->streams.try_emplace(frame->hd.stream_id);
  }
  return 0;
}

int OnHeader(nghttp2_session* /*session*/, const nghttp2_frame* frame,
             const std::uint8_t* name, std::size_t name_size,
             const std::uint8_t* value, std::size_t value_size,
             std::uint8_t /*flags*/, void* user) {
  auto& streams = static_cast<Accepted*>(user)->streams;
  const auto found = streams.find(frame->hd.stream_id);
  const std::string_view header(reinterpret_cast<const char*>(name), name_size);
  if (found == streams.end() || header != ":path") {
    return 0;
  }
  found->second.path_too_long = value_size > kMaxPathBytes;
  if (!found->second.path_too_long) {
    found->second.request.path.assign(reinterpret_cast<const char*>(value),
                                      value_size);
  }
  return 0;
}

int OnData(nghttp2_session* /*session*/, std::uint8_t /*flags*/,
           std::int32_t id, const std::uint8_t* data, std::size_t size,
           void* user) {
  auto& accepted = *static_cast<Accepted*>(user);
  const auto found = accepted.streams.find(id);
  if (found == accepted.streams.end() || found->second.too_large) {
    return 0;
  }
  Incoming& incoming = found->second;
  if (incoming.request.body.size() + size > accepted.max_body_bytes) {
    incoming.too_large = true;
    incoming.request.body = {};
    return 0;
  }
  incoming.request.body.append(reinterpret_cast<const char*>(data), size);
  return 0;
}

int OnFrame(nghttp2_session* /*session*/, const nghttp2_frame* frame,
            void* user) {
  const bool carries_request =
      frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
  if (carries_request && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
    static_cast<Accepted*>(user)->Handle(frame->hd.stream_id);
  }
  return 0;
}

int OnStreamClose(nghttp2_session* /*session*/, std::int32_t id,
                  std::uint32_t /*code*/, void* user) {
  static_cast<Accepted*>(user)->streams.erase(id);
  return 0;
}

Session MakeServerSession(Accepted& accepted) {
  const Callbacks callbacks = MakeCallbacks();
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks.get(),
                                                          &OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks.get(), &OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks.get(),
                                                            &OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks.get(),
                                                       &OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks.get(),
                                                         &OnStreamClose);
  nghttp2_session* session = nullptr;
  nghttp2_session_server_new(&session, callbacks.get(), &accepted);
  return Session(session);
}

}  // namespace internal

struct Server::Impl : std::enable_shared_from_this<Server::Impl> {
  Impl(asio::io_context& loop, const core::Address& address)
      : acceptor(loop, {asio::ip::make_address(address.ip), address.port}),
        accept_timer(loop) {}

  void Accept();
  void AcceptLater();
  void Add(asio::ip::tcp::socket socket);

  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  std::shared_ptr<const Handler> handler;
  ServerOptions options;
  std::map<internal::Accepted*, std::shared_ptr<internal::Accepted>> accepted;
};

void Server::Impl::Accept() {
  acceptor.async_accept(
      [self = shared_from_this()](const asio::error_code& error,
                                  asio::ip::tcp::socket socket) {
        if (!self->acceptor.is_open()) {
          return;
        }
        if (error) {
          self->AcceptLater();
          return;
        }
        if (self->accepted.size() < self->options.max_connections) {
          self->Add(std::move(socket));
        }
        self->Accept();
      });
}

void Server::Impl::AcceptLater() {
  accept_timer.expires_after(internal::kAcceptRetry);
  accept_timer.async_wait(
      [self = shared_from_this()](const asio::error_code& cancelled) {
        if (!cancelled && self->acceptor.is_open()) {
          self->Accept();
        }
      });
}

void Server::Impl::Add(asio::ip::tcp::socket socket) {
  auto added = std::make_shared<internal::Accepted>();
  added->connection = std::make_shared<internal::Connection>(std::move(socket));
  added->handler = handler;
  added->max_body_bytes = options.max_body_bytes;
  accepted.emplace(added.get(), added);
  // The callbacks of nghttp2 use `added`, so the connection keeps it.
  added->connection->Start(internal::MakeServerSession(*added),
                           [weak = weak_from_this(), raw = added.get()] {
                             if (const auto self = weak.lock()) {
                               asio::post(
                                   self->acceptor.get_executor(),
                                   [self, raw] { self->accepted.erase(raw); });
                             }
                           });
}

Server::Server(asio::io_context& loop, const core::Address& address,
               Handler handler, const ServerOptions& options)
    : impl_(std::make_shared<Impl>(loop, address)) {
  impl_->handler = std::make_shared<const Handler>(std::move(handler));
  impl_->options = options;
  impl_->Accept();
}

Server::~Server() { Close(); }

std::uint16_t Server::port() const {
  asio::error_code ignored;
  return impl_->acceptor.local_endpoint(ignored).port();
}

void Server::Close() {
  asio::error_code ignored;
  impl_->acceptor.close(ignored);
  impl_->accept_timer.cancel();
  for (const auto& [raw, accepted] : impl_->accepted) {
    accepted->connection->Close();
  }
  // Requests in handling may be on the stack, so the connections are released
  // by the loop.
  asio::post(impl_->acceptor.get_executor(),
             [impl = impl_] { impl->accepted.clear(); });
}

}  // namespace camphormux::peer
