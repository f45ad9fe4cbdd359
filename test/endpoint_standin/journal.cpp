#include "test/endpoint_standin/journal.hpp"

#include <chrono>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace camphormux::endpoint_standin {
namespace internal {

/// Formats a journal line. Invalid UTF-8 is replaced, because header values
/// come from the network.
std::string JsonLine(const nlohmann::ordered_json& json) {
  return json.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace) +
         "\n";
}

nlohmann::ordered_json ToJson(const Host& host, const Run& run,
                              const char* kind) {
  return {{"kind", kind},
          {"request_id", run.request_id},
          {"key", run.key},
          {"host", host.spec.id.value},
          {"service", run.service},
          {"generation", run.generation},
          {"method", run.method},
          {"path", run.path},
          {"start_us", run.start_us}};
}

}  // namespace internal

std::int64_t UnixMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Journal::Journal(const std::string& path) {
  if (path.empty()) {
    return;
  }
  file_.open(path, std::ios::app);
  if (!file_) {
    throw std::runtime_error("cannot open journal '" + path + "'");
  }
}

void Journal::Write(const Host& host, const Run& run) {
  if (!file_.is_open()) {
    return;
  }
  auto json = internal::ToJson(host, run, "run");
  json["end_us"] = run.end_us;
  json["outcome"] = run.outcome;
  json["digest"] = run.digest;
  file_ << internal::JsonLine(json) << std::flush;
}

void Journal::WriteRefusal(const Host& host, const Run& run, Refusal refusal) {
  if (!file_.is_open()) {
    return;
  }
  auto json = internal::ToJson(host, run, "refused");
  json["reason"] = std::string(Describe(refusal));
  file_ << internal::JsonLine(json) << std::flush;
}

void Journal::WriteEvent(const Host& host, const std::string& event) {
  if (!file_.is_open()) {
    return;
  }
  const nlohmann::ordered_json json{{"kind", event},
                                    {"host", host.spec.id.value},
                                    {"service", host.service.value},
                                    {"generation", host.generation.value},
                                    {"boot_id", host.boot_id},
                                    {"at_us", UnixMicros()}};
  file_ << internal::JsonLine(json) << std::flush;
}

}  // namespace camphormux::endpoint_standin
