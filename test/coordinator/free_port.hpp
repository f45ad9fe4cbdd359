#ifndef TEST_COORDINATOR_FREE_PORT_HPP_
#define TEST_COORDINATOR_FREE_PORT_HPP_

#include <cstdint>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace camphormux::coordinator {

/// @return A port of 127.0.0.1 that is free now.
inline std::uint16_t FreePort(asio::io_context& loop) {
  asio::ip::tcp::acceptor acceptor(loop,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint().port();
}

}  // namespace camphormux::coordinator

#endif  // TEST_COORDINATOR_FREE_PORT_HPP_
