#include "camphormux/coordinator/run_log.hpp"

#include <string_view>
#include <utility>
#include <vector>

#include "camphormux/coordinator/host_calls.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::coordinator {
namespace internal {

std::string_view Describe(scheduler::EndEvidence evidence) {
  using scheduler::EndEvidence;
  switch (evidence) {
    case EndEvidence::kNotListed:
      return "not listed";
    case EndEvidence::kStopConfirmed:
      return "stop confirmed";
    case EndEvidence::kRefused:
      return "refused";
    case EndEvidence::kNotSent:
      return "not sent";
    case EndEvidence::kLeaseExpired:
      return "lease expired";
    case EndEvidence::kHostReplaced:
      return "host replaced";
    case EndEvidence::kMachineOrdered:
      return "machine ordered";
    case EndEvidence::kNoMachine:
      return "no machine";
    case EndEvidence::kFenced:
      return "fenced";
  }
  return "unknown";
}

std::string_view Describe(scheduler::RunPhase phase) {
  using scheduler::RunPhase;
  switch (phase) {
    case RunPhase::kOrdered:
      return "ordered";
    case RunPhase::kUnanswered:
      return "unanswered";
    case RunPhase::kRunning:
      return "running";
    case RunPhase::kStopping:
      return "stopping";
  }
  return "unknown";
}

std::string_view Describe(scheduler::EndKind kind) {
  using scheduler::EndKind;
  switch (kind) {
    case EndKind::kDone:
      return "done";
    case EndKind::kFailed:
      return "failed";
    case EndKind::kStopped:
      return "stopped";
    case EndKind::kLeaseExpired:
      return "lease expired";
    case EndKind::kBroken:
      return "broken";
    case EndKind::kAlone:
      return "alone";
  }
  return "unknown";
}

/// A host decides about a refusal, and a start that was not sent has no effect:
/// only the other kinds of evidence rest on what this process believes.
telemetry::LogRateClass RateClassOf(scheduler::EndEvidence evidence) {
  return evidence == scheduler::EndEvidence::kRefused ||
                 evidence == scheduler::EndEvidence::kNotSent
             ? telemetry::LogRateClass::kFrequent
             : telemetry::LogRateClass::kOrdinary;
}

/// @return Milliseconds since a time; empty if it never came.
std::string DescribeAge(core::MonotonicTime time, core::MonotonicTime now) {
  return time == core::MonotonicTime{} ? ""
                                       : std::to_string((now - time).count());
}

std::string JoinIds(const std::vector<core::HostId>& ids) {
  std::string text;
  for (const core::HostId& id : ids) {
    text += (text.empty() ? "" : " ") + id.value;
  }
  return text;
}

}  // namespace internal

std::string DescribeTask(const scheduler::RunName& name) {
  return name.job.value + "." + std::to_string(name.place.occurrence) + "." +
         std::to_string(name.place.step) + "." +
         std::to_string(name.place.index);
}

void LogRunEvents(scheduler::State& state, core::Epoch token,
                  NodeMetrics& node_metrics, core::MonotonicTime now) {
  for (const scheduler::PresumedEnd& end :
       std::exchange(state.presumed_ends, {})) {
    node_metrics.presumed_ends->Increment();
    telemetry::Log(
        internal::RateClassOf(end.evidence), telemetry::Level::kInfo,
        "run presumed ended",
        {{"task", DescribeTask(end.name)},
         {"attempt", std::to_string(end.name.attempt)},
         {"host", end.host.value},
         {"incarnation", std::to_string(end.incarnation.value)},
         {"token", std::to_string(token.value)},
         {"evidence", std::string(internal::Describe(end.evidence))},
         {"phase", std::string(internal::Describe(end.phase))},
         {"was_listed", end.was_listed ? "yes" : "no"},
         {"open_copy", end.has_open_copy ? "yes" : "no"},
         {"age_ms", std::to_string((now - end.ordered).count())},
         {"lease_left_ms", std::to_string((end.lease_end - now).count())},
         {"deadline_ms", std::to_string(end.deadline_ms)},
         {"report_age_ms", internal::DescribeAge(end.last_report, now)},
         {"heartbeat_age_ms", internal::DescribeAge(end.last_heartbeat, now)},
         {"heartbeat_clock_ms", end.heartbeat_clock_ms
                                    ? std::to_string(*end.heartbeat_clock_ms)
                                    : ""}});
  }
  for (const scheduler::UnexpectedRun& run :
       std::exchange(state.unexpected_runs, {})) {
    node_metrics.unexpected_runs->Increment();
    telemetry::Log(telemetry::Level::kWarning, "host lists an unexpected run",
                   {{"task", DescribeTask(run.name)},
                    {"attempt", std::to_string(run.name.attempt)},
                    {"host", run.host.value},
                    {"incarnation", std::to_string(run.incarnation.value)},
                    {"token", std::to_string(token.value)},
                    {"task_open", run.is_open ? "yes" : "no"},
                    {"other_host", run.other_host.value}});
  }
}

void LogReportEvents(scheduler::State& state, core::Epoch token,
                     NodeMetrics& node_metrics, core::MonotonicTime now) {
  for (const scheduler::FirstReport& report :
       std::exchange(state.first_reports, {})) {
    telemetry::Log(
        telemetry::Level::kInfo, "first report of a host",
        {{"host", report.host.value},
         {"incarnation", std::to_string(report.incarnation.value)},
         {"token", std::to_string(report.token.value)},
         {"running", std::to_string(report.running)},
         {"ended", std::to_string(report.ended)},
         {"first_end", std::to_string(report.first_end.value)},
         {"lease_left_ms", std::to_string((report.lease_end - now).count())}});
  }
  for (const scheduler::MissingEnds& ends :
       std::exchange(state.missing_ends, {})) {
    node_metrics.missing_ends->Increment(
        static_cast<double>(ends.last.value - ends.first.value + 1));
    telemetry::Log(telemetry::Level::kWarning,
                   "host has forgotten ends that were not read",
                   {{"host", ends.host.value},
                    {"incarnation", std::to_string(ends.incarnation.value)},
                    {"token", std::to_string(token.value)},
                    {"first", std::to_string(ends.first.value)},
                    {"last", std::to_string(ends.last.value)}});
  }
  for (const scheduler::UnexpectedEnd& end :
       std::exchange(state.unexpected_ends, {})) {
    telemetry::Log(telemetry::Level::kInfo,
                   "host reports the end of a run that was presumed ended",
                   {{"task", DescribeTask(end.name)},
                    {"attempt", std::to_string(end.name.attempt)},
                    {"host", end.host.value},
                    {"incarnation", std::to_string(end.incarnation.value)},
                    {"token", std::to_string(token.value)},
                    {"end", std::string(internal::Describe(end.kind))},
                    {"other_host", end.other_host.value}});
  }
}

void LogUnansweredRenewal(const RenewCall& call, const RenewAnswer& answer,
                          core::Millis duration) {
  // A call that grants and acknowledges nothing has no effect.
  if (!call.lease_end_ms && call.acknowledged.value == 0) {
    return;
  }
  telemetry::Log(
      telemetry::Level::kInfo, "renewal not answered by its host",
      {{"host", call.target.host.value},
       {"incarnation", std::to_string(call.target.incarnation.value)},
       {"reported", std::to_string(answer.incarnation.value)},
       {"token", std::to_string(call.target.token.value)},
       {"acknowledged", std::to_string(call.acknowledged.value)},
       {"deadline_ms",
        call.lease_end_ms ? std::to_string(*call.lease_end_ms) : ""},
       {"outcome", std::string(Describe(answer.outcome))},
       {"milliseconds", std::to_string(duration.count())}});
}

void LogListingChanges(const scheduler::ListingChanges& changes,
                       core::Epoch token) {
  for (const scheduler::ReplacedHost& host : changes.replaced) {
    telemetry::Log(telemetry::Level::kWarning,
                   "host is listed with another incarnation",
                   {{"host", host.id.value},
                    {"before", std::to_string(host.before.value)},
                    {"after", std::to_string(host.after.value)},
                    {"token", std::to_string(token.value)}});
  }
  if (!changes.added.empty() || !changes.vanished.empty()) {
    telemetry::Log(telemetry::Level::kInfo, "list of hosts has changed",
                   {{"added", internal::JoinIds(changes.added)},
                    {"vanished", internal::JoinIds(changes.vanished)},
                    {"token", std::to_string(token.value)}});
  }
}

}  // namespace camphormux::coordinator
