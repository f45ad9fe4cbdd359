#ifndef CAMPHORMUX_TELEMETRY_TRACE_HPP_
#define CAMPHORMUX_TELEMETRY_TRACE_HPP_

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "camphormux/core/random.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::telemetry {

/// @brief Identity of a span as the W3C `traceparent` header carries it.
struct TraceContext {
  std::string trace_id;  ///< 32 lower-case hexadecimal digits.
  std::string span_id;   ///< 16 lower-case hexadecimal digits.
  bool sampled = false;
};

/// @brief A span: one hop of a request or one controller decision.
struct Span {
  TraceContext context;
  std::string parent_span_id;  ///< Empty for a root span.
  std::string name;
  std::int64_t start_unix_nanos = 0;
  std::int64_t end_unix_nanos = 0;
  std::vector<Field> attributes;
};

/// @brief Parses a `traceparent` header.
/// @param header Value of the header.
/// @return The context, or nothing if the value is malformed.
[[nodiscard]] std::optional<TraceContext> ParseTraceparent(
    std::string_view header);

/// @brief Formats a `traceparent` header.
/// @param context The context of the calling span.
/// @return Value of the header.
[[nodiscard]] std::string FormatTraceparent(const TraceContext& context);

/// @brief Starts a new trace.
/// @param random Source of the identifiers.
/// @param sampling_ratio Share of traces that are exported, from 0 to 1.
/// @return The context of the root span.
[[nodiscard]] TraceContext NewTrace(core::Random& random,
                                    double sampling_ratio);

/// @brief Makes the context of a child span in the same trace.
/// @param parent Context of the parent span.
/// @param random Source of the identifier.
/// @return The context of the child.
[[nodiscard]] TraceContext ChildOf(const TraceContext& parent,
                                   core::Random& random);

/// @brief Formats spans as one OTLP/JSON export request.
/// @param service Value of the resource attribute `service.name`.
/// @param spans The spans.
/// @return The JSON text without line breaks.
[[nodiscard]] std::string FormatOtlpJson(const std::string& service,
                                         const std::vector<Span>& spans);

/// @brief Writes sampled spans to a file as OTLP/JSON lines on a thread of its
/// own. When the queue is full, spans are dropped and counted, so that requests
/// never wait for the file.
class SpanExporter {
 public:
  /// @param service Value of the resource attribute `service.name`.
  /// @param path File to append to; empty turns export off.
  /// @param capacity Maximum number of queued spans.
  SpanExporter(std::string service, const std::string& path,
               std::size_t capacity);
  ~SpanExporter();
  SpanExporter(const SpanExporter&) = delete;
  SpanExporter& operator=(const SpanExporter&) = delete;

  /// @brief Queues a span if it is sampled; never blocks on the file.
  /// @param span The finished span.
  void Export(Span span);

  /// @return Number of spans dropped because the queue was full.
  [[nodiscard]] std::uint64_t dropped() const;

 private:
  void WriteQueuedSpans();

  std::string service_;
  std::ofstream file_;
  std::size_t capacity_;
  mutable std::mutex mutex_;
  std::condition_variable queue_changed_;
  std::vector<Span> queue_;
  std::uint64_t dropped_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace camphormux::telemetry

#endif  // CAMPHORMUX_TELEMETRY_TRACE_HPP_
