#include "camphormux/gateway/app.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>

#include <asio/steady_timer.hpp>

#include "camphormux/gateway/app_metrics.hpp"
#include "camphormux/gateway/demand_meter.hpp"
#include "camphormux/gateway/gateway.hpp"
#include "camphormux/gateway/key_store_bridge.hpp"
#include "camphormux/gateway/lease_holder_reports.hpp"
#include "camphormux/gateway/leaving_hosts_poller.hpp"
#include "camphormux/http/client.hpp"
#include "camphormux/idempotency/key_store.hpp"
#include "camphormux/log/appender.hpp"
#include "camphormux/log/http_log_port.hpp"
#include "camphormux/membership/node.hpp"
#include "camphormux/peer/server.hpp"
#include "camphormux/recovery/fetch.hpp"
#include "camphormux/recovery/state_fetcher.hpp"
#include "camphormux/recovery/state_server.hpp"
#include "camphormux/state/codec.hpp"
#include "camphormux/state/fold.hpp"
#include "camphormux/state/snapshot_writer.hpp"
#include "camphormux/state/tailer.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::gateway {
namespace internal {

/// Heartbeats are sent once a second; updating the report more often has no
/// effect.
constexpr core::Millis kReportPeriod = std::chrono::seconds(1);

membership::View MakeMembershipView(const GatewaySettings& settings,
                                    core::Incarnation incarnation) {
  return membership::MakeView(
      {settings.process, state::ProcessRole::kGateway, settings.zone,
       settings.advertised_peer, incarnation},
      settings.seeds, membership::Config{}, core::MonotonicNow());
}

idempotency::KeyStoreOptions MakeKeyStoreOptions(
    const GatewaySettings& settings, core::Incarnation incarnation) {
  idempotency::KeyStoreOptions options;
  options.self = {settings.process, incarnation};
  options.seed = std::random_device{}();
  options.source_ip = settings.source_ip;
  return options;
}

void LogHealthChange(const membership::Transition& transition) {
  const bool dead = transition.after == membership::Health::kDead;
  telemetry::Log(dead ? telemetry::Level::kWarning : telemetry::Level::kDebug,
                 dead ? "process is dead" : "process changed health",
                 {{"member", transition.process.value}});
}

}  // namespace internal

struct App::Impl {
  Impl(asio::io_context& control, const GatewaySettings& checked);

  void Handle(const peer::Request& request, const peer::Respond& respond);
  void Tick();
  void AnnouncePresence();
  void AddNewMembers();
  void UpdateReport();
  void SetHeartbeatReport();
  void ReportToLeaseHolders();
  void ScheduleDirectReports();
  [[nodiscard]] std::optional<core::Address> FindPeerAddress(
      const core::ProcessId& process) const;
  [[nodiscard]] StateQueries MakeStateQueries() const;

  GatewaySettings settings;
  core::Incarnation incarnation;
  std::shared_ptr<prometheus::Registry> registry;
  AppMetrics metrics;
  http::Client client;
  log::LogPort log_port;
  log::Appender appender;
  membership::Node members;
  idempotency::KeyStore key_store;
  Gateway gateway;
  state::Tailer tailer;
  LeavingHostsPoller leaving_poller;
  state::SnapshotWriter snapshots;
  recovery::StateServer state_server;
  recovery::StateFetcher state_fetcher;
  std::optional<peer::Server> peer_server;
  asio::steady_timer timer;
  asio::steady_timer direct_report_timer;
  bool direct_reports_scheduled = false;
  DemandMeter demand_meter;
  demand::ServiceIndexes indexes;
  demand::Summary last_demand;
  LeaseHolderReports sent_reports;
  /// Offset and digest in the heartbeats. They describe a state that all
  /// traffic threads have applied.
  core::LogOffset reported_offset;
  std::uint64_t reported_digest = 0;
  state::DigestCache digests;
  /// Incarnations of the processes from the log that were added to membership.
  std::map<core::ProcessId, core::Incarnation> added_members;
  bool announced = false;
};

App::Impl::Impl(asio::io_context& control, const GatewaySettings& checked)
    : settings(checked),
      incarnation{static_cast<std::uint64_t>(
          core::WallNow().time_since_epoch().count())},
      registry(std::make_shared<prometheus::Registry>()),
      metrics(*registry),
      client(control, settings.source_ip),
      log_port(log::MakeHttpLogPort(client, settings.platform)),
      appender(control, log_port, log::kStateStream),
      members(control, internal::MakeMembershipView(settings, incarnation),
              internal::LogHealthChange, settings.source_ip),
      key_store(control, log_port,
                internal::MakeKeyStoreOptions(settings, incarnation),
                [this](const core::ProcessId& process) {
                  return FindPeerAddress(process);
                }),
      gateway(control, settings, registry,
              MakeKeyStoreFactory(control, key_store)),
      tailer(control, log_port,
             [this](const state::FleetState& state) {
               // The state may be outdated until the log has been read to its
               // end.
               if (tailer.ready().ready) {
                 gateway.Publish(state);
                 ScheduleDirectReports();
               }
             }),
      leaving_poller(
          control, client, settings.platform, *registry,
          {[this]() -> const state::FleetState& { return tailer.state(); },
           [this](const auto& hosts) { gateway.SetLeaving(hosts); }},
          core::SeededRandom(std::random_device{}())),
      snapshots(control, appender, tailer, settings.process, {},
                [] { return false; }),
      state_server(tailer, settings.process),
      state_fetcher(control, tailer, members,
                    core::SeededRandom(std::random_device{}())),
      timer(control),
      direct_report_timer(control) {
  gateway.SetStateQueries(MakeStateQueries());
  if (settings.peer) {
    peer_server.emplace(
        control, *settings.peer,
        [this](const peer::Request& request, const peer::Respond& respond) {
          Handle(request, respond);
        });
  }
}

StateQueries App::Impl::MakeStateQueries() const {
  return {[this] { return state::Digest(tailer.state()); },
          [this] { return tailer.last_confirmed_sent(); },
          [this] { return tailer.last_answered(); },
          [this] {
            const state::Readiness readiness = state_fetcher.ready();
            return readiness.ready ? std::string() : readiness.reason;
          }};
}

void App::Impl::Handle(const peer::Request& request,
                       const peer::Respond& respond) {
  if (request.path == membership::kHeartbeatPath) {
    members.Handle(request, respond);
  } else if (request.path == idempotency::kAnswerPath) {
    key_store.Handle(request, respond);
  } else if (request.path == recovery::kChunkPath) {
    state_server.Handle(request, respond);
  } else {
    respond({peer::kStatusNotFound, ""});
  }
}

std::optional<core::Address> App::Impl::FindPeerAddress(
    const core::ProcessId& process) const {
  const auto& known = members.view().members;
  if (const auto member = known.find(process); member != known.end()) {
    return member->second.identity.address;
  }
  const auto& announced = tailer.state().presence;
  if (const auto found = announced.find(process); found != announced.end()) {
    return found->second.peer_address;
  }
  return std::nullopt;
}

void App::Impl::Tick() {
  if (settings.peer) {
    AnnouncePresence();
    AddNewMembers();
    UpdateReport();
  }
  metrics.Set(tailer.follower());
  metrics.Set(key_store.claims());
  metrics.Set(members.view());
  timer.expires_after(internal::kReportPeriod);
  timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

void App::Impl::AnnouncePresence() {
  if (announced || !tailer.at_end()) {
    return;
  }
  announced = true;
  const state::PresenceNotice notice{
      settings.process, state::ProcessRole::kGateway, settings.zone,
      settings.advertised_peer, incarnation};
  appender.Append(state::EncodeRecords({notice}),
                  [this](const log::AppendResult& result) {
                    announced = result.has_value();
                  });
}

void App::Impl::AddNewMembers() {
  for (const auto& [id, presence] : tailer.state().presence) {
    const auto known = added_members.find(id);
    if (known == added_members.end() || known->second < presence.incarnation) {
      added_members[id] = presence.incarnation;
      members.AddPresence({id, presence.role, presence.zone,
                           presence.peer_address, presence.incarnation});
    }
  }
}

void App::Impl::UpdateReport() {
  last_demand = Measure(demand_meter, SampleLoad(gateway.metrics()),
                        core::MonotonicNow());
  const state::FleetState& state = tailer.state();
  const bool has_digest = state.next == reported_offset && reported_digest != 0;
  if (!has_digest && gateway.applied_offset() == state.next) {
    reported_offset = state.next;
    reported_digest = state::Digest(state, digests);
  }
  SetHeartbeatReport();
  ReportToLeaseHolders();
}

void App::Impl::SetHeartbeatReport() {
  const state::FleetState& state = tailer.state();
  // Controllers release a drained host based on this report, so it must not
  // contain an offset that some traffic thread has not applied. It must not
  // describe a partially loaded state either, because other processes cannot
  // fetch that.
  if (tailer.ready().ready && gateway.applied_offset() == state.next) {
    // Computing the digest of a large state takes milliseconds, so it is not
    // done for each direct report.
    reported_digest = state.next == reported_offset ? reported_digest : 0;
    reported_offset = state.next;
  }
  demand::UpdateIndexes(indexes, state.text);
  members.SetReport(
      reported_offset, reported_digest,
      demand::EncodeSummary(last_demand,
                            indexes.known.empty() ? demand::ServiceIndex{}
                                                  : indexes.known.front(),
                            membership::kMaxPayloadBytes));
}

void App::Impl::ReportToLeaseHolders() {
  const core::LogOffset next = tailer.state().next;
  const core::LogOffset applied =
      gateway.applied_offset() == next ? next : reported_offset;
  const std::set<core::ProcessId> holders =
      HoldersToReportTo(tailer.state(), applied, last_demand, sent_reports);
  if (!holders.empty()) {
    SetHeartbeatReport();
    members.Tell(holders);
  }
}

/// Schedules direct reports for a new state; they are sent once all traffic
/// threads have applied it.
void App::Impl::ScheduleDirectReports() {
  if (direct_reports_scheduled || !settings.peer) {
    return;
  }
  direct_reports_scheduled = true;
  direct_report_timer.expires_after(kMinDirectReportInterval);
  direct_report_timer.async_wait([this](const asio::error_code& error) {
    if (error) {
      return;
    }
    direct_reports_scheduled = false;
    if (gateway.applied_offset() == tailer.state().next) {
      ReportToLeaseHolders();
    } else {
      ScheduleDirectReports();
    }
  });
}

App::App(asio::io_context& control, const GatewaySettings& settings)
    : impl_(std::make_unique<Impl>(control, settings)) {}

App::~App() = default;

void App::Start() {
  impl_->tailer.Start();
  impl_->leaving_poller.Start();
  impl_->key_store.Start();
  impl_->snapshots.Start();
  if (impl_->settings.peer) {
    impl_->members.Start();
    impl_->state_fetcher.Start();
  }
  impl_->Tick();
}

void App::Shutdown(std::function<void()> done) {
  impl_->gateway.Shutdown(std::move(done));
}

}  // namespace camphormux::gateway
