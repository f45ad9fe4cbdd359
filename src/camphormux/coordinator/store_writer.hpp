#ifndef CAMPHORMUX_COORDINATOR_STORE_WRITER_HPP_
#define CAMPHORMUX_COORDINATOR_STORE_WRITER_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "camphormux/coordinator/job_records.hpp"
#include "camphormux/coordinator/ports.hpp"
#include "camphormux/scheduler/state.hpp"

namespace camphormux::coordinator {

/// Key prefixes in the store: waves, and the last orders of machines.
inline constexpr std::string_view kWaveKeyPrefix = "w/";
inline constexpr std::string_view kMachineKeyPrefix = "m/";
/// Key of the highest fencing token of calls to hosts, if it is above the epoch
/// of its holder. Versions that do not know it ignore it.
inline constexpr std::string_view kTokenKey = "f/token";
inline constexpr std::string_view kRunTimesKey = "r/times";

/// @return Value of the record of a fencing token.
[[nodiscard]] std::string EncodeToken(core::Epoch token);
/// @return The token; empty if the value is malformed.
[[nodiscard]] std::optional<core::Epoch> DecodeToken(std::string_view value);

/// @brief The highest stored end of one incarnation of a host; each
/// incarnation numbers its ends from 1.
struct StoredEnd {
  core::Incarnation incarnation;
  scheduler::EndNumber number;

  friend bool operator==(const StoredEnd&, const StoredEnd&) = default;
};

/// @brief An order that is stored before it is sent.
struct StoredOrder {
  scheduler::Order order;
  core::MonotonicTime decided;
};

/// @brief Writes the holder's state to the store. One append is in flight at a
/// time; changes made meanwhile are written together by the next one (group
/// commit).
class StoreWriter : public std::enable_shared_from_this<StoreWriter> {
 public:
  struct Listener {
    /// The submission is stored.
    std::function<void(const core::JobId&)> on_submitted;
    /// The submission is certainly not stored.
    std::function<void(const core::JobId&)> on_dropped;
    /// The submission is given up, and may be stored.
    std::function<void(const core::JobId&)> on_unknown;
    /// Ends of a host's incarnation up to this number are stored.
    std::function<void(const core::HostId&, StoredEnd)> on_ends;
    /// The orders are stored and may be sent.
    std::function<void(const std::vector<StoredOrder>&)> on_orders;
    /// The store does not accept the records that these orders need.
    std::function<void(const std::vector<StoredOrder>&)> on_orders_rejected;
    /// The fencing token is stored and may be used.
    std::function<void(core::Epoch)> on_token;
    /// The store does not accept the record of the fencing token.
    std::function<void()> on_token_rejected;
    /// A batch was stored.
    std::function<void()> on_stored;
    /// A newer holder has taken over.
    std::function<void()> on_fenced;
  };

  /// @param loop Event loop; outlives the writer.
  /// @param store The store.
  /// @param epoch Epoch of this holder.
  /// @param state The holder's state; outlives the writer.
  /// @param listener Receives the results.
  StoreWriter(asio::io_context& loop, StorePort store, core::Epoch epoch,
              scheduler::State& state, Listener listener);

  /// @brief Stores a new job with the next append.
  void AddSubmission(const core::JobId& id);
  /// @brief Stores the tombstone of a cancelled job with the next append.
  void AddTombstone(const core::JobId& id);
  /// @brief Stores an order before it is sent: a later holder must know where a
  /// task may run and when a machine was last ordered.
  /// @param order A start of a run, or a move or maintenance of a machine.
  void AddOrder(scheduler::Order order);
  /// @brief Stores which machines of a wave have begun their maintenance.
  void AddWave(scheduler::WaveId id);
  /// @brief Stores a fencing token before it is used: the next holder must use
  /// a higher one.
  void AddToken(core::Epoch token);
  /// @brief Stores what was learned of run times, so that the next holder knows
  /// it. A record that the store rejects is not repeated.
  void AddRunTimes();
  /// @brief Deletes the stored record of an expired job.
  void Drop(const core::JobId& id);
  /// @brief Sets in which records a job is stored that a previous holder
  /// accepted.
  void SetStoredProgress(const core::JobId& id, StoredProgress stored);
  /// @brief Deletes records.
  void DeleteRecords(const std::vector<std::string>& keys);
  /// @brief Starts an append soon if there is something to store.
  void ScheduleAppend();
  /// @brief Starts no more appends.
  void Close();

  /// @return Whether the append in flight takes so long that submissions would
  /// wait too long: the store does not answer.
  [[nodiscard]] bool is_overdue(core::MonotonicTime now) const;
  [[nodiscard]] std::uint64_t appends() const { return appends_; }
  /// @return Number of changes that the store rejected.
  [[nodiscard]] std::uint64_t rejections() const { return rejections_; }

 private:
  /// Records that are stored together, and what depends on them.
  struct Change {
    std::vector<StoreRecord> records;
    /// Job to which the records belong; empty if they belong to none.
    core::JobId job;
    bool is_submission = false;
    bool is_tombstone = false;
    /// State of the job, if its progress is stored completely.
    std::optional<workload::JobState> state;
    std::vector<StoredOrder> orders;
    std::optional<core::Epoch> token;
  };

  /// Changes that one append stores.
  struct Batch {
    std::uint64_t sequence = 0;  ///< 0 until it is sent.
    std::vector<Change> changes;
    /// Ends that may be acknowledged once the batch is stored.
    std::map<core::HostId, StoredEnd> ends;
    std::vector<StoreRecord> records;  ///< Those of the changes.
    core::MonotonicTime begun;
    bool outcome_certain = true;  ///< No attempt had an unknown outcome.
  };

  [[nodiscard]] static std::vector<StoreRecord> RecordsOf(const Batch& batch);

  /// Withdraws the deletion of a job's progress that is not stored yet.
  void KeepProgress(const core::JobId& id);
  void BeginAppend();
  [[nodiscard]] Batch CollectBatch();
  void CollectTombstones(Batch& batch, std::size_t& bytes);
  void CollectJobs(Batch& batch, std::size_t& bytes);
  void CollectOrders(Batch& batch, std::size_t& bytes);
  void CollectEnds(Batch& batch);
  void SendBatch();
  void Send();
  void OnOutcome(AppendOutcome outcome);
  void OnStored();
  void OnRejected();
  void DropSubmissions();
  void Reject(Change& change);
  /// Withdraws orders, and defers further ones for the same machines.
  void RejectOrders(const std::vector<StoredOrder>& orders);
  void Retry(bool outcome_certain);
  /// @return Whether a job's records were rejected and wait to be tried again.
  [[nodiscard]] bool is_deferred(const core::JobId& id,
                                 core::MonotonicTime now) const;
  [[nodiscard]] bool has_work(core::MonotonicTime now) const;
  /// Drops new jobs that wait behind an append without an answer.
  void DropQueued();

  asio::io_context& loop_;
  asio::steady_timer timer_;
  asio::steady_timer overdue_timer_;
  StorePort store_;
  core::Epoch epoch_;
  scheduler::State& state_;
  Listener listener_;
  std::vector<core::JobId> submissions_;
  std::vector<core::JobId> tombstones_;
  std::vector<StoredOrder> orders_;
  std::set<scheduler::WaveId> waves_;
  std::vector<std::string> deleted_keys_;
  std::optional<core::Epoch> token_;  ///< Token to store.
  bool has_run_times_ = false;        ///< Learned run times have to be stored.
  std::unique_ptr<Batch> batch_;
  /// Parts of a rejected batch that are stored one after the other.
  std::deque<Batch> parts_;
  std::unordered_map<core::JobId, StoredProgress> split_jobs_;
  /// Jobs whose records the store rejected, and when they are tried again.
  std::map<core::JobId, core::MonotonicTime> rejected_jobs_;
  std::unordered_map<core::HostId, StoredEnd> stored_ends_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t appends_ = 0;
  std::uint64_t rejections_ = 0;
  core::MonotonicTime last_append_start_;
  bool scheduled_ = false;
  bool closed_ = false;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_STORE_WRITER_HPP_
