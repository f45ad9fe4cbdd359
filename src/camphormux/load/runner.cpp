#include "camphormux/load/runner.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace camphormux::load {
namespace internal {

/// Extra time that the caller waits for the answer. The gateway answers by the
/// deadline, so an exchange ends with its answer and not with a client timeout.
constexpr core::Millis kAnswerGrace = std::chrono::seconds(3);

std::int64_t UnixMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Digest(const std::string& bytes) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(  // NOLINT(google-runtime-int)
                    XXH3_64bits(bytes.data(), bytes.size())));
  return text.data();
}

std::string HeaderOr(const http::Headers& headers, std::string_view name,
                     const char* fallback) {
  const std::string* value = http::FindHeader(headers, name);
  return value != nullptr ? *value : fallback;
}

bool Intact(const Sample& sample, const std::string& body) {
  if (sample.outcome != "answered" || sample.status != 200) {
    return true;
  }
  return body.ends_with("\"end\":true}") &&
         body.find("\"identity\":\"" + sample.plan.identity + "\"") !=
             std::string::npos;
}

std::string ErrorCode(const Sample& sample, const std::string& body) {
  if (sample.outcome == "answered") {
    return "";
  }
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("error")) {
    return "";
  }
  const auto error = json.find("error");
  if (!error->is_object()) {
    return "";
  }
  const auto code = error->find("code");
  return code != error->end() && code->is_string() ? code->get<std::string>()
                                                   : "";
}

}  // namespace internal

struct Runner::Exchange {
  Sample sample;
  std::size_t gateway = 0;
  std::size_t refused_gateways = 0;  ///< Gateways that refused a connection.
};

Runner::Runner(asio::io_context& loop, RunnerOptions options,
               Recorder& recorder)
    : loop_(loop),
      options_(std::move(options)),
      recorder_(recorder),
      client_(loop),
      timer_(loop),
      random_(core::SeededRandom(options_.seed)) {
  for (std::size_t n = 0; n < options_.services.size(); ++n) {
    streams_.push_back(
        {n, RunDuration(0), core::SeededRandom(random_.engine() + n)});
    NextArrival(options_.demand, streams_.back());
  }
}

Runner::~Runner() = default;

void Runner::Start() {
  start_ = std::chrono::steady_clock::now();
  start_unix_us_ = internal::UnixMicros();
  ScheduleNext();
}

void Runner::ScheduleNext() {
  const auto next =
      std::min_element(streams_.begin(), streams_.end(),
                       [](const ArrivalStream& a, const ArrivalStream& b) {
                         return a.last < b.last;
                       });
  if (next == streams_.end() || next->last >= options_.length) {
    return;
  }
  timer_.expires_at(start_ + next->last);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      SendDue();
    }
  });
}

void Runner::SendDue() {
  const auto now = std::chrono::duration_cast<RunDuration>(
      std::chrono::steady_clock::now() - start_);
  for (ArrivalStream& stream : streams_) {
    while (stream.last <= now && stream.last < options_.length) {
      Begin(stream);
      NextArrival(options_.demand, stream);
    }
  }
  ScheduleNext();
}

void Runner::Begin(const ArrivalStream& stream) {
  auto exchange = std::make_shared<Exchange>();
  Sample& sample = exchange->sample;
  sample.intended = start_unix_us_ + stream.last.count();
  sample.plan =
      MakePlan(options_.services[stream.service], options_.plan, random_,
               static_cast<std::uint64_t>(internal::UnixMicros() / 1000));
  exchange->gateway = core::UniformBelow(random_, options_.gateways.size());
  if (sample.plan.send_duplicate) {
    ScheduleDuplicate(sample, exchange->gateway);
  }
  Send(exchange);
}

void Runner::ScheduleDuplicate(const Sample& first, std::size_t first_gateway) {
  auto exchange = std::make_shared<Exchange>();
  exchange->sample = first;
  exchange->sample.intended +=
      std::chrono::duration_cast<RunDuration>(first.plan.duplicate_delay)
          .count();
  exchange->gateway = (first_gateway + 1) % options_.gateways.size();
  auto timer =
      std::make_shared<asio::steady_timer>(loop_, first.plan.duplicate_delay);
  timer->async_wait([this, exchange, timer](const asio::error_code& error) {
    if (!error) {
      Send(exchange);
    }
  });
}

http::ClientRequest Runner::MakeRequest(const Sample& sample) const {
  const Plan& plan = sample.plan;
  http::ClientRequest request;
  request.method = plan.method;
  request.url = "http://" + sample.gateway + plan.path;
  request.timeout = options_.timeout + internal::kAnswerGrace;
  request.headers = {
      {"Camphormux-Timeout-Ms", std::to_string(options_.timeout.count())},
      {"Camphormux-Priority", plan.urgent ? "urgent" : "normal"}};
  if (!plan.key.empty()) {
    request.headers.push_back({"Idempotency-Key", plan.key});
  }
  if (options_.service_us >= 0) {
    request.headers.push_back(
        {"Standin-Service-Us", std::to_string(options_.service_us)});
  }
  if (options_.body_bytes > 0) {
    request.headers.push_back(
        {"Standin-Body-Bytes", std::to_string(options_.body_bytes)});
  }
  if (!options_.direct_generation.empty()) {
    request.headers.push_back(
        {"Camphormux-Generation", options_.direct_generation});
    request.headers.push_back({"Camphormux-Service", plan.service});
    request.headers.push_back({"Camphormux-Request-Id", plan.identity});
  }
  if (plan.method != "GET") {
    request.body = R"({"request":")" + plan.identity + R"("})";
  }
  return request;
}

void Runner::Send(const std::shared_ptr<Exchange>& exchange) {
  Sample& sample = exchange->sample;
  sample.gateway = options_.gateways[exchange->gateway];
  sample.sent = internal::UnixMicros();
  client_.Send(MakeRequest(sample),
               [this, exchange](const http::ClientResult& result) {
                 Finish(exchange, result);
               });
}

void Runner::Finish(const std::shared_ptr<Exchange>& exchange,
                    const http::ClientResult& result) {
  Sample& sample = exchange->sample;
  sample.end = internal::UnixMicros();
  if (!result.has_value()) {
    // A gateway that refuses the connection has not seen the request, so the
    // next one is tried, as the platform's load balancer does.
    const bool refused = result.error().error == http::ClientError::kConnect;
    if (refused && ++exchange->refused_gateways < options_.gateways.size()) {
      exchange->gateway = (exchange->gateway + 1) % options_.gateways.size();
      Send(exchange);
      return;
    }
    recorder_.Add(sample);
    return;
  }
  const http::ClientResponse& response = result.value();
  const bool direct = !options_.direct_generation.empty();
  sample.status = response.status;
  sample.outcome = internal::HeaderOr(response.headers, "Camphormux-Outcome",
                                      direct ? "answered" : "none");
  if (direct && response.status == 503) {
    sample.outcome = "not-run";
  }
  sample.request_id =
      internal::HeaderOr(response.headers, "Camphormux-Request-Id", "");
  sample.digest = internal::Digest(response.body);
  sample.intact = internal::Intact(sample, response.body);
  sample.code = internal::ErrorCode(sample, response.body);
  recorder_.Add(sample);
}

}  // namespace camphormux::load
