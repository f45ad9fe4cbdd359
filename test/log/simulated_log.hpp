#ifndef CAMPHORMUX_TEST_LOG_SIMULATED_LOG_HPP_
#define CAMPHORMUX_TEST_LOG_SIMULATED_LOG_HPP_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "camphormux/core/random.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/log/log_port.hpp"

namespace camphormux::log {

/// @brief A simulated clock that runs scheduled actions in order of time.
class SimulatedTime {
 public:
  [[nodiscard]] core::MonotonicTime now() const { return now_; }

  void After(core::Millis delay, std::function<void()> action) {
    actions_.emplace(std::make_pair(now_ + delay, sequence_++),
                     std::move(action));
  }

  /// @brief Runs the next action if it is not due after `end`.
  /// @return Whether an action was run.
  bool Step(core::MonotonicTime end) {
    if (actions_.empty() || actions_.begin()->first.first > end) {
      return false;
    }
    auto node = actions_.extract(actions_.begin());
    now_ = node.key().first;
    node.mapped()();
    return true;
  }

  void RunUntil(core::MonotonicTime end) {
    while (Step(end)) {
    }
    now_ = end;
  }

 private:
  core::MonotonicTime now_;
  std::uint64_t sequence_ = 0;
  std::map<std::pair<core::MonotonicTime, std::uint64_t>, std::function<void()>>
      actions_;
};

/// @brief Faults and limits of a simulated log.
struct SimulatedLogOptions {
  double appends_per_second = 300;
  double burst = 30;
  core::Millis latency{2};        ///< One way.
  core::Millis extra_latency{0};  ///< Upper bound of added jitter, each way.
  double lose_request = 0;        ///< Probability that an append has no effect.
  double lose_answer = 0;  ///< Probability that an append gets no answer.
  core::Millis answer_timeout{500};  ///< Until a lost answer is reported.
};

/// @brief A simulated log with one stream.
class SimulatedLog {
 public:
  SimulatedLog(SimulatedTime& time, SimulatedLogOptions options,
               std::uint64_t seed)
      : time_(time), options_(options), random_(core::SeededRandom(seed)) {}

  SimulatedLogOptions& options() { return options_; }
  [[nodiscard]] const std::vector<StoredRecord>& records() const {
    return records_;
  }
  void set_down(bool down) { down_ = down; }
  /// @brief Expires all records that are stored so far.
  void Expire() { earliest_ = {records_.size()}; }

  void Append(std::string data, std::function<void(AppendResult)> done) {
    ++attempts_;
    if (core::UnitInterval(random_) < options_.lose_request) {
      Answer(options_.answer_timeout, std::move(done), AppendError::kNoAnswer);
      return;
    }
    time_.After(Latency(), [this, data = std::move(data),
                            done = std::move(done)]() mutable {
      Take(std::move(data), std::move(done));
    });
  }

  void Read(core::LogOffset from, std::size_t max_bytes,
            std::function<void(ReadAnswer)> done) {
    time_.After(Latency(), [this, from, max_bytes, done = std::move(done)] {
      time_.After(Latency(),
                  [done, answer = ReadNow(from, max_bytes)] { done(answer); });
    });
  }

  [[nodiscard]] ReadAnswer ReadNow(core::LogOffset from,
                                   std::size_t max_bytes) const {
    if (down_) {
      return ReadFailure{ReadError::kUnavailable, std::nullopt};
    }
    if (from < earliest_) {
      return ReadFailure{ReadError::kBelowEarliest, earliest_};
    }
    ReadResult result{earliest_, {records_.size()}, {}};
    std::size_t bytes = 0;
    for (std::size_t i = from.value; i < records_.size(); ++i) {
      bytes += records_[i].data.size();
      if (!result.records.empty() && bytes > max_bytes) {
        break;
      }
      result.records.push_back(records_[i]);
    }
    return result;
  }

  [[nodiscard]] std::uint64_t attempts() const { return attempts_; }

 private:
  core::Millis Latency() {
    return options_.latency + core::Jitter(random_, options_.extra_latency);
  }

  void Answer(core::Millis delay, std::function<void(AppendResult)> done,
              const AppendResult& result) {
    time_.After(delay, [done = std::move(done), result] { done(result); });
  }

  void Take(std::string data, std::function<void(AppendResult)> done) {
    if (down_) {
      Answer(Latency(), std::move(done), AppendError::kUnavailable);
      return;
    }
    const std::chrono::duration<double> passed = time_.now() - refilled_;
    allowance_ =
        std::min(options_.burst,
                 allowance_ + passed.count() * options_.appends_per_second);
    refilled_ = time_.now();
    if (allowance_ < 1) {
      Answer(Latency(), std::move(done), AppendError::kThrottled);
      return;
    }
    allowance_ -= 1;
    const core::LogOffset offset{records_.size()};
    records_.push_back({offset, core::WallTime{}, std::move(data)});
    if (core::UnitInterval(random_) < options_.lose_answer) {
      Answer(options_.answer_timeout, std::move(done), AppendError::kNoAnswer);
    } else {
      Answer(Latency(), std::move(done), offset);
    }
  }

  SimulatedTime& time_;
  SimulatedLogOptions options_;
  core::Random random_;
  std::vector<StoredRecord> records_;
  core::LogOffset earliest_;
  bool down_ = false;
  double allowance_ = 0;
  core::MonotonicTime refilled_;
  std::uint64_t attempts_ = 0;
};

}  // namespace camphormux::log

#endif  // CAMPHORMUX_TEST_LOG_SIMULATED_LOG_HPP_
