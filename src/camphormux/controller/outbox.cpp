#include "camphormux/controller/outbox.hpp"

#include <algorithm>
#include <utility>

#include "camphormux/state/codec.hpp"

namespace camphormux::controller {

std::vector<std::string> EncodeEntries(
    const std::vector<state::Record>& records, std::size_t max_bytes) {
  std::vector<std::string> entries;
  std::vector<state::Record> part;
  std::size_t bytes = 0;
  for (const state::Record& record : records) {
    // Includes the framing of a single record, so it is never less than what
    // the record adds to an entry.
    const std::size_t size = state::EncodeRecords({record}).size();
    if (!part.empty() && bytes + size > max_bytes) {
      entries.push_back(state::EncodeRecords(part));
      part.clear();
      bytes = 0;
    }
    part.push_back(record);
    bytes += size;
  }
  if (!part.empty()) {
    entries.push_back(state::EncodeRecords(part));
  }
  return entries;
}

void OnAppendResult(PendingStep& pending, const log::AppendResult& result,
                    core::MonotonicTime now) {
  --pending.unanswered;
  if (result.has_value()) {
    pending.last =
        std::max(pending.last.value_or(core::LogOffset{}), result.value());
  } else {
    pending.unknown_since = now;
  }
}

bool IsSettled(const PendingStep& pending, core::LogOffset next,
               core::MonotonicTime read_sent) {
  return pending.unanswered == 0 && (!pending.last || next > *pending.last) &&
         (!pending.unknown_since || read_sent > *pending.unknown_since);
}

}  // namespace camphormux::controller
