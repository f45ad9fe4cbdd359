#ifndef CAMPHORMUX_COORDINATOR_HOST_AGENT_HPP_
#define CAMPHORMUX_COORDINATOR_HOST_AGENT_HPP_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "camphormux/coordinator/host_calls.hpp"
#include "camphormux/coordinator/ports.hpp"
#include "camphormux/peer/message.hpp"

namespace camphormux::coordinator {

/// Longest time that an exchange stays open without answers; the holder sees
/// by it that the node is alive.
inline constexpr core::Millis kMaxExchangeTime{300};

/// @brief Makes calls to hosts for the holder on another node. Decides nothing:
/// the holder's token is in each call, and hosts refuse that of an older one.
class HostAgent : public std::enable_shared_from_this<HostAgent> {
 public:
  /// @param loop Event loop; outlives the agent.
  /// @param port Calls to hosts.
  HostAgent(asio::io_context& loop, HostPort port);

  /// @brief Takes the calls of a request at once and answers it with the
  /// answers that are there by then, soon after the first of them, or when the
  /// holder's next request arrives.
  void Serve(const peer::Request& request, peer::Respond respond);

  /// @brief Takes no new calls; those under way are still answered.
  void Leave() { leaving_ = true; }

 private:
  /// Calls of one holder.
  struct Session {
    explicit Session(asio::io_context& loop) : timer(loop) {}

    asio::steady_timer timer;
    peer::Respond open;  ///< The request that waits for answers; may be empty.
    std::vector<NumberedAnswer> answers;
    core::MonotonicTime respond_at;
    core::MonotonicTime last_used;
  };

  void Add(const std::shared_ptr<Session>& session, NumberedAnswer answer);
  void RespondAt(const std::shared_ptr<Session>& session,
                 core::MonotonicTime at);
  static void RespondNow(Session& session);
  void EraseUnusedSessions(core::MonotonicTime now);

  asio::io_context& loop_;
  HostPort port_;
  std::map<std::string, std::shared_ptr<Session>> sessions_;
  bool leaving_ = false;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_HOST_AGENT_HPP_
