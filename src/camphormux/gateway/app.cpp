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
#include "camphormux/gateway/holder_news.hpp"
#include "camphormux/gateway/key_store_bridge.hpp"
#include "camphormux/gateway/leaving_reader.hpp"
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

/// Heartbeats go once a second, so reports more often would not be seen.
constexpr core::Millis kReportPeriod = std::chrono::seconds(1);

membership::View NewView(const GatewaySettings& settings,
                         core::Incarnation incarnation) {
  return membership::MakeView(
      {settings.process, state::ProcessRole::kGateway, settings.zone,
       settings.advertised_peer, incarnation},
      settings.seeds, membership::Config{}, core::MonotonicNow());
}

idempotency::KeyStoreOptions KeyOptions(const GatewaySettings& settings,
                                        core::Incarnation incarnation) {
  idempotency::KeyStoreOptions options;
  options.self = {settings.process, incarnation};
  options.seed = std::random_device{}();
  options.source_ip = settings.source_ip;
  return options;
}

void LogTransition(const membership::Transition& transition) {
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
  void Announce();
  void Introduce();
  void Report();
  void SetReport();
  void TellHolders();
  void ScheduleNews();
  [[nodiscard]] std::optional<core::Address> Locate(
      const core::ProcessId& process) const;
  [[nodiscard]] StateView View() const;

  GatewaySettings settings;
  core::Incarnation incarnation;
  std::shared_ptr<prometheus::Registry> registry;
  AppMetrics metrics;
  http::Client client;
  log::LogPort port;
  log::Appender appender;
  membership::Node members;
  idempotency::KeyStore keys;
  Gateway gateway;
  state::Tailer tailer;
  LeavingReader leaving;
  state::SnapshotWriter snapshots;
  recovery::StateServer source;
  recovery::StateFetcher fetcher;
  std::optional<peer::Server> peer_server;
  asio::steady_timer timer;
  asio::steady_timer news_timer;
  bool news_scheduled = false;
  DemandMeter demand;
  demand::ServiceIndexes indexes;
  demand::Summary last_demand;
  HolderNews news;
  /// Offset and digest that heartbeats tell: of a state that all traffic
  /// threads use.
  core::LogOffset told_offset;
  std::uint64_t told_digest = 0;
  state::DigestCache digests;
  /// Processes of the log that membership was told of.
  std::map<core::ProcessId, core::Incarnation> introduced;
  bool announced = false;
};

App::Impl::Impl(asio::io_context& control, const GatewaySettings& checked)
    : settings(checked),
      incarnation{static_cast<std::uint64_t>(
          core::WallNow().time_since_epoch().count())},
      registry(std::make_shared<prometheus::Registry>()),
      metrics(*registry),
      client(control, settings.source_ip),
      port(log::MakeHttpLogPort(client, settings.platform)),
      appender(control, port, log::kStateStream),
      members(control, internal::NewView(settings, incarnation),
              internal::LogTransition, settings.source_ip),
      keys(control, port, internal::KeyOptions(settings, incarnation),
           [this](const core::ProcessId& process) { return Locate(process); }),
      gateway(control, settings, registry, MakeKeyStoreFactory(control, keys)),
      tailer(control, port,
             [this](const state::FleetState& state) {
               // Until the log is read to its end the state may be an old one.
               if (tailer.ready().ready) {
                 gateway.Publish(state);
                 ScheduleNews();
               }
             }),
      leaving(control, client, settings.platform, *registry,
              {[this]() -> const state::FleetState& { return tailer.state(); },
               [this](const auto& hosts) { gateway.SetLeaving(hosts); }},
              core::SeededRandom(std::random_device{}())),
      snapshots(control, appender, tailer, settings.process, {},
                [] { return false; }),
      source(tailer, settings.process),
      fetcher(control, tailer, members,
              core::SeededRandom(std::random_device{}())),
      timer(control),
      news_timer(control) {
  gateway.SetView(View());
  if (settings.peer) {
    peer_server.emplace(
        control, *settings.peer,
        [this](const peer::Request& request, const peer::Respond& respond) {
          Handle(request, respond);
        });
  }
}

StateView App::Impl::View() const {
  return {[this] { return state::Digest(tailer.state()); },
          [this] { return tailer.last_confirmed_sent(); },
          [this] { return tailer.last_answered(); },
          [this] {
            const state::Readiness readiness = fetcher.ready();
            return readiness.ready ? std::string() : readiness.reason;
          }};
}

void App::Impl::Handle(const peer::Request& request,
                       const peer::Respond& respond) {
  if (request.path == membership::kHeartbeatPath) {
    members.Handle(request, respond);
  } else if (request.path == idempotency::kAnswerPath) {
    keys.Handle(request, respond);
  } else if (request.path == recovery::kChunkPath) {
    source.Handle(request, respond);
  } else {
    respond({peer::kStatusNotFound, ""});
  }
}

std::optional<core::Address> App::Impl::Locate(
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
    Announce();
    Introduce();
    Report();
  }
  metrics.Set(tailer.follower());
  metrics.Set(keys.claims());
  metrics.Set(members.view());
  timer.expires_after(internal::kReportPeriod);
  timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

void App::Impl::Announce() {
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

void App::Impl::Introduce() {
  for (const auto& [id, presence] : tailer.state().presence) {
    const auto known = introduced.find(id);
    if (known == introduced.end() || known->second < presence.incarnation) {
      introduced[id] = presence.incarnation;
      members.AddPresence({id, presence.role, presence.zone,
                           presence.peer_address, presence.incarnation});
    }
  }
}

void App::Impl::Report() {
  last_demand =
      Measure(demand, SampleLoad(gateway.metrics()), core::MonotonicNow());
  const state::FleetState& state = tailer.state();
  const bool has_digest = state.next == told_offset && told_digest != 0;
  if (!has_digest && gateway.applied() == state.next) {
    told_offset = state.next;
    told_digest = state::Digest(state, digests);
  }
  SetReport();
  TellHolders();
}

void App::Impl::SetReport() {
  const state::FleetState& state = tailer.state();
  // Controllers release a drained host on this report, so it must not tell an
  // offset that some traffic thread has not applied.
  // Nor a partial state, which others could not take.
  if (tailer.ready().ready && gateway.applied() == state.next) {
    // A digest takes milliseconds of a large state, so it is not computed for
    // each direct report.
    told_digest = state.next == told_offset ? told_digest : 0;
    told_offset = state.next;
  }
  demand::UpdateIndexes(indexes, state.text);
  members.SetReport(
      told_offset, told_digest,
      demand::EncodeSummary(last_demand,
                            indexes.known.empty() ? demand::ServiceIndex{}
                                                  : indexes.known.front(),
                            membership::kMaxPayloadBytes));
}

void App::Impl::TellHolders() {
  const core::LogOffset next = tailer.state().next;
  const core::LogOffset applied =
      gateway.applied() == next ? next : told_offset;
  const std::set<core::ProcessId> holders =
      HoldersToTell(tailer.state(), applied, last_demand, news);
  if (!holders.empty()) {
    SetReport();
    members.Tell(holders);
  }
}

/// Tells of a new state soon after the traffic threads applied it.
void App::Impl::ScheduleNews() {
  if (news_scheduled || !settings.peer) {
    return;
  }
  news_scheduled = true;
  news_timer.expires_after(kShortestNewsGap);
  news_timer.async_wait([this](const asio::error_code& error) {
    if (error) {
      return;
    }
    news_scheduled = false;
    if (gateway.applied() == tailer.state().next) {
      TellHolders();
    } else {
      ScheduleNews();
    }
  });
}

App::App(asio::io_context& control, const GatewaySettings& settings)
    : impl_(std::make_unique<Impl>(control, settings)) {}

App::~App() = default;

void App::Start() {
  impl_->tailer.Start();
  impl_->leaving.Start();
  impl_->keys.Start();
  impl_->snapshots.Start();
  if (impl_->settings.peer) {
    impl_->members.Start();
    impl_->fetcher.Start();
  }
  impl_->Tick();
}

void App::Shutdown(std::function<void()> done) {
  impl_->gateway.Shutdown(std::move(done));
}

}  // namespace camphormux::gateway
