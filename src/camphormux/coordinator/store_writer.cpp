#include "camphormux/coordinator/store_writer.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "camphormux/cbor/cbor.hpp"
#include "camphormux/scheduler/jobs.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::coordinator {
namespace internal {

/// Minimum interval between appends. The store accepts 600 writes per second
/// from all nodes together; one holder stays below a tenth of that.
constexpr core::Millis kMinAppendInterval{12};
constexpr core::Millis kRetryDelay{100};
/// A new job that could not be stored within this time is refused early enough
/// for its caller to retry.
constexpr core::Millis kSubmissionTimeout{600};
/// Size of the records of an append, in bytes, after which no more are added.
/// With the records of the last job it stays below the store's limit of 2 MiB.
constexpr std::size_t kMaxBatchBytes = std::size_t{1} << 20;
/// Time after which records that the store rejected are tried again; they may
/// have changed.
constexpr core::Millis kRejectedRetryDelay{10'000};

std::string EncodeWave(const scheduler::Wave& wave) {
  nlohmann::json begun = nlohmann::json::array();
  for (const scheduler::MachineId& id : wave.begun) {
    begun.push_back(id.value);
  }
  return cbor::Serialize(
      nlohmann::json::array({wave.complete ? 1 : 0, std::move(begun)}));
}

/// Encodes the time of an order, from which a later holder computes its age.
std::string EncodeOrderTime(core::WallTime now) {
  return cbor::Serialize(
      nlohmann::json::array({now.time_since_epoch().count()}));
}

/// @return The machine of an order; nullptr if the order is not for a machine.
const scheduler::MachineId* MachineOfOrder(const scheduler::Order& order) {
  if (const auto* move = std::get_if<scheduler::MoveMachine>(&order)) {
    return &move->machine;
  }
  const auto* upkeep = std::get_if<scheduler::UpkeepMachine>(&order);
  return upkeep == nullptr ? nullptr : &upkeep->machine;
}

}  // namespace internal

std::string EncodeToken(core::Epoch token) {
  return cbor::Serialize(nlohmann::json::array({token.value}));
}

std::optional<core::Epoch> DecodeToken(std::string_view value) {
  const auto parsed = cbor::Parse(value);
  if (!parsed) {
    return std::nullopt;
  }
  cbor::ArrayReader reader(*parsed);
  const core::Epoch token{reader.Unsigned()};
  return reader.ok() ? std::optional(token) : std::nullopt;
}

StoreWriter::StoreWriter(asio::io_context& loop, StorePort store,
                         core::Epoch epoch, scheduler::State& state,
                         Listener listener)
    : loop_(loop),
      timer_(loop),
      overdue_timer_(loop),
      store_(std::move(store)),
      epoch_(epoch),
      state_(state),
      listener_(std::move(listener)) {}

void StoreWriter::AddSubmission(const core::JobId& id) {
  KeepProgress(id);
  submissions_.push_back(id);
  ScheduleAppend();
}

void StoreWriter::AddTombstone(const core::JobId& id) {
  KeepProgress(id);
  tombstones_.push_back(id);
  ScheduleAppend();
}

void StoreWriter::AddOrder(scheduler::Order order) {
  orders_.push_back({std::move(order), core::MonotonicNow()});
  ScheduleAppend();
}

void StoreWriter::AddWave(scheduler::WaveId id) {
  waves_.insert(id);
  ScheduleAppend();
}

void StoreWriter::AddToken(core::Epoch token) {
  token_ = token;
  ScheduleAppend();
}

void StoreWriter::AddRunTimes() {
  has_run_times_ = true;
  ScheduleAppend();
}

void StoreWriter::Drop(const core::JobId& id) {
  deleted_keys_.push_back(std::string(kProgressKeyPrefix) + id.value);
}

void StoreWriter::KeepProgress(const core::JobId& id) {
  std::erase(deleted_keys_, std::string(kProgressKeyPrefix) + id.value);
}

void StoreWriter::SetStoredProgress(const core::JobId& id,
                                    StoredProgress stored) {
  if (stored.is_split) {
    split_jobs_[id] = std::move(stored);
  }
}

void StoreWriter::DeleteRecords(const std::vector<std::string>& keys) {
  deleted_keys_.insert(deleted_keys_.end(), keys.begin(), keys.end());
}

void StoreWriter::Close() {
  closed_ = true;
  timer_.cancel();
  overdue_timer_.cancel();
}

bool StoreWriter::is_overdue(core::MonotonicTime now) const {
  return batch_ != nullptr &&
         now >= batch_->begun + internal::kSubmissionTimeout;
}

void StoreWriter::ScheduleAppend() {
  if (closed_ || batch_ != nullptr || scheduled_) {
    return;
  }
  scheduled_ = true;
  const core::MonotonicTime at = std::max(
      core::MonotonicNow(), last_append_start_ + internal::kMinAppendInterval);
  timer_.expires_at(at);
  timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
    const auto self = weak.lock();
    if (self && !error) {
      self->scheduled_ = false;
      self->BeginAppend();
    }
  });
}

bool StoreWriter::is_deferred(const core::JobId& id,
                              core::MonotonicTime now) const {
  const auto found = rejected_jobs_.find(id);
  if (found == rejected_jobs_.end() || now >= found->second) {
    return false;
  }
  // The record of a final state is small.
  const auto job = state_.jobs.find(id);
  return job != state_.jobs.end() && !workload::IsFinal(job->second.state);
}

bool StoreWriter::has_work(core::MonotonicTime now) const {
  const auto deferred = static_cast<std::size_t>(std::count_if(
      rejected_jobs_.begin(), rejected_jobs_.end(), [&](const auto& entry) {
        return is_deferred(entry.first, now) &&
               state_.unsaved.contains(entry.first);
      }));
  return !submissions_.empty() || !tombstones_.empty() ||
         state_.unsaved.size() > deferred || !waves_.empty() ||
         !deleted_keys_.empty() || !orders_.empty() || token_.has_value() ||
         has_run_times_;
}

void StoreWriter::CollectTombstones(Batch& batch, std::size_t& bytes) {
  const core::WallTime wall = core::WallNow();
  for (const core::JobId& id : std::exchange(tombstones_, {})) {
    const auto tombstone = state_.tombstones.find(id);
    if (tombstone == state_.tombstones.end()) {
      continue;  // The job was submitted meanwhile and its end is stored.
    }
    if (bytes >= internal::kMaxBatchBytes) {
      tombstones_.push_back(id);
      continue;
    }
    Change& change = batch.changes.emplace_back();
    change.job = id;
    change.is_tombstone = true;
    change.records = TombstoneRecords(id, wall, tombstone->second.caller);
    bytes += TotalBytes(change.records);
  }
}

void StoreWriter::CollectJobs(Batch& batch, std::size_t& bytes) {
  std::unordered_map<core::JobId, std::size_t> changes;
  std::size_t taken = 0;
  for (; taken < submissions_.size() && bytes < internal::kMaxBatchBytes;
       ++taken) {
    const core::JobId& id = submissions_[taken];
    const auto job = state_.jobs.find(id);
    if (job == state_.jobs.end()) {
      continue;
    }
    changes[id] = batch.changes.size();
    Change& change = batch.changes.emplace_back();
    change.job = id;
    change.is_submission = true;
    change.records.push_back(SubmissionRecord(job->second));
    bytes += TotalBytes(change.records);
    state_.unsaved.insert(id);
  }
  submissions_.erase(submissions_.begin(),
                     submissions_.begin() + static_cast<std::ptrdiff_t>(taken));
  const core::MonotonicTime now = core::MonotonicNow();
  std::set<core::JobId> deferred;
  bool complete = true;
  while (complete && !state_.unsaved.empty() &&
         bytes < internal::kMaxBatchBytes) {
    const core::JobId id = *state_.unsaved.begin();
    state_.unsaved.erase(state_.unsaved.begin());
    if (is_deferred(id, now)) {
      deferred.insert(id);
      continue;
    }
    const auto job = state_.jobs.find(id);
    if (job == state_.jobs.end()) {
      continue;
    }
    const auto known = changes.try_emplace(id, batch.changes.size());
    if (known.second) {
      batch.changes.emplace_back().job = id;
    }
    Change& change = batch.changes[known.first->second];
    const std::size_t before = TotalBytes(change.records);
    StoredProgress& stored = split_jobs_[id];
    complete =
        CollectJobRecords(state_, job->second, stored,
                          internal::kMaxBatchBytes - bytes, change.records);
    if (complete) {
      change.state = job->second.state;
    } else {
      state_.unsaved.insert(id);
    }
    if (!stored.is_split) {
      split_jobs_.erase(id);
    }
    bytes += TotalBytes(change.records) - before;
  }
  state_.unsaved.merge(deferred);
}

void StoreWriter::CollectOrders(Batch& batch, std::size_t& bytes) {
  const core::WallTime wall = core::WallNow();
  const core::MonotonicTime now = core::MonotonicNow();
  std::unordered_map<core::JobId, std::size_t> changes;
  for (std::size_t i = 0; i < batch.changes.size(); ++i) {
    changes.emplace(batch.changes[i].job, i);
  }
  std::vector<StoredOrder> rejected;
  for (StoredOrder& stored : std::exchange(orders_, {})) {
    const auto* start = std::get_if<scheduler::StartRun>(&stored.order);
    if (start != nullptr && is_deferred(start->name.job, now)) {
      rejected.push_back(std::move(stored));
      continue;
    }
    const scheduler::MachineId* machine =
        internal::MachineOfOrder(stored.order);
    if (machine != nullptr &&
        kMachineKeyPrefix.size() + machine->value.size() > kMaxKeyBytes) {
      ++rejections_;
      telemetry::Log(telemetry::Level::kError,
                     "id of a machine does not fit the key of a record",
                     {{"machine", machine->value}});
      rejected.push_back(std::move(stored));
      continue;
    }
    // A start whose job did not fit into this batch waits for a later one.
    const bool must_wait = start != nullptr
                               ? state_.unsaved.contains(start->name.job)
                               : bytes >= internal::kMaxBatchBytes;
    if (must_wait) {
      orders_.push_back(std::move(stored));
      continue;
    }
    const auto known =
        start != nullptr ? changes.find(start->name.job) : changes.end();
    Change& target = known != changes.end() ? batch.changes[known->second]
                                            : batch.changes.emplace_back();
    if (machine != nullptr) {
      target.records.push_back({std::string(kMachineKeyPrefix) + machine->value,
                                internal::EncodeOrderTime(wall)});
      bytes += TotalBytes(target.records);
    }
    target.orders.push_back(std::move(stored));
  }
  RejectOrders(rejected);
}

void StoreWriter::RejectOrders(const std::vector<StoredOrder>& orders) {
  if (orders.empty()) {
    return;
  }
  const core::MonotonicTime retry =
      core::MonotonicNow() + internal::kRejectedRetryDelay;
  for (const StoredOrder& stored : orders) {
    if (const auto* machine = internal::MachineOfOrder(stored.order)) {
      state_.machine_order_allowed_from[*machine] = retry;
    }
  }
  listener_.on_orders_rejected(orders);
}

void StoreWriter::CollectEnds(Batch& batch) {
  if (stored_ends_.size() > state_.hosts.size()) {
    std::erase_if(stored_ends_, [&](const auto& entry) {
      return !state_.hosts.contains(entry.first);
    });
  }
  // Run ends are acknowledged only once all changes that they caused are
  // stored. Changes that the store rejects do not hold up those of other jobs.
  const core::MonotonicTime now = core::MonotonicNow();
  const bool all_collected =
      std::all_of(state_.unsaved.begin(), state_.unsaved.end(),
                  [&](const core::JobId& id) { return is_deferred(id, now); });
  if (!all_collected) {
    return;
  }
  for (const auto& [id, host] : state_.hosts) {
    const StoredEnd end{host.listing.incarnation, host.ended};
    if (host.ended.value > 0 && end != stored_ends_[id]) {
      batch.ends[id] = end;
    }
  }
}

StoreWriter::Batch StoreWriter::CollectBatch() {
  Batch batch;
  std::size_t bytes = 0;
  // Before the jobs: the record of a job that was submitted since replaces that
  // of its tombstone.
  CollectTombstones(batch, bytes);
  CollectJobs(batch, bytes);
  for (const scheduler::WaveId id : waves_) {
    Change& change = batch.changes.emplace_back();
    change.records.push_back(
        {std::string(kWaveKeyPrefix) + std::to_string(id.value),
         internal::EncodeWave(state_.waves[id])});
    bytes += TotalBytes(change.records);
  }
  waves_.clear();
  if (std::exchange(has_run_times_, false)) {
    batch.changes.emplace_back().records.push_back(
        {std::string(kRunTimesKey),
         scheduler::EncodeRunTimes(state_.run_times)});
  }
  if (token_) {
    Change& change = batch.changes.emplace_back();
    change.records.push_back({std::string(kTokenKey), EncodeToken(*token_)});
    change.token = std::exchange(token_, std::nullopt);
    bytes += TotalBytes(change.records);
  }
  CollectOrders(batch, bytes);
  for (std::string& key : std::exchange(deleted_keys_, {})) {
    if (bytes >= internal::kMaxBatchBytes) {
      deleted_keys_.push_back(std::move(key));
      continue;
    }
    bytes += key.size();
    batch.changes.emplace_back().records.push_back(
        {std::move(key), std::nullopt});
  }
  CollectEnds(batch);
  return batch;
}

std::vector<StoreRecord> StoreWriter::RecordsOf(const Batch& batch) {
  std::vector<StoreRecord> records;
  for (const Change& change : batch.changes) {
    records.insert(records.end(), change.records.begin(), change.records.end());
  }
  return records;
}

void StoreWriter::BeginAppend() {
  if (closed_ || batch_ != nullptr) {
    return;
  }
  batch_ = std::make_unique<Batch>(CollectBatch());
  batch_->begun = core::MonotonicNow();
  last_append_start_ = batch_->begun;
  SendBatch();
}

void StoreWriter::SendBatch() {
  batch_->records = RecordsOf(*batch_);
  if (batch_->records.empty()) {
    OnStored();
    return;
  }
  batch_->sequence = next_sequence_++;
  overdue_timer_.expires_at(batch_->begun + internal::kSubmissionTimeout);
  overdue_timer_.async_wait(
      [weak = weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (self && !error && !self->closed_) {
          self->DropQueued();
        }
      });
  Send();
}

void StoreWriter::DropQueued() {
  if (!is_overdue(core::MonotonicNow())) {
    return;
  }
  // They are in no append yet, so they are certainly not stored.
  for (const core::JobId& id : std::exchange(submissions_, {})) {
    listener_.on_dropped(id);
  }
}

void StoreWriter::Send() {
  ++appends_;
  store_.append(epoch_, batch_->sequence, batch_->records,
                [weak = weak_from_this()](AppendOutcome outcome) {
                  const auto self = weak.lock();
                  if (self && !self->closed_) {
                    self->OnOutcome(outcome);
                  }
                });
}

void StoreWriter::OnOutcome(AppendOutcome outcome) {
  switch (outcome) {
    case AppendOutcome::kStored:
      OnStored();
      return;
    case AppendOutcome::kFenced:
      listener_.on_fenced();
      return;
    case AppendOutcome::kNotStored:
      Retry(true);
      return;
    case AppendOutcome::kRejected:
      OnRejected();
      return;
    case AppendOutcome::kUnknown:
      Retry(false);
      return;
  }
}

void StoreWriter::OnRejected() {
  // Nothing is stored, so the sequence number is free again.
  next_sequence_ = batch_->sequence;
  if (batch_->changes.size() > 1) {
    // Halves until the change is alone that the store does not accept.
    const auto middle = batch_->changes.begin() +
                        static_cast<std::ptrdiff_t>(batch_->changes.size() / 2);
    Batch rest;
    rest.changes.assign(std::make_move_iterator(middle),
                        std::make_move_iterator(batch_->changes.end()));
    rest.ends = std::exchange(batch_->ends, {});
    rest.begun = batch_->begun;
    rest.outcome_certain = batch_->outcome_certain;
    batch_->changes.erase(middle, batch_->changes.end());
    parts_.push_front(std::move(rest));
    SendBatch();
    return;
  }
  for (Change& change : std::exchange(batch_->changes, {})) {
    Reject(change);
  }
  OnStored();
}

void StoreWriter::Reject(Change& change) {
  ++rejections_;
  telemetry::Log(telemetry::Level::kError, "store does not accept records",
                 {{"key", change.records.front().key},
                  {"job", change.job.value},
                  {"records", std::to_string(change.records.size())},
                  {"bytes", std::to_string(TotalBytes(change.records))}});
  if (change.is_submission) {
    split_jobs_.erase(change.job);
    // An attempt without an answer may still be carried out.
    (batch_->outcome_certain ? listener_.on_dropped
                             : listener_.on_unknown)(change.job);
    return;
  }
  if (change.is_tombstone) {
    scheduler::DropTombstone(state_, change.job);
    return;
  }
  if (change.token) {
    listener_.on_token_rejected();
    return;
  }
  const auto job = state_.jobs.find(change.job);
  if (job != state_.jobs.end()) {
    job->second.rejected = true;
    job->second.policy_saved = false;
    rejected_jobs_[change.job] =
        core::MonotonicNow() + internal::kRejectedRetryDelay;
    state_.unsaved.insert(change.job);
    const auto stored = split_jobs_.find(change.job);
    if (stored != split_jobs_.end()) {
      InvalidateStoredProgress(stored->second);
    }
  }
  RejectOrders(change.orders);
}

void StoreWriter::DropSubmissions() {
  std::vector<Change> kept;
  for (Change& change : batch_->changes) {
    if (change.is_submission) {
      split_jobs_.erase(change.job);
      listener_.on_dropped(change.job);
    } else {
      kept.push_back(std::move(change));
    }
  }
  batch_->changes = std::move(kept);
  batch_->records = RecordsOf(*batch_);
}

void StoreWriter::Retry(bool outcome_certain) {
  batch_->outcome_certain = batch_->outcome_certain && outcome_certain;
  const core::MonotonicTime now = core::MonotonicNow();
  const bool has_submissions =
      std::any_of(batch_->changes.begin(), batch_->changes.end(),
                  [](const Change& change) { return change.is_submission; });
  if (batch_->outcome_certain && is_overdue(now) && has_submissions) {
    // Nothing of this batch is stored, so its new jobs can be reported as not
    // stored.
    DropSubmissions();
    if (batch_->records.empty()) {
      next_sequence_ = batch_->sequence;
      OnStored();
      return;
    }
  }
  timer_.expires_after(internal::kRetryDelay);
  timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
    const auto self = weak.lock();
    if (self && !error && !self->closed_ && self->batch_) {
      self->Send();
    }
  });
}

void StoreWriter::OnStored() {
  overdue_timer_.cancel();
  const auto batch = std::move(batch_);
  const core::MonotonicTime now = core::MonotonicNow();
  for (const Change& change : batch->changes) {
    if (change.is_tombstone) {
      scheduler::ConfirmTombstone(state_, change.job, now);
    }
    if (change.is_submission) {
      listener_.on_submitted(change.job);
    }
  }
  std::vector<StoredOrder> orders;
  for (Change& change : batch->changes) {
    if (change.state) {
      const auto job = state_.jobs.find(change.job);
      if (rejected_jobs_.erase(change.job) > 0 && job != state_.jobs.end()) {
        job->second.rejected = false;
      }
      scheduler::ConfirmProgress(state_, change.job, *change.state, now);
    }
    std::move(change.orders.begin(), change.orders.end(),
              std::back_inserter(orders));
    if (change.token) {
      listener_.on_token(*change.token);
    }
  }
  listener_.on_orders(orders);
  for (const auto& [host, end] : batch->ends) {
    stored_ends_[host] = end;
    listener_.on_ends(host, end);
  }
  listener_.on_stored();
  if (closed_) {
    return;
  }
  if (!parts_.empty()) {
    batch_ = std::make_unique<Batch>(std::move(parts_.front()));
    parts_.pop_front();
    SendBatch();
    return;
  }
  if (has_work(now)) {
    ScheduleAppend();
  }
}

}  // namespace camphormux::coordinator
