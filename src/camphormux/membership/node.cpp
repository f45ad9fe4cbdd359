#include "camphormux/membership/node.hpp"

#include <map>
#include <utility>
#include <vector>

#include <asio/steady_timer.hpp>

#include "camphormux/peer/client.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::membership {
namespace {

// Heartbeats are small; larger ones are malformed.
constexpr std::size_t kMaxHeartbeatBytes = std::size_t{64} << 10;

// Connections that got no heartbeat for this many rounds are closed.
constexpr std::uint64_t kIdleRounds = 30;

struct Link {
  std::unique_ptr<peer::Client> client;
  std::uint64_t last_round = 0;
};

}  // namespace

struct Node::Impl : std::enable_shared_from_this<Node::Impl> {
  Impl(asio::io_context& event_loop, View initial,
       std::function<void(const Transition&)> callback, std::string source)
      : loop(event_loop),
        timer(event_loop),
        view(std::move(initial)),
        on_transition(std::move(callback)),
        source_ip(std::move(source)) {}

  void RunRound();
  void Send(const Target& target, core::MonotonicTime now);
  void Take(const std::string& body);
  void Announce(const std::vector<Transition>& transitions);
  void CloseIdleLinks();

  asio::io_context& loop;
  asio::steady_timer timer;
  View view;
  std::function<void(const Transition&)> on_transition;
  std::string source_ip;
  std::map<core::Address, Link> links;
  bool closed = false;
};

void Node::Impl::RunRound() {
  const core::MonotonicTime now = core::MonotonicNow();
  const Round round = BeginRound(view, now);
  Announce(round.transitions);
  for (const Target& target : round.targets) {
    Send(target, now);
  }
  CloseIdleLinks();
  timer.expires_after(view.config.interval);
  timer.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error && !self->closed) {
      self->RunRound();
    }
  });
}

void Node::Impl::Send(const Target& target, core::MonotonicTime now) {
  Link& link = links[target.address];
  if (!link.client) {
    peer::ClientOptions options;
    options.max_body_bytes = kMaxHeartbeatBytes;
    options.connect_timeout = view.config.interval;
    options.source_ip = source_ip;
    link.client = std::make_unique<peer::Client>(loop, target.address, options);
  }
  link.last_round = view.rounds;
  const Heartbeat heartbeat = MakeHeartbeat(view, target.process, nullptr, now);
  link.client->Send({kHeartbeatPath, Encode(heartbeat)}, view.config.interval,
                    [weak = weak_from_this()](const peer::Result& result) {
                      const auto self = weak.lock();
                      if (self && !self->closed && result.has_value() &&
                          result.value().status == peer::kStatusOk) {
                        self->Take(result.value().body);
                      }
                    });
}

void Node::Impl::Take(const std::string& body) {
  if (const auto heartbeat = Decode(body)) {
    Announce(Receive(view, *heartbeat, core::MonotonicNow()));
  }
}

void Node::Impl::Announce(const std::vector<Transition>& transitions) {
  for (const Transition& transition : transitions) {
    if (on_transition) {
      on_transition(transition);
    }
  }
}

void Node::Impl::CloseIdleLinks() {
  std::erase_if(links, [this](const auto& entry) {
    return view.rounds - entry.second.last_round > kIdleRounds;
  });
}

Node::Node(asio::io_context& loop, View view,
           std::function<void(const Transition&)> on_transition,
           std::string source_ip)
    : impl_(std::make_shared<Impl>(loop, std::move(view),
                                   std::move(on_transition),
                                   std::move(source_ip))) {}

Node::~Node() {
  impl_->closed = true;
  impl_->timer.cancel();
  impl_->links.clear();
}

void Node::Start() { impl_->RunRound(); }

void Node::Handle(const peer::Request& request, const peer::Respond& respond) {
  const auto heartbeat = request.body.size() > kMaxHeartbeatBytes
                             ? std::nullopt
                             : Decode(request.body);
  if (!heartbeat) {
    telemetry::Log(telemetry::Level::kWarning, "malformed heartbeat",
                   {{"bytes", std::to_string(request.body.size())}});
    respond({peer::kStatusBadRequest, {}});
    return;
  }
  const core::MonotonicTime now = core::MonotonicNow();
  impl_->Announce(Receive(impl_->view, *heartbeat, now));
  const Heartbeat answer =
      MakeHeartbeat(impl_->view, heartbeat->from.process, &*heartbeat, now);
  respond({peer::kStatusOk, Encode(answer)});
}

void Node::SetReport(core::LogOffset applied, std::uint64_t digest,
                     std::string payload) {
  impl_->view.report.applied = applied;
  impl_->view.report.digest = digest;
  if (payload.size() <= kMaxPayloadBytes) {
    impl_->view.report.payload = std::move(payload);
  } else {
    impl_->view.report.payload.clear();
    telemetry::Log(telemetry::Level::kWarning,
                   "membership payload is above the limit",
                   {{"bytes", std::to_string(payload.size())}});
  }
}

void Node::Tell(const std::set<core::ProcessId>& receivers) {
  // Receivers take a report only if its sequence is above the one they have.
  ++impl_->view.report.sequence;
  const core::MonotonicTime now = core::MonotonicNow();
  for (const core::ProcessId& process : receivers) {
    const auto member = impl_->view.members.find(process);
    if (member != impl_->view.members.end() &&
        member->second.health != Health::kDead) {
      impl_->Send({process, member->second.identity.address}, now);
    }
  }
}

void Node::AddPresence(const Identity& identity) {
  impl_->Announce(Introduce(impl_->view, identity, core::MonotonicNow()));
}

const View& Node::view() const { return impl_->view; }

}  // namespace camphormux::membership
