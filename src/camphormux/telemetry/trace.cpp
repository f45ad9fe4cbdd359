#include "camphormux/telemetry/trace.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace camphormux::telemetry {
namespace internal {

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
/// Layout: "00-", trace id, "-", span id, "-", two digits of flags.
constexpr std::size_t kTraceparentLength = 55;

bool IsHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

bool IsZero(std::string_view text) {
  return text.find_first_not_of('0') == std::string_view::npos;
}

std::string RandomHex(core::Random& random, std::size_t digits) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(digits, '0');
  std::uint64_t bits = 0;
  for (std::size_t i = 0; i < digits; ++i) {
    if (i % kSpanIdDigits == 0) {
      // W3C Trace Context does not allow an identifier of zeros only.
      bits = random.engine() | 1U;
    }
    text[i] = kDigits[bits & 0xFU];
    bits >>= 4U;
  }
  return text;
}

nlohmann::json ToJson(const Span& span) {
  nlohmann::json attributes = nlohmann::json::array();
  for (const Field& field : span.attributes) {
    attributes.push_back(
        {{"key", field.name}, {"value", {{"stringValue", field.value}}}});
  }
  return {{"traceId", span.context.trace_id},
          {"spanId", span.context.span_id},
          {"parentSpanId", span.parent_span_id},
          {"name", span.name},
          {"startTimeUnixNano", std::to_string(span.start_unix_nanos)},
          {"endTimeUnixNano", std::to_string(span.end_unix_nanos)},
          {"attributes", attributes}};
}

}  // namespace internal

std::optional<TraceContext> ParseTraceparent(std::string_view header) {
  if (header.size() != internal::kTraceparentLength ||
      !header.starts_with("00-") || header[35] != '-' || header[52] != '-') {
    return std::nullopt;
  }
  const std::string_view trace_id = header.substr(3, internal::kTraceIdDigits);
  const std::string_view span_id = header.substr(36, internal::kSpanIdDigits);
  const std::string_view flags = header.substr(53, 2);
  if (!internal::IsHex(trace_id) || !internal::IsHex(span_id) ||
      !internal::IsHex(flags) || internal::IsZero(trace_id) ||
      internal::IsZero(span_id)) {
    return std::nullopt;
  }
  const std::string_view odd = "13579bdf";
  const bool sampled = odd.find(flags[1]) != std::string_view::npos;
  return TraceContext{std::string(trace_id), std::string(span_id), sampled};
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + context.trace_id + "-" + context.span_id +
         (context.sampled ? "-01" : "-00");
}

TraceContext NewTrace(core::Random& random, double sampling_ratio) {
  const bool sampled = core::UnitInterval(random) < sampling_ratio;
  return {internal::RandomHex(random, internal::kTraceIdDigits),
          internal::RandomHex(random, internal::kSpanIdDigits), sampled};
}

TraceContext ChildOf(const TraceContext& parent, core::Random& random) {
  return {parent.trace_id, internal::RandomHex(random, internal::kSpanIdDigits),
          parent.sampled};
}

std::string FormatOtlpJson(const std::string& service,
                           const std::vector<Span>& spans) {
  nlohmann::json list = nlohmann::json::array();
  for (const Span& span : spans) {
    list.push_back(internal::ToJson(span));
  }
  const nlohmann::json service_name = {{"key", "service.name"},
                                       {"value", {{"stringValue", service}}}};
  const nlohmann::json resource_spans = {
      {"resource", {{"attributes", nlohmann::json::array({service_name})}}},
      {"scopeSpans", nlohmann::json::array({{{"spans", list}}})}};
  return nlohmann::json{
      {"resourceSpans", nlohmann::json::array({resource_spans})}}
      .dump();
}

SpanExporter::SpanExporter(std::string service, const std::string& path,
                           std::size_t capacity)
    : service_(std::move(service)), capacity_(capacity) {
  if (path.empty()) {
    return;
  }
  file_.open(path, std::ios::app);
  thread_ = std::thread([this] { WriteQueuedSpans(); });
}

SpanExporter::~SpanExporter() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  queue_changed_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void SpanExporter::Export(Span span) {
  if (!span.context.sampled || !thread_.joinable()) {
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    if (queue_.size() >= capacity_) {
      ++dropped_;
      return;
    }
    queue_.push_back(std::move(span));
  }
  queue_changed_.notify_one();
}

std::uint64_t SpanExporter::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

void SpanExporter::WriteQueuedSpans() {
  std::unique_lock lock(mutex_);
  while (true) {
    queue_changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    const std::vector<Span> batch = std::exchange(queue_, {});
    if (batch.empty()) {
      return;
    }
    lock.unlock();
    file_ << FormatOtlpJson(service_, batch) << std::endl;
    lock.lock();
  }
}

}  // namespace camphormux::telemetry
