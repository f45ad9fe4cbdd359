#include "camphormux/controller/app.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include <asio/steady_timer.hpp>

#include "camphormux/controller/admin.hpp"
#include "camphormux/controller/collector.hpp"
#include "camphormux/controller/job_view.hpp"
#include "camphormux/controller/lease_manager.hpp"
#include "camphormux/controller/liveness.hpp"
#include "camphormux/controller/metrics.hpp"
#include "camphormux/controller/outbox.hpp"
#include "camphormux/controller/platform_client.hpp"
#include "camphormux/controller/step.hpp"
#include "camphormux/core/random.hpp"
#include "camphormux/dispatch/runner.hpp"
#include "camphormux/http/client.hpp"
#include "camphormux/http/server.hpp"
#include "camphormux/log/appender.hpp"
#include "camphormux/log/http_log_port.hpp"
#include "camphormux/membership/node.hpp"
#include "camphormux/ownership/lease.hpp"
#include "camphormux/peer/server.hpp"
#include "camphormux/recovery/fetch.hpp"
#include "camphormux/recovery/state_fetcher.hpp"
#include "camphormux/recovery/state_server.hpp"
#include "camphormux/state/codec.hpp"
#include "camphormux/state/fold.hpp"
#include "camphormux/state/log_contact.hpp"
#include "camphormux/state/snapshot_writer.hpp"
#include "camphormux/state/tailer.hpp"
#include "camphormux/telemetry/log.hpp"
#include "camphormux/telemetry/trace.hpp"

namespace camphormux::controller {
namespace internal {

using telemetry::Level;

constexpr std::size_t kSpanQueueSize = 1024;
/// Maximum time to wait for records and calls in flight when the process stops.
constexpr core::Millis kStopTimeout = std::chrono::seconds(5);
constexpr core::Millis kStopPollPeriod{20};
/// Period in which the digest in the heartbeats is updated. Computing it takes
/// milliseconds for a large state, and a higher rate gains nothing.
constexpr core::Millis kReportPeriod = std::chrono::seconds(1);
/// Minimum time between two steps; limits the processor time that events cost.
constexpr core::Millis kMinStepInterval{50};

membership::View MakeMembershipView(const Settings& settings,
                                    core::Incarnation incarnation) {
  return membership::MakeView(
      {settings.process, state::ProcessRole::kController, settings.zone,
       settings.advertised_peer, incarnation},
      settings.seeds, membership::Config{}, core::MonotonicNow());
}

void LogTransition(const membership::Transition& transition) {
  const bool dead = transition.after == membership::Health::kDead;
  telemetry::Log(dead ? Level::kWarning : Level::kDebug,
                 dead ? "process is dead" : "process changed health",
                 {{"member", transition.process.value}});
}

state::SnapshotPolicy MakeSnapshotPolicy(const Settings& settings) {
  state::SnapshotPolicy policy;
  policy.retention = settings.retention;
  return policy;
}

std::int64_t UnixNanos() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace internal

struct App::Impl : std::enable_shared_from_this<App::Impl> {
  Impl(asio::io_context& event_loop, const Settings& checked);

  void Start();
  void Stop(std::function<void()> done);
  void Close();
  void Schedule(core::Millis delay);
  void ScheduleEarlyStep();
  void Tick();
  void AnnouncePresence();
  void SyncMembership();
  void UpdateContact(core::MonotonicTime now);
  void StepControl(core::MonotonicTime now);
  void StepJobs(core::MonotonicTime now);
  void CountFailedCalls();
  void AppendRecords(const std::vector<state::Record>& records);
  [[nodiscard]] bool AllSettled() const;
  [[nodiscard]] bool OwnsSnapshots() const;
  void ReportStep(const StepInput& input, const StepResult& result,
                  std::int64_t started);
  void ReleaseWhenIdle(core::MonotonicTime deadline,
                       std::function<void()> done);
  [[nodiscard]] bool HasNothingInFlight() const;
  [[nodiscard]] StatusInput Status() const;
  [[nodiscard]] std::optional<std::string> NotReady() const;

  asio::io_context& loop;
  Settings settings;
  core::Random random;
  http::Client client;
  log::LogPort port;
  core::Incarnation incarnation;
  membership::Node members;
  std::optional<peer::Server> peer_server;
  state::Tailer tailer;
  log::Appender appender;
  state::SnapshotWriter snapshots;
  recovery::StateServer state_server;
  recovery::StateFetcher fetcher;
  Collector collector;
  demand::ServiceIndexes indexes;
  ZoneLiveness liveness;
  state::LogContact contact;
  dispatch::Runner jobs;
  LeaseManager lease;
  StepMemory memory;
  StepResult last;
  Metrics metrics;
  JobMetrics job_metrics;
  telemetry::SpanExporter spans;
  asio::steady_timer timer;
  core::MonotonicTime last_tick;
  std::optional<PendingStep> pending;
  std::optional<http::Server> admin;
  core::LogOffset reported_offset;
  core::MonotonicTime reported_at;
  state::DigestCache digests;
  /// Processes from the log that were added to the membership.
  std::map<core::ProcessId, core::Incarnation> known_members;
  bool presence_announced = false;
  bool stopping = false;
};

App::Impl::Impl(asio::io_context& event_loop, const Settings& checked)
    : loop(event_loop),
      settings(checked),
      random(core::SeededRandom(std::random_device{}())),
      client(loop, settings.source_ip),
      port(log::MakeHttpLogPort(client, settings.platform)),
      incarnation{static_cast<std::uint64_t>(
          core::WallNow().time_since_epoch().count())},
      members(loop, internal::MakeMembershipView(settings, incarnation),
              internal::LogTransition, settings.source_ip),
      tailer(loop, port,
             [this](const state::FleetState&) {
               if (pending) {
                 ScheduleEarlyStep();
               }
             }),
      appender(loop, port, log::kStateStream),
      snapshots(loop, appender, tailer, settings.process,
                internal::MakeSnapshotPolicy(settings),
                [this] { return OwnsSnapshots(); }),
      state_server(tailer, settings.process),
      fetcher(loop, tailer, members, random),
      collector(MakePlatformPort(client, settings.platform), settings.zone,
                [this] { ScheduleEarlyStep(); }),
      jobs(loop, port, dispatch::MakeTaskPort(client, settings.platform),
           settings.zone, settings.retention),
      lease(loop, appender, tailer,
            ownership::MakeLease(settings.zone, settings.process, {}, random)),
      job_metrics(metrics.registry),
      spans("camphormux-controller", settings.trace_file,
            internal::kSpanQueueSize),
      timer(loop) {
  last.idle = IdleReason::kNoLease;
}

void App::Impl::Start() {
  admin.emplace(
      loop, settings.admin,
      [this](const http::ServerRequest& request, const http::Respond& respond) {
        respond(HandleAdminRequest(request,
                                   {Status(), metrics.registry, NotReady()}));
      });
  peer_server.emplace(
      loop, settings.peer,
      [this](const peer::Request& request, const peer::Respond& respond) {
        if (request.path == membership::kHeartbeatPath) {
          members.Handle(request, respond);
          if (!memory.drain_starts.empty()) {
            ScheduleEarlyStep();
          }
        } else if (request.path == recovery::kChunkPath) {
          state_server.Handle(request, respond);
        } else {
          respond({peer::kStatusNotFound, ""});
        }
      });
  members.Start();
  tailer.Start();
  snapshots.Start();
  jobs.Start();
  fetcher.Start();
  Schedule(settings.step);
  telemetry::Log(internal::Level::kInfo, "controller started",
                 {{"zone", settings.zone.value}});
}

void App::Impl::Close() {
  stopping = true;
  timer.cancel();
  if (admin) {
    admin->Close();
  }
  if (peer_server) {
    peer_server->Close();
  }
}

void App::Impl::Schedule(core::Millis delay) {
  timer.expires_after(delay);
  timer.async_wait([self = weak_from_this()](const asio::error_code& error) {
    const auto impl = self.lock();
    if (!error && impl && !impl->stopping) {
      impl->Tick();
      impl->Schedule(impl->settings.step);
    }
  });
}

/// Runs the next step early, because of an event that a step may be waiting
/// for.
void App::Impl::ScheduleEarlyStep() {
  const core::Millis gap =
      std::max(core::Millis{0},
               last_tick + internal::kMinStepInterval - core::MonotonicNow());
  if (!stopping && timer.expiry() > std::chrono::steady_clock::now() + gap) {
    Schedule(gap);
  }
}

void App::Impl::Tick() {
  const core::MonotonicTime now = core::MonotonicNow();
  last_tick = now;
  UpdateZoneLiveness(tailer.state(), now, liveness);
  UpdateContact(now);
  collector.Poll(tailer.state(), lease.HeldEpoch(now).has_value(), now);
  AnnouncePresence();
  SyncMembership();
  lease.Step(now);
  if (AllSettled()) {
    pending.reset();
  }
  StepJobs(now);
  if (!pending) {
    StepControl(now);
  }
}

void App::Impl::StepJobs(core::MonotonicTime now) {
  Observations& observed = collector.observed();
  observed.lease = lease.HeldEpoch(now);
  observed.log_read_at = tailer.last_confirmed_sent();
  const StepInput input{tailer.state(), observed, settings.zone, now,
                        core::WallNow()};
  jobs.Step(MakeJobSituation(input, CutOffZones(liveness, settings.zone,
                                                observed.log_read_at, now)),
            now);
  observed.busy_hosts = jobs.BusyHosts(tailer.state());
  UpdateJobMetrics(jobs, now, job_metrics);
}

void App::Impl::UpdateContact(core::MonotonicTime now) {
  const auto change = state::UpdateContact(
      contact, {tailer.last_confirmed_sent(), tailer.last_answered(), true},
      now);
  metrics.cut_off.Set(contact.cut_off ? 1.0 : 0.0);
  if (change) {
    state::LogChange(*change);
    if (!change->cut_off) {
      metrics.converge.Set(
          std::chrono::duration<double>(change->converge).count());
    }
  }
}

void App::Impl::AnnouncePresence() {
  if (presence_announced || !tailer.at_end()) {
    return;
  }
  presence_announced = true;
  const state::PresenceNotice notice{
      settings.process, state::ProcessRole::kController, settings.zone,
      settings.advertised_peer, incarnation};
  appender.Append(state::EncodeRecords({notice}),
                  [self = weak_from_this()](const log::AppendResult& result) {
                    const auto impl = self.lock();
                    if (impl) {
                      impl->presence_announced = result.has_value();
                    }
                  });
}

void App::Impl::SyncMembership() {
  const state::FleetState& state = tailer.state();
  const core::MonotonicTime now = core::MonotonicNow();
  // A partial state cannot be transferred to other processes, so it is not
  // reported.
  if (tailer.ready().ready && state.next != reported_offset &&
      now - reported_at >= internal::kReportPeriod) {
    reported_at = now;
    reported_offset = state.next;
    members.SetReport(state.next, state::Digest(state, digests), "");
  }
  for (const auto& [id, presence] : state.presence) {
    const auto known = known_members.find(id);
    if (known == known_members.end() || known->second < presence.incarnation) {
      known_members[id] = presence.incarnation;
      members.AddPresence({id, presence.role, presence.zone,
                           presence.peer_address, presence.incarnation});
    }
  }
}

void App::Impl::StepControl(core::MonotonicTime now) {
  Observations& observed = collector.observed();
  observed.lease = lease.HeldEpoch(now);
  observed.log_read_at = tailer.last_confirmed_sent();
  demand::UpdateIndexes(indexes, tailer.state().text);
  observed.gateways = CollectGatewayViews(members.view(), indexes);
  CountFailedCalls();
  const std::int64_t started = internal::UnixNanos();
  const StepInput input{tailer.state(), observed, settings.zone, now,
                        core::WallNow()};
  StepResult result = Step(input, memory);
  ReportStep(input, result, started);
  observed.answers.clear();
  AppendRecords(result.records);
  // A step may take long, so the lease is checked again before calls are sent.
  if (lease.HeldEpoch(core::MonotonicNow()) == observed.lease) {
    collector.Send(result.calls);
  }
  last = std::move(result);
}

void App::Impl::CountFailedCalls() {
  for (const CallAnswer& answer : collector.observed().answers) {
    if (answer.outcome == CallOutcome::kStaleEpoch) {
      metrics.stale_calls.Increment();
    } else if (answer.outcome == CallOutcome::kFailed) {
      metrics.failed_calls.Increment();
    }
  }
}

void App::Impl::AppendRecords(const std::vector<state::Record>& records) {
  std::vector<std::string> entries = EncodeEntries(records, kMaxEntryBytes);
  if (entries.empty()) {
    return;
  }
  pending.emplace().unanswered = entries.size();
  for (std::string& entry : entries) {
    appender.Append(std::move(entry), [self = weak_from_this()](
                                          const log::AppendResult& result) {
      const auto impl = self.lock();
      if (!impl || !impl->pending) {
        return;
      }
      OnAppendResult(*impl->pending, result, core::MonotonicNow());
      if (!result.has_value()) {
        impl->metrics.append_failures.Increment();
      }
      impl->ScheduleEarlyStep();
    });
  }
}

bool App::Impl::AllSettled() const {
  return !pending ||
         IsSettled(*pending, tailer.state().next, tailer.last_confirmed_sent());
}

bool App::Impl::OwnsSnapshots() const {
  const core::MonotonicTime now = core::MonotonicNow();
  return lease.HeldEpoch(now) &&
         LowestLiveZone(liveness, settings.zone, tailer.last_confirmed_sent(),
                        now) == settings.zone;
}

void App::Impl::ReportStep(const StepInput& input, const StepResult& result,
                           std::int64_t started) {
  RecordStepMetrics(metrics, input, result);
  const std::int64_t ended = internal::UnixNanos();
  constexpr double kNanosPerSecond = 1e9;
  metrics.step_time.Observe(static_cast<double>(ended - started) /
                            kNanosPerSecond);
  if (result.idle != last.idle) {
    const bool decides = result.idle == IdleReason::kNone;
    telemetry::Log(
        decides ? internal::Level::kInfo : internal::Level::kWarning,
        decides ? "started making decisions" : "stopped making decisions",
        {{"reason", Describe(result.idle)},
         {"missing_hosts", std::to_string(result.missing.size())}});
  }
  if (result.records.empty() && result.calls.empty()) {
    return;
  }
  telemetry::Log(internal::Level::kDebug, "control step made decisions",
                 {{"records", std::to_string(result.records.size())},
                  {"calls", std::to_string(result.calls.size())}});
  spans.Export({telemetry::NewTrace(random, settings.trace_ratio),
                "",
                "controller decision",
                started,
                ended,
                {{"records", std::to_string(result.records.size())},
                 {"calls", std::to_string(result.calls.size())}}});
}

StatusInput App::Impl::Status() const {
  const core::MonotonicTime now = core::MonotonicNow();
  return {
      tailer.state(),
      collector.observed(),
      last,
      memory,
      settings.process,
      settings.zone,
      CutOffZones(liveness, settings.zone, tailer.last_confirmed_sent(), now),
      now,
      core::WallNow(),
      &jobs};
}

std::optional<std::string> App::Impl::NotReady() const {
  if (stopping) {
    return "the process stops";
  }
  const state::Readiness readiness = fetcher.ready();
  return readiness.ready ? std::nullopt : std::optional(readiness.reason);
}

void App::Impl::Stop(std::function<void()> done) {
  telemetry::Log(internal::Level::kInfo, "controller stopping",
                 {{"records_in_flight", pending ? "yes" : "no"}});
  stopping = true;
  timer.cancel();
  ReleaseWhenIdle(core::MonotonicNow() + internal::kStopTimeout,
                  std::move(done));
}

bool App::Impl::HasNothingInFlight() const {
  return AllSettled() && !collector.HasCallsInFlight();
}

// If a call is still in flight at the deadline, the lease is left to expire
// instead of being released: the call could otherwise reach the platform after
// a call of the next lease holder.
void App::Impl::ReleaseWhenIdle(core::MonotonicTime deadline,
                                std::function<void()> done) {
  if (HasNothingInFlight()) {
    lease.Release(deadline, std::move(done));
    return;
  }
  if (core::MonotonicNow() >= deadline) {
    done();
    return;
  }
  timer.expires_after(internal::kStopPollPeriod);
  timer.async_wait([self = shared_from_this(), deadline,
                    done = std::move(done)](const asio::error_code&) {
    self->ReleaseWhenIdle(deadline, done);
  });
}

App::App(asio::io_context& loop, const Settings& settings)
    : impl_(std::make_shared<Impl>(loop, settings)) {}

App::~App() { impl_->Close(); }

void App::Start() { impl_->Start(); }

void App::Stop(std::function<void()> done) { impl_->Stop(std::move(done)); }

}  // namespace camphormux::controller
