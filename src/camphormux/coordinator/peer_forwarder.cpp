#include "camphormux/coordinator/peer_forwarder.hpp"

#include <algorithm>
#include <utility>

namespace camphormux::coordinator {
namespace internal {

constexpr core::Millis kConnectTimeout{300};

peer::ClientOptions PeerOptions(const std::string& source_ip) {
  peer::ClientOptions options;
  options.connect_timeout = kConnectTimeout;
  options.backoff = {core::Millis(50), core::Millis(400)};
  options.source_ip = source_ip;
  return options;
}

}  // namespace internal

PeerForwarder::PeerForwarder(asio::io_context& loop, core::Address self)
    : loop_(loop), self_(std::move(self)) {}

void PeerForwarder::SetMembers(const std::vector<core::Address>& members) {
  members_ = members;
  std::erase(members_, self_);
  std::erase_if(clients_, [&](const auto& entry) {
    return std::find(members_.begin(), members_.end(), entry.first) ==
           members_.end();
  });
}

void PeerForwarder::Forward(std::string body, core::Millis timeout,
                            std::function<void(ForwardResult)> done) {
  if (members_.empty()) {
    done({});
    return;
  }
  const std::size_t chosen = next_ % members_.size();
  auto& client = clients_[members_[chosen]];
  if (!client) {
    client = std::make_shared<peer::Client>(loop_, members_[chosen],
                                            internal::PeerOptions(self_.ip));
  }
  client->Send({std::string(kForwardPath), std::move(body)}, timeout,
               [this, chosen, client = client,
                done = std::move(done)](const peer::Result& result) {
                 if (result && result.value().status == peer::kStatusOk) {
                   done({true, false, result.value().body});
                   return;
                 }
                 if (next_ == chosen || members_.empty() ||
                     next_ % members_.size() == chosen) {
                   next_ = chosen + 1;
                 }
                 const bool may_have_reached =
                     result ? !peer::IsRejection(result.value().status)
                            : result.error().may_have_reached;
                 done({false, may_have_reached, ""});
               });
}

}  // namespace camphormux::coordinator
