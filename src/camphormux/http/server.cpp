#include "camphormux/http/server.hpp"

#include <utility>

#include <restinio/all.hpp>

#include "camphormux/http/reason_phrase.hpp"

namespace camphormux::http {
namespace internal {

struct ServerTraits : restinio::traits_t<restinio::asio_timer_manager_t,
                                         restinio::null_logger_t> {
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
};

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

struct Server::Impl {
  Impl(asio::io_context& loop,
       restinio::server_settings_t<internal::ServerTraits> settings)
      : server(restinio::external_io_context(loop), std::move(settings)) {}
  restinio::http_server_t<internal::ServerTraits> server;
};

Server::Server(asio::io_context& loop, const core::Address& address,
               Handler handler, const ServerOptions& options) {
  auto on_request =
      [handler = std::move(handler)](const restinio::request_handle_t& handle) {
        handler(internal::ToRequest(handle), [handle](ServerResponse response) {
          internal::SendResponse(handle, std::move(response));
        });
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
