#include "camphormux/peer/client.hpp"

#include <array>
#include <charconv>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include "camphormux/peer/connection.hpp"

namespace camphormux::peer {
namespace internal {

/// One request from `Send` to its result.
struct Exchange {
  explicit Exchange(asio::io_context& loop) : timer(loop) {}

  std::string path;
  Outgoing body;
  std::function<void(Result)> done;  ///< Empty when the exchange has ended.
  asio::steady_timer timer;
  Response response{0, {}};  ///< Status 0 until one has arrived.
  std::int32_t stream = 0;   ///< 0 until it is handed to the session.
  bool sent = false;         ///< The header frame was given to the socket.
  std::uint64_t received_before = 0;

  void Finish(Result result) {
    timer.cancel();
    if (const auto callback = std::exchange(done, nullptr)) {
      callback(std::move(result));
    }
  }
};

using ExchangePtr = std::shared_ptr<Exchange>;

void BindSource(asio::ip::tcp::socket& socket, const std::string& source_ip,
                asio::error_code& error) {
  const auto source = asio::ip::make_address(source_ip, error);
  if (error) {
    return;
  }
  const asio::ip::tcp::endpoint any_port(source, 0);
  socket.open(any_port.protocol(), error);
  if (!error) {
    socket.bind(any_port, error);
  }
}

}  // namespace internal

using internal::ExchangePtr;

struct Client::Impl : std::enable_shared_from_this<Client::Impl> {
  Impl(asio::io_context& event_loop, core::Address peer,
       const ClientOptions& limits)
      : loop(event_loop),
        address(std::move(peer)),
        options(limits),
        random(core::SeededRandom(
            limits.jitter_seed.value_or(std::random_device{}()))),
        connect_timer(event_loop),
        probe_timer(event_loop) {}

  void Begin(const ExchangePtr& exchange);
  void Connect();
  void OnConnected(const asio::error_code& error);
  void OnConnectFailed();
  void Submit(const ExchangePtr& exchange);
  void OnTimeout(const ExchangePtr& exchange);
  void Probe();
  void OnCut();
  void Close();
  void FailWaiting(Error error);
  [[nodiscard]] internal::Session MakeSession();
  [[nodiscard]] ExchangePtr Find(std::int32_t stream) const;

  asio::io_context& loop;
  core::Address address;
  ClientOptions options;
  core::Random random;
  asio::steady_timer connect_timer;
  asio::steady_timer probe_timer;
  std::shared_ptr<asio::ip::tcp::socket> connecting;
  std::shared_ptr<internal::Connection> connection;
  std::vector<ExchangePtr> waiting;
  std::map<std::int32_t, ExchangePtr> streams;
  std::uint32_t failures = 0;
  core::MonotonicTime not_before;
  bool probing = false;
  bool closed = false;
};

void Client::Impl::Begin(const ExchangePtr& exchange) {
  if (exchange->body.body.size() > options.max_body_bytes ||
      exchange->path.size() > kMaxPathBytes) {
    exchange->Finish(Failure{Error::kTooLarge, false});
    return;
  }
  if (waiting.size() + streams.size() >= options.max_requests) {
    exchange->Finish(Failure{Error::kOverloaded, false});
    return;
  }
  if (connection) {
    Submit(exchange);
    return;
  }
  if (!connecting && core::MonotonicNow() < not_before) {
    exchange->Finish(Failure{Error::kConnect, false});
    return;
  }
  waiting.push_back(exchange);
  if (!connecting) {
    Connect();
  }
}

void Client::Impl::Connect() {
  asio::error_code error;
  const auto ip = asio::ip::make_address(address.ip, error);
  connecting = std::make_shared<asio::ip::tcp::socket>(loop);
  if (!error && !options.source_ip.empty()) {
    internal::BindSource(*connecting, options.source_ip, error);
  }
  if (error) {
    OnConnectFailed();
    return;
  }
  connect_timer.expires_after(options.connect_timeout);
  connect_timer.async_wait([self = shared_from_this(), socket = connecting](
                               const asio::error_code& cancelled) {
    if (!cancelled) {
      asio::error_code ignored;
      socket->close(ignored);
    }
  });
  connecting->async_connect({ip, address.port},
                            [self = shared_from_this(), socket = connecting](
                                const asio::error_code& result) {
                              if (!self->closed && self->connecting == socket) {
                                self->OnConnected(result);
                              }
                            });
}

void Client::Impl::OnConnected(const asio::error_code& error) {
  connect_timer.cancel();
  if (error) {
    OnConnectFailed();
    return;
  }
  failures = 0;
  connection = std::make_shared<internal::Connection>(std::move(*connecting));
  connecting.reset();
  connection->Start(MakeSession(), {[weak = weak_from_this()] {
                                      if (const auto self = weak.lock()) {
                                        self->OnCut();
                                      }
                                    },
                                    {}});
  for (const ExchangePtr& exchange : std::exchange(waiting, {})) {
    if (exchange->done) {
      Submit(exchange);
    }
  }
}

void Client::Impl::OnConnectFailed() {
  connecting.reset();
  ++failures;
  not_before =
      core::MonotonicNow() + BackoffDelay(options.backoff, failures, random);
  FailWaiting(Error::kConnect);
}

void Client::Impl::FailWaiting(Error error) {
  for (const ExchangePtr& exchange : std::exchange(waiting, {})) {
    exchange->Finish(Failure{error, false});
  }
}

void Client::Impl::Submit(const ExchangePtr& exchange) {
  const std::array<nghttp2_nv, 4> headers{
      internal::HeaderField(":method", "POST"),
      internal::HeaderField(":scheme", "http"),
      internal::HeaderField(":authority", address.ip),
      internal::HeaderField(":path", exchange->path)};
  const nghttp2_data_provider body = internal::BodySource(exchange->body);
  const std::int32_t stream =
      nghttp2_submit_request(connection->session(), nullptr, headers.data(),
                             headers.size(), &body, nullptr);
  if (stream < 0) {
    // Stream ids are used up or the peer is going away; a new connection is
    // needed.
    exchange->Finish(Failure{Error::kCut, false});
    connection->Close();
    OnCut();
    return;
  }
  exchange->stream = stream;
  exchange->received_before = connection->received_bytes();
  streams.emplace(stream, exchange);
  connection->Flush();
}

void Client::Impl::OnTimeout(const ExchangePtr& exchange) {
  if (!exchange->done) {
    return;
  }
  std::erase(waiting, exchange);
  if (exchange->stream != 0 && connection) {
    nghttp2_submit_rst_stream(connection->session(), NGHTTP2_FLAG_NONE,
                              exchange->stream, NGHTTP2_CANCEL);
    connection->Flush();
    if (exchange->received_before == connection->received_bytes()) {
      Probe();
    }
  }
  exchange->Finish(Failure{Error::kTimeout, exchange->sent});
}

void Client::Impl::Probe() {
  if (probing) {
    return;
  }
  probing = true;
  nghttp2_submit_ping(connection->session(), NGHTTP2_FLAG_NONE, nullptr);
  connection->Flush();
  probe_timer.expires_after(options.probe_timeout);
  probe_timer.async_wait([self = shared_from_this(), probed = connection,
                          before = connection->received_bytes()](
                             const asio::error_code& cancelled) {
    self->probing = false;
    if (cancelled || self->connection != probed ||
        probed->received_bytes() != before) {
      return;
    }
    probed->Close();
    self->OnCut();
  });
}

void Client::Impl::OnCut() {
  connection.reset();
  ++failures;
  not_before =
      core::MonotonicNow() + BackoffDelay(options.backoff, failures, random);
  for (const auto& [stream, exchange] : std::exchange(streams, {})) {
    exchange->Finish(Failure{Error::kCut, exchange->sent});
  }
}

void Client::Impl::Close() {
  closed = true;
  connect_timer.cancel();
  probe_timer.cancel();
  for (const ExchangePtr& exchange : waiting) {
    exchange->done = nullptr;
    exchange->timer.cancel();
  }
  for (const auto& [stream, exchange] : streams) {
    exchange->done = nullptr;
    exchange->timer.cancel();
  }
  if (connecting) {
    asio::error_code ignored;
    connecting->close(ignored);
  }
  if (connection) {
    connection->Close();
  }
}

ExchangePtr Client::Impl::Find(std::int32_t stream) const {
  const auto found = streams.find(stream);
  return found == streams.end() ? nullptr : found->second;
}

namespace internal {

/// Callbacks of nghttp2; `user` is the client's implementation.
template <typename Impl>
struct ClientCallbacks {
  static int OnFrameSent(nghttp2_session* /*session*/,
                         const nghttp2_frame* frame, void* user) {
    if (frame->hd.type == NGHTTP2_HEADERS) {
      if (const auto exchange =
              static_cast<Impl*>(user)->Find(frame->hd.stream_id)) {
        exchange->sent = true;
      }
    }
    return 0;
  }

  static int OnFrameNotSent(nghttp2_session* /*session*/,
                            const nghttp2_frame* frame, int /*code*/,
                            void* user) {
    if (frame->hd.type == NGHTTP2_HEADERS) {
      End(user, frame->hd.stream_id, Failure{Error::kCut, false});
    }
    return 0;
  }

  static int OnHeader(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_size,
                      const std::uint8_t* value, std::size_t value_size,
                      std::uint8_t /*flags*/, void* user) {
    const std::string_view header(reinterpret_cast<const char*>(name),
                                  name_size);
    const auto exchange = static_cast<Impl*>(user)->Find(frame->hd.stream_id);
    if (exchange && header == ":status") {
      const char* begin = reinterpret_cast<const char*>(value);
      std::from_chars(begin, begin + value_size, exchange->response.status);
    }
    return 0;
  }

  static int OnData(nghttp2_session* session, std::uint8_t /*flags*/,
                    std::int32_t id, const std::uint8_t* data, std::size_t size,
                    void* user) {
    auto& impl = *static_cast<Impl*>(user);
    const auto exchange = impl.Find(id);
    if (!exchange || !exchange->done) {
      return 0;
    }
    std::string& body = exchange->response.body;
    if (body.size() + size > impl.options.max_body_bytes) {
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
      exchange->Finish(Failure{Error::kTooLarge, true});
      return 0;
    }
    body.append(reinterpret_cast<const char*>(data), size);
    return 0;
  }

  static int OnStreamClose(nghttp2_session* /*session*/, std::int32_t id,
                           std::uint32_t code, void* user) {
    const auto exchange = static_cast<Impl*>(user)->Find(id);
    if (!exchange) {
      return 0;
    }
    if (code == NGHTTP2_REFUSED_STREAM) {
      End(user, id, Failure{Error::kRefused, false});
    } else if (code != NGHTTP2_NO_ERROR || exchange->response.status == 0) {
      End(user, id, Failure{Error::kCut, exchange->sent});
    } else if (exchange->response.status == kStatusTooLarge) {
      End(user, id, Failure{Error::kTooLarge, false});
    } else {
      End(user, id, std::move(exchange->response));
    }
    return 0;
  }

  static void End(void* user, std::int32_t id, Result result) {
    auto& impl = *static_cast<Impl*>(user);
    const auto exchange = impl.Find(id);
    if (exchange) {
      impl.streams.erase(id);
      exchange->Finish(std::move(result));
    }
  }
};

}  // namespace internal

internal::Session Client::Impl::MakeSession() {
  using Calls = internal::ClientCallbacks<Impl>;
  const internal::Callbacks callbacks = internal::MakeCallbacks();
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks.get(),
                                                       &Calls::OnFrameSent);
  nghttp2_session_callbacks_set_on_frame_not_send_callback(
      callbacks.get(), &Calls::OnFrameNotSent);
  nghttp2_session_callbacks_set_on_header_callback(callbacks.get(),
                                                   &Calls::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks.get(),
                                                            &Calls::OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks.get(),
                                                         &Calls::OnStreamClose);
  nghttp2_session* session = nullptr;
  nghttp2_session_client_new(&session, callbacks.get(), this);
  return internal::Session(session);
}

Client::Client(asio::io_context& loop, core::Address address,
               const ClientOptions& options)
    : impl_(std::make_shared<Impl>(loop, std::move(address), options)) {}

Client::~Client() {
  impl_->Close();
  // The client may be destroyed within a callback of the session, which still
  // uses the implementation until the callback returns.
  asio::post(impl_->loop, [impl = impl_] {});
}

void Client::Send(Request request, core::Millis timeout,
                  std::function<void(Result)> done) {
  auto exchange = std::make_shared<internal::Exchange>(impl_->loop);
  exchange->path = std::move(request.path);
  exchange->body.body = std::move(request.body);
  exchange->done = std::move(done);
  exchange->timer.expires_after(timeout);
  exchange->timer.async_wait(
      [impl = impl_, exchange](const asio::error_code& cancelled) {
        if (!cancelled && !impl->closed) {
          impl->OnTimeout(exchange);
        }
      });
  asio::post(impl_->loop, [impl = impl_, exchange] {
    if (impl->closed) {
      exchange->timer.cancel();
    } else if (exchange->done) {
      impl->Begin(exchange);
    }
  });
}

}  // namespace camphormux::peer
