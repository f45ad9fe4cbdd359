#include "camphormux/coordinator/store_writer.hpp"

#include <algorithm>
#include <utility>

#include "camphormux/cbor/cbor.hpp"
#include "camphormux/scheduler/jobs.hpp"
#include "camphormux/telemetry/log.hpp"
#include "camphormux/workload/codec.hpp"

namespace camphormux::coordinator {
namespace internal {

/// Minimum interval between appends. The store accepts 600 writes per second
/// from all nodes together; one holder stays below a tenth of that.
constexpr core::Millis kMinAppendInterval{12};
constexpr core::Millis kRetryDelay{100};
/// A new job that could not be stored within this time is refused early enough
/// for its caller to retry.
constexpr core::Millis kSubmissionTimeout{600};
/// Maximum size of the records of one append, in bytes; below the store's limit
/// of 2 MiB.
constexpr std::size_t kMaxBatchBytes = std::size_t{1} << 20;

std::string EncodeWave(const scheduler::Wave& wave) {
  nlohmann::json begun = nlohmann::json::array();
  for (const scheduler::MachineId& id : wave.begun) {
    begun.push_back(id.value);
  }
  return cbor::Serialize(
      nlohmann::json::array({wave.complete ? 1 : 0, std::move(begun)}));
}

std::string EncodeJob(const scheduler::Job& job) {
  return workload::EncodeStoredJob({job.spec, job.policy});
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
  submissions_.push_back(id);
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

void StoreWriter::Drop(const core::JobId& id) { dropped_jobs_.push_back(id); }

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

StoreWriter::Batch StoreWriter::CollectBatch() {
  Batch batch;
  std::size_t bytes = 0;
  const auto add = [&](std::string key, std::optional<std::string> value) {
    bytes += key.size() + (value ? value->size() : 0);
    batch.records.push_back({std::move(key), std::move(value)});
  };
  for (const core::JobId& id : submissions_) {
    const auto job = state_.jobs.find(id);
    if (job != state_.jobs.end()) {
      add(std::string(kSpecKeyPrefix) + id.value,
          internal::EncodeJob(job->second));
      batch.submissions.push_back(id);
      state_.unsaved.insert(id);
    }
  }
  submissions_.clear();
  while (!state_.unsaved.empty() && bytes < internal::kMaxBatchBytes) {
    const core::JobId id = *state_.unsaved.begin();
    state_.unsaved.erase(state_.unsaved.begin());
    const auto job = state_.jobs.find(id);
    if (job == state_.jobs.end()) {
      continue;
    }
    if (scheduler::HasPolicy(job->second) && !job->second.policy_saved) {
      job->second.policy_saved = true;
      add(std::string(kSpecKeyPrefix) + id.value,
          internal::EncodeJob(job->second));
    }
    const workload::Progress progress =
        scheduler::ProgressOf(state_, job->second);
    add(std::string(kProgressKeyPrefix) + id.value,
        workload::EncodeProgress(progress));
    if (workload::IsFinal(progress.state)) {
      add(std::string(kSpecKeyPrefix) + id.value, std::nullopt);
    }
    batch.progress.emplace_back(id, progress.state);
  }
  for (const scheduler::WaveId id : waves_) {
    add(std::string(kWaveKeyPrefix) + std::to_string(id.value),
        internal::EncodeWave(state_.waves[id]));
  }
  waves_.clear();
  // A start whose job did not fit into this batch waits for a later one.
  for (StoredOrder& stored : std::exchange(orders_, {})) {
    const auto* start = std::get_if<scheduler::StartRun>(&stored.order);
    const bool is_stored =
        start == nullptr || !state_.unsaved.contains(start->name.job);
    (is_stored ? batch.orders : orders_).push_back(std::move(stored));
  }
  const core::WallTime wall = core::WallNow();
  for (const StoredOrder& stored : batch.orders) {
    if (const scheduler::MachineId* machine =
            internal::MachineOfOrder(stored.order)) {
      add(std::string(kMachineKeyPrefix) + machine->value,
          internal::EncodeOrderTime(wall));
    }
  }
  for (const core::JobId& id : dropped_jobs_) {
    add(std::string(kProgressKeyPrefix) + id.value, std::nullopt);
  }
  dropped_jobs_.clear();
  if (stored_ends_.size() > state_.hosts.size()) {
    std::erase_if(stored_ends_, [&](const auto& entry) {
      return !state_.hosts.contains(entry.first);
    });
  }
  // Run ends are acknowledged only once all changes that they caused are
  // stored.
  if (state_.unsaved.empty()) {
    for (const auto& [id, host] : state_.hosts) {
      const StoredEnd end{host.listing.incarnation, host.ended};
      if (host.ended.value > 0 && end != stored_ends_[id]) {
        batch.ends[id] = end;
      }
    }
  }
  return batch;
}

void StoreWriter::BeginAppend() {
  if (closed_ || batch_ != nullptr) {
    return;
  }
  auto batch = std::make_unique<Batch>(CollectBatch());
  batch->begun = core::MonotonicNow();
  last_append_start_ = batch->begun;
  batch_ = std::move(batch);
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
    case AppendOutcome::kUnknown:
      Retry(false);
      return;
  }
}

void StoreWriter::Retry(bool outcome_certain) {
  batch_->outcome_certain = batch_->outcome_certain && outcome_certain;
  const core::MonotonicTime now = core::MonotonicNow();
  if (batch_->outcome_certain && is_overdue(now) &&
      !batch_->submissions.empty()) {
    // Nothing of this batch is stored, so its new jobs can be reported as not
    // stored.
    for (const core::JobId& id : batch_->submissions) {
      const std::string key = std::string(kSpecKeyPrefix) + id.value;
      const std::string progress = std::string(kProgressKeyPrefix) + id.value;
      std::erase_if(batch_->records, [&](const StoreRecord& record) {
        return record.key == key || record.key == progress;
      });
      std::erase_if(batch_->progress,
                    [&](const auto& entry) { return entry.first == id; });
      listener_.on_dropped(id);
    }
    batch_->submissions.clear();
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
  for (const core::JobId& id : batch->submissions) {
    listener_.on_submitted(id);
  }
  for (const auto& [id, stored] : batch->progress) {
    scheduler::ConfirmProgress(state_, id, stored, now);
  }
  listener_.on_orders(batch->orders);
  for (const auto& [host, end] : batch->ends) {
    stored_ends_[host] = end;
    listener_.on_ends(host, end);
  }
  listener_.on_stored();
  const bool more = !submissions_.empty() || !state_.unsaved.empty() ||
                    !waves_.empty() || !dropped_jobs_.empty() ||
                    !orders_.empty();
  if (more) {
    ScheduleAppend();
  }
}

}  // namespace camphormux::coordinator
