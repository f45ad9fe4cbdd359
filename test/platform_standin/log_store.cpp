#include "log_store.hpp"

#include <algorithm>
#include <utility>

namespace camphormux::standin {

bool LogStore::TryConsumeToken(core::MonotonicTime now) {
  if (!refilled_at_) {
    tokens_ = limits_.burst;
  } else {
    const std::chrono::duration<double> passed = now - *refilled_at_;
    tokens_ = std::min(limits_.burst,
                       tokens_ + passed.count() * limits_.appends_per_second);
  }
  refilled_at_ = now;
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

core::LogOffset LogStore::Append(const std::string& name, std::string data,
                                 core::WallTime time) {
  Stream& stream = streams_[name];
  const core::LogOffset offset = stream.next;
  stream.next = core::Next(offset);
  stream.records.push_back({offset, time, std::move(data)});
  const auto waiters = std::exchange(stream.waiters, {});
  for (const auto& wake : waiters) {
    wake();
  }
  return offset;
}

log::ReadAnswer LogStore::Read(const std::string& name, core::LogOffset from,
                               std::size_t max_bytes) {
  const Stream& stream = streams_[name];
  log::ReadResult result;
  result.next = stream.next;
  result.earliest =
      stream.records.empty() ? stream.next : stream.records.front().offset;
  if (from < result.earliest) {
    return log::ReadFailure{log::ReadError::kBelowEarliest, result.earliest};
  }
  std::size_t bytes = 0;
  for (std::size_t i = from.value - result.earliest.value;
       i < stream.records.size(); ++i) {
    bytes += stream.records[i].data.size();
    if (!result.records.empty() && bytes > max_bytes) {
      break;
    }
    result.records.push_back(stream.records[i]);
  }
  return result;
}

std::map<std::string, core::LogOffset> LogStore::Ends() const {
  std::map<std::string, core::LogOffset> ends;
  for (const auto& [name, stream] : streams_) {
    ends[name] = stream.next;
  }
  return ends;
}

void LogStore::OnAppend(const std::string& stream, std::function<void()> wake) {
  streams_[stream].waiters.push_back(std::move(wake));
}

void LogStore::ExpireBefore(core::WallTime time) {
  for (auto& [name, stream] : streams_) {
    while (!stream.records.empty() && stream.records.front().time < time) {
      stream.records.pop_front();
    }
  }
}

}  // namespace camphormux::standin
