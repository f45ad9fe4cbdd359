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
  double refused_per_s = 0.0;  ///< Part of the arrivals that was turned away.
  double queued = 0.0;         ///< Requests that wait in gateways.
  double running = 0.0;        ///< Requests in slots at the last usage report.
  core::Millis report_age{0};  ///< Age of that report.
  /// Requests that gateways sent since that report.
  double started_since_report = 0.0;
};

/// @brief Requests that started in one past step.
struct StartedRate {
  core::MonotonicTime time;
  double per_s = 0.0;
  bool calm = false;  ///< Nothing waited or was refused.
};

/// @brief Highest sizes of two consecutive windows of time.
struct HeldSize {
  int peak = 0;           ///< Of the window that is open.
  int previous_peak = 0;  ///< Of the window before.
  core::MonotonicTime window_end;
};

/// @brief What sizing remembers of a service between steps.
struct ServiceMemory {
  /// Past steps, to compare a lagging report with the rate of its time.
  std::deque<StartedRate> history;
  double service_time_s = 0.0;     ///< Estimate; 0 when unknown.
  double calm_running = 0.0;       ///< Smoothed requests in slots ...
  double calm_per_s = 0.0;         ///< ... and rate that caused them.
  int calm_samples = 0;            ///< Samples in both.
  double external_per_s = 0.0;     ///< Calm arrivals that no service made.
  double calm_slots = 0.0;         ///< Smoothed demand between surges.
  double previous_slots = 0.0;     ///< Demand of the previous step.
  double peak_slots = 0.0;         ///< Remembered peak of past surges.
  double surge_level_slots = 0.0;  ///< Mean of the surge going on.
  int surge_samples = 0;           ///< Samples in that mean.
  bool surging = false;
  std::optional<core::MonotonicTime> surge_start;  ///< Of the latest surge.
  core::Millis surge_interval{0};  ///< Smoothed; 0 when unknown.
  int needed_hosts = 0;            ///< Of the previous step.
  HeldSize needed;                 ///< Over some seconds, against noise.
  HeldSize wanted;                 ///< Over the hold time.
};

/// @brief State of the sizing decision; one for each controller, rebuilt from
/// nothing within one hold time.
struct SizingState {
  std::map<core::ServiceName, ServiceMemory> services;
};

/// @brief Everything that one sizing step depends on.
struct SizingInput {
  const text::OperatorText* text = nullptr;  ///< Never null.
  std::map<core::ServiceName, DemandSample> demand;
  /// Hosts of each zone that are not missing. A zone without an entry has
  /// none.
  std::map<core::ZoneName, int> usable_hosts;
  /// Additional hosts that maintenance asked for, by pool and zone.
  std::map<core::PoolName, std::map<core::ZoneName, int>> maintenance_reserve;
  core::MonotonicTime now;
};

/// @brief The constraint that set a size.
enum class SizeConstraint {
  kMinHosts,      ///< The text's min_hosts.
  kDemand,        ///< The service's own demand.
  kDependencies,  ///< Demand of services that call it.
  kLeadingEdge,   ///< Expected peak of a surge that has begun.
  kHold,          ///< Earlier demand; not yet released.
  kFleet,         ///< Reduced: the zone has too few hosts.
};

/// @brief Figures behind a size, for `explain`.
struct SizeReason {
  SizeConstraint constraint = SizeConstraint::kMinHosts;
  double arrivals_per_s = 0.0;      ///< Observed.
  double from_callers_per_s = 0.0;  ///< Expected from calling services.
  double service_time_s = 0.0;
  double demand_slots = 0.0;   ///< Slots for arrivals and backlog.
  double planned_slots = 0.0;  ///< With the expected peak of a surge.
  int slots_per_host = 0;
  int demand_hosts = 0;  ///< Hosts for the planned slots.
  core::Millis hold{0};  ///< How long a size is kept after demand fell.
};

/// @brief Size of a service in one zone, in hosts.
struct ZoneSize {
  int floor = 0;    ///< Never fewer are to be available.
  int reserve = 0;  ///< Part of `needed` that stands in during maintenance.
  int needed = 0;   ///< Fewer lose demand; at least floor and reserve.
  int wanted = 0;   ///< More are to go to the spare pool; at least `needed`.
  /// Size that a surge expected within seconds will need; 0 if none is.
  int expected = 0;
  bool reduced = false;  ///< The zone has too few hosts for the demand.
};

/// @brief Size of a service.
struct ServiceSize {
  core::ServiceName service;
  core::PoolName pool;
  std::map<core::ZoneName, ZoneSize> zones;
  bool surging = false;
  /// Expected time to the next surge, if surges recur.
  std::optional<core::Millis> until_next_surge;
  SizeReason reason;
};

/// @brief Result of a sizing step.
struct Sizes {
  std::map<core::ServiceName, ServiceSize> services;
};

/// @brief Decides how many hosts each service should have in each zone.
/// Sizes rise with the first second of a surge and fall after the hold time
/// that the policy weights give.
/// @param state What earlier steps left; updated.
/// @param input The text, the demand and the usable hosts.
/// @return Sizes with their reasons for every service of the text.
[[nodiscard]] Sizes DecideSizes(SizingState& state, const SizingInput& input);

/// @brief Computes how long a size is kept after demand fell.
/// @param policy The text's weights.
/// @return Longer when moves weigh more than idle hosts.
[[nodiscard]] core::Millis HoldTime(const text::Policy& policy);

/// @brief Computes in which time a backlog is to be worked off.
/// @param policy The text's weights.
/// @return Shorter, which takes more hosts, when roll-out time weighs more.
[[nodiscard]] core::Millis BacklogTime(const text::Policy& policy);

/// @brief Estimates the requests in slots now from a report that lags.
/// @param sample The demand sample.
/// @param service_time_s Mean time of a request in seconds; positive.
/// @return Requests of the report that still run, plus those started since.
[[nodiscard]] double RunningNow(const DemandSample& sample,
                                double service_time_s);

/// @brief Baseline for comparisons: the hosts that the current demand fills,
/// at least the floor, without memory.
/// @param input The text, the demand and the usable hosts.
/// @param service_time_s Mean time of a request in seconds, the same for all.
/// @param planned_use Share of a host's slots that is planned for use.
/// @return Sizes whose `needed` and `wanted` are equal.
[[nodiscard]] Sizes ProportionalSizes(const SizingInput& input,
                                      double service_time_s,
                                      double planned_use);

/// @brief Share of a host's slots that sizes plan for.
/// @param policy The text's weights.
/// @return Higher when moves weigh more than idle hosts.
[[nodiscard]] double PlannedUse(const text::Policy& policy);

}  // namespace camphormux::sizing

#endif  // CAMPHORMUX_SIZING_SIZING_HPP_
