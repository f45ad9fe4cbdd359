#ifndef CAMPHORMUX_COORDINATOR_ELECTION_HPP_
#define CAMPHORMUX_COORDINATOR_ELECTION_HPP_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "camphormux/coordinator/ports.hpp"

namespace camphormux::coordinator {

/// @brief Follows who holds the ownership, becomes a candidate when nobody does
/// and tells when this node gains or loses it. Nodes that start later leave a
/// working holder alone: each change of holder delays decisions.
class Election : public std::enable_shared_from_this<Election> {
 public:
  struct Listener {
    /// Ownership with a new fencing token.
    std::function<void(core::Epoch token)> on_gain;
    std::function<void()> on_loss;
    /// All nodes.
    std::function<void(const std::vector<Member>&)> on_members;
  };

  /// @param loop Event loop; outlives the election.
  /// @param port The store's group.
  /// @param listener Told of changes.
  /// @param candidate_rank Nodes become candidates one after the other, in the
  /// order of their turns, so that usually only one does; from 0.
  /// @param last_resort This node is too small to be the holder of a large
  /// fleet: it joins only when there has been no holder for a while.
  Election(asio::io_context& loop, ElectionPort port, Listener listener,
           std::size_t candidate_rank, bool last_resort = false);

  void Start();
  /// @brief Asks again soon, as the holder does not answer.
  void Refresh();
  /// @brief Gives the ownership up; may gain it anew with a higher token.
  void Rejoin();
  /// @brief Gives it up for good; still finds the holder.
  void Leave(std::function<void()> done);
  void Close();

  /// @return Address of the holder's peer server, if known.
  [[nodiscard]] const std::optional<core::Address>& holder() const {
    return holder_;
  }
  /// @return Whether the store confirmed this node within the time to live.
  /// Counts the time of a suspension.
  [[nodiscard]] bool is_confirmed() const;

 private:
  void Announce();
  void LookUpHolder();
  void OnOwnership(const std::optional<Ownership>& ownership);
  void OnNoHolder();
  void ScheduleLookup(core::Millis delay);
  void Join();
  void ScheduleJoin();
  void OnJoined(std::chrono::nanoseconds sent,
                const std::optional<MembershipAnswer>& answer);
  void Withdraw();
  void UpdateStoreState(bool answered);

  asio::steady_timer lookup_timer_;
  asio::steady_timer join_timer_;
  asio::steady_timer announce_timer_;
  ElectionPort port_;
  Listener listener_;
  std::size_t candidate_rank_;
  core::Millis last_lookup_duration_{0};  ///< Duration of the last look.
  bool last_resort_;
  std::optional<core::Address> holder_;
  core::Epoch generation_;
  std::chrono::nanoseconds confirmed_{0};  ///< On the clock since boot.
  core::MonotonicTime last_lookup_;
  core::MonotonicTime next_lookup_;
  /// Since when no holder was seen; none while there is one.
  std::optional<core::MonotonicTime> vacant_since_;
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
