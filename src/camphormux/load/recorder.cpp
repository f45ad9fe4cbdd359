#include "camphormux/load/recorder.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace camphormux::load {
namespace internal {

constexpr int kServerError = 500;

std::string ToJsonLine(const Sample& sample) {
  const Plan& plan = sample.plan;
  const nlohmann::ordered_json json{
      {"identity", plan.identity},
      {"request_id", sample.request_id},
      {"key", plan.key},
      {"service", plan.service},
      {"method", plan.method},
      {"path", plan.path},
      {"priority", plan.urgent ? "urgent" : "normal"},
      {"repeatable", plan.repeatable},
      {"gateway", sample.gateway},
      {"intended_us", sample.intended},
      {"sent_us", sample.sent},
      {"end_us", sample.end},
      {"outcome", sample.outcome},
      {"status", sample.status},
      {"code", sample.code},
      {"digest", sample.digest}};
  return json.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace) +
         "\n";
}

}  // namespace internal

std::int64_t Percentile(std::vector<std::int64_t>& values, double share) {
  if (values.empty()) {
    return 0;
  }
  const double rank = std::ceil(share * static_cast<double>(values.size()));
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  const auto nth = values.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(index, values.size() - 1));
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

Recorder::Recorder(const std::string& path, core::Millis deadline)
    : deadline_us_(std::chrono::microseconds(deadline).count()) {
  if (path.empty()) {
    return;
  }
  file_.open(path, std::ios::trunc);
  if (!file_) {
    throw std::runtime_error("cannot open history file '" + path + "'");
  }
}

void Recorder::Add(const Sample& sample) {
  const std::lock_guard lock(mutex_);
  ++counts_.requests;
  ServiceSummary& service = counts_.services[sample.plan.service];
  ++service.requests;
  send_lags_us_.push_back(sample.sent - sample.intended);
  if (sample.outcome == "answered") {
    ++counts_.answered;
    counts_.damaged += sample.intact ? 0 : 1;
    const std::int64_t latency = sample.end - sample.intended;
    const bool good =
        sample.status < internal::kServerError && latency <= deadline_us_;
    good_answers_ += good ? 1 : 0;
    service.good += good ? 1 : 0;
    latencies_.at(sample.plan.urgent ? 1 : 0).push_back(latency);
  } else if (sample.outcome == "not-run") {
    ++counts_.not_run;
  } else if (sample.outcome == "unknown") {
    ++counts_.unknown;
  } else {
    ++counts_.none;
  }
  if (sample.outcome != "answered") {
    ++counts_.codes[sample.code.empty() ? "no_code" : sample.code];
  }
  if (file_.is_open()) {
    file_ << internal::ToJsonLine(sample);
  }
}

Summary Recorder::Summarise(double seconds) {
  const std::lock_guard lock(mutex_);
  file_.flush();
  Summary summary = counts_;
  summary.goodput =
      seconds > 0 ? static_cast<double>(good_answers_) / seconds : 0;
  summary.rejected_share = counts_.requests > 0
                               ? static_cast<double>(counts_.not_run) /
                                     static_cast<double>(counts_.requests)
                               : 0;
  summary.send_lag_p99_us = Percentile(send_lags_us_, 0.99);
  for (std::size_t index = 0; index < latencies_.size(); ++index) {
    auto& latencies = latencies_.at(index);
    ClassSummary& entry = summary.classes.at(index);
    entry.answered = latencies.size();
    entry.p50_us = Percentile(latencies, 0.5);
    entry.p99_us = Percentile(latencies, 0.99);
  }
  return summary;
}

}  // namespace camphormux::load
