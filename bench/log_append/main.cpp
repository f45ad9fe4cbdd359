// Measures appends with and without group commit on a simulated log that takes
// 300 appends a second. Simulated time, fixed seeds: every run prints the same.
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

constexpr core::Millis kLoadTime = std::chrono::seconds(20);
constexpr core::Millis kSettleTime = std::chrono::seconds(60);
constexpr std::size_t kEntryBytes = 200;

struct Variant {
  const char* name;
  bool group_commit = true;
  bool bounded = true;  ///< High-water mark on the queue.
  int refuse_after_failures = 8;
};

struct Scenario {
  const char* name;
  int entries_per_second = 0;
  double lose_answer = 0;
  bool outage = false;  ///< From second 5 to second 15.
  std::size_t processes = 1;
};

struct Figures {
  std::size_t offered = 0;
  std::size_t accepted = 0;
  std::size_t refused = 0;
  std::size_t doubtful = 0;
  std::size_t lost = 0;     ///< Accepted but not on the log.
  std::size_t doubled = 0;  ///< More than once on the log.
  std::uint64_t attempts = 0;
  std::size_t peak_queue = 0;
  std::vector<double> accept_ms;
  std::vector<double> refuse_ms;
};

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      share * static_cast<double>(values.size() - 1))];
}

AppenderOptions Options(const Variant& variant, std::uint64_t number) {
  AppenderOptions options;
  options.writer = "w" + std::to_string(number);
  options.seed = number + 1;
  options.refuse_after_failures = variant.refuse_after_failures;
  if (!variant.bounded) {
    options.max_queued_entries = std::size_t{1} << 30;
    options.max_queued_bytes = std::size_t{1} << 40;
  }
  return options;
}

class Bench {
 public:
  Bench(const Scenario& scenario, const Variant& variant)
      : scenario_(scenario),
        variant_(variant),
        log_(time_, LogOptions(scenario), 11) {}

  Figures Run() {
    for (std::size_t i = 0; i < scenario_.processes; ++i) {
      writers_.emplace_back(time_, log_, Options(variant_, i));
    }
    time_.RunUntil(core::MonotonicTime{std::chrono::seconds(1)});
    const core::MonotonicTime start = time_.now();
    const auto count = static_cast<std::size_t>(scenario_.entries_per_second) *
                       static_cast<std::size_t>(kLoadTime.count()) / 1000;
    for (std::size_t i = 0; i < count; ++i) {
      const core::Millis delay{static_cast<std::int64_t>(i * 1000) /
                               scenario_.entries_per_second};
      time_.After(delay, [this, i] { Append(i); });
    }
    if (scenario_.outage) {
      time_.After(std::chrono::seconds(5), [this] { log_.set_down(true); });
      time_.After(std::chrono::seconds(15), [this] { log_.set_down(false); });
    }
    figures_.offered = count;
    time_.RunUntil(start + kLoadTime + kSettleTime);
    CountOnLog();
    figures_.attempts = log_.attempts();
    return figures_;
  }

 private:
  static SimulatedLogOptions LogOptions(const Scenario& scenario) {
    SimulatedLogOptions options;
    options.lose_answer = scenario.lose_answer;
    options.extra_latency = core::Millis{2};
    return options;
  }

  void Append(std::size_t number) {
    // Without group commit each entry is a record of its own, sent at once.
    if (!variant_.group_commit) {
      writers_.emplace_back(time_, log_,
                            Options(variant_, number + scenario_.processes));
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
    ++open_;
    figures_.peak_queue = std::max(figures_.peak_queue, open_);
  }

  void OnResult(const std::string& entry, core::MonotonicTime sent,
                const AppendResult& result) {
    --open_;
    const auto waited = static_cast<double>((time_.now() - sent).count());
    if (result.has_value()) {
      ++figures_.accepted;
      accepted_.insert(entry);
      figures_.accept_ms.push_back(waited);
    } else if (result.error() == AppendError::kNoAnswer) {
      ++figures_.doubtful;
    } else {
      ++figures_.refused;
      figures_.refuse_ms.push_back(waited);
    }
  }

  void CountOnLog() {
    std::set<std::string> seen;
    for (const StoredRecord& record : log_.records()) {
      const Batch batch = DecodeBatch(record.data).value_or(Batch{});
      for (const std::string& entry : batch.entries) {
        figures_.doubled += seen.insert(entry).second ? 0 : 1;
      }
    }
    for (const std::string& entry : accepted_) {
      figures_.lost += seen.contains(entry) ? 0 : 1;
    }
  }

  Scenario scenario_;
  Variant variant_;
  SimulatedTime time_;
  SimulatedLog log_;
  std::deque<SimulatedWriter> writers_;
  std::set<std::string> accepted_;
  std::size_t open_ = 0;
  Figures figures_;
};

void Print(const Scenario& scenario, const Variant& variant,
           const Figures& figures) {
  std::printf(
      "%-22s %-22s %8zu %8zu %8zu %5zu %5zu %5zu %8llu %7zu %8.0f %8.0f "
      "%8.0f\n",
      scenario.name, variant.name, figures.offered, figures.accepted,
      figures.refused, figures.doubtful, figures.lost, figures.doubled,
      static_cast<unsigned long long>(figures.attempts), figures.peak_queue,
      Quantile(figures.accept_ms, 0.5), Quantile(figures.accept_ms, 0.99),
      Quantile(figures.refuse_ms, 0.5));
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
      Print(scenario, variant, Bench(scenario, variant).Run());
    }
  }
}

}  // namespace
}  // namespace camphormux::log

int main() {
  camphormux::log::RunAll();
  return 0;
}
