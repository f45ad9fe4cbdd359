#include "camphormux/gateway/request_options.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <vector>

#include "camphormux/settings/reader.hpp"
#include "camphormux/text/parse.hpp"

namespace camphormux::gateway {
namespace internal {

constexpr core::Millis kDefaultTimeout = std::chrono::seconds(10);
constexpr std::int64_t kMaxTimeoutMs = 600'000;
/// Bytes of a header line besides its name and value: ": " and CRLF.
constexpr std::size_t kHeaderLineOverhead = 4;
constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidVersionIndex = 14;
constexpr std::size_t kUuidVariantIndex = 19;

constexpr std::array<std::string_view, 9> kHopByHopHeaders{
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade"};
constexpr std::array<std::string_view, 5> kGatewayHeaders{
    "Content-Length", "Expect", "traceparent", "Idempotency-Key",
    "Camphormux-Caller"};
constexpr std::string_view kGatewayHeaderPrefix = "Camphormux-";

bool StartsWithName(std::string_view text, std::string_view prefix) {
  return text.size() >= prefix.size() &&
         http::SameHeaderName(text.substr(0, prefix.size()), prefix);
}

std::size_t HeadSize(const CallerRequest& request) {
  std::size_t size = request.method.size() + request.target.size();
  for (const http::Header& header : request.headers) {
    size += header.name.size() + header.value.size() + kHeaderLineOverhead;
  }
  return size;
}

bool IsUuidV7(std::string_view text) {
  if (text.size() != kUuidLength || text[kUuidVersionIndex] != '7' ||
      std::string_view("89abAB").find(text[kUuidVariantIndex]) ==
          std::string_view::npos) {
    return false;
  }
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    const bool hex = std::isxdigit(static_cast<unsigned char>(text[i])) != 0;
    if (dash ? text[i] != '-' : !hex) {
      return false;
    }
  }
  return true;
}

int HexValue(char digit) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  const auto lower =
      static_cast<char>(std::tolower(static_cast<unsigned char>(digit)));
  const std::size_t value = kDigits.find(lower);
  return value == std::string_view::npos ? -1 : static_cast<int>(value);
}

std::string PercentDecode(std::string_view path) {
  std::string decoded;
  for (std::size_t i = 0; i < path.size(); ++i) {
    const int high = i + 2 < path.size() ? HexValue(path[i + 1]) : -1;
    const int low = i + 2 < path.size() ? HexValue(path[i + 2]) : -1;
    if (path[i] == '%' && high >= 0 && low >= 0) {
      decoded += static_cast<char>(high * 16 + low);
      i += 2;
    } else {
      decoded += path[i];
    }
  }
  return decoded;
}

std::string NormalizePath(std::string_view path) {
  const std::string decoded = PercentDecode(path);
  std::vector<std::string> segments;
  std::size_t start = 0;
  while (start <= decoded.size()) {
    const std::size_t end = std::min(decoded.find('/', start), decoded.size());
    const std::string segment = decoded.substr(start, end - start);
    if (segment == ".." && !segments.empty()) {
      segments.pop_back();
    } else if (!segment.empty() && segment != "." && segment != "..") {
      segments.push_back(segment);
    }
    start = end + 1;
  }
  std::string normalized;
  for (const std::string& segment : segments) {
    normalized += "/" + segment;
  }
  return normalized.empty() ? "/" : normalized;
}

BadRequest BadHeader(std::string field, std::string expected) {
  return {400, "bad_header", std::move(field), std::move(expected)};
}

std::optional<BadRequest> ReadTarget(const CallerRequest& request,
                                     RequestOptions& options) {
  const std::string_view target = request.target;
  const std::size_t end = target.find_first_of("/?", 1);
  const std::string_view name = target.substr(
      std::min<std::size_t>(1, target.size()),
      end == std::string_view::npos ? std::string_view::npos : end - 1);
  if (!target.starts_with('/') || name.empty() ||
      target.find('#') != std::string_view::npos) {
    return BadRequest{400, "bad_target", "target",
                      "expected /{service}/..., without a fragment"};
  }
  options.service.value = std::string(name);
  const std::string_view rest =
      end == std::string_view::npos ? std::string_view{} : target.substr(end);
  options.target =
      rest.starts_with('/') ? std::string(rest) : "/" + std::string(rest);
  return std::nullopt;
}

std::optional<BadRequest> ReadTimeout(const CallerRequest& request,
                                      RequestOptions& options) {
  options.timeout = kDefaultTimeout;
  const std::string* value =
      http::FindHeader(request.headers, "Camphormux-Timeout-Ms");
  if (value == nullptr) {
    return std::nullopt;
  }
  std::int64_t number = 0;
  const char* last = value->data() + value->size();
  const auto [end, error] = std::from_chars(value->data(), last, number);
  if (error != std::errc() || end != last || number < 1 ||
      number > kMaxTimeoutMs) {
    return BadHeader("Camphormux-Timeout-Ms",
                     "expected milliseconds from 1 to 600000");
  }
  options.timeout = core::Millis(number);
  return std::nullopt;
}

std::optional<BadRequest> ReadPriority(const CallerRequest& request,
                                       RequestOptions& options) {
  const std::string* value =
      http::FindHeader(request.headers, "Camphormux-Priority");
  if (value == nullptr || *value == "normal") {
    return std::nullopt;
  }
  if (*value != "urgent") {
    return BadHeader("Camphormux-Priority", "expected urgent or normal");
  }
  options.priority = admission::Priority::kUrgent;
  return std::nullopt;
}

std::optional<BadRequest> ReadKeyAndTrace(const CallerRequest& request,
                                          RequestOptions& options) {
  const std::string* key = http::FindHeader(request.headers, "Idempotency-Key");
  if (key != nullptr) {
    if (!IsUuidV7(*key)) {
      return BadHeader("Idempotency-Key", "expected a UUID of version 7");
    }
    options.key = core::RequestKey{*key};
    for (char& letter : options.key->value) {
      letter =
          static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
  }
  const std::string* trace = http::FindHeader(request.headers, "traceparent");
  if (trace != nullptr) {
    options.trace = telemetry::ParseTraceparent(*trace);
    if (!options.trace) {
      return BadHeader("traceparent", "expected a W3C trace context");
    }
  }
  return std::nullopt;
}

std::vector<std::string> HeadersNamedByConnection(
    const http::Headers& headers) {
  std::vector<std::string> names;
  for (const http::Header& header : headers) {
    if (http::SameHeaderName(header.name, "Connection")) {
      const auto more = settings::SplitList(header.value);
      names.insert(names.end(), more.begin(), more.end());
    }
  }
  return names;
}

}  // namespace internal

core::Result<RequestOptions, BadRequest> ParseRequestOptions(
    const CallerRequest& request, core::Bytes max_header,
    core::Bytes max_body) {
  if (internal::HeadSize(request) >
      static_cast<std::size_t>(max_header.value)) {
    return BadRequest{
        431, "header_too_large", "headers",
        "the limit is " + std::to_string(max_header.value) + " bytes"};
  }
  if (request.body.size() > static_cast<std::size_t>(max_body.value)) {
    return BadRequest{
        413, "body_too_large", "body",
        "the limit is " + std::to_string(max_body.value) + " bytes"};
  }
  RequestOptions options;
  for (const auto read :
       {&internal::ReadTarget, &internal::ReadTimeout, &internal::ReadPriority,
        &internal::ReadKeyAndTrace}) {
    if (auto problem = read(request, options)) {
      return std::move(*problem);
    }
  }
  const std::string* caller =
      http::FindHeader(request.headers, "Camphormux-Caller");
  options.caller = caller == nullptr ? request.remote_ip : *caller;
  return options;
}

bool MustRunOnce(const text::Service& service, std::string_view method,
                 std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  return text::IsNonRepeatable(service, method, path) ||
         text::IsNonRepeatable(service, method, internal::NormalizePath(path));
}

http::Headers EndToEndHeaders(const http::Headers& headers) {
  const auto named = internal::HeadersNamedByConnection(headers);
  const auto matches = [](std::string_view name) {
    return [name](std::string_view other) {
      return http::SameHeaderName(name, other);
    };
  };
  http::Headers kept;
  for (const http::Header& header : headers) {
    const auto same = matches(header.name);
    if (std::none_of(internal::kHopByHopHeaders.begin(),
                     internal::kHopByHopHeaders.end(), same) &&
        std::none_of(internal::kGatewayHeaders.begin(),
                     internal::kGatewayHeaders.end(), same) &&
        std::none_of(named.begin(), named.end(), same) &&
        !internal::StartsWithName(header.name,
                                  internal::kGatewayHeaderPrefix)) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace camphormux::gateway
