#ifndef CAMPHORMUX_COORDINATOR_STORE_WRITER_HPP_
#define CAMPHORMUX_COORDINATOR_STORE_WRITER_HPP_

#include <cstdint>
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

#include "camphormux/coordinator/ports.hpp"
#include "camphormux/scheduler/state.hpp"

namespace camphormux::coordinator {

/// Key prefixes in the store: jobs as submitted, their progress, waves, and the
/// last orders of machines.
inline constexpr std::string_view kSpecKeyPrefix = "j/";
inline constexpr std::string_view kProgressKeyPrefix = "p/";
inline constexpr std::string_view kWaveKeyPrefix = "w/";
inline constexpr std::string_view kMachineKeyPrefix = "m/";

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
    /// Ends of a host's incarnation up to this number are stored.
    std::function<void(const core::HostId&, StoredEnd)> on_ends;
    /// The orders are stored and may be sent.
    std::function<void(const std::vector<StoredOrder>&)> on_orders;
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
  /// @brief Stores an order before it is sent: a later holder must know where a
  /// task may run and when a machine was last ordered.
  /// @param order A start of a run, or a move or maintenance of a machine.
  void AddOrder(scheduler::Order order);
  /// @brief Stores which machines of a wave have begun their maintenance.
  void AddWave(scheduler::WaveId id);
  /// @brief Deletes the stored record of an expired job.
  void Drop(const core::JobId& id);
  /// @brief Starts an append soon if there is something to store.
  void ScheduleAppend();
  /// @brief Starts no more appends.
  void Close();

  /// @return Whether the append in flight takes so long that submissions would
  /// wait too long: the store does not answer.
  [[nodiscard]] bool is_overdue(core::MonotonicTime now) const;
  [[nodiscard]] std::uint64_t appends() const { return appends_; }

 private:
  struct Batch {
    std::uint64_t sequence = 0;
    std::vector<StoreRecord> records;
    std::vector<core::JobId> submissions;
    std::vector<std::pair<core::JobId, workload::JobState>> progress;
    std::map<core::HostId, StoredEnd> ends;
    std::vector<StoredOrder> orders;
    core::MonotonicTime begun;
    bool outcome_certain = true;  ///< No attempt had an unknown outcome.
  };

  void BeginAppend();
  [[nodiscard]] Batch CollectBatch();
  void Send();
  void OnOutcome(AppendOutcome outcome);
  void OnStored();
  void Retry(bool outcome_certain);
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
  std::vector<StoredOrder> orders_;
  std::set<scheduler::WaveId> waves_;
  std::vector<core::JobId> dropped_jobs_;
  std::unique_ptr<Batch> batch_;
  std::unordered_map<core::HostId, StoredEnd> stored_ends_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t appends_ = 0;
  core::MonotonicTime last_append_start_;
  bool scheduled_ = false;
  bool closed_ = false;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_STORE_WRITER_HPP_
