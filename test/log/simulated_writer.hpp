#ifndef CAMPHORMUX_TEST_LOG_SIMULATED_WRITER_HPP_
#define CAMPHORMUX_TEST_LOG_SIMULATED_WRITER_HPP_

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "camphormux/log/batcher.hpp"
#include "test/log/simulated_log.hpp"

namespace camphormux::log {

/// @brief Runs a batcher against a simulated log in simulated time.
class SimulatedWriter {
 public:
  SimulatedWriter(SimulatedTime& time, SimulatedLog& log,
                  AppenderOptions options)
      : time_(time), log_(log), batcher_(MakeBatcher(std::move(options))) {}

  void Append(std::string entry, std::function<void(AppendResult)> done) {
    BatcherEffects effects;
    const std::uint64_t number =
        Enqueue(batcher_, std::move(entry), time_.now(), effects);
    callbacks_.emplace(number, std::move(done));
    Perform(std::move(effects));
  }

  [[nodiscard]] const Batcher& batcher() const { return batcher_; }

  /// @brief Skips the read that finds the end of the log.
  void SkipProbe() { batcher_.min_offset = {{log_.records().size()}}; }

 private:
  void Perform(BatcherEffects effects) {
    if (effects.append) {
      log_.Append(std::move(*effects.append), [this](AppendResult answer) {
        BatcherEffects next;
        OnAppendAnswer(batcher_, answer, time_.now(), next);
        Perform(std::move(next));
      });
    }
    if (effects.read) {
      log_.Read(*effects.read, std::size_t{1} << 16,
                [this](const ReadAnswer& answer) {
                  BatcherEffects next;
                  OnReadAnswer(batcher_, answer, time_.now(), next);
                  Perform(std::move(next));
                });
    }
    if (effects.timer) {
      time_.After(*effects.timer, [this] {
        BatcherEffects next;
        OnTimer(batcher_, time_.now(), next);
        Perform(std::move(next));
      });
    }
    for (const Completion& completion : effects.completions) {
      time_.After(core::Millis{0}, [this, completion] { Finish(completion); });
    }
  }

  void Finish(const Completion& completion) {
    auto node = callbacks_.extract(completion.number);
    node.mapped()(completion.result);
  }

  SimulatedTime& time_;
  SimulatedLog& log_;
  Batcher batcher_;
  std::map<std::uint64_t, std::function<void(AppendResult)>> callbacks_;
};

}  // namespace camphormux::log

#endif  // CAMPHORMUX_TEST_LOG_SIMULATED_WRITER_HPP_
