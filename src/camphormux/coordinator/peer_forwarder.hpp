#ifndef CAMPHORMUX_COORDINATOR_PEER_FORWARDER_HPP_
#define CAMPHORMUX_COORDINATOR_PEER_FORWARDER_HPP_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/peer/client.hpp"

namespace camphormux::coordinator {

/// Path under which a node accepts requests that another node forwards.
inline constexpr std::string_view kForwardPath = "/forward";

/// @brief Outcome of a forwarded request.
struct ForwardResult {
  bool answered = false;
  bool may_have_reached = false;  ///< Set only if there was no answer.
  std::string body;
};

/// @brief Forwards requests to other nodes. Used by a node that the platform
/// refuses to serve.
class PeerForwarder {
 public:
  /// @param loop Event loop; outlives the forwarder.
  /// @param self Peer address of this node.
  PeerForwarder(asio::io_context& loop, core::Address self);

  /// @brief Replaces the addresses of all nodes; this node is left out.
  void SetMembers(const std::vector<core::Address>& members);

  [[nodiscard]] bool empty() const { return members_.empty(); }

  /// @brief Sends the next request to another node.
  void Rotate() { ++next_; }

  /// @brief Forwards a request to one of the nodes; moves on to the next node
  /// after each failure.
  void Forward(std::string body, core::Millis timeout,
               std::function<void(ForwardResult)> done);

 private:
  asio::io_context& loop_;
  core::Address self_;
  std::vector<core::Address> members_;
  /// Shared with the requests in flight, whose callbacks must still be called.
  std::map<core::Address, std::shared_ptr<peer::Client>> clients_;
  std::size_t next_ = 0;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_PEER_FORWARDER_HPP_
