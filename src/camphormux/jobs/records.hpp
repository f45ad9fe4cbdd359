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
  kNotTwice,  ///< May not be run twice and its run did not finish.
  kLost,      ///< May not be run twice and what became of its run is unknown.
  kCancelled,
};

/// @brief A team submits a job. A second record with the same content is a
/// retry; one with another content is a conflict.
struct Submit {
  placement::JobSpec spec;
  std::optional<core::ZoneName> zone;  ///< Only this zone may run it.
};

/// @brief A team cancels its job.
struct Cancel {
  core::JobId job;
  core::TeamName team;
};

/// @brief A zone has a new lease holder; records of its predecessors that
/// follow are void.
struct Holder {
  core::ZoneName zone;
  core::Epoch epoch;
};

/// @brief A zone takes a job over. Only the first for a claim counts.
struct ClaimJob {
  core::JobId job;
  core::ZoneName zone;
  core::Epoch epoch;
  /// Offset of the claim that this one replaces; none for the first claim.
  std::optional<core::LogOffset> after;
};

/// @brief The zone is about to start a job that may not be run twice. Only the
/// first for a job counts.
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

/// @brief Repeats an open job before its records expire.
struct JobSnapshot {
  Submit submit;
  core::ZoneName zone;  ///< Holds the claim.
  core::Epoch epoch;
  std::optional<core::Epoch> started;  ///< Epoch of its start record.
};

using Record =
    std::variant<Submit, Cancel, Holder, ClaimJob, Start, End, JobSnapshot>;

}  // namespace camphormux::jobs

#endif  // CAMPHORMUX_JOBS_RECORDS_HPP_
