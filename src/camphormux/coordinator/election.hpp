#ifndef CAMPHORMUX_COORDINATOR_ELECTION_HPP_
#define CAMPHORMUX_COORDINATOR_ELECTION_HPP_

#include <functional>
#include <memory>
#include <optional>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "camphormux/coordinator/ports.hpp"

namespace camphormux::coordinator {

/// @brief Keeps this node in the group and tells when it gains or loses the
/// ownership, and where the holder is.
class Election : public std::enable_shared_from_this<Election> {
 public:
  struct Listener {
    /// Ownership with a new fencing token.
    std::function<void(core::Epoch token)> on_gain;
    std::function<void()> on_loss;
    /// Addresses of all nodes.
    std::function<void(const std::vector<core::Address>&)> on_members;
  };

  /// @param loop Event loop; outlives the election.
  /// @param port The store's group.
  /// @param listener Told of changes.
  /// @param reluctant This node is too small to be the holder of a large fleet:
  /// it joins only when there has been no holder for a while.
  Election(asio::io_context& loop, ElectionPort port, Listener listener,
           bool reluctant = false);

  void Start();
  /// @brief Asks again soon, as the holder does not answer.
  void Refresh();
  /// @brief Gives the ownership up and joins anew, for a higher token.
  void Rejoin();
  /// @brief Leaves for good; still finds the holder.
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
  void Schedule(core::Millis delay);
  void Join();
  void OnJoined(std::chrono::nanoseconds sent,
                const std::optional<MembershipAnswer>& answer);
  void FindMembers();
  /// Whether this node leaves the ownership to others for now.
  [[nodiscard]] bool StandsBack();

  asio::steady_timer timer_;
  ElectionPort port_;
  Listener listener_;
  std::optional<core::Address> holder_;
  core::Epoch generation_;
  std::chrono::nanoseconds confirmed_{0};  ///< On the clock since boot.
  core::MonotonicTime last_find_;
  core::MonotonicTime next_join_;
  core::MonotonicTime last_holder_;  ///< When a holder was last known.
  bool reluctant_ = false;
  bool joining_ = false;
  bool finding_ = false;
  bool held_ = false;
  bool store_lost_ = false;
  bool left_ = false;
  bool closed_ = false;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_ELECTION_HPP_
