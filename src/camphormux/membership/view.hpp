#ifndef CAMPHORMUX_MEMBERSHIP_VIEW_HPP_
#define CAMPHORMUX_MEMBERSHIP_VIEW_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "camphormux/core/time.hpp"
#include "camphormux/membership/messages.hpp"

namespace camphormux::membership {

/// @brief Rules of heartbeats and failure detection.
struct Config {
  core::Millis interval = std::chrono::seconds(1);
  /// Between the lowest-named live processes of two zones.
  core::Millis zone_link_interval = std::chrono::seconds(2);
  std::uint32_t suspect_after = 3;  ///< Missed heartbeats.
  std::uint32_t dead_after = 8;     ///< Missed heartbeats.
  /// Successors in the zone, in the order of names, that get a heartbeat. In a
  /// zone of at most twice this plus 1 processes everybody exchanges heartbeats
  /// with everybody; in a larger one the cost a process pays stays the same.
  std::size_t fanout = 4;
  std::size_t max_changes = 8;       ///< Changes in a heartbeat.
  std::size_t max_asks = 8;          ///< Missed processes in a heartbeat.
  std::size_t max_relay_bytes = 96;  ///< Reports of others in a heartbeat.
  std::size_t max_link_relay_bytes = 384;  ///< Same, to another zone.
  /// Same, to all other zones together, so that the cost of a process that
  /// links many zones stays below the limit.
  std::size_t max_link_relay_bytes_total = 1152;
  std::uint32_t change_repeats = 8;  ///< Heartbeats that carry a new change.
  /// Same to other zones, for each zone.
  std::uint32_t link_change_repeats = 4;
  /// Dead and unreachable processes are forgotten after this.
  core::Millis forget_after = std::chrono::minutes(10);
  /// One dead process is tried again in this many rounds.
  std::uint64_t dead_probe_rounds = 10;
};

/// @brief Another process as this one sees it.
struct Member {
  Identity identity;
  Health health = Health::kAlive;
  Report report;
  core::MonotonicTime last_direct;  ///< A heartbeat or answer of its own.
  core::MonotonicTime last_known;   ///< Own, vouched or reported as alive.
  /// Since when this process exchanges heartbeats with it.
  std::optional<core::MonotonicTime> watched_since;
  core::MonotonicTime changed;  ///< When `health` changed.
};

/// @brief A change of a member's health, for log lines and metrics.
struct Transition {
  core::ProcessId process;
  std::optional<Health> before;  ///< None for a new member.
  Health after = Health::kAlive;
};

/// @brief All that a process knows of the others.
struct View {
  Config config;
  Identity self;
  Report report;  ///< The caller sets all but the sequence.
  std::vector<core::Address> seeds;
  std::map<core::ProcessId, Member> members;  ///< Without this process.
  /// Heartbeats within the zone that will still carry a member's change.
  std::map<core::ProcessId, std::uint32_t> pending_changes;
  /// Same for heartbeats to other zones, which are much rarer, so that the
  /// repeats are not used up within the zone.
  std::map<core::ProcessId, std::uint32_t> pending_link_changes;
  core::ProcessId change_cursor;
  std::map<core::ProcessId, core::ProcessId> relay_cursors;  ///< By receiver.
  std::uint64_t rounds = 0;
  core::MonotonicTime last_zone_links;
  core::MonotonicTime started;
  /// Last heartbeat, answer or new relayed report from a process of the zone.
  std::map<core::ZoneName, core::MonotonicTime> zone_heard;
};

/// @brief Where a heartbeat goes.
struct Target {
  std::optional<core::ProcessId> process;  ///< None for a seed.
  core::Address address;
};

/// @brief What one round asks for.
struct Round {
  std::vector<Target> targets;
  std::vector<Transition> transitions;
};

/// @brief Makes the view of a process that starts.
/// @param self The process; its incarnation must be above that of its last
/// life, for instance the wall clock in milliseconds.
/// @param seeds Where to begin; the own address is left out.
/// @param config The rules.
/// @param now The time.
[[nodiscard]] View MakeView(Identity self, std::vector<core::Address> seeds,
                            const Config& config, core::MonotonicTime now);

/// @brief Starts a round of heartbeats: judges missed ones and chooses targets.
/// To be called once each interval.
/// @param view The view.
/// @param now The time.
/// @return The targets and what changed.
[[nodiscard]] Round BeginRound(View& view, core::MonotonicTime now);

/// @brief Makes the heartbeat or answer for one receiver.
/// @param view The view.
/// @param to The receiver, if known.
/// @param answered The heartbeat that is answered, if it is an answer.
/// @param now The time.
[[nodiscard]] Heartbeat MakeHeartbeat(View& view,
                                      const std::optional<core::ProcessId>& to,
                                      const Heartbeat* answered,
                                      core::MonotonicTime now);

/// @brief Takes in a heartbeat or an answer to one.
/// @param view The view; a higher incarnation of the own process refutes what
/// others believe of it.
/// @param heartbeat The heartbeat.
/// @param now The time.
/// @return What changed.
[[nodiscard]] std::vector<Transition> Receive(View& view,
                                              const Heartbeat& heartbeat,
                                              core::MonotonicTime now);

/// @brief Takes in a process that announced itself on the log.
/// @param view The view.
/// @param identity The process.
/// @param now The time.
/// @return What changed.
[[nodiscard]] std::vector<Transition> Introduce(View& view,
                                                const Identity& identity,
                                                core::MonotonicTime now);

/// @brief Lists zones from which nothing was heard for the time after which a
/// link counts as dead. Whether they failed or are partitioned is not known,
/// so their members stay suspect and are never declared dead from outside.
/// @param view The view.
/// @param now The time.
/// @return Names of the zones; never the own one.
[[nodiscard]] std::vector<core::ZoneName> UnreachableZones(
    const View& view, core::MonotonicTime now);

}  // namespace camphormux::membership

#endif  // CAMPHORMUX_MEMBERSHIP_VIEW_HPP_
