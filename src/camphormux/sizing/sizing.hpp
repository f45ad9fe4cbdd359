#ifndef CAMPHORMUX_SIZING_SIZING_HPP_
#define CAMPHORMUX_SIZING_SIZING_HPP_

#include <deque>
#include <map>
#include <optional>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::sizing {

/// @brief Demand for one service during the last second, summed over all
/// gateways.
struct DemandSample {
  double arrivals_per_s = 0.0;
  double refused_per_s = 0.0;  ///< Part of the arrivals that was refused.
  double queued = 0.0;         ///< Requests queued in gateways.
  double running = 0.0;  ///< Requests in slots at the latest usage report.
  core::Millis report_age{0};  ///< Age of that report.
  /// Requests that gateways sent to hosts since that report.
  double started_since_report = 0.0;
};

/// @brief Rate of requests that started in one past step.
struct StartedRate {
  core::MonotonicTime time;
  double per_s = 0.0;
  bool calm = false;  ///< No request was queued or refused.
};

/// @brief Highest sizes of two consecutive time windows, in hosts.
struct HeldSize {
  int peak = 0;           ///< Of the current window.
  int previous_peak = 0;  ///< Of the previous window.
  core::MonotonicTime window_end;
};

/// @brief State that sizing keeps for a service between steps. "Calm" refers to
/// steps in which no request was queued or refused, or to the time between
/// surges.
struct ServiceMemory {
  /// Rates of past steps, to match a delayed usage report with the rate at the
  /// time of the report.
  std::deque<StartedRate> history;
  double service_time_s = 0.0;  ///< Estimate; 0 when unknown.
  double calm_running = 0.0;    ///< Smoothed requests in slots, calm steps.
  double calm_per_s = 0.0;      ///< Smoothed rate that caused them.
  int calm_samples = 0;         ///< Samples in calm_running and calm_per_s.
  /// Smoothed arrivals between surges, without calls of other services.
  double external_per_s = 0.0;
  double calm_slots = 0.0;         ///< Smoothed demand between surges.
  double previous_slots = 0.0;     ///< Demand of the previous step.
  double peak_slots = 0.0;         ///< Peak of past surges, with decay.
  double surge_level_slots = 0.0;  ///< Mean demand of the current surge.
  int surge_samples = 0;           ///< Samples in that mean.
  bool surging = false;
  /// Start of the latest surge.
  std::optional<core::MonotonicTime> surge_start;
  /// Smoothed time between the starts of surges; 0 when unknown.
  core::Millis surge_interval{0};
  int needed_hosts = 0;  ///< Needed size of the previous step.
  HeldSize needed;       ///< Held for some seconds, to filter noise.
  HeldSize wanted;       ///< Held for the hold time.
};

/// @brief State of the sizing decision, one per controller. After a restart it
/// is rebuilt from scratch within one hold time.
struct SizingState {
  std::map<core::ServiceName, ServiceMemory> services;
};

/// @brief Inputs of one sizing step.
struct SizingInput {
  const text::OperatorText* text = nullptr;  ///< Never null.
  std::map<core::ServiceName, DemandSample> demand;
  /// Number of hosts of each zone that are not missing; 0 for zones without an
  /// entry.
  std::map<core::ZoneName, int> usable_hosts;
  /// Additional hosts that maintenance requested, by pool and zone.
  std::map<core::PoolName, std::map<core::ZoneName, int>> maintenance_reserve;
  core::MonotonicTime now;
};

/// @brief The constraint that determined a size.
enum class SizeConstraint {
  kMinHosts,      ///< The operator text's min_hosts.
  kDemand,        ///< The service's own demand.
  kDependencies,  ///< Demand of services that call it.
  kLeadingEdge,   ///< Expected peak of a surge that has begun.
  kHold,          ///< Earlier demand, held until the hold time passes.
  kFleet,         ///< Reduced: the zone has too few hosts.
};

/// @brief Values from which a size was computed, for `explain`.
struct SizeReason {
  SizeConstraint constraint = SizeConstraint::kMinHosts;
  double arrivals_per_s = 0.0;      ///< Observed arrivals.
  double from_callers_per_s = 0.0;  ///< Expected from calling services.
  double service_time_s = 0.0;
  double demand_slots = 0.0;   ///< Slots that arrivals and backlog fill.
  double planned_slots = 0.0;  ///< The same with the expected peak of a surge.
  int slots_per_host = 0;
  int demand_hosts = 0;  ///< Hosts for the planned slots.
  core::Millis hold{0};  ///< Time for which a size is held after demand fell.
};

/// @brief Size of a service in one zone, in hosts.
struct ZoneSize {
  int floor = 0;    ///< Fewest hosts that must stay available.
  int reserve = 0;  ///< Part of `needed` that replaces hosts under maintenance.
  int needed = 0;   ///< Hosts to serve the demand; at least floor plus reserve
                    ///< unless reduced.
  int wanted = 0;   ///< Hosts above this go to the spare pool; at least
                    ///< `needed`, before reduction.
  /// Hosts needed for a surge that is expected soon; 0 if none is.
  int expected = 0;
  /// Whether `needed` was lowered because the zone has too few hosts.
  bool reduced = false;
};

/// @brief Size of a service in all its zones.
struct ServiceSize {
  core::ServiceName service;
  core::PoolName pool;
  std::map<core::ZoneName, ZoneSize> zones;
  bool surging = false;
  /// Expected time to the next surge, if surges recur.
  std::optional<core::Millis> until_next_surge;
  SizeReason reason;
};

/// @brief Result of a sizing step, by service.
struct Sizes {
  std::map<core::ServiceName, ServiceSize> services;
};

/// @brief Decides how many hosts each service should have in each zone.
/// Sizes rise within the first second of a surge and fall after the hold time,
/// which follows from the policy weights.
/// @param state State of earlier steps; updated.
/// @param input The operator text, the demand and the usable hosts.
/// @return Sizes with their reasons for every service of the operator text.
[[nodiscard]] Sizes DecideSizes(SizingState& state, const SizingInput& input);

/// @brief Computes how long a size is held after demand fell.
/// @param policy The policy weights of the operator text.
/// @return The hold time in milliseconds; longer when moves weigh more than
/// idle hosts.
[[nodiscard]] core::Millis HoldTime(const text::Policy& policy);

/// @brief Computes the time in which a backlog should be worked off.
/// @param policy The policy weights of the operator text.
/// @return The time in milliseconds; shorter, which takes more hosts, when
/// roll-out time weighs more.
[[nodiscard]] core::Millis BacklogTime(const text::Policy& policy);

/// @brief Estimates the requests in slots now from a delayed usage report.
/// @param sample The demand sample.
/// @param service_time_s Mean time of a request in seconds; positive.
/// @return Requests of the report that are still running, plus running ones
/// that started since.
[[nodiscard]] double RunningNow(const DemandSample& sample,
                                double service_time_s);

/// @brief Stateless baseline for comparisons: the hosts that the current demand
/// fills, at least min_hosts.
/// @param input The operator text, the demand and the usable hosts.
/// @param service_time_s Mean time of a request in seconds, for all services.
/// @param planned_use Planned utilisation of a host's slots, in 0 to 1.
/// @return Sizes whose `needed` and `wanted` are equal.
[[nodiscard]] Sizes ProportionalSizes(const SizingInput& input,
                                      double service_time_s,
                                      double planned_use);

/// @brief Computes the planned utilisation of a host's slots.
/// @param policy The policy weights of the operator text.
/// @return Share in 0 to 1; higher when moves weigh more than idle hosts.
[[nodiscard]] double PlannedUse(const text::Policy& policy);

}  // namespace camphormux::sizing

#endif  // CAMPHORMUX_SIZING_SIZING_HPP_
