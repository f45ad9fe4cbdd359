#include "camphormux/cli/history.hpp"

#include <map>

#include <fmt/chrono.h>
#include <nlohmann/json.hpp>

#include "camphormux/state/follower.hpp"

namespace camphormux::cli {
namespace internal {

std::string FormatTime(core::WallTime time) {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(time)));
}

std::string DescribeOutcome(const state::PublishOutcome& outcome) {
  return outcome.accepted
             ? fmt::format("accepted as revision {}", outcome.accepted->value)
             : "rejected: " + outcome.reason;
}

}  // namespace internal

HistoryResult ReadHistory(LogSession& session) {
  // Outcomes come from the fleet state. Applying only the records that the log
  // still retains would show accepted texts as rejected once earlier records
  // have expired.
  state::Follower follower;
  const ReadOutcome followed = session.Follow(follower);
  if (!followed.has_value()) {
    return followed.error();
  }
  std::map<core::LogOffset, const state::PublishOutcome*> outcomes;
  for (const state::PublishOutcome& outcome : follower.state.outcomes) {
    outcomes[outcome.offset] = &outcome;
  }
  std::vector<HistoryEntry> entries;
  const auto visit = [&](const log::StoredRecord& record) {
    const auto found = outcomes.find(record.offset);
    if (found != outcomes.end()) {
      entries.push_back({record.time, *found->second});
    }
  };
  const ReadOutcome done = session.ReadToEnd(core::LogOffset{0}, visit);
  if (!done.has_value()) {
    return done.error();
  }
  return entries;
}

std::string HistoryText(const std::vector<HistoryEntry>& entries) {
  std::string text;
  for (const HistoryEntry& entry : entries) {
    text += fmt::format("{} offset {} by {} from revision {}: {}\n",
                        internal::FormatTime(entry.time),
                        entry.outcome.offset.value, entry.outcome.author,
                        entry.outcome.base.value,
                        internal::DescribeOutcome(entry.outcome));
  }
  return text;
}

std::string HistoryJson(const std::vector<HistoryEntry>& entries) {
  nlohmann::json list = nlohmann::json::array();
  for (const HistoryEntry& entry : entries) {
    const state::PublishOutcome& outcome = entry.outcome;
    nlohmann::json item{{"time", internal::FormatTime(entry.time)},
                        {"offset", outcome.offset.value},
                        {"id", outcome.id.value},
                        {"author", outcome.author},
                        {"base", outcome.base.value},
                        {"revision", nullptr},
                        {"reason", outcome.reason}};
    if (outcome.accepted) {
      item["revision"] = outcome.accepted->value;
    }
    list.push_back(std::move(item));
  }
  return list.dump(2);
}

}  // namespace camphormux::cli
