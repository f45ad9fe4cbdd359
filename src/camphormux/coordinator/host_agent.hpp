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

/// Maximum time that an exchange stays open without answers. The regular
/// responses show the holder that the node is alive.
inline constexpr core::Millis kMaxExchangeTime{300};

/// @brief Makes calls to hosts on behalf of a holder on another node. Makes no
/// decisions: each call carries the holder's fencing token, and hosts refuse
/// the token of an older holder.
class HostAgent : public std::enable_shared_from_this<HostAgent> {
 public:
  /// @param loop Event loop; outlives the agent.
  /// @param port Calls to hosts.
  HostAgent(asio::io_context& loop, HostPort port);

  /// @brief Starts the calls of a request at once. Responds with the answers
  /// that are available shortly after the first one arrives, or when the
  /// holder's next request arrives.
  void Serve(const peer::Request& request, peer::Respond respond);

  /// @brief Refuses new calls; calls in flight are still answered.
  void Leave() { leaving_ = true; }

 private:
  /// Calls of one holder.
  struct Session {
    explicit Session(asio::io_context& loop) : timer(loop) {}

    asio::steady_timer timer;
    peer::Respond open;  ///< Responds to the open request; may be empty.
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
