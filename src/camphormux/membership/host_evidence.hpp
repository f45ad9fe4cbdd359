#ifndef CAMPHORMUX_MEMBERSHIP_HOST_EVIDENCE_HPP_
#define CAMPHORMUX_MEMBERSHIP_HOST_EVIDENCE_HPP_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"

namespace camphormux::membership {

/// @brief Rules by which hosts are judged.
struct HostEvidencePolicy {
  /// A list without more than this share of a zone's hosts is doubtful, and so
  /// are own deaths above it without evidence of others.
  double doubt_share = 0.2;
  std::uint32_t dead_failures = 3;                   ///< Failures in a row.
  core::Millis dead_span = std::chrono::seconds(3);  ///< Over at least this.
  /// Reports of other gateways count for this long.
  core::Millis report_lifetime = std::chrono::seconds(10);
};

enum class HostVerdict {
  kLive,
  kDoubtful,  ///< Evidence is not enough or too much fails at once.
  kDead,
};

/// @brief What is known of a host.
struct HostEvidence {
  core::ZoneName zone;
  bool listed = true;          ///< In the last list that was believed.
  std::uint32_t failures = 0;  ///< In a row.
  core::MonotonicTime first_failure;
  /// Gateways that saw it fail, with the time of their last report.
  std::map<core::ProcessId, core::MonotonicTime> reporters;
};

/// @brief Evidence on all hosts.
struct HostEvidenceState {
  HostEvidencePolicy policy;
  std::map<core::HostId, HostEvidence> hosts;
  std::uint64_t doubtful_lists = 0;  ///< For metrics.
};

/// @brief What a list of a zone's hosts changed.
struct ListObservation {
  bool doubtful = false;
  std::vector<core::HostId> added;
  std::vector<core::HostId> dropped;  ///< Missing, believed or not.
};

/// @brief Takes in the platform's list of a zone. Missing hosts of a doubtful
/// list stay listed; a later list that is missing them again is compared with
/// the last believed one, so it stays doubtful until direct evidence decides.
/// @param state The evidence.
/// @param zone The zone.
/// @param listed Its hosts on the list.
/// @return What changed.
[[nodiscard]] ListObservation ObserveList(HostEvidenceState& state,
                                          const core::ZoneName& zone,
                                          const std::set<core::HostId>& listed);

/// @brief Takes in the result of an own exchange with a host. A refusal is an
/// answer and thus a success.
/// @param state The evidence.
/// @param host The host; unknown ones are ignored.
/// @param answered Whether it answered.
/// @param now The time.
void ObserveExchange(HostEvidenceState& state, const core::HostId& host,
                     bool answered, core::MonotonicTime now);

/// @brief Takes in that another gateway finds a host dead.
/// @param state The evidence.
/// @param host The host; unknown ones are ignored.
/// @param reporter The gateway.
/// @param now The time.
void ObserveReport(HostEvidenceState& state, const core::HostId& host,
                   const core::ProcessId& reporter, core::MonotonicTime now);

/// @brief Judges all hosts of a zone. A host is dead only on direct evidence,
/// or when it is off the list and failed at least once. Above the doubtful
/// share of the zone, own evidence needs that of another gateway.
/// @param state The evidence.
/// @param zone The zone.
/// @param now The time.
/// @return A verdict for each host.
[[nodiscard]] std::map<core::HostId, HostVerdict> JudgeHosts(
    const HostEvidenceState& state, const core::ZoneName& zone,
    core::MonotonicTime now);

}  // namespace camphormux::membership

#endif  // CAMPHORMUX_MEMBERSHIP_HOST_EVIDENCE_HPP_
