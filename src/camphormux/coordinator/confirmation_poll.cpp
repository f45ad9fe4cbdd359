#include "camphormux/coordinator/confirmation_poll.hpp"

#include <utility>

#include <asio/post.hpp>

#include "camphormux/cbor/cbor.hpp"

namespace camphormux::coordinator {
namespace internal {

constexpr core::Millis kConnectTimeout{300};
constexpr std::size_t kMaxIpBytes = 64;

peer::ClientOptions PollOptions(const std::string& source_ip) {
  peer::ClientOptions options;
  options.connect_timeout = kConnectTimeout;
  options.probe_timeout = kConnectTimeout;
  options.backoff = {core::Millis(50), core::Millis(400)};
  options.source_ip = source_ip;
  return options;
}

/// Reads the address of the holder that asks; empty if it is malformed.
std::optional<core::Address> ReadHolder(const peer::Request& request) {
  const auto value = cbor::Parse(request.body);
  if (!value) {
    return std::nullopt;
  }
  cbor::ArrayReader reader(*value);
  core::Address holder;
  holder.ip = reader.Text(kMaxIpBytes);
  holder.port = static_cast<std::uint16_t>(reader.Unsigned(UINT16_MAX));
  return reader.ok() ? std::optional(holder) : std::nullopt;
}

}  // namespace internal

peer::Response AnswerConfirmHolder(const HolderView& view,
                                   const peer::Request& request) {
  const auto asking = internal::ReadHolder(request);
  if (!asking) {
    return {peer::kStatusBadRequest, ""};
  }
  const bool knows_another =
      view.is_holder || (view.holder && *view.holder != *asking);
  return {view.is_store_lost && !knows_another ? peer::kStatusOk
                                               : peer::kStatusUnavailable,
          ""};
}

ConfirmationPoll::ConfirmationPoll(asio::io_context& loop, core::Address self,
                                   core::Millis retention)
    : loop_(loop), self_(std::move(self)), retention_(retention) {}

void ConfirmationPoll::SetMembers(const std::vector<Member>& members,
                                  core::MonotonicTime now) {
  members_known_ = true;
  for (auto& [address, missing_since] : others_) {
    if (!missing_since) {
      missing_since = now;
    }
  }
  for (const Member& member : members) {
    if (member.address != self_) {
      others_[member.address].reset();
    }
  }
  std::erase_if(others_, [&](const auto& entry) {
    return entry.second && now >= *entry.second + retention_;
  });
  Disconnect();
}

void ConfirmationPoll::Ask(core::Millis timeout,
                           std::function<void(Round)> done) {
  struct Progress {
    Round round;
    std::size_t open = 0;
    std::function<void(Round)> done;
  };
  auto progress = std::make_shared<Progress>();
  progress->round.members_known = members_known_;
  progress->round.asked = others_.size();
  progress->open = others_.size();
  progress->done = std::move(done);
  if (others_.empty()) {
    asio::post(loop_, [progress] { progress->done(progress->round); });
    return;
  }
  const std::string body =
      cbor::Serialize(nlohmann::json::array({self_.ip, self_.port}));
  for (const auto& [address, missing_since] : others_) {
    auto& client = clients_[address];
    if (!client) {
      client = std::make_shared<peer::Client>(loop_, address,
                                              internal::PollOptions(self_.ip));
    }
    client->Send({std::string(kConfirmHolderPath), body}, timeout,
                 [progress, client](const peer::Result& result) {
                   if (result && result.value().status == peer::kStatusOk) {
                     ++progress->round.confirmed;
                   }
                   if (--progress->open == 0) {
                     progress->done(progress->round);
                   }
                 });
  }
}

}  // namespace camphormux::coordinator
