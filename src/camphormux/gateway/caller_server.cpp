#include "camphormux/gateway/caller_server.hpp"

#include <charconv>
#include <utility>

#include <restinio/all.hpp>

#include "camphormux/http/reason_phrase.hpp"

namespace camphormux::gateway {
namespace internal {

struct CallerTraits : restinio::traits_t<restinio::asio_timer_manager_t,
                                         restinio::null_logger_t> {
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
};

using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// The gateway answers requests above its own limits with 413 or 431. RESTinio
/// closes the connection without an answer at its limits, so RESTinio's limits
/// are set to this multiple of the gateway's.
constexpr std::uint64_t kParserLimitFactor = 4;

std::string ChunkFrame(std::size_t size) {
  char digits[2 * sizeof(size)];
  const auto end =
      std::to_chars(std::begin(digits), std::end(digits), size, 16).ptr;
  return std::string(std::begin(digits), end) + "\r\n";
}

/// Writes a response through RESTinio and frames the body itself: RESTinio's
/// chunked output would end a truncated response with the last chunk, so that
/// it would look complete.
class RestinioResponse : public CallerResponse {
 public:
  RestinioResponse(restinio::request_handle_t handle,
                   std::shared_ptr<std::atomic<int>> unwritten)
      : handle_(std::move(handle)),
        unwritten_(std::move(unwritten)),
        head_only_(handle_->header().method() == restinio::http_method_head()) {
  }
  RestinioResponse(const RestinioResponse&) = delete;
  RestinioResponse& operator=(const RestinioResponse&) = delete;
  /// Closes the connection of a streamed response that was dropped before its
  /// end; otherwise the caller would wait for the rest.
  ~RestinioResponse() override {
    if (stream_) {
      stream_->done();
    }
  }

  void Send(int status, http::Headers headers, std::string body) override {
    auto builder = handle_->create_response<restinio::user_controlled_output_t>(
        StatusLine(status));
    AppendHeaders(builder, std::move(headers));
    if (MayHaveBody(status)) {
      builder.set_content_length(body.size());
    }
    if (MayHaveBody(status) && !head_only_) {
      builder.append_body(std::move(body));
    }
    if (close_) {
      builder.connection_close();
    }
    Finish(builder);
  }

  void Begin(int status, http::Headers headers,
             std::optional<std::uint64_t> length) override {
    stream_.emplace(
        handle_->create_response<restinio::user_controlled_output_t>(
            StatusLine(status)));
    AppendHeaders(*stream_, std::move(headers));
    chunked_ = !length;
    if (length) {
      stream_->set_content_length(*length);
    } else {
      stream_->append_header("Transfer-Encoding", "chunked");
    }
    // RESTinio decides with the head of a response whether the connection is
    // closed afterwards, and the caller detects truncation only by the close.
    stream_->connection_close();
    stream_->flush();
  }

  void Write(std::string part, std::function<void(bool ok)> written) override {
    if (chunked_) {
      stream_->append_body(ChunkFrame(part.size()));
      part += "\r\n";
    }
    stream_->append_body(std::move(part));
    stream_->flush([written = std::move(written)](
                       const asio::error_code& error) { written(!error); });
  }

  void End(bool complete) override {
    if (complete && chunked_) {
      stream_->append_body(restinio::const_buffer("0\r\n\r\n"));
    }
    Finish(*stream_);
    stream_.reset();
  }

  void CloseAfter() override { close_ = true; }

 private:
  using Builder =
      restinio::response_builder_t<restinio::user_controlled_output_t>;

  void Finish(Builder& builder) {
    ++*unwritten_;
    builder.done(
        [unwritten = unwritten_](const asio::error_code&) { --*unwritten; });
  }

  static restinio::http_status_line_t StatusLine(int status) {
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
            http::ReasonPhrase(status)};
  }

  static bool MayHaveBody(int status) {
    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;
    return status != kNoContent && status != kNotModified;
  }

  static void AppendHeaders(Builder& builder, http::Headers headers) {
    for (http::Header& header : headers) {
      builder.header().add_field(std::move(header.name),
                                 std::move(header.value));
    }
  }

  restinio::request_handle_t handle_;
  std::shared_ptr<std::atomic<int>> unwritten_;
  bool head_only_;
  bool close_ = false;
  bool chunked_ = false;
  std::optional<Builder> stream_;
};

CallerRequest ToCallerRequest(const restinio::request_handle_t& handle) {
  CallerRequest request;
  request.method = handle->header().method().c_str();
  request.target = handle->header().request_target();
  for (const auto& field : handle->header()) {
    request.headers.push_back({field.name(), field.value()});
  }
  request.body = handle->body();
  request.remote_ip = handle->remote_endpoint().address().to_string();
  return request;
}

/// Binds the address without listening, so that startup fails if the address is
/// not local or another program uses it.
asio::ip::tcp::socket BindWithoutListening(asio::io_context& loop,
                                           const core::Address& address) {
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip),
                                         address.port);
  asio::ip::tcp::socket socket(loop, endpoint.protocol());
  socket.set_option(asio::ip::tcp::socket::reuse_address(true));
  socket.set_option(ReusePort(true));
  socket.bind(endpoint);
  return socket;
}

restinio::incoming_http_msg_limits_t ParserLimits(
    const CallerServerOptions& options) {
  const auto header =
      static_cast<std::size_t>(options.max_header.value) * kParserLimitFactor;
  restinio::incoming_http_msg_limits_t limits;
  limits.max_body_size(static_cast<std::uint64_t>(options.max_body.value) *
                       kParserLimitFactor);
  limits.max_url_size(header);
  limits.max_field_name_size(header);
  limits.max_field_value_size(header);
  limits.max_field_count(header);
  return limits;
}

}  // namespace internal

struct CallerServer::Impl {
  Impl(asio::io_context& loop, const core::Address& address,
       restinio::server_settings_t<internal::CallerTraits> settings)
      : bound_socket(internal::BindWithoutListening(loop, address)),
        server(restinio::external_io_context(loop), std::move(settings)) {}
  asio::ip::tcp::socket bound_socket;
  restinio::http_server_t<internal::CallerTraits> server;
  bool open = false;
};

CallerServer::CallerServer(asio::io_context& loop, const core::Address& address,
                           CallerHandler handler,
                           const CallerServerOptions& options)
    : unwritten_(std::make_shared<std::atomic<int>>(0)) {
  auto on_request = [handler = std::move(handler), unwritten = unwritten_](
                        const restinio::request_handle_t& handle) {
    handler(internal::ToCallerRequest(handle),
            std::make_shared<internal::RestinioResponse>(handle, unwritten));
    return restinio::request_accepted();
  };
  restinio::server_settings_t<internal::CallerTraits> settings;
  settings.address(address.ip)
      .port(address.port)
      .request_handler(std::move(on_request))
      .acceptor_options_setter([](restinio::acceptor_options_t& acceptor) {
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        acceptor.set_option(internal::ReusePort(true));
      })
      .socket_options_setter([](restinio::socket_options_t& socket) {
        socket.set_option(asio::ip::tcp::no_delay(true));
      })
      .read_next_http_message_timelimit(options.idle_timeout)
      .write_http_response_timelimit(options.write_timeout)
      .handle_request_timeout(options.handle_timeout)
      .incoming_http_msg_limits(internal::ParserLimits(options))
      .cleanup_func([] {});
  impl_ = std::make_unique<Impl>(loop, address, std::move(settings));
}

CallerServer::~CallerServer() { StopAccepting(); }

void CallerServer::Open() {
  if (impl_ && !impl_->open) {
    impl_->server.open_sync();
    impl_->open = true;
  }
}

void CallerServer::StopAccepting() {
  if (impl_ && impl_->open) {
    impl_->server.close_sync();
  }
  impl_.reset();
}

int CallerServer::unwritten_responses() const { return *unwritten_; }

}  // namespace camphormux::gateway
