#ifndef CAMPHORMUX_JOBS_RECORDS_HPP_
#define CAMPHORMUX_JOBS_RECORDS_HPP_

#include <optional>
#include <variant>

#include "camphormux/core/ids.hpp"
#include "camphormux/placement/job.hpp"

namespace camphormux::jobs {

/// @brief How a job ended.
enum class EndKind {
  kFinished,
  kGivenUp,   ///< Failed too often.
  kNotTwice,  ///< Not repeatable, and its run did not finish.
  kLost,      ///< Not repeatable, and the outcome of its run is unknown.
  kCancelled,
};

/// @brief A team submits a job. A second record with the same content is a
/// retry; one with different content is a conflict.
struct Submit {
  placement::JobSpec spec;
  std::optional<core::ZoneName> zone;  ///< If set, only this zone may run it.
};

/// @brief A team cancels its job.
struct Cancel {
  core::JobId job;
  core::TeamName team;
};

/// @brief A zone has a new lease holder. Records with a lower epoch of the zone
/// that follow this one have no effect.
struct Holder {
  core::ZoneName zone;
  core::Epoch epoch;
};

/// @brief A zone claims a job. Only the first record that replaces a given
/// claim takes effect.
struct ClaimJob {
  core::JobId job;
  core::ZoneName zone;
  core::Epoch epoch;
  /// Offset of the claim that this one replaces; none for the first claim.
  std::optional<core::LogOffset> after;
};

/// @brief The zone is about to start a job that is not repeatable. Only the
/// first record for a job takes effect.
struct Start {
  core::JobId job;
  core::ZoneName zone;
  core::Epoch epoch;
};

/// @brief A job ended.
struct End {
  core::JobId job;
  core::ZoneName zone;
  core::Epoch epoch;
  EndKind kind = EndKind::kFinished;
};

/// @brief Repeats the full state of an open job before its records expire from
/// the log.
struct JobSnapshot {
  Submit submit;
  core::ZoneName zone;  ///< Zone that holds the claim.
  core::Epoch epoch;
  std::optional<core::Epoch> started;  ///< Epoch of the job's start record.
};

using Record =
    std::variant<Submit, Cancel, Holder, ClaimJob, Start, End, JobSnapshot>;

}  // namespace camphormux::jobs

#endif  // CAMPHORMUX_JOBS_RECORDS_HPP_
