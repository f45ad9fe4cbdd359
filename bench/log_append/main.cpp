// Measures appends with and without group commit on a simulated log that takes
// 300 appends per second. Time is simulated and seeds are fixed, so every run
// prints the same.
#include <algorithm>
#include <cstdio>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "camphormux/log/batch.hpp"
#include "test/log/simulated_writer.hpp"

namespace camphormux::log {
namespace {

constexpr core::Millis kLoadDuration = std::chrono::seconds(20);
constexpr core::Millis kSettleDuration = std::chrono::seconds(60);
constexpr std::size_t kEntryBytes = 200;

/// How entries are appended.
struct Variant {
  const char* name;
  bool group_commit = true;
  bool queue_is_bounded = true;  ///< Refuses entries above a queue length.
  int refuse_after_failures = 8;
};

/// Offered load and faults of the log.
struct Scenario {
  const char* name;
  int entries_per_second = 0;
  double lost_answer_share = 0;  ///< Share of appends without an answer.
  bool outage = false;           ///< Log is down from second 5 to second 15.
  std::size_t processes = 1;
};

struct AppendMetrics {
  std::size_t offered = 0;
  std::size_t accepted = 0;
  std::size_t refused = 0;
  std::size_t unanswered = 0;  ///< Outcome unknown to the writer.
  std::size_t lost = 0;        ///< Accepted, but missing on the log.
  std::size_t duplicated = 0;  ///< More than once on the log.
  std::uint64_t attempts = 0;
  std::size_t peak_queue = 0;
  std::vector<double> accept_ms;
  std::vector<double> refuse_ms;
};

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1))];
}

AppenderOptions MakeAppenderOptions(const Variant& variant,
                                    std::uint64_t number) {
  AppenderOptions options;
  options.writer = "w" + std::to_string(number);
  options.seed = number + 1;
  options.refuse_after_failures = variant.refuse_after_failures;
  if (!variant.queue_is_bounded) {
    options.max_queued_entries = std::size_t{1} << 30;
    options.max_queued_bytes = std::size_t{1} << 40;
  }
  return options;
}

class AppendBenchmark {
 public:
  AppendBenchmark(const Scenario& scenario, const Variant& variant)
      : scenario_(scenario),
        variant_(variant),
        log_(time_, MakeLogOptions(scenario), 11) {}

  AppendMetrics Run() {
    for (std::size_t i = 0; i < scenario_.processes; ++i) {
      writers_.emplace_back(time_, log_, MakeAppenderOptions(variant_, i));
    }
    time_.RunUntil(core::MonotonicTime{std::chrono::seconds(1)});
    const core::MonotonicTime start = time_.now();
    const auto count = static_cast<std::size_t>(scenario_.entries_per_second) *
                       static_cast<std::size_t>(kLoadDuration.count()) / 1000;
    for (std::size_t i = 0; i < count; ++i) {
      const core::Millis delay{static_cast<std::int64_t>(i * 1000) /
                               scenario_.entries_per_second};
      time_.After(delay, [this, i] { Append(i); });
    }
    if (scenario_.outage) {
      time_.After(std::chrono::seconds(5), [this] { log_.set_down(true); });
      time_.After(std::chrono::seconds(15), [this] { log_.set_down(false); });
    }
    metrics_.offered = count;
    time_.RunUntil(start + kLoadDuration + kSettleDuration);
    CountLoggedEntries();
    metrics_.attempts = log_.attempts();
    return metrics_;
  }

 private:
  static SimulatedLogOptions MakeLogOptions(const Scenario& scenario) {
    SimulatedLogOptions options;
    options.lose_answer = scenario.lost_answer_share;
    options.extra_latency = core::Millis{2};
    return options;
  }

  void Append(std::size_t number) {
    // Without group commit each entry is sent at once as a record of its own,
    // by a writer of its own.
    if (!variant_.group_commit) {
      writers_.emplace_back(
          time_, log_,
          MakeAppenderOptions(variant_, number + scenario_.processes));
      writers_.back().SkipProbe();
    }
    std::string entry = std::to_string(number);
    entry.resize(kEntryBytes, ' ');
    const core::MonotonicTime sent = time_.now();
    SimulatedWriter& writer = variant_.group_commit
                                  ? writers_[number % scenario_.processes]
                                  : writers_.back();
    writer.Append(entry, [this, entry, sent](AppendResult result) {
      OnResult(entry, sent, result);
    });
    ++pending_;
    metrics_.peak_queue = std::max(metrics_.peak_queue, pending_);
  }

  void OnResult(const std::string& entry, core::MonotonicTime sent,
                const AppendResult& result) {
    --pending_;
    const auto latency_ms = static_cast<double>((time_.now() - sent).count());
    if (result.has_value()) {
      ++metrics_.accepted;
      accepted_.insert(entry);
      metrics_.accept_ms.push_back(latency_ms);
    } else if (result.error() == AppendError::kNoAnswer) {
      ++metrics_.unanswered;
    } else {
      ++metrics_.refused;
      metrics_.refuse_ms.push_back(latency_ms);
    }
  }

  void CountLoggedEntries() {
    std::set<std::string> seen;
    for (const StoredRecord& record : log_.records()) {
      const Batch batch = DecodeBatch(record.data).value_or(Batch{});
      for (const std::string& entry : batch.entries) {
        metrics_.duplicated += seen.insert(entry).second ? 0 : 1;
      }
    }
    for (const std::string& entry : accepted_) {
      metrics_.lost += seen.contains(entry) ? 0 : 1;
    }
  }

  Scenario scenario_;
  Variant variant_;
  SimulatedTime time_;
  SimulatedLog log_;
  std::deque<SimulatedWriter> writers_;
  std::set<std::string> accepted_;
  std::size_t pending_ = 0;
  AppendMetrics metrics_;
};

void PrintMetrics(const Scenario& scenario, const Variant& variant,
                  const AppendMetrics& metrics) {
  std::printf(
      "%-22s %-22s %8zu %8zu %8zu %5zu %5zu %5zu %8llu %7zu %8.0f %8.0f "
      "%8.0f\n",
      scenario.name, variant.name, metrics.offered, metrics.accepted,
      metrics.refused, metrics.unanswered, metrics.lost, metrics.duplicated,
      static_cast<unsigned long long>(metrics.attempts), metrics.peak_queue,
      Quantile(metrics.accept_ms, 0.5), Quantile(metrics.accept_ms, 0.99),
      Quantile(metrics.refuse_ms, 0.5));
}

void RunAll() {
  const std::vector<Scenario> scenarios = {
      {"100/s", 100},
      {"300/s", 300},
      {"1000/s", 1000},
      {"1000/s, 7 processes", 1000, 0, false, 7},
      {"200/s, 5% lost", 200, 0.05},
      {"1000/s, 5% lost", 1000, 0.05},
      {"200/s, 10 s outage", 200, 0, true},
      {"1000/s, 10 s outage", 1000, 0, true},
  };
  const std::vector<Variant> variants = {
      {"one record an entry", false},
      {"group commit"},
      {"... no threshold", true, true, 0},
      {"... no bound, no thr.", true, false, 0},
  };
  std::printf("%-22s %-22s %8s %8s %8s %5s %5s %5s %8s %7s %8s %8s %8s\n",
              "load", "variant", "offered", "accepted", "refused", "doubt",
              "lost", "twice", "attempts", "queue", "p50 ms", "p99 ms",
              "ref. p50");
  for (const Scenario& scenario : scenarios) {
    for (const Variant& variant : variants) {
      PrintMetrics(scenario, variant, AppendBenchmark(scenario, variant).Run());
    }
  }
}

}  // namespace
}  // namespace camphormux::log

int main() {
  camphormux::log::RunAll();
  return 0;
}
