#ifndef CAMPHORMUX_COORDINATOR_CONFIRMATION_POLL_HPP_
#define CAMPHORMUX_COORDINATOR_CONFIRMATION_POLL_HPP_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include <asio/io_context.hpp>

#include "camphormux/coordinator/member.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/peer/client.hpp"

namespace camphormux::coordinator {

/// Path under which a node says whether it knows of no holder but the one that
/// asks.
inline constexpr std::string_view kConfirmHolderPath = "/holder/confirm";

/// @brief What a node knows about the ownership.
struct HolderView {
  bool is_holder = false;
  bool is_store_lost = false;
  std::optional<core::Address> holder;  ///< The last holder that it knew.
};

/// @brief Answers a holder that lost the store. A node that still reaches the
/// store does not confirm another node: it can take over and do more.
/// @param view What the node knows.
/// @param request Request of the holder.
/// @return Status OK if the node is not the holder, does not reach the store
/// and knows of no holder but the one that asks.
[[nodiscard]] peer::Response AnswerConfirmHolder(const HolderView& view,
                                                 const peer::Request& request);

/// @brief Asks all other nodes whether they know of another holder, as long as
/// the store does not say which node holds the ownership.
class ConfirmationPoll {
 public:
  /// @brief Answers of one round.
  struct Round {
    bool members_known = false;  ///< A list of nodes has been received.
    std::size_t asked = 0;
    std::size_t confirmed = 0;

    [[nodiscard]] bool is_unanimous() const {
      return members_known && confirmed == asked;
    }
  };

  /// @param loop Event loop; outlives the poll.
  /// @param self Peer address of this node.
  /// @param retention Time for which a node that is not listed any more is
  /// asked: after an outage of the store, its list lacks nodes that are alive.
  ConfirmationPoll(asio::io_context& loop, core::Address self,
                   core::Millis retention);

  /// @brief Applies a new list of nodes; this node is left out.
  void SetMembers(const std::vector<Member>& members, core::MonotonicTime now);
  /// @brief Asks all other nodes.
  /// @param timeout Bound on the whole round.
  /// @param done Called once on the loop with the answers.
  void Ask(core::Millis timeout, std::function<void(Round)> done);
  /// @brief Closes the connections, which are only needed in an outage.
  void Disconnect() { clients_.clear(); }

 private:
  asio::io_context& loop_;
  core::Address self_;
  core::Millis retention_;
  bool members_known_ = false;
  /// The other nodes, with the time since when a list lacks them.
  std::map<core::Address, std::optional<core::MonotonicTime>> others_;
  std::map<core::Address, std::shared_ptr<peer::Client>> clients_;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_CONFIRMATION_POLL_HPP_
