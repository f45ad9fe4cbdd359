#include "camphormux/peer/server.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include "camphormux/peer/connection.hpp"

namespace camphormux::peer {
namespace internal {

/// Estimate of what nghttp2 and the server hold for a stream besides its body.
constexpr std::int64_t kStreamOverhead = 1024;
/// Pause after a failed accept; without a free descriptor each one fails.
constexpr core::Millis kAcceptRetry{100};

/// A request of a peer and its response.
struct Incoming {
  Request request;
  Outgoing response;
  /// Since when the peer owes the rest of the request or has not taken the
  /// response.
  core::MonotonicTime waits_since;
  std::int64_t held = kStreamOverhead;  ///< In bytes.
  bool path_too_long = false;
  bool too_large = false;
  bool refused = false;
  bool handling = false;
  bool answered = false;
};

/// What the connections of a server have in common.
struct Listener {
  Handler handler;
  ServerOptions options;
  std::unordered_set<http::ConnectionUse*> connections;
};

/// One accepted connection.
struct Accepted : std::enable_shared_from_this<Accepted> {
  std::shared_ptr<Connection> connection;
  std::shared_ptr<Listener> listener;
  std::map<std::int32_t, Incoming> streams;
  /// Streams that wait for the peer, longest first.
  std::set<std::pair<core::MonotonicTime, std::int32_t>> waiting;
  http::ConnectionUse use;
  std::int64_t streams_held = 0;  ///< In bytes.
  core::MonotonicTime answered_at;
  std::size_t handling = 0;  ///< Requests without a response.

  void Enter();
  void Leave();
  void Begin(std::int32_t id);
  void SetPath(std::int32_t id, std::string_view path);
  void Append(std::int32_t id, std::string_view data);
  void Refuse(std::int32_t id, Incoming& incoming);
  void Handle(std::int32_t id);
  void Answer(std::int32_t id, Response response);
  void End(std::int32_t id);
  void MeasureStream(Incoming& incoming);
  void Measure();
};

void Accepted::Enter() {
  answered_at = use.moved = core::MonotonicNow();
  use.shut_down = [this] { connection->Fail(); };
  listener->options.budget->connections.insert(&use);
  listener->connections.insert(&use);
}

void Accepted::Leave() {
  listener->connections.erase(&use);
  http::Forget(*listener->options.budget, use);
}

void Accepted::MeasureStream(Incoming& incoming) {
  const std::size_t bytes = incoming.request.path.capacity() +
                            incoming.request.body.capacity() +
                            incoming.response.body.capacity();
  const std::int64_t held = kStreamOverhead + static_cast<std::int64_t>(bytes);
  streams_held += held - incoming.held;
  incoming.held = held;
  Measure();
}

/// Updates what the budget knows of the connection.
void Accepted::Measure() {
  if (connection->closed()) {
    return;
  }
  const auto unsent = static_cast<std::int64_t>(connection->unsent_bytes());
  use.held = streams_held + unsent;
  use.unfinished = !waiting.empty() || unsent > 0;
  use.moved = waiting.empty() ? answered_at : waiting.begin()->first;
  if (unsent > 0) {
    use.moved = waiting.empty()
                    ? connection->write_began()
                    : std::min(use.moved, connection->write_began());
  }
  use.handling = handling > 0 && !use.unfinished;
  http::Count(*listener->options.budget, use);
}

void Accepted::Begin(std::int32_t id) {
  Incoming& incoming = streams.try_emplace(id).first->second;
  incoming.waits_since = core::MonotonicNow();
  waiting.emplace(incoming.waits_since, id);
  streams_held += incoming.held;
  Measure();
  if (!http::MayHold(*listener->options.budget, use, 0, incoming.waits_since)) {
    Refuse(id, incoming);
  }
}

void Accepted::SetPath(std::int32_t id, std::string_view path) {
  const auto found = streams.find(id);
  if (found == streams.end() || found->second.refused) {
    return;
  }
  found->second.path_too_long = path.size() > kMaxPathBytes;
  if (!found->second.path_too_long) {
    found->second.request.path = path;
  }
  MeasureStream(found->second);
}

void Accepted::Append(std::int32_t id, std::string_view data) {
  const auto found = streams.find(id);
  if (connection->closed() || found == streams.end() ||
      found->second.too_large || found->second.refused) {
    return;
  }
  Incoming& incoming = found->second;
  std::string& body = incoming.request.body;
  if (body.size() + data.size() > listener->options.max_body_bytes) {
    incoming.too_large = true;
    body = {};
  } else if (!http::MayHold(*listener->options.budget, use,
                            static_cast<std::int64_t>(data.size()),
                            core::MonotonicNow())) {
    Refuse(id, incoming);
  } else {
    body.append(data);
  }
  MeasureStream(incoming);
}

/// The peer is told that the request has had no effect.
void Accepted::Refuse(std::int32_t id, Incoming& incoming) {
  if (connection->closed()) {
    return;
  }
  incoming.refused = true;
  incoming.request = {};
  listener->options.budget->options.on_refusal(
      http::ConnectionRefusal::kRequestRefused);
  nghttp2_submit_rst_stream(connection->session(), NGHTTP2_FLAG_NONE, id,
                            NGHTTP2_REFUSED_STREAM);
}

void Accepted::Handle(std::int32_t id) {
  const auto found = streams.find(id);
  if (connection->closed() || found == streams.end() || found->second.refused) {
    return;
  }
  Incoming& incoming = found->second;
  waiting.erase({incoming.waits_since, id});
  incoming.handling = true;
  ++handling;
  Measure();
  if (incoming.too_large) {
    Answer(id, {kStatusTooLarge, {}});
    return;
  }
  if (incoming.path_too_long) {
    Answer(id, {kStatusBadRequest, {}});
    return;
  }
  // What the handler holds counts until it answers.
  listener->handler(std::move(incoming.request),
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
  Incoming& incoming = found->second;
  incoming.answered = true;
  incoming.handling = false;
  --handling;
  incoming.request = {};
  incoming.response.body = std::move(response.body);
  incoming.waits_since = core::MonotonicNow();
  waiting.emplace(incoming.waits_since, id);
  use.served = use.served || response.status == kStatusOk;
  MeasureStream(incoming);
  const std::string status = std::to_string(response.status);
  const std::array<nghttp2_nv, 1> headers{HeaderField(":status", status)};
  const nghttp2_data_provider body = BodySource(incoming.response);
  nghttp2_submit_response(connection->session(), id, headers.data(),
                          headers.size(), &body);
  connection->Flush();
}

void Accepted::End(std::int32_t id) {
  const auto found = streams.find(id);
  if (found == streams.end()) {
    return;
  }
  const Incoming& incoming = found->second;
  if (incoming.handling) {
    --handling;
  }
  if (incoming.answered) {
    answered_at = core::MonotonicNow();
  }
  waiting.erase({incoming.waits_since, id});
  streams_held -= incoming.held;
  streams.erase(found);
  Measure();
}

int OnBeginHeaders(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                   void* user) {
  if (frame->hd.type == NGHTTP2_HEADERS &&
      frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
    static_cast<Accepted*>(user)->Begin(frame->hd.stream_id);
  }
  return 0;
}

int OnHeader(nghttp2_session* /*session*/, const nghttp2_frame* frame,
             const std::uint8_t* name, std::size_t name_size,
             const std::uint8_t* value, std::size_t value_size,
             std::uint8_t /*flags*/, void* user) {
  const std::string_view header(reinterpret_cast<const char*>(name), name_size);
  if (header == ":path") {
    static_cast<Accepted*>(user)->SetPath(
        frame->hd.stream_id,
        {reinterpret_cast<const char*>(value), value_size});
  }
  return 0;
}

int OnData(nghttp2_session* /*session*/, std::uint8_t /*flags*/,
           std::int32_t id, const std::uint8_t* data, std::size_t size,
           void* user) {
  static_cast<Accepted*>(user)->Append(
      id, {reinterpret_cast<const char*>(data), size});
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
  static_cast<Accepted*>(user)->End(id);
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
  nghttp2_option* raw_option = nullptr;
  nghttp2_option_new(&raw_option);
  const Option option(raw_option);
  // Kept for priorities, which are not used, and held outside the budget.
  nghttp2_option_set_no_closed_streams(option.get(), 1);
  nghttp2_session* session = nullptr;
  nghttp2_session_server_new2(&session, callbacks.get(), &accepted,
                              option.get());
  return Session(session);
}

}  // namespace internal

struct Server::Impl : std::enable_shared_from_this<Server::Impl> {
  Impl(asio::io_context& loop, const core::Address& address)
      : acceptor(loop, {asio::ip::make_address(address.ip), address.port}),
        accept_timer(loop),
        listener(std::make_shared<internal::Listener>()) {}

  void Accept();
  void AcceptLater();
  void Add(asio::ip::tcp::socket socket);

  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  std::shared_ptr<internal::Listener> listener;
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
        self->Add(std::move(socket));
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
  added->listener = listener;
  accepted.emplace(added.get(), added);
  added->Enter();
  // The callbacks of nghttp2 use `added`, which is released by the loop.
  added->connection->Start(internal::MakeServerSession(*added),
                           {[weak = weak_from_this(), raw = added.get()] {
                              raw->Leave();
                              if (const auto self = weak.lock()) {
                                asio::post(
                                    self->acceptor.get_executor(),
                                    [self, raw] { self->accepted.erase(raw); });
                              }
                            },
                            [raw = added.get()] { raw->Measure(); }},
                           internal::ReadPolicy::kWhenWritten);
  http::ConnectionBudget& budget = *listener->options.budget;
  const std::size_t most = listener->options.max_connections;
  if (listener->connections.size() > most) {
    http::MakeRoom(budget, listener->connections, added->use);
  }
  if (listener->connections.size() > most) {
    budget.options.on_refusal(http::ConnectionRefusal::kTooManyConnections);
    added->connection->Fail();
  }
}

Server::Server(asio::io_context& loop, const core::Address& address,
               Handler handler, const ServerOptions& options)
    : impl_(std::make_shared<Impl>(loop, address)) {
  impl_->listener->handler = std::move(handler);
  impl_->listener->options = options;
  if (!options.budget) {
    impl_->listener->options.budget =
        std::make_shared<http::ConnectionBudget>();
  }
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
    if (!accepted->connection->closed()) {
      accepted->connection->Close();
      accepted->Leave();
    }
  }
  // Requests in handling may be on the stack, so the connections are released
  // by the loop.
  asio::post(impl_->acceptor.get_executor(),
             [impl = impl_] { impl->accepted.clear(); });
}

}  // namespace camphormux::peer
