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

/// Path under which a node takes requests that its neighbour wants made.
inline constexpr std::string_view kForwardPath = "/forward";

/// @brief Outcome of a forwarded request.
struct ForwardResult {
  bool answered = false;
  bool may_have_reached = false;  ///< Only if there was no answer.
  std::string body;
};

/// @brief The other nodes, as far as they are known. A node that the platform
/// turns away asks them to make its requests.
class PeerForwarder {
 public:
  /// @param loop Event loop; outlives the neighbours.
  /// @param self Peer address of this node.
  PeerForwarder(asio::io_context& loop, core::Address self);

  /// @brief Replaces the addresses of all nodes; this node is left out.
  void SetMembers(const std::vector<core::Address>& members);

  [[nodiscard]] bool empty() const { return members_.empty(); }

  /// @brief Hands the next request to another node.
  void Rotate() { ++next_; }

  /// @brief Hands a request to one of them, another one after each failure.
  void Forward(std::string body, core::Millis timeout,
               std::function<void(ForwardResult)> done);

 private:
  asio::io_context& loop_;
  core::Address self_;
  std::vector<core::Address> members_;
  /// Shared with the requests under way, which must be answered.
  std::map<core::Address, std::shared_ptr<peer::Client>> clients_;
  std::size_t next_ = 0;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_PEER_FORWARDER_HPP_
