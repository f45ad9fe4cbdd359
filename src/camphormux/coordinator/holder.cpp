#include "camphormux/coordinator/holder.hpp"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>

#include "camphormux/cbor/cbor.hpp"
#include "camphormux/coordinator/run_log.hpp"
#include "camphormux/coordinator/state_log.hpp"
#include "camphormux/scheduler/arrivals.hpp"
#include "camphormux/scheduler/hosts.hpp"
#include "camphormux/scheduler/jobs.hpp"
#include "camphormux/scheduler/plan.hpp"
#include "camphormux/scheduler/stale_orders.hpp"
#include "camphormux/scheduler/upkeep.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::coordinator {
namespace internal {

/// Minimum pause between planning passes; events during it are handled by
/// one pass.
constexpr core::Millis kMinPlanInterval{8};
/// A planning pass is followed by a pause of this multiple of its duration, so
/// that planning for a large fleet does not keep a small machine from serving
/// calls.
constexpr int kPlanRestFactor = 3;
/// Interval at which deadlines are checked.
constexpr core::Millis kTickInterval{100};
constexpr core::Millis kLoadRetryDelay{150};
/// Interval between reads of the machine list while machines have to be
/// ordered, and otherwise.
constexpr core::Millis kBusyMachinePollInterval{700};
constexpr core::Millis kIdleMachinePollInterval{3000};
/// The same while a host may have ended: only the list shows that its machine
/// has another host.
constexpr core::Millis kUrgentMachinePollInterval{250};
/// Interval between log lines about the load of the pools.
constexpr core::Millis kLoadReportInterval{1000};
/// Time after which callers retry whose jobs cannot be stored.
constexpr core::Millis kOutageRetryAfter{1000};
/// Age at which a number of pending jobs is too old for callers.
constexpr core::Millis kMaxCountAge{2000};
/// Least time and number of finished runs between two records of learned run
/// times. A holder that takes over misses what was learned since the last.
constexpr core::Millis kRunTimesInterval{3000};
constexpr std::uint64_t kRunsBetweenRunTimeRecords = 100;
/// Delay before a machine order without an answer is sent again.
constexpr core::Millis kMachineRetryDelay{400};

std::string_view Name(SubmitOutcome outcome) {
  switch (outcome) {
    case SubmitOutcome::kAccepted:
      return "accepted";
    case SubmitOutcome::kRefused:
      return "refused";
    case SubmitOutcome::kNoQueue:
      return "no such queue";
    case SubmitOutcome::kUnavailable:
      return "unavailable";
    case SubmitOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace internal

Holder::Holder(asio::io_context& loop, const scheduler::Settings& settings,
               Ports ports, core::Epoch token, NodeMetrics& node_metrics,
               Authority authority, std::function<void()> on_superseded)
    : loop_(loop),
      plan_timer_(loop),
      tick_timer_(loop),
      load_timer_(loop),
      ports_(std::move(ports)),
      token_(token),
      node_metrics_(node_metrics),
      account_report_(*node_metrics.account_load),
      authority_(std::move(authority)),
      on_superseded_(std::move(on_superseded)),
      takeover_start_(core::MonotonicNow()) {
  state_.settings = settings;
  state_.took_over = takeover_start_;
  state_.token = token_;
}

void Holder::Start(workload::Catalog catalog) {
  state_.catalog = std::move(catalog);
  const auto weak = weak_from_this();
  StoreWriter::Listener stored;
  stored.on_submitted = [this](const core::JobId& id) {
    scheduler::ConfirmSubmission(state_, id);
    OnSubmitted(id, SubmitOutcome::kAccepted);
  };
  stored.on_dropped = [this](const core::JobId& id) {
    OnDropped(id, SubmitOutcome::kUnavailable);
  };
  stored.on_unknown = [this](const core::JobId& id) {
    OnDropped(id, SubmitOutcome::kUnknown);
  };
  stored.on_ends = [this](const core::HostId& host, StoredEnd end) {
    links_->Acknowledge(host, end);
  };
  stored.on_token = [this](core::Epoch token) { OnTokenStored(token); };
  stored.on_token_rejected = [this] {
    StepDown("the store does not accept the fencing token of calls to hosts");
  };
  stored.on_stored = [this] {
    AnswerCancels();
    SchedulePlan();
  };
  stored.on_orders = [this](const std::vector<StoredOrder>& orders) {
    std::size_t withdrawn = 0;
    for (const StoredOrder& order : orders) {
      withdrawn += SendStored(order) ? 0U : 1U;
    }
    if (withdrawn > 0) {
      telemetry::Log(telemetry::Level::kWarning,
                     "orders withdrawn: storing them took too long",
                     {{"orders", std::to_string(orders.size())},
                      {"withdrawn", std::to_string(withdrawn)}});
    }
  };
  stored.on_orders_rejected = [this](const std::vector<StoredOrder>& orders) {
    for (const StoredOrder& order : orders) {
      // An earlier copy of a machine order may still be carried out, so it is
      // repeated until it has an answer.
      if (!scheduler::Withdraw(state_, order.order, core::MonotonicNow())) {
        RunAfter(internal::kMachineRetryDelay, [order](Holder& holder) {
          holder.store_writer_->AddOrder(order.order);
        });
      }
    }
  };
  stored.on_fenced = [this] { StepDown("the store rejected its epoch"); };
  store_writer_ = std::make_shared<StoreWriter>(loop_, ports_.store, token_,
                                                state_, std::move(stored));
  links_ = std::make_shared<HostLinks>(
      ports_.host, state_, node_metrics_, run_latency_, authority_,
      HostLinks::Listener{[this] { SchedulePlan(); },
                          [this](const core::HostId& host) {
                            StepDown("host " + host.value +
                                     " accepts only a newer holder");
                          }});
  Fence();
}

void Holder::Stop() {
  if (stopped_) {
    return;
  }
  stopped_ = true;
  plan_timer_.cancel();
  tick_timer_.cancel();
  load_timer_.cancel();
  if (store_writer_) {
    store_writer_->Close();
    links_->Close();
  }
  const auto submits = std::exchange(pending_submits_, {});
  for (const auto& [id, done] : submits) {
    done({SubmitOutcome::kUnknown});
  }
  const auto cancels = std::exchange(pending_cancels_, {});
  for (const auto& [id, cancel] : cancels) {
    cancel.done(std::nullopt);
  }
  node_metrics_.holds_ownership->Set(0);
}

void Holder::StepDown(const std::string& reason) {
  if (stopped_) {
    return;
  }
  telemetry::Log(telemetry::Level::kWarning, "ownership lost",
                 {{"token", std::to_string(token_.value)}, {"reason", reason}});
  Stop();
  asio::post(loop_, on_superseded_);
}

void Holder::Fence() {
  ports_.store.fence(token_, [weak = weak_from_this()](AppendOutcome outcome) {
    const auto self = weak.lock();
    if (!self || self->stopped_) {
      return;
    }
    if (outcome == AppendOutcome::kStored) {
      self->Load();
    } else if (outcome == AppendOutcome::kFenced) {
      self->StepDown("the store has a higher epoch");
    } else {
      self->load_timer_.expires_after(internal::kLoadRetryDelay);
      self->load_timer_.async_wait([weak](const asio::error_code& error) {
        const auto again = weak.lock();
        if (again && !error && !again->stopped_) {
          again->Fence();
        }
      });
    }
  });
}

void Holder::Load() {
  ports_.store.load(
      [weak = weak_from_this()](
          const std::optional<std::vector<StoreRecord>>& records) {
        const auto self = weak.lock();
        if (!self || self->stopped_) {
          return;
        }
        if (records) {
          self->OnLoaded(*records);
          return;
        }
        self->load_timer_.expires_after(internal::kLoadRetryDelay);
        self->load_timer_.async_wait([weak](const asio::error_code& error) {
          const auto again = weak.lock();
          if (again && !error && !again->stopped_) {
            again->Load();
          }
        });
      });
}

void Holder::LoadWave(const StoreRecord& record) {
  const auto value = cbor::Parse(*record.value);
  if (!value) {
    telemetry::Log(telemetry::Level::kError, "stored wave is malformed",
                   {{"key", record.key}});
    return;
  }
  cbor::ArrayReader reader(*value);
  const bool complete = reader.Unsigned(1) == 1;
  const scheduler::WaveId id{
      std::strtoull(record.key.c_str() + kWaveKeyPrefix.size(), nullptr, 10)};
  scheduler::Wave& wave = state_.waves[id];
  wave.complete = complete;
  wave.announced = true;
  for (const auto& machine : reader.Array(SIZE_MAX)) {
    if (machine.is_string()) {
      wave.begun.insert({machine.get<std::string>()});
    }
  }
}

void Holder::LoadToken(const StoreRecord& record) {
  const auto highest = DecodeToken(*record.value);
  if (!highest) {
    telemetry::Log(telemetry::Level::kError, "stored token is malformed",
                   {{"key", record.key}});
    return;
  }
  if (*highest < token_) {
    return;
  }
  state_.token = *highest;
  state_.is_token_used = true;
  for (auto& [id, host] : state_.hosts) {
    host.needs_token = true;
  }
}

void Holder::RaiseTokenIfNeeded() {
  if (!storing_token_ && scheduler::IsTokenNeeded(state_)) {
    storing_token_ = true;
    store_writer_->AddToken(core::Next(state_.token));
  }
}

void Holder::OnTokenStored(core::Epoch token) {
  storing_token_ = false;
  telemetry::Log(telemetry::Level::kInfo, "fencing token raised",
                 {{"token", std::to_string(token.value)},
                  {"epoch", std::to_string(token_.value)}});
  scheduler::RaiseToken(state_, token);
  links_->RenewUnsynced(core::MonotonicNow());
  SchedulePlan();
}

void Holder::LoadMachineOrder(const StoreRecord& record) {
  const auto value = cbor::Parse(*record.value);
  if (!value) {
    telemetry::Log(telemetry::Level::kError,
                   "stored time of a machine order is malformed",
                   {{"key", record.key}});
    return;
  }
  cbor::ArrayReader reader(*value);
  const core::WallTime ordered{
      core::Millis(static_cast<std::int64_t>(reader.Unsigned()))};
  scheduler::LoadMachineOrder(state_,
                              {record.key.substr(kMachineKeyPrefix.size())},
                              core::WallNow() - ordered);
}

void Holder::LoadJobs(const std::vector<StoreRecord>& records,
                      core::MonotonicTime now, core::WallTime wall) {
  LoadedJobs loaded = LoadJobRecords(records, wall);
  for (const std::string& key : loaded.malformed) {
    telemetry::Log(telemetry::Level::kError, "stored record is malformed",
                   {{"key", key}});
  }
  for (auto& [id, entry] : loaded.jobs) {
    const bool is_final =
        entry.progress && workload::IsFinal(entry.progress->state);
    if (!entry.job && !is_final) {
      telemetry::Log(telemetry::Level::kError,
                     "accepted job has no readable record",
                     {{"job", id.value}});
    }
    store_writer_->SetStoredProgress(id, std::move(entry.stored));
    scheduler::LoadJob(state_, id, std::move(entry.job), entry.progress, now,
                       wall);
  }
  store_writer_->DeleteRecords(loaded.obsolete);
  LogJobsWithoutPolicy(state_, token_);
}

void Holder::OnLoaded(const std::vector<StoreRecord>& records) {
  const core::MonotonicTime now = core::MonotonicNow();
  const core::WallTime wall = core::WallNow();
  for (const StoreRecord& record : records) {
    if (!record.value) {
      continue;
    }
    if (record.key == kTokenKey) {
      LoadToken(record);
    } else if (record.key.starts_with(kWaveKeyPrefix)) {
      LoadWave(record);
    } else if (record.key.starts_with(kMachineKeyPrefix)) {
      LoadMachineOrder(record);
    } else if (record.key == kRunTimesKey && state_.settings.learn_run_times) {
      state_.run_times = scheduler::DecodeRunTimes(*record.value);
      stored_run_times_ = state_.run_times.runs;
    }
  }
  LoadJobs(records, now, wall);
  scheduler::RebuildArrivalRates(state_, now);
  loaded_ = true;
  for (const scheduler::WaveRequest& wave :
       std::exchange(waves_before_load_, {})) {
    scheduler::AddWave(state_, wave, now);
  }
  node_metrics_.takeovers->Increment();
  node_metrics_.holds_ownership->Set(1);
  node_metrics_.takeover_seconds->Observe(
      std::chrono::duration<double>(now - takeover_start_).count());
  telemetry::Log(
      telemetry::Level::kInfo, "ownership taken",
      {{"token", std::to_string(token_.value)},
       {"jobs", std::to_string(state_.jobs.size())},
       {"records", std::to_string(records.size())},
       {"milliseconds", std::to_string((now - takeover_start_).count())}});
  Tick();
}

void Holder::ApplyHosts() {
  LogListingChanges(
      scheduler::ApplyListings(state_, hosts_, core::MonotonicNow(),
                               hosts_trusted_from_),
      token_);
}

void Holder::OnHosts(const std::vector<scheduler::HostListing>& hosts,
                     core::MonotonicTime trusted_from) {
  hosts_ = hosts;
  hosts_trusted_from_ = trusted_from;
  ApplyHosts();
  hosts_known_ = true;
  SchedulePlan();
}

void Holder::OnHeartbeats(const std::vector<scheduler::Heartbeat>& heartbeats) {
  const core::MonotonicTime now = core::MonotonicNow();
  for (const scheduler::Heartbeat& heartbeat : heartbeats) {
    scheduler::OnHeartbeat(state_, heartbeat, now);
  }
}

void Holder::OnCatalog(workload::Catalog catalog) {
  scheduler::ApplyCatalog(state_, std::move(catalog), core::WallNow());
  SchedulePlan();
}

void Holder::OnWave(const scheduler::WaveRequest& wave) {
  if (!loaded_) {
    waves_before_load_.push_back(wave);
    return;
  }
  scheduler::AddWave(state_, wave, core::MonotonicNow());
  SchedulePlan();
}

void Holder::Submit(workload::JobSpec spec,
                    std::function<void(SubmitAnswer)> done) {
  const core::MonotonicTime now = core::MonotonicNow();
  if (!loaded_ || stopped_) {
    done({SubmitOutcome::kUnavailable});
    return;
  }
  const core::JobId id = spec.id;
  const bool known = state_.jobs.contains(id) || state_.closed.contains(id);
  if (!known && store_writer_->is_overdue(now)) {
    scheduler::RecordRejectedSubmission(state_, spec, now);
    done({SubmitOutcome::kUnavailable, internal::kOutageRetryAfter});
    return;
  }
  const scheduler::AdmissionResult result =
      scheduler::Submit(state_, std::move(spec), now, core::WallNow());
  switch (result.admission) {
    case scheduler::Admission::kAccepted:
      done({SubmitOutcome::kAccepted});
      return;
    case scheduler::Admission::kNoQueue:
      done({SubmitOutcome::kNoQueue});
      return;
    case scheduler::Admission::kRefused:
      telemetry::Log(
          telemetry::Level::kInfo, "job refused",
          {{"job", id.value},
           {"open_jobs", std::to_string(state_.jobs.size())},
           {"catalog", std::to_string(state_.catalog.version.value)},
           {"reason", std::string(scheduler::Describe(result.reason))},
           {"retry_after_ms", std::to_string(result.retry_after.count())}});
      done({SubmitOutcome::kRefused, result.retry_after, result.reason});
      return;
    case scheduler::Admission::kStoring:
      pending_submits_.emplace(id, std::move(done));
      if (!known) {
        store_writer_->AddSubmission(id);
      }
      return;
  }
}

void Holder::OnSubmitted(const core::JobId& id, SubmitOutcome outcome) {
  telemetry::Log(telemetry::Level::kInfo, "job stored",
                 {{"job", id.value},
                  {"token", std::to_string(token_.value)},
                  {"outcome", std::string(internal::Name(outcome))}});
  const auto range = pending_submits_.equal_range(id);
  std::vector<std::function<void(SubmitAnswer)>> waiting;
  for (auto it = range.first; it != range.second; ++it) {
    waiting.push_back(std::move(it->second));
  }
  pending_submits_.erase(range.first, range.second);
  for (const auto& done : waiting) {
    done({outcome});
  }
}

void Holder::OnDropped(const core::JobId& id, SubmitOutcome outcome) {
  scheduler::DropSubmission(state_, id);
  OnSubmitted(id, outcome);
  // Not inside the writer, which is still dropping jobs.
  asio::post(loop_, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->stopped_) {
      self->AnswerCancels();
    }
  });
}

void Holder::Cancel(const core::JobId& id, const workload::Caller& caller,
                    std::function<void(std::optional<bool> known)> done) {
  if (!loaded_ || stopped_) {
    done(std::nullopt);
    return;
  }
  const bool is_foreign = scheduler::IsForeign(state_, id, caller);
  const bool known = scheduler::Cancel(state_, id, core::WallNow(), caller);
  telemetry::Log(
      telemetry::Level::kInfo, "job cancelled",
      {{"job", id.value},
       {"known", known        ? "yes"
                 : is_foreign ? "to another account"
                              : "no"},
       {"token", std::to_string(token_.value)},
       {"ownership_confirmed", authority_.is_confirmed() ? "yes" : "no"}});
  if (is_foreign) {
    done(false);
    return;
  }
  if (known && state_.closed.contains(id)) {
    done(true);
    return;
  }
  if (!known) {
    switch (scheduler::AddTombstone(state_, id, caller)) {
      case scheduler::TombstoneStatus::kAdded:
        store_writer_->AddTombstone(id);
        break;
      case scheduler::TombstoneStatus::kStoring:
        break;
      case scheduler::TombstoneStatus::kStored:
        done(false);
        return;
      case scheduler::TombstoneStatus::kTooMany:
        done(std::nullopt);
        return;
    }
  }
  pending_cancels_.emplace(id, PendingCancel{caller, std::move(done)});
  Dispatch();
  store_writer_->ScheduleAppend();
}

void Holder::AnswerCancels() {
  for (auto it = pending_cancels_.begin(); it != pending_cancels_.end();) {
    const core::JobId& id = it->first;
    const auto tombstone = state_.tombstones.find(id);
    const bool has_tombstone = tombstone != state_.tombstones.end();
    std::optional<bool> known;
    // A job of another account may have taken the id meanwhile.
    const bool is_foreign = scheduler::IsForeign(state_, id, it->second.caller);
    if (is_foreign || (has_tombstone && tombstone->second.is_stored &&
                       !state_.closed.contains(id))) {
      known = false;
    } else if (state_.closed.contains(id)) {
      known = true;
    } else if (has_tombstone || state_.jobs.contains(id)) {
      ++it;
      continue;
    }
    // Otherwise the job was dropped, as it could not be stored.
    it->second.done(known);
    it = pending_cancels_.erase(it);
  }
}

StateAnswer Holder::StateOf(const core::JobId& id,
                            const workload::Caller& caller) const {
  if (const auto state = scheduler::VisibleState(state_, id, caller)) {
    return {QueryOutcome::kKnown, *state};
  }
  return {authority_.is_confirmed() ? QueryOutcome::kNone
                                    : QueryOutcome::kUnavailable};
}

CountAnswer Holder::Pending(const workload::QueueName& queue) const {
  if (authority_.since_confirmation() > internal::kMaxCountAge) {
    return {QueryOutcome::kUnavailable};
  }
  return {QueryOutcome::kKnown, scheduler::PendingJobs(state_, queue)};
}

double Holder::reachable_share() const {
  return links_ ? links_->reachable_share(core::MonotonicNow()) : 0.0;
}

void Holder::SchedulePlan() {
  if (plan_scheduled_ || stopped_ || !loaded_ || !hosts_known_) {
    return;
  }
  plan_scheduled_ = true;
  plan_timer_.expires_at(
      std::max(core::MonotonicNow() + core::Millis(1), next_plan_));
  plan_timer_.async_wait(
      [weak = weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (self && !error && !self->stopped_) {
          self->plan_scheduled_ = false;
          self->Plan();
        }
      });
}

void Holder::Plan() {
  const core::MonotonicTime now = core::MonotonicNow();
  scheduler::Plan(state_, now, core::WallNow());
  LogRunEvents(state_, token_, node_metrics_, now);
  LogReportEvents(state_, token_, node_metrics_, now);
  Dispatch();
  RaiseTokenIfNeeded();
  links_->RenewAllDue(now);
  store_writer_->ScheduleAppend();
  const core::MonotonicTime end = core::MonotonicNow();
  ++plan_passes_.count;
  plan_passes_.total += end - now;
  plan_passes_.longest = std::max(plan_passes_.longest, end - now);
  const core::Millis pause = std::max(internal::kMinPlanInterval,
                                      (end - now) * internal::kPlanRestFactor);
  next_plan_ = end + pause;
}

void Holder::Tick() {
  const core::MonotonicTime now = core::MonotonicNow();
  for (const core::JobId& id : scheduler::ExpireClosedJobs(state_, now)) {
    store_writer_->Drop(id);
  }
  node_metrics_.open_jobs->Set(static_cast<double>(state_.jobs.size()));
  node_metrics_.jobs_without_policy->Set(
      static_cast<double>(scheduler::CountJobsWithoutPolicy(state_)));
  const std::uint64_t rejections = store_writer_->rejections();
  node_metrics_.store_rejections->Increment(static_cast<double>(
      rejections - std::exchange(reported_rejections_, rejections)));
  LogLoads(now);
  StoreRunTimes(now);
  PollMachines(now);
  SchedulePlan();
  next_tick_ = core::MonotonicNow() + internal::kTickInterval;
  tick_timer_.expires_at(next_tick_);
  tick_timer_.async_wait(
      [weak = weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (self && !error && !self->stopped_) {
          self->Tick();
        }
      });
}

void Holder::LogLoads(core::MonotonicTime now) {
  if (now < last_load_report_ + internal::kLoadReportInterval) {
    return;
  }
  last_load_report_ = now;
  // No tick was due before the first one.
  const core::Millis loop_late =
      next_tick_ == core::MonotonicTime() ? core::Millis(0) : now - next_tick_;
  telemetry::Log(telemetry::LogRateClass::kPeriodic, telemetry::Level::kInfo,
                 "planning",
                 {{"passes", std::to_string(plan_passes_.count)},
                  {"total_ms", std::to_string(plan_passes_.total.count())},
                  {"longest_ms", std::to_string(plan_passes_.longest.count())},
                  {"jobs", std::to_string(state_.jobs.size())},
                  {"runs", std::to_string(state_.runs.size())},
                  {"hosts", std::to_string(state_.hosts.size())},
                  {"loop_late_ms", std::to_string(loop_late.count())}});
  plan_passes_ = {};
  const RunLatency run_latency = std::exchange(run_latency_, {});
  telemetry::Log(
      telemetry::LogRateClass::kPeriodic, telemetry::Level::kInfo, "run flow",
      {{"stored", std::to_string(run_latency.stored.runs)},
       {"stored_ms", std::to_string(Mean(run_latency.stored).count())},
       {"stored_longest_ms",
        std::to_string(run_latency.stored.longest.count())},
       {"sent", std::to_string(run_latency.sent.runs)},
       {"sent_ms", std::to_string(Mean(run_latency.sent).count())},
       {"sent_longest_ms", std::to_string(run_latency.sent.longest.count())},
       {"answered", std::to_string(run_latency.answered.runs)},
       {"answered_ms", std::to_string(Mean(run_latency.answered).count())},
       {"answered_longest_ms",
        std::to_string(run_latency.answered.longest.count())}});
  LogPoolLoads(state_, now);
  account_report_.Report(state_);
  LogRunTimes(state_);
  LogWaveProgress(state_, now);
}

void Holder::StoreRunTimes(core::MonotonicTime now) {
  if (state_.run_times.runs <
          stored_run_times_ + internal::kRunsBetweenRunTimeRecords ||
      now < last_run_times_ + internal::kRunTimesInterval) {
    return;
  }
  stored_run_times_ = state_.run_times.runs;
  last_run_times_ = now;
  store_writer_->AddRunTimes();
}

void Holder::Dispatch() {
  const std::vector<scheduler::Order> orders = std::exchange(state_.orders, {});
  for (const scheduler::Order& order : orders) {
    if (const auto* stop = std::get_if<scheduler::StopRun>(&order)) {
      links_->Send(*stop);
    } else if (const auto* repeat =
                   std::get_if<scheduler::RepeatStart>(&order)) {
      links_->Send(*repeat);  // The start itself is stored.
    } else if (const auto* pace = std::get_if<scheduler::PaceRun>(&order)) {
      links_->Send(*pace);
    } else if (const auto* save = std::get_if<scheduler::SaveWave>(&order)) {
      Send(*save);
    } else {
      store_writer_->AddOrder(order);
    }
  }
}

bool Holder::SendStored(const StoredOrder& stored) {
  const core::MonotonicTime now = core::MonotonicNow();
  const core::Millis took = now - stored.decided;
  const scheduler::Order& order = stored.order;
  if (took > scheduler::kOrderValidity &&
      scheduler::Withdraw(state_, order, now)) {
    return false;
  }
  if (const auto* start = std::get_if<scheduler::StartRun>(&order)) {
    RecordStage(run_latency_.stored, took);
    node_metrics_.store_seconds->Observe(
        std::chrono::duration<double>(took).count());
    links_->Send(*start);
  } else if (const auto* move = std::get_if<scheduler::MoveMachine>(&order)) {
    Send(*move);
  } else if (const auto* upkeep =
                 std::get_if<scheduler::UpkeepMachine>(&order)) {
    Send(*upkeep);
  }
  return true;
}

void Holder::Send(const scheduler::MoveMachine& order) {
  if (!authority_.is_confirmed()) {
    OnMachineAnswer(order.machine, nullptr,
                    scheduler::MachineOutcome::kDeferred);
    return;
  }
  node_metrics_.machine_orders->Increment();
  ports_.cloud.move(
      order, token_,
      [weak = weak_from_this(), order](scheduler::MachineOutcome outcome) {
        if (const auto self = weak.lock()) {
          self->OnMachineAnswer(order.machine, nullptr, outcome);
        }
      });
}

void Holder::Send(const scheduler::UpkeepMachine& order) {
  if (!authority_.is_confirmed()) {
    OnMachineAnswer(order.machine, &order.wave,
                    scheduler::MachineOutcome::kDeferred);
    return;
  }
  node_metrics_.machine_orders->Increment();
  ports_.cloud.upkeep(
      order, token_,
      [weak = weak_from_this(), order](scheduler::MachineOutcome outcome) {
        if (const auto self = weak.lock()) {
          self->OnMachineAnswer(order.machine, &order.wave, outcome);
        }
      });
}

void Holder::Send(const scheduler::SaveWave& order) {
  store_writer_->AddWave(order.wave);
  // Operators are notified when a wave starts and when it is complete.
  if (!order.complete && !state_.waves[order.wave].begun.empty()) {
    return;
  }
  ports_.store.publish_wave(
      order.wave, order.complete,
      [weak = weak_from_this(), order](bool stored) {
        const auto self = weak.lock();
        if (!self || self->stopped_) {
          return;
        }
        if (!stored) {
          self->RunAfter(internal::kMachineRetryDelay,
                         [order](Holder& holder) { holder.Send(order); });
        }
      });
}

void Holder::RunAfter(core::Millis delay, std::function<void(Holder&)> action) {
  auto timer = std::make_shared<asio::steady_timer>(loop_, delay);
  timer->async_wait([weak = weak_from_this(), timer,
                     action = std::move(action)](const asio::error_code&) {
    const auto self = weak.lock();
    if (self && !self->stopped_) {
      action(*self);
    }
  });
}

void Holder::OnMachineAnswer(const scheduler::MachineId& machine,
                             const scheduler::WaveId* wave,
                             scheduler::MachineOutcome outcome) {
  if (stopped_) {
    return;
  }
  const auto known = state_.machines.find(machine);
  const bool listed = known != state_.machines.end();
  telemetry::Log(telemetry::Level::kInfo, "machine ordered",
                 {{"machine", machine.value},
                  {"from", listed ? known->second.listing.pool.value : ""},
                  {"to", listed ? known->second.target.value : ""},
                  {"wave", wave == nullptr ? "" : std::to_string(wave->value)},
                  {"token", std::to_string(token_.value)},
                  {"outcome", std::to_string(static_cast<int>(outcome))}});
  if (outcome == scheduler::MachineOutcome::kFenced) {
    StepDown("machine " + machine.value + " was ordered by a newer holder");
    return;
  }
  const bool is_unanswered = listed && known->second.unanswered_since &&
                             outcome != scheduler::MachineOutcome::kDone;
  const bool repeat = outcome == scheduler::MachineOutcome::kNoAnswer ||
                      outcome == scheduler::MachineOutcome::kDeferred ||
                      is_unanswered;
  const std::optional<scheduler::WaveId> id =
      wave == nullptr ? std::nullopt : std::optional(*wave);
  RunAfter(repeat ? internal::kMachineRetryDelay : core::Millis(0),
           [machine, id, outcome](Holder& holder) {
             scheduler::OnMachineAnswer(holder.state_, machine,
                                        id ? &*id : nullptr, outcome,
                                        core::MonotonicNow());
             holder.SchedulePlan();
           });
}

void Holder::PollMachines(core::MonotonicTime now) {
  const bool address_taken =
      std::any_of(state_.hosts.begin(), state_.hosts.end(),
                  [](const auto& entry) { return entry.second.address_taken; });
  const bool busy =
      address_taken ||
      std::any_of(state_.hosts.begin(), state_.hosts.end(),
                  [](const auto& entry) { return !entry.second.listed; }) ||
      std::any_of(state_.waves.begin(), state_.waves.end(),
                  [](const auto& entry) { return !entry.second.complete; }) ||
      std::any_of(
          state_.machines.begin(), state_.machines.end(),
          [](const auto& entry) { return !entry.second.target.value.empty(); });
  core::Millis pause = busy ? internal::kBusyMachinePollInterval
                            : internal::kIdleMachinePollInterval;
  if (address_taken) {
    pause = internal::kUrgentMachinePollInterval;
  }
  if (polling_machines_ ||
      (state_.machines_known && now < last_machine_poll_ + pause)) {
    return;
  }
  polling_machines_ = true;
  last_machine_poll_ = now;
  ports_.cloud.list(
      [weak = weak_from_this(),
       now](const std::optional<std::vector<scheduler::MachineListing>>& list) {
        const auto self = weak.lock();
        if (!self || self->stopped_) {
          return;
        }
        self->polling_machines_ = false;
        if (list) {
          if (scheduler::ApplyMachines(self->state_, *list, now)) {
            self->ApplyHosts();
          }
          self->SchedulePlan();
        }
      });
}

}  // namespace camphormux::coordinator
