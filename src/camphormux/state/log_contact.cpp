#include "camphormux/state/log_contact.hpp"

#include <string>

#include "camphormux/telemetry/log.hpp"

namespace camphormux::state {

std::optional<ContactChange> UpdateContact(LogContact& contact,
                                           const LogViewTimes& times,
                                           core::MonotonicTime now) {
  if (times.complete == core::MonotonicTime{}) {
    return std::nullopt;
  }
  const bool old = now - times.complete > kOldestView;
  if (!contact.cut_off) {
    if (!old) {
      return std::nullopt;
    }
    contact = {true, times.complete, std::nullopt};
    return ContactChange{true, core::Millis(0), core::Millis(0)};
  }
  if (!contact.returned &&
      times.answered > contact.complete_until + kOldestView) {
    contact.returned = times.answered;
  }
  if (old || !contact.returned || !times.in_force) {
    return std::nullopt;
  }
  const ContactChange change{false, *contact.returned - contact.complete_until,
                             now - *contact.returned};
  contact = {};
  return change;
}

void LogChange(const ContactChange& change) {
  if (change.cut_off) {
    telemetry::Log(telemetry::Level::kWarning,
                   "cut off: the view of the log is too old",
                   {{"limit_ms", std::to_string(kOldestView.count())}});
    return;
  }
  telemetry::Log(telemetry::Level::kWarning, "the view of the log caught up",
                 {{"cut_off_ms", std::to_string(change.cut_for.count())},
                  {"converge_ms", std::to_string(change.converge.count())}});
}

}  // namespace camphormux::state
