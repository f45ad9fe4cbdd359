#include <cstdio>
#include <exception>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include "camphormux/load/runner.hpp"
#include "camphormux/settings/reader.hpp"
#include "camphormux/text/parse.hpp"

DEFINE_string(text, "", "operator text with the services to call");
DEFINE_string(
    services, "",
    "services to call, separated by commas; empty: all of the operator text");
DEFINE_string(gateways, "", "IP addresses and ports, separated by commas");
DEFINE_string(history, "",
              "history file, one JSON line per request; empty: none");
DEFINE_string(output, "text", "format of the summary: text or json");
DEFINE_uint64(seconds, 10, "length of the run in seconds");
DEFINE_uint64(seed, 1, "random seed of arrivals and requests");
DEFINE_uint64(threads, 1, "number of sending threads");
DEFINE_double(rate, 20, "mean requests per second and service");
DEFINE_bool(steady, false, "send at a constant mean rate without bursts");
DEFINE_uint64(burst_ms, 5000, "length of a burst in milliseconds");
DEFINE_uint64(timeout_ms, 5000, "deadline of a request in milliseconds");
DEFINE_double(urgent, 0.3, "share of urgent requests");
DEFINE_double(non_repeatable, 0.3, "share of non-repeatable requests");
DEFINE_double(keyed, 0.8, "share of non-repeatable requests with a key");
DEFINE_double(asked_again, 0.1, "share of keyed requests sent twice");
DEFINE_int64(service_us, -1,
             "service time in microseconds requested from the endpoint "
             "stand-in; negative: its default");
DEFINE_uint64(body_bytes, 0,
              "bytes of padding requested from the endpoint stand-in");
DEFINE_string(direct_generation, "",
              "call endpoints directly with this assignment generation");

namespace camphormux::load {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr std::uint64_t kMaxThreads = 64;

bool CheckFlag(bool good, const char* flag, const char* expected) {
  if (!good) {
    std::fprintf(stderr, "--%s: expected %s\n", flag, expected);
  }
  return good;
}

bool CheckFlags() {
  const auto share = [](double value) { return value >= 0 && value <= 1; };
  bool good = CheckFlag(FLAGS_output == "text" || FLAGS_output == "json",
                        "output", "text or json");
  good &= CheckFlag(FLAGS_threads >= 1 && FLAGS_threads <= kMaxThreads,
                    "threads", "a number from 1 to 64");
  good &= CheckFlag(FLAGS_rate > 0, "rate", "a positive number");
  good &= CheckFlag(FLAGS_seconds > 0, "seconds", "a positive number");
  good &= CheckFlag(FLAGS_burst_ms > 0, "burst_ms", "a positive number");
  good &= CheckFlag(FLAGS_timeout_ms > 0, "timeout_ms", "a positive number");
  good &= CheckFlag(share(FLAGS_urgent), "urgent", "a share from 0 to 1");
  good &= CheckFlag(share(FLAGS_non_repeatable), "non_repeatable",
                    "a share from 0 to 1");
  good &= CheckFlag(share(FLAGS_keyed), "keyed", "a share from 0 to 1");
  good &=
      CheckFlag(share(FLAGS_asked_again), "asked_again", "a share from 0 to 1");
  return good;
}

bool ReadGateways(RunnerOptions& options) {
  options.gateways = settings::SplitList(FLAGS_gateways);
  bool good = !options.gateways.empty();
  for (const std::string& gateway : options.gateways) {
    good &= settings::ParseAddress(gateway).has_value();
  }
  return CheckFlag(good, "gateways", "IP addresses and ports");
}

bool ReadServices(RunnerOptions& options) {
  std::ifstream file(FLAGS_text);
  if (!CheckFlag(file.good(), "text", "a readable file")) {
    return false;
  }
  const std::string source{std::istreambuf_iterator<char>(file), {}};
  const auto parsed = text::ParseOperatorText(FLAGS_text, source);
  if (!parsed.has_value()) {
    for (const settings::Problem& problem : parsed.error()) {
      std::fprintf(stderr, "%s\n", settings::Describe(problem).c_str());
    }
    return false;
  }
  const auto wanted = settings::SplitList(FLAGS_services);
  for (const auto& [name, service] : parsed.value().services) {
    if (wanted.empty() ||
        std::find(wanted.begin(), wanted.end(), name.value) != wanted.end()) {
      options.services.push_back(service);
    }
  }
  return CheckFlag(!options.services.empty(), "services",
                   "services of the operator text");
}

void FillOptions(RunnerOptions& options) {
  options.demand.services = options.services.size();
  options.demand.mean_rate = FLAGS_rate / static_cast<double>(FLAGS_threads);
  options.demand.steady = FLAGS_steady;
  options.demand.burst = core::Millis(FLAGS_burst_ms);
  options.plan.urgent = FLAGS_urgent;
  options.plan.non_repeatable = FLAGS_non_repeatable;
  options.plan.keyed = FLAGS_keyed;
  options.plan.duplicated = FLAGS_asked_again;
  options.length = std::chrono::seconds(FLAGS_seconds);
  options.timeout = core::Millis(FLAGS_timeout_ms);
  options.service_us = FLAGS_service_us;
  options.body_bytes = FLAGS_body_bytes;
  options.direct_generation = FLAGS_direct_generation;
}

/// Lists the services whose share of good answers is below the request
/// availability that the operator text demands.
nlohmann::ordered_json BelowBudget(const Summary& summary,
                                   const std::vector<text::Service>& services) {
  auto list = nlohmann::ordered_json::array();
  for (const text::Service& service : services) {
    const auto found = summary.services.find(service.name.value);
    if (found == summary.services.end()) {
      continue;
    }
    const double share = static_cast<double>(found->second.good) /
                         static_cast<double>(found->second.requests);
    if (share < service.request_availability) {
      list.push_back({{"service", service.name.value},
                      {"share", share},
                      {"budget", service.request_availability}});
    }
  }
  return list;
}

nlohmann::ordered_json ToJson(const Summary& summary,
                              const std::vector<text::Service>& services) {
  nlohmann::ordered_json json{{"requests", summary.requests},
                              {"answered", summary.answered},
                              {"not_run", summary.not_run},
                              {"unknown", summary.unknown},
                              {"none", summary.none},
                              {"damaged", summary.damaged},
                              {"goodput_per_s", summary.goodput},
                              {"rejected_share", summary.rejected_share},
                              {"send_lag_p99_us", summary.send_lag_p99_us}};
  constexpr std::array kClasses{"normal", "urgent"};
  for (std::size_t index = 0; index < kClasses.size(); ++index) {
    const ClassSummary& entry = summary.classes.at(index);
    const std::string name = kClasses.at(index);
    json[name + "_answered"] = entry.answered;
    json[name + "_p50_us"] = entry.p50_us;
    json[name + "_p99_us"] = entry.p99_us;
  }
  json["codes"] = summary.codes;
  json["below_budget"] = BelowBudget(summary, services);
  return json;
}

void Print(const Summary& summary, const std::vector<text::Service>& services) {
  const auto json = ToJson(summary, services);
  if (FLAGS_output == "json") {
    std::printf("%s\n", json.dump().c_str());
    return;
  }
  for (const auto& [name, value] : json.items()) {
    std::printf("%-18s %s\n", name.c_str(), value.dump().c_str());
  }
}

void RunThreads(const RunnerOptions& options, Recorder& recorder) {
  std::vector<std::thread> threads;
  for (std::uint64_t n = 0; n < FLAGS_threads; ++n) {
    threads.emplace_back([&options, &recorder, n] {
      RunnerOptions own = options;
      own.seed = FLAGS_seed * kMaxThreads + n;
      asio::io_context loop;
      Runner runner(loop, std::move(own), recorder);
      runner.Start();
      loop.run();
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

int Main() {
  RunnerOptions options;
  bool good = CheckFlags();
  good = ReadGateways(options) && good;
  good = ReadServices(options) && good;
  if (!good) {
    return kExitUsage;
  }
  FillOptions(options);
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  Recorder recorder(FLAGS_history, options.timeout);
  RunThreads(options, recorder);
  Print(recorder.Summarise(static_cast<double>(FLAGS_seconds)),
        options.services);
  return 0;
}

}  // namespace
}  // namespace camphormux::load

int main(int argc, char** argv) {
  gflags::SetUsageMessage("open-loop load generator and measurement client");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    return camphormux::load::Main();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "camphormux-load: %s\n", error.what());
    return camphormux::load::kExitFailure;
  }
}
