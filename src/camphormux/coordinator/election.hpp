#ifndef CAMPHORMUX_COORDINATOR_ELECTION_HPP_
#define CAMPHORMUX_COORDINATOR_ELECTION_HPP_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "camphormux/coordinator/ports.hpp"

namespace camphormux::coordinator {

/// @brief Follows which node holds the ownership, makes this node a candidate
/// when there is no holder, and reports when this node gains or loses the
/// ownership. A node that starts later does not displace a working holder,
/// because each change of holder delays decisions.
class Election : public std::enable_shared_from_this<Election> {
 public:
  struct Listener {
    /// This node gained the ownership; the fencing token is new.
    std::function<void(core::Epoch token)> on_gain;
    std::function<void()> on_loss;
    /// List of all nodes.
    std::function<void(const std::vector<Member>&)> on_members;
  };

  /// @param loop Event loop; outlives the election.
  /// @param port Access to the store's membership groups.
  /// @param listener Receives the changes.
  /// @param candidate_rank Returns the node's place in the order in which nodes
  /// become candidates, from 0. Nodes of different ranks wait for different
  /// times, so that usually only one becomes a candidate.
  /// @param last_resort This node is too small to be the holder of a large
  /// fleet: it becomes a candidate only after a long time without a holder.
  Election(asio::io_context& loop, ElectionPort port, Listener listener,
           std::function<std::size_t()> candidate_rank,
           bool last_resort = false);

  void Start();
  /// @brief Looks the holder up again soon, because it does not answer.
  void Refresh();
  /// @brief Gives the ownership up; the node may gain it again with a higher
  /// token.
  void Rejoin();
  /// @brief Gives the ownership up for good; still follows who the holder is.
  void Leave(std::function<void()> done);
  void Close();

  /// @return Address of the holder's peer server, if known.
  [[nodiscard]] const std::optional<core::Address>& holder() const {
    return holder_;
  }
  /// @return Whether the store confirmed this node's membership within the
  /// ownership's time to live. Time in which the system was suspended counts.
  [[nodiscard]] bool is_confirmed() const;
  /// @return Time since it was last certain that no other node had taken over
  /// from this one. Time in which the system was suspended counts.
  [[nodiscard]] core::Millis since_confirmation() const;
  /// @brief Records that no other node held the ownership.
  /// @param asked When the first of the other nodes was asked, as `BootTime`.
  void ConfirmByNodes(std::chrono::nanoseconds asked);
  /// @return Whether the store did not answer the last call.
  [[nodiscard]] bool is_store_lost() const { return store_lost_; }

 private:
  void Announce();
  void LookUpHolder();
  void OnOwnership(const std::optional<Ownership>& ownership);
  void OnNoHolder();
  void ScheduleLookup(core::Millis delay);
  void Join();
  void ScheduleJoin();
  /// Joins again, unless another node took over while this one was suspended.
  void RenewMembership();
  void OnOwnershipBeforeJoin(const std::optional<Ownership>& ownership);
  void OnJoined(std::chrono::nanoseconds sent,
                const std::optional<MembershipAnswer>& answer);
  void Withdraw();
  void UpdateStoreState(bool answered);

  asio::steady_timer lookup_timer_;
  asio::steady_timer join_timer_;
  asio::steady_timer announce_timer_;
  ElectionPort port_;
  Listener listener_;
  std::function<std::size_t()> candidate_rank_;
  core::Millis last_lookup_duration_{0};
  bool last_resort_;
  std::optional<core::Address> holder_;
  core::Epoch generation_;
  /// When the calls were sent that showed no other holder, as `BootTime`.
  std::chrono::nanoseconds confirmed_by_store_{0};
  std::chrono::nanoseconds confirmed_by_nodes_{0};
  core::MonotonicTime last_lookup_;
  core::MonotonicTime next_lookup_;
  core::MonotonicTime holder_silent_until_;
  /// When the holder was first found missing; empty while there is one.
  std::optional<core::MonotonicTime> no_holder_since_;
  bool lookup_pending_ = false;
  bool is_candidate_ = false;
  bool join_pending_ = false;
  bool is_holder_ = false;
  bool store_lost_ = false;
  bool left_ = false;
  bool closed_ = false;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_ELECTION_HPP_
