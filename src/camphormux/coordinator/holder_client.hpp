#ifndef CAMPHORMUX_COORDINATOR_HOLDER_CLIENT_HPP_
#define CAMPHORMUX_COORDINATOR_HOLDER_CLIENT_HPP_

#include <functional>
#include <memory>
#include <optional>

#include <asio/io_context.hpp>

#include "camphormux/coordinator/holder.hpp"
#include "camphormux/peer/client.hpp"
#include "camphormux/peer/message.hpp"

namespace camphormux::coordinator {

/// @brief Sends requests to the holder on another node over one connection.
class HolderClient {
 public:
  /// @param loop Event loop; outlives the client.
  /// @param source_ip Local address of the connections.
  HolderClient(asio::io_context& loop, std::string source_ip);

  /// @brief Sets the holder's address; empty if it is not known.
  void SetHolder(const std::optional<core::Address>& holder);
  [[nodiscard]] bool has_holder() const { return client_ != nullptr; }

  void Submit(const workload::JobSpec& spec, core::Millis timeout,
              std::function<void(SubmitAnswer)> done);
  void State(const core::JobId& id, const workload::Caller& caller,
             core::Millis timeout, std::function<void(StateAnswer)> done);
  void Cancel(const core::JobId& id, const workload::Caller& caller,
              core::Millis timeout, std::function<void(QueryOutcome)> done);
  void Pending(const workload::QueueName& queue, core::Millis timeout,
               std::function<void(CountAnswer)> done);
  /// @brief Checks whether the node at that address is the holder and can
  /// decide.
  void Ping(core::Millis timeout, std::function<void(bool)> done);

 private:
  asio::io_context& loop_;
  std::string source_ip_;
  std::optional<core::Address> holder_;
  /// Shared with the requests in flight, whose callbacks must still be called.
  std::shared_ptr<peer::Client> client_;
};

/// @brief Answers another node's request to the holder.
/// @param holder The holder on this node; may be null.
/// @param request The request.
/// @param respond Called once.
void ServeHolderRequest(const std::shared_ptr<Holder>& holder,
                        const peer::Request& request,
                        const peer::Respond& respond);

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_HOLDER_CLIENT_HPP_
