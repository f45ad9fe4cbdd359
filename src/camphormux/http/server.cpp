#include "camphormux/http/server.hpp"

#include <algorithm>
#include <climits>
#include <cstdint>
#include <unordered_set>
#include <utility>

#include <asio/bind_executor.hpp>
#include <asio/steady_timer.hpp>
#include <http_parser.h>
#include <restinio/all.hpp>

#include "camphormux/http/reason_phrase.hpp"
#include "camphormux/http/retrying_acceptor.hpp"

namespace camphormux::http {
namespace internal {

/// Estimate of what RESTinio and the allocator hold for each header field
/// besides its text.
constexpr std::int64_t kFieldOverhead = 128;
/// Colon and end of line of a field.
constexpr std::size_t kFieldSeparators = 3;
/// "GET ", " HTTP/1.1", the end of that line and of the head.
constexpr std::size_t kRequestLineSeparators = 17;
/// How often a paused connection asks again whether it is read.
constexpr core::Millis kPausedRetry{200};
/// Largest part of an announced body that is allocated before it arrives.
constexpr std::uint64_t kMaxReserved = 16 << 10;

/// What the connections of a server have in common.
struct Listener {
  ServerOptions options;
  std::shared_ptr<ConnectionBudget> budget;
  std::unordered_set<ConnectionUse*> connections;
};

/// A connection, from its first read to its end.
struct Connection : std::enable_shared_from_this<Connection> {
  explicit Connection(std::shared_ptr<Listener> to) : listener(std::move(to)) {
    use.moved = core::MonotonicNow();
    listener->budget->connections.insert(&use);
    listener->connections.insert(&use);
  }
  ~Connection() { Leave(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Leave() {
    listener->connections.erase(&use);
    Forget(*listener->budget, use);
    left = true;
  }
  void Refuse(ConnectionRefusal reason) {
    refused = true;
    listener->budget->options.on_refusal(reason);
  }

  std::shared_ptr<Listener> listener;
  ConnectionUse use;
  std::int64_t head_held = 0;  ///< In bytes.
  std::size_t head_read = 0;   ///< In bytes, without optional spaces.
  std::uint64_t body_read = 0;
  RequestLimits limits;
  bool body_too_large = false;
  bool refused = false;  ///< The refusal of this message has been counted.
  bool parsing = false;  ///< Within the completion of a read.
  bool left = false;
};

/// The listener whose new connection RESTinio is starting.
thread_local std::shared_ptr<Listener> starting;
/// The connection whose input RESTinio is parsing.
thread_local Connection* current = nullptr;

/// Remembers the listener until the first read of the new connection, which
/// follows at once.
struct StartListener {
  std::shared_ptr<Listener> listener;
  void state_changed(
      const restinio::connection_state::notice_t& notice) const noexcept {
    if (restinio::holds_alternative<restinio::connection_state::accepted_t>(
            notice.cause())) {
      starting = listener;
    }
  }
};

/// Socket of one connection that asks the budget before each read.
class BudgetedSocket : public asio::ip::tcp::socket {
 public:
  using Base = asio::ip::tcp::socket;
  explicit BudgetedSocket(asio::io_context& loop) : Base(loop) {}
  BudgetedSocket(BudgetedSocket&&) = default;
  BudgetedSocket& operator=(BudgetedSocket&&) = default;
  BudgetedSocket(const BudgetedSocket&) = delete;
  BudgetedSocket& operator=(const BudgetedSocket&) = delete;
  ~BudgetedSocket() {
    if (connection_) {
      connection_->Leave();
    }
  }

  template <typename Buffers, typename ReadHandler>
  void async_read_some(const Buffers& buffers, ReadHandler&& handler) {
    if (starting) {
      Register();
    }
    Read(buffers, std::forward<ReadHandler>(handler));
  }

  template <typename Buffers, typename WriteHandler>
  void async_write_some(const Buffers& buffers, WriteHandler&& handler) {
    // The next request is parsed when the response has been written.
    Base::async_write_some(
        buffers, Wrap(std::forward<WriteHandler>(handler), /*is_read=*/false));
  }

  void close() {
    if (connection_) {
      if (connection_->parsing && !connection_->refused &&
          !connection_->use.closing && connection_->use.unfinished) {
        connection_->Refuse(ConnectionRefusal::kMalformed);
      }
      connection_->Leave();
    }
    Base::close();
  }

 private:
  void Register() {
    connection_ =
        std::make_shared<Connection>(std::exchange(starting, nullptr));
    connection_->use.shut_down = [this] {
      asio::error_code ignored;
      shutdown(shutdown_both, ignored);
    };
    Listener& listener = *connection_->listener;
    if (listener.connections.size() > listener.options.max_connections) {
      MakeRoom(*listener.budget, listener.connections, connection_->use);
    }
  }

  template <typename Buffers, typename ReadHandler>
  void Read(const Buffers& buffers, ReadHandler&& handler) {
    if (connection_ && !connection_->left) {
      ConnectionBudget& budget = *connection_->listener->budget;
      Count(budget, connection_->use);
      if (!MayRead(budget, connection_->use, core::MonotonicNow())) {
        ReadLater(buffers, std::forward<ReadHandler>(handler));
        return;
      }
    }
    Base::async_read_some(buffers, Wrap(std::forward<ReadHandler>(handler),
                                        /*is_read=*/true));
  }

  template <typename Buffers, typename ReadHandler>
  void ReadLater(const Buffers& buffers, ReadHandler&& handler) {
    const auto executor =
        asio::get_associated_executor(handler, get_executor());
    auto timer =
        std::make_shared<asio::steady_timer>(get_executor(), kPausedRetry);
    auto& waiting = *timer;
    // The handler keeps the connection that owns this socket.
    waiting.async_wait(asio::bind_executor(
        executor,
        [this, buffers, timer = std::move(timer),
         handler = std::decay_t<ReadHandler>(std::forward<ReadHandler>(
             handler))](const asio::error_code& /*error*/) mutable {
          Read(buffers, std::move(handler));
        }));
  }

  template <typename IoHandler>
  auto Wrap(IoHandler&& handler, bool is_read) {
    const auto executor =
        asio::get_associated_executor(handler, get_executor());
    return asio::bind_executor(
        executor,
        [connection = connection_, is_read,
         handler = std::decay_t<IoHandler>(std::forward<IoHandler>(handler))](
            const asio::error_code& error, std::size_t size) mutable {
          Connection* const outer = std::exchange(current, connection.get());
          if (connection) {
            connection->parsing = is_read && !error;
            if (!error) {
              connection->use.moved = core::MonotonicNow();
            }
          }
          handler(error, size);
          if (connection) {
            connection->parsing = false;
            if (!connection->left) {
              Count(*connection->listener->budget, connection->use);
            }
          }
          current = outer;
        });
  }

  std::shared_ptr<Connection> connection_;
};

/// Stands for RESTinio's own count of connections, which is not used.
struct NoLifetimeMonitor {};

/// Parser callbacks of RESTinio's connections are chosen by this type.
struct HttpMethods : restinio::default_http_methods_t {};

struct ServerTraits
    : restinio::traits_t<restinio::asio_timer_manager_t,
                         restinio::null_logger_t,
                         std::function<restinio::request_handling_status_t(
                             restinio::request_handle_t)>,
                         restinio::default_strand_t, BudgetedSocket> {
  using connection_state_listener_t = StartListener;
  using http_methods_mapper_t = HttpMethods;
};

restinio::impl::http_parser_ctx_t& ContextOf(http_parser* parser) {
  return *static_cast<restinio::impl::http_parser_ctx_t*>(parser->data);
}

int OnMessageBegin(http_parser* /*parser*/) {
  if (current != nullptr) {
    current->use.unfinished = true;
    current->use.held = current->head_held = 0;
    current->limits = current->listener->options.request_limits();
    current->use.may_hold = current->limits.max_stored_body.value;
    current->head_read = kRequestLineSeparators;
    current->body_read = 0;
    current->use.read = 0;
    current->body_too_large = current->refused = false;
  }
  return 0;
}

/// Counts text of the head.
/// @param text Size of the text.
/// @param separators Bytes around the text that no head goes without.
/// @param overhead What is held besides the text.
/// @return 0, or -1 if the head is too large.
int AddToHead(std::size_t text, std::size_t separators, std::int64_t overhead) {
  if (current == nullptr) {
    return 0;
  }
  current->head_read += text + separators;
  current->use.read += static_cast<std::int64_t>(text);
  current->head_held += static_cast<std::int64_t>(text) + overhead;
  current->use.held = current->head_held;
  if (current->head_read <=
      static_cast<std::size_t>(current->limits.max_head.value)) {
    return 0;
  }
  current->Refuse(ConnectionRefusal::kHeadTooLarge);
  return -1;
}

int OnUrl(http_parser* parser, const char* data, std::size_t size) {
  return AddToHead(size, 0, 0) != 0
             ? -1
             : restinio::impl::restinio_url_cb(parser, data, size);
}

int OnField(http_parser* parser, const char* data, std::size_t size) {
  const auto& context = ContextOf(parser);
  if (context.m_leading_headers_completed) {
    return 0;  // Trailing fields are not used.
  }
  const bool starts = context.m_last_was_value;
  return AddToHead(size, starts ? kFieldSeparators : 0,
                   starts ? kFieldOverhead : 0) != 0
             ? -1
             : restinio::impl::restinio_header_field_cb(parser, data, size);
}

int OnValue(http_parser* parser, const char* data, std::size_t size) {
  if (ContextOf(parser).m_leading_headers_completed) {
    return 0;
  }
  return AddToHead(size, 0, 0) != 0
             ? -1
             : restinio::impl::restinio_header_value_cb(parser, data, size);
}

int OnHeadersComplete(http_parser* parser) {
  auto& context = ContextOf(parser);
  context.m_leading_headers_completed = true;
  const auto limit = context.m_limits.max_body_size();
  if (parser->content_length != ULLONG_MAX) {
    if (parser->content_length > limit) {
      if (current != nullptr) {
        current->Refuse(ConnectionRefusal::kBodyTooLarge);
      }
      return -1;
    }
    context.m_body.reserve(std::min(parser->content_length, kMaxReserved));
    if (current != nullptr) {
      current->use.may_hold =
          std::min(static_cast<std::int64_t>(parser->content_length),
                   current->limits.max_stored_body.value);
    }
  }
  return 0;
}

int OnBody(http_parser* parser, const char* data, std::size_t size) {
  auto& context = ContextOf(parser);
  if (current == nullptr) {
    return restinio::impl::restinio_body_cb(parser, data, size);
  }
  current->body_read += size;
  current->use.read += static_cast<std::int64_t>(size);
  if (current->body_read > context.m_limits.max_body_size()) {
    if (!current->refused) {
      current->Refuse(ConnectionRefusal::kBodyTooLarge);
    }
    return -1;
  }
  if (current->body_read >
          static_cast<std::uint64_t>(current->limits.max_stored_body.value) &&
      !current->body_too_large) {
    current->body_too_large = true;
    current->Refuse(ConnectionRefusal::kBodyTooLarge);
    std::string().swap(context.m_body);
    current->use.held = current->head_held;
  }
  if (current->body_too_large) {
    return 0;
  }
  const std::size_t length = context.m_body.size() + size;
  if (length > context.m_body.capacity()) {
    context.m_body.reserve(std::min(
        2 * length,
        static_cast<std::size_t>(current->limits.max_stored_body.value)));
  }
  context.m_body.append(data, size);
  current->use.held =
      current->head_held + static_cast<std::int64_t>(context.m_body.capacity());
  return 0;
}

int OnMessageComplete(http_parser* parser) {
  if (current != nullptr) {
    current->use.unfinished = false;
  }
  return restinio::impl::restinio_message_complete_cb<HttpMethods>(parser);
}

std::map<std::string, std::string> ParseQuery(std::string_view query) {
  std::map<std::string, std::string> values;
  const auto params = restinio::try_parse_query<
      restinio::parse_query_traits::javascript_compatible>(
      restinio::string_view_t{query.data(), query.size()});
  if (!params) {
    return values;
  }
  for (const auto& item : *params) {
    values.emplace(std::string(item.first), std::string(item.second));
  }
  return values;
}

ServerRequest ToRequest(const restinio::request_handle_t& handle) {
  ServerRequest request;
  request.method = handle->header().method().c_str();
  const auto path = handle->header().path();
  const auto decoded = restinio::utils::try_unescape_percent_encoding<
      restinio::utils::javascript_compatible_unescape_traits>(path);
  request.path = decoded ? *decoded : std::string(path);
  const auto query = handle->header().query();
  request.query = ParseQuery({query.data(), query.size()});
  for (const auto& field : handle->header()) {
    request.headers.push_back({field.name(), field.value()});
  }
  request.body = handle->body();
  return request;
}

void SendResponse(const restinio::request_handle_t& handle,
                  ServerResponse response) {
  const restinio::http_status_code_t code{
      static_cast<std::uint16_t>(response.status)};
  auto builder = handle->create_response(
      restinio::http_status_line_t{code, ReasonPhrase(response.status)});
  builder.append_header(restinio::http_field::content_type,
                        response.content_type);
  for (Header& header : response.headers) {
    builder.append_header(std::move(header.name), std::move(header.value));
  }
  if (response.close) {
    builder.connection_close();
  }
  builder.set_body(std::move(response.body));
  builder.done();
}

}  // namespace internal
}  // namespace camphormux::http

namespace restinio {

/// The server counts connections itself.
template <>
struct connection_count_limit_types<camphormux::http::internal::ServerTraits> {
  using limiter_t = connection_count_limits::noop_connection_count_limiter_t;
  using lifetime_monitor_t = camphormux::http::internal::NoLifetimeMonitor;
};

namespace impl {

/// Replaces an acceptor that ends for good when it fails once.
template <>
class acceptor_t<camphormux::http::internal::ServerTraits> final
    : public camphormux::http::internal::RetryingAcceptor<
          camphormux::http::internal::ServerTraits> {
  using RetryingAcceptor::RetryingAcceptor;
};

/// Replaces the callbacks that keep an entry for each chunk and whole bodies.
template <>
http_parser_settings
create_parser_settings<camphormux::http::internal::HttpMethods>() noexcept {
  namespace server = camphormux::http::internal;
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_message_begin = &server::OnMessageBegin;
  settings.on_url = &server::OnUrl;
  settings.on_header_field = &server::OnField;
  settings.on_header_value = &server::OnValue;
  settings.on_headers_complete = &server::OnHeadersComplete;
  settings.on_body = &server::OnBody;
  settings.on_message_complete = &server::OnMessageComplete;
  return settings;
}

}  // namespace impl
}  // namespace restinio

namespace camphormux::http {

struct Server::Impl {
  Impl(asio::io_context& loop,
       restinio::server_settings_t<internal::ServerTraits> settings)
      : server(restinio::external_io_context(loop), std::move(settings)) {}
  restinio::http_server_t<internal::ServerTraits> server;
};

Server::Server(asio::io_context& loop, const core::Address& address,
               Handler handler, const ServerOptions& options) {
  auto listener = std::make_shared<internal::Listener>();
  listener->options = options;
  listener->budget =
      options.budget ? options.budget : std::make_shared<ConnectionBudget>();
  auto on_request =
      [handler = std::move(handler)](const restinio::request_handle_t& handle) {
        std::shared_ptr<internal::Connection> connection;
        if (internal::current != nullptr) {
          connection = internal::current->shared_from_this();
          connection->use.handling = true;
        }
        const auto respond = [handle, connection](ServerResponse response) {
          if (connection) {
            connection->use.handling = false;
            connection->use.held = 0;
            if (!connection->left) {
              Count(*connection->listener->budget, connection->use);
            }
          }
          internal::SendResponse(handle, std::move(response));
        };
        if (connection && connection->body_too_large) {
          const std::int64_t limit = connection->limits.max_stored_body.value;
          ServerResponse response;
          response.status = 413;
          response.body = R"({"error":"at most )" + std::to_string(limit) +
                          R"( bytes","field":"body"})";
          respond(std::move(response));
        } else {
          handler(internal::ToRequest(handle), respond);
        }
        return restinio::request_accepted();
      };
  const restinio::incoming_http_msg_limits_t limits =
      restinio::incoming_http_msg_limits_t{}.max_body_size(
          static_cast<std::uint64_t>(options.max_body.value));
  auto settings = restinio::server_settings_t<internal::ServerTraits>{};
  settings.address(address.ip)
      .port(address.port)
      .request_handler(std::move(on_request))
      .read_next_http_message_timelimit(options.idle_timeout)
      .handle_request_timeout(options.handle_timeout)
      .incoming_http_msg_limits(limits)
      .connection_state_listener(std::make_shared<internal::StartListener>(
          internal::StartListener{std::move(listener)}))
      .cleanup_func([] {});
  impl_ = std::make_unique<Impl>(loop, std::move(settings));
  impl_->server.open_sync();
}

Server::~Server() { Close(); }

void Server::Close() {
  if (impl_) {
    impl_->server.close_sync();
    impl_.reset();
  }
}

}  // namespace camphormux::http
