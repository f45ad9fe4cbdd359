#ifndef CAMPHORMUX_HTTP_RETRYING_ACCEPTOR_HPP_
#define CAMPHORMUX_HTTP_RETRYING_ACCEPTOR_HPP_

#include <memory>
#include <string>
#include <utility>

#include <asio/steady_timer.hpp>
#include <restinio/all.hpp>

#include "camphormux/core/time.hpp"

namespace camphormux::http::internal {

/// Pause after a failure, which would come again at once while the process has
/// no descriptor left.
inline constexpr core::Millis kAcceptRetry{100};

/// @brief Accepts the connections of a RESTinio server; takes the place of
/// RESTinio's acceptor, which ends for good when it fails once.
/// @tparam Traits Traits of the server.
template <typename Traits>
class RetryingAcceptor
    : public std::enable_shared_from_this<RetryingAcceptor<Traits>> {
 public:
  using Socket = typename Traits::stream_socket_t;
  using ConnectionFactory = restinio::impl::connection_factory_t<Traits>;

  /// @param settings Settings of the server; name an address.
  /// @param loop Event loop; outlives the acceptor.
  /// @param factory Makes the connections.
  template <typename Settings>
  RetryingAcceptor(Settings& settings, asio::io_context& loop,
                   std::shared_ptr<ConnectionFactory> factory,
                   const typename Traits::logger_t& /*logger*/)
      : endpoint_(asio::ip::make_address(
                      *restinio::get_if<std::string>(&settings.address())),
                  settings.port()),
        options_setter_(settings.acceptor_options_setter()),
        factory_(std::move(factory)),
        loop_(loop),
        acceptor_(loop),
        retry_(loop) {}

  /// @brief Starts to listen.
  /// @throws std::exception if the address cannot be bound.
  void open() {
    acceptor_.open(endpoint_.protocol());
    restinio::acceptor_options_t options(acceptor_);
    (*options_setter_)(options);
    acceptor_.bind(endpoint_);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    Accept();
  }

  /// @brief Stops listening.
  void close() {
    retry_.cancel();
    acceptor_.close();
  }

 private:
  void Accept() {
    auto socket = std::make_shared<Socket>(loop_);
    acceptor_.async_accept(socket->lowest_layer(),
                           [self = this->shared_from_this(),
                            socket](const asio::error_code& error) {
                             if (!self->acceptor_.is_open()) {
                               return;
                             }
                             if (error) {
                               self->AcceptLater();
                               return;
                             }
                             self->Start(std::move(*socket));
                             self->Accept();
                           });
  }

  void AcceptLater() {
    retry_.expires_after(kAcceptRetry);
    retry_.async_wait(
        [self = this->shared_from_this()](const asio::error_code& /*error*/) {
          if (self->acceptor_.is_open()) {
            self->Accept();
          }
        });
  }

  /// Starts a connection, unless its client has gone.
  void Start(Socket socket) {
    asio::error_code gone;
    const auto client = socket.remote_endpoint(gone);
    if (gone) {
      return;
    }
    restinio::null_logger_t logger;
    restinio::utils::suppress_exceptions(logger, "start of a connection", [&] {
      factory_->create_new_connection(std::move(socket), client, {})->init();
    });
  }

  asio::ip::tcp::endpoint endpoint_;
  std::unique_ptr<restinio::acceptor_options_setter_t> options_setter_;
  std::shared_ptr<ConnectionFactory> factory_;
  asio::io_context& loop_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_;
};

}  // namespace camphormux::http::internal

#endif  // CAMPHORMUX_HTTP_RETRYING_ACCEPTOR_HPP_
