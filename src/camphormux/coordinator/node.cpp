#include "camphormux/coordinator/node.hpp"

#include <cmath>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include <asio/post.hpp>

#include "camphormux/coordinator/candidate_rank.hpp"
#include "camphormux/core/boot_time.hpp"
#include "camphormux/http/connection_budget.hpp"
#include "camphormux/scheduler/hosts.hpp"
#include "camphormux/telemetry/guard.hpp"
#include "camphormux/telemetry/log.hpp"
#include "camphormux/telemetry/metrics.hpp"

namespace camphormux::coordinator {
namespace internal {

constexpr core::Millis kCheckInterval{100};
constexpr core::Millis kPingInterval{500};
constexpr core::Millis kPingTimeout{600};
/// Interval between polls of the other nodes by a holder without the store; a
/// small part of the time for which one confirmation lasts.
constexpr core::Millis kPollInterval{1000};
constexpr core::Millis kPollTimeout{800};
/// After this time without a holder the node is not ready, so that the balancer
/// sends callers to other nodes.
constexpr core::Millis kMaxTimeWithoutHolder{2500};
/// A holder with 50 hosts and 60 jobs per second needs up to a fifth of a core.
constexpr double kMinHolderShare = 0.2;
/// A holder whose ownership the store no longer confirms continues while it
/// reaches more than this share of the hosts: with fewer, it does more harm by
/// holding up its callers than good.
constexpr double kMajorityShare = 0.5;
/// Time in which hosts that answer have answered. Idle hosts are asked only
/// once the store does not confirm the ownership any more.
constexpr core::Millis kHostProbeTime{1000};
/// Time in which nodes that start together are all listed.
constexpr core::Millis kListingTime{8000};
constexpr double kMilliCoresPerCore = 1000;
/// Part of the memory that streams of other nodes may hold.
constexpr std::int64_t kPeerMemoryParts = 8;
constexpr std::int64_t kBytesPerMebibyte = std::int64_t{1} << 20;
/// Part of the descriptors that connections of other nodes may take. A node has
/// up to four to another one.
constexpr std::int64_t kPeerDescriptorParts = 8;
/// A request of another node arrives, and its response is taken, in less.
constexpr core::Millis kPeerStall{2000};

Member AsMember(const NodeSettings& settings) {
  Member member;
  member.address = settings.peer;
  member.zone = settings.zone;
  member.processor.value =
      std::lround(settings.processor_share * kMilliCoresPerCore);
  return member;
}

peer::ServerOptions PeerOptions(const NodeSettings& settings,
                                prometheus::Registry& registry) {
  peer::ServerOptions options;
  options.max_connections =
      static_cast<std::size_t>(settings.max_descriptors / kPeerDescriptorParts);
  options.budget = std::make_shared<http::ConnectionBudget>();
  options.budget->options.total.value =
      settings.memory.value * kBytesPerMebibyte / kPeerMemoryParts;
  options.budget->options.stalled_after = kPeerStall;
  std::map<http::ConnectionRefusal, prometheus::Counter*> counters;
  for (const auto reason : {http::ConnectionRefusal::kMemoryShort,
                            http::ConnectionRefusal::kRequestRefused,
                            http::ConnectionRefusal::kTooManyConnections}) {
    counters[reason] = &telemetry::AddCounter(
        registry, "camphormux_peer_connections_refused_total",
        "Requests refused and connections closed at the listener for other "
        "nodes, by reason.",
        {{"reason", http::Name(reason)}});
  }
  options.budget->options.on_refusal = [counters](
                                           http::ConnectionRefusal reason) {
    counters.at(reason)->Increment();
    telemetry::Log(telemetry::LogRateClass::kFrequent, telemetry::Level::kInfo,
                   "peer outside the limits", {{"reason", http::Name(reason)}});
  };
  return options;
}

}  // namespace internal

Node::Node(asio::io_context& loop, NodeSettings settings, Ports ports,
           PeerForwarder& peer_forwarder)
    : loop_(loop),
      settings_(std::move(settings)),
      ports_(std::move(ports)),
      registry_(std::make_shared<prometheus::Registry>()),
      node_metrics_(RegisterNodeMetrics(*registry_)),
      holder_client_(loop, settings_.peer.ip),
      host_agent_(std::make_shared<HostAgent>(loop, ports_.host)),
      confirmation_poll_(
          loop, settings_.peer,
          scheduler::PreviousLeasesDuration(settings_.scheduler)),
      server_(
          loop, settings_.peer,
          [this](const peer::Request& request, const peer::Respond& respond) {
            const bool served = telemetry::RunGuarded(
                request.path, [&] { ServePeer(request, respond); });
            if (!served) {
              respond({peer::kStatusInternalError, ""});
            }
          },
          internal::PeerOptions(settings_, *registry_)),
      check_timer_(loop) {
  election_ = std::make_shared<Election>(
      loop, ports_.election,
      Election::Listener{[this](core::Epoch token) { OnGain(token); },
                         [this] { OnLoss(); },
                         [this, &peer_forwarder](const auto& members) {
                           OnMembers(members, peer_forwarder);
                         }},
      [this] { return candidate_rank(); },
      settings_.processor_share < internal::kMinHolderShare);
  job_frontend_ = std::make_shared<JobFrontend>(loop, holder_client_,
                                                node_metrics_, [this] {
                                                  if (!holder_) {
                                                    election_->Refresh();
                                                  }
                                                });
}

void Node::ServePeer(const peer::Request& request,
                     const peer::Respond& respond) {
  if (request.path == kForwardPath) {
    ports_.serve_forwarded(request.body, [respond](std::string result) {
      respond({peer::kStatusOk, std::move(result)});
    });
  } else if (request.path == kHostCallsPath) {
    host_agent_->Serve(request, respond);
  } else if (request.path == kConfirmHolderPath) {
    // Without a catalog this node cannot become the holder.
    const HolderView view{holder_ != nullptr,
                          !catalog_ || election_->is_store_lost(),
                          election_->holder()};
    respond(AnswerConfirmHolder(view, request));
  } else {
    ServeHolderRequest(holder_, request, respond);
  }
}

void Node::Start() {
  ports_.feed.start(
      {[this](workload::Catalog catalog) { OnCatalog(std::move(catalog)); },
       [this](const scheduler::WaveRequest& wave) {
         waves_[wave.id] = wave;
         if (holder_) {
           holder_->OnWave(wave);
         }
       },
       [this](const std::vector<scheduler::HostListing>& hosts,
              core::MonotonicTime trusted_from) {
         if (holder_) {
           host_router_->SetHosts(hosts.size());
           holder_->OnHosts(hosts, trusted_from);
         }
       },
       [this](const std::vector<scheduler::Heartbeat>& heartbeats) {
         if (holder_) {
           holder_->OnHeartbeats(heartbeats);
         }
       }});
  CheckHolder();
}

void Node::OnCatalog(workload::Catalog catalog) {
  const bool first = !catalog_;
  if (!first && catalog.version < catalog_->version) {
    telemetry::Log(telemetry::Level::kWarning, "older catalog ignored",
                   {{"version", std::to_string(catalog.version.value)}});
    return;
  }
  if (first || catalog.version > catalog_->version) {
    telemetry::Log(telemetry::Level::kInfo, "catalog in force",
                   {{"version", std::to_string(catalog.version.value)},
                    {"queues", std::to_string(catalog.queues.size())}});
  }
  catalog_ = std::move(catalog);
  if (holder_) {
    holder_->OnCatalog(*catalog_);
  }
  if (first && !leaving_) {
    election_->Start();
  }
}

void Node::OnGain(core::Epoch token) {
  telemetry::Log(telemetry::Level::kInfo, "ownership gained",
                 {{"token", std::to_string(token.value)}});
  holder_client_.SetHolder(std::nullopt);
  host_router_ = std::make_shared<HostRouter>(
      loop_, ports_.host, settings_.peer, token, node_metrics_);
  host_router_->SetMembers(members_);
  Ports ports = ports_;
  ports.host = host_router_->MakePort();
  holder_ = std::make_shared<Holder>(
      loop_, settings_.scheduler, ports, token, node_metrics_,
      Authority{[this] { return election_->is_confirmed(); },
                [this] { return authority_left(); },
                [this] { return election_->since_confirmation(); }},
      [this] {
        StopHolder();
        election_->Rejoin();
      });
  holder_->Start(*catalog_);
  for (const auto& [id, wave] : waves_) {
    holder_->OnWave(wave);
  }
  ports_.feed.follow_hosts(true);
  job_frontend_->SetHolder(holder_);
}

void Node::OnMembers(const std::vector<Member>& members,
                     PeerForwarder& peer_forwarder) {
  members_ = members;
  if (!members_known_since_) {
    members_known_since_ = core::MonotonicNow();
  }
  std::vector<core::Address> addresses;
  addresses.reserve(members.size());
  for (const Member& member : members) {
    addresses.push_back(member.address);
  }
  peer_forwarder.SetMembers(addresses);
  confirmation_poll_.SetMembers(members, core::MonotonicNow());
  if (host_router_) {
    host_router_->SetMembers(members);
    telemetry::Log(telemetry::Level::kInfo, "list of nodes has changed",
                   {{"nodes", std::to_string(members.size())}});
  }
}

std::size_t Node::candidate_rank() const {
  // Nodes that start together are listed one after the other, and know
  // different members until then.
  const bool is_list_complete =
      members_known_since_ &&
      core::MonotonicNow() >= *members_known_since_ + internal::kListingTime;
  return CandidateRank(internal::AsMember(settings_),
                       is_list_complete ? members_ : std::vector<Member>(),
                       election_->holder());
}

void Node::OnLoss() {
  telemetry::Log(telemetry::Level::kInfo, "ownership given up");
  StopHolder();
}

void Node::StopHolder() {
  ports_.feed.follow_hosts(false);
  job_frontend_->SetHolder(nullptr);
  if (const auto holder = std::exchange(holder_, nullptr)) {
    holder->Stop();
    host_router_->Close();
    host_router_.reset();
  }
}

bool Node::is_ready() const {
  if (leaving_ || !catalog_) {
    return false;
  }
  return (holder_ && holder_->is_ready()) ||
         core::MonotonicNow() <
             last_holder_answer_ + internal::kMaxTimeWithoutHolder;
}

void Node::CheckHolder() {
  telemetry::FlushLog();
  const core::MonotonicTime now = core::MonotonicNow();
  if (holder_) {
    CheckUnconfirmedHolder(now);
  } else {
    holder_client_.SetHolder(election_->holder());
    PingHolder(now);
  }
  check_timer_.expires_after(internal::kCheckInterval);
  check_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      CheckHolder();
    }
  });
}

core::Millis Node::authority_left() const {
  return AuthorityLeft(election_->since_confirmation(),
                       scheduler::PreviousLeasesDuration(settings_.scheduler));
}

void Node::CheckUnconfirmedHolder(core::MonotonicTime now) {
  if (election_->is_confirmed()) {
    if (last_poll_unanimous_) {
      last_poll_unanimous_.reset();
      confirmation_poll_.Disconnect();
    }
    return;
  }
  const char* reason = nullptr;
  const bool hosts_were_asked = election_->since_confirmation() >=
                                kOwnershipTtl + internal::kHostProbeTime;
  if (hosts_were_asked &&
      holder_->reachable_share() <= internal::kMajorityShare) {
    reason = "ownership given up: neither the store nor most hosts answer";
  } else if (authority_left().count() == 0) {
    reason =
        "ownership given up: neither the store nor all other nodes confirm it";
  }
  if (reason == nullptr) {
    AskOtherNodes(now);
    return;
  }
  telemetry::Log(telemetry::Level::kWarning, reason,
                 {{"token", std::to_string(holder_->token().value)},
                  {"unconfirmed_ms",
                   std::to_string(election_->since_confirmation().count())}});
  StopHolder();
  election_->Rejoin();
}

void Node::AskOtherNodes(core::MonotonicTime now) {
  if (poll_pending_ || now < last_poll_ + internal::kPollInterval) {
    return;
  }
  poll_pending_ = true;
  last_poll_ = now;
  confirmation_poll_.Ask(
      internal::kPollTimeout,
      [this, token = holder_->token(),
       asked = core::BootTime()](const ConfirmationPoll::Round& round) {
        poll_pending_ = false;
        // An ownership that has lapsed meanwhile stays lapsed: a successor may
        // have come and gone.
        if (!holder_ || holder_->token() != token ||
            authority_left().count() == 0) {
          return;
        }
        const bool is_confirmed = round.is_unanimous();
        if (is_confirmed) {
          election_->ConfirmByNodes(asked);
        }
        if (last_poll_unanimous_ != is_confirmed) {
          last_poll_unanimous_ = is_confirmed;
          telemetry::Log(telemetry::Level::kWarning,
                         is_confirmed
                             ? "ownership confirmed by the other nodes"
                             : "ownership not confirmed by the other nodes",
                         {{"token", std::to_string(token.value)},
                          {"asked", std::to_string(round.asked)},
                          {"confirmed", std::to_string(round.confirmed)}});
        }
      });
}

void Node::PingHolder(core::MonotonicTime now) {
  if (ping_pending_ || !holder_client_.has_holder() ||
      now < last_ping_ + internal::kPingInterval) {
    return;
  }
  ping_pending_ = true;
  last_ping_ = now;
  holder_client_.Ping(internal::kPingTimeout, [this](bool answered) {
    ping_pending_ = false;
    if (answered) {
      last_holder_answer_ = core::MonotonicNow();
    } else {
      election_->Refresh();
    }
  });
}

void Node::Leave(core::MonotonicTime last_answer_time) {
  leaving_ = true;
  job_frontend_->SetLastAnswerTime(last_answer_time);
  host_agent_->Leave();
  telemetry::Log(telemetry::Level::kInfo, "stopping",
                 {{"holder", holder_ ? "yes" : "no"}});
  StopHolder();
  election_->Leave([] {});
}

}  // namespace camphormux::coordinator
