#ifndef CAMPHORMUX_COORDINATOR_PORTS_HPP_
#define CAMPHORMUX_COORDINATOR_PORTS_HPP_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "camphormux/coordinator/member.hpp"
#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/scheduler/events.hpp"
#include "camphormux/scheduler/upkeep.hpp"
#include "camphormux/workload/model.hpp"

/// Interfaces (ports) to the platform that this module needs. Callbacks run on
/// the event loop, never inside the call.
namespace camphormux::coordinator {

/// Time after which the store takes the ownership away from an unresponsive
/// node: a few calls to a slow store. It makes up the larger part of a
/// takeover.
inline constexpr core::Millis kOwnershipTtl{1500};

/// Maximum size of a record's key in bytes; its length is stored in one byte.
inline constexpr std::size_t kMaxKeyBytes = 255;

/// @brief The newest value of a key; a record without a value deletes the key.
struct StoreRecord {
  std::string key;
  std::optional<std::string> value;
};

enum class AppendOutcome {
  kStored,
  kFenced,     ///< A newer holder has fenced this one.
  kNotStored,  ///< Certainly nothing was stored; a repetition may be.
  kRejected,   ///< Nothing was stored, and these records never will be.
  kUnknown,    ///< May be stored, now or later; repeat it unchanged.
};

/// @brief Store of jobs. Only one holder at a time can write: the one with the
/// highest epoch.
struct StorePort {
  /// Fences all holders with a lower epoch: their appends fail from now on.
  std::function<void(core::Epoch epoch, std::function<void(AppendOutcome)>)>
      fence;
  /// Appends records, all or none. Repeating a sequence number repeats the same
  /// append and has no further effect.
  std::function<void(core::Epoch epoch, std::uint64_t sequence,
                     const std::vector<StoreRecord>& records,
                     std::function<void(AppendOutcome)>)>
      append;
  /// Reads the newest record of each key.
  std::function<void(
      std::function<void(std::optional<std::vector<StoreRecord>>)>)>
      load;
  /// Publishes the state of a wave to the operators.
  std::function<void(scheduler::WaveId wave, bool complete,
                     std::function<void(bool stored)>)>
      publish_wave;
};

/// @brief Answer to a candidate: whether this node holds the ownership.
struct MembershipAnswer {
  core::Epoch generation;  ///< Increases with each change of the candidates.
  bool holder = false;
};

/// @brief Which node holds the ownership.
struct Ownership {
  std::optional<core::Address> holder;  ///< Empty if there is no holder.
  /// The holder is an earlier process at this node's own address.
  bool is_previous_process = false;
  bool is_self = false;  ///< The holder is this process.
};

/// @brief Ownership and node list, kept in membership groups of the store.
struct ElectionPort {
  /// Becomes or stays a candidate; empty if there was no answer.
  std::function<void(std::function<void(std::optional<MembershipAnswer>)>)>
      join;
  /// Gives up candidacy and ownership at once.
  std::function<void(std::function<void()>)> leave;
  /// Looks up the holder; empty if there was no answer.
  std::function<void(std::function<void(std::optional<Ownership>)>)>
      find_holder;
  /// Ends the candidacy of an earlier process at this node's own address.
  std::function<void(std::function<void()>)> evict_previous_process;
  /// Announces this node to the others; returns all nodes, or nothing if there
  /// was no answer or no change.
  std::function<void(std::function<void(std::optional<std::vector<Member>>)>)>
      announce;
};

/// @brief Target of a call to a host, with the fencing token of the caller.
struct HostTarget {
  core::HostId host;
  core::Incarnation incarnation;
  core::Address address;
  core::ZoneName zone;  ///< Selects the agent that makes the call.
  core::Epoch token;
};

/// @brief An order to start a run.
struct StartCall {
  HostTarget target;
  scheduler::RunName name;
  std::string payload;
  std::string checkpoint;
  std::int64_t lease_end_ms = 0;  ///< On the host's clock.
};

/// @brief Renews a host's lease and asks for its lists of runs.
struct RenewCall {
  HostTarget target;
  scheduler::EndNumber acknowledged;  ///< Ends up to this number are stored.
  std::optional<std::int64_t> lease_end_ms;  ///< On the host's clock.
  core::Millis wait{0};  ///< Longest time to wait for the end of a run.
};

enum class CallOutcome {
  kDone,
  kFenced,
  kHostRestarted,
  kRefused,
  kNoAnswer,
};

/// @brief Answer to a start order.
struct StartAnswer {
  scheduler::StartOutcome outcome = scheduler::StartOutcome::kNoAnswer;
  std::optional<std::int64_t> clock_ms;  ///< Reading of the host's clock.
};

/// @brief Answer to a renewal.
struct RenewAnswer {
  CallOutcome outcome = CallOutcome::kNoAnswer;
  std::int64_t clock_ms = 0;  ///< Reading of the host's clock.
  core::Incarnation incarnation;
  std::vector<scheduler::ReportedRun> running;
  std::vector<scheduler::ReportedEnd> ended;
  /// Runs or ends are missing from the lists: the host has more ends than it
  /// lists at a time, or an entry could not be read.
  bool is_partial = false;
};

/// @brief Calls to hosts.
struct HostPort {
  std::function<void(const StartCall&, std::function<void(StartAnswer)>)> start;
  std::function<void(const HostTarget&, const scheduler::RunName&,
                     std::function<void(CallOutcome)>)>
      stop;
  std::function<void(const HostTarget&, const scheduler::RunName&, int percent,
                     std::function<void(CallOutcome)>)>
      pace;
  std::function<void(const RenewCall&, std::function<void(RenewAnswer)>)> renew;
};

/// @brief Calls to the cloud that provides the machines.
struct CloudPort {
  std::function<void(
      std::function<void(
          std::optional<std::vector<scheduler::MachineListing>>)>)>
      list;
  std::function<void(const scheduler::MoveMachine&, core::Epoch token,
                     std::function<void(scheduler::MachineOutcome)>)>
      move;
  std::function<void(const scheduler::UpkeepMachine&, core::Epoch token,
                     std::function<void(scheduler::MachineOutcome)>)>
      upkeep;
};

/// @brief Data published by operators and hosts. Start it once; it runs until
/// the port is destroyed.
struct FeedPort {
  struct Listener {
    std::function<void(workload::Catalog)> on_catalog;
    std::function<void(scheduler::WaveRequest)> on_wave;
    /// All hosts, and the time until which a missing host may be due to an
    /// outage of the list.
    std::function<void(std::vector<scheduler::HostListing>,
                       core::MonotonicTime trusted_from)>
        on_hosts;
    /// Entries that hosts have written, also if nothing else has changed.
    /// Called after `on_hosts`.
    std::function<void(const std::vector<scheduler::Heartbeat>&)> on_heartbeats;
  };
  std::function<void(Listener)> start;
  /// Starts or stops reading the hosts' entries; only the holder needs them.
  std::function<void(bool follow)> follow_hosts;
};

struct Ports {
  StorePort store;
  ElectionPort election;
  HostPort host;
  CloudPort cloud;
  FeedPort feed;
  /// Makes a request that another node has forwarded.
  std::function<void(const std::string& body,
                     std::function<void(std::string result)>)>
      serve_forwarded;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_PORTS_HPP_
