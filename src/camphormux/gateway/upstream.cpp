#include "camphormux/gateway/upstream.hpp"

#include <charconv>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include "camphormux/http/curl_loop.hpp"

namespace camphormux::gateway {
namespace internal {

struct CurlDeleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

struct Attempt {
  Upstream::AttemptId id = 0;
  AttemptRequest request;
  AttemptObserver observer;
  std::unique_ptr<CURL, CurlDeleter> easy;
  std::unique_ptr<curl_slist, CurlDeleter> header_lines;
  std::optional<asio::steady_timer> head_timer;
  ResponseHead head;
  bool head_complete = false;
  /// The framing of the response is invalid or contradictory.
  bool malformed = false;
  bool stopped = false;
};

constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

int ParseStatus(std::string_view status_line) {
  const std::size_t space = status_line.find(' ');
  int status = 0;
  if (space != std::string_view::npos) {
    const std::string_view digits = status_line.substr(space + 1);
    std::from_chars(digits.data(), digits.data() + digits.size(), status);
  }
  return status;
}

void ParseContentLength(Attempt& attempt, std::string_view value) {
  std::uint64_t length = 0;
  const auto [end, error] =
      std::from_chars(value.data(), value.data() + value.size(), length);
  const bool valid = error == std::errc() && end == value.data() + value.size();
  const auto& known = attempt.head.content_length;
  if (!valid || (known && *known != length)) {
    attempt.malformed = true;
  }
  attempt.head.content_length = length;
}

void ParseHeaderField(Attempt& attempt, std::string_view name,
                      std::string_view value) {
  ResponseHead& head = attempt.head;
  if (http::SameHeaderName(name, "Content-Length")) {
    ParseContentLength(attempt, value);
  } else if (http::SameHeaderName(name, "Transfer-Encoding")) {
    head.framed = http::SameHeaderName(value, "chunked");
    attempt.malformed = attempt.malformed || !head.framed;
  } else if (http::SameHeaderName(name, "Connection") &&
             http::SameHeaderName(value, "close")) {
    head.closes_connection = true;
  }
  head.headers.push_back({std::string(name), std::string(value)});
}

BodyAction FinishHead(Attempt& attempt) {
  ResponseHead& head = attempt.head;
  attempt.head_complete = true;
  if (head.framed && head.content_length) {
    attempt.malformed =
        // A response with both a length and chunks has no reliable framing.
        true;
  }
  const bool bodiless = attempt.request.method == "HEAD" ||
                        head.status == kNoContent ||
                        head.status == kNotModified;
  head.framed = head.framed || head.content_length || bodiless;
  if (attempt.malformed) {
    return BodyAction::kStop;
  }
  return attempt.observer.on_head(std::move(head));
}

std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                     void* user) {
  auto& attempt = *static_cast<Attempt*>(user);
  const std::string_view line(data, size * count);
  if (attempt.head_complete) {
    return line.size();  // Trailers are not forwarded.
  }
  const std::size_t colon = line.find(':');
  if (line.starts_with("HTTP/")) {
    attempt.head = ResponseHead{};
    attempt.head.status = ParseStatus(line);
  } else if (colon != std::string_view::npos) {
    ParseHeaderField(attempt, Trim(line.substr(0, colon)),
                     Trim(line.substr(colon + 1)));
  } else if (Trim(line).empty() && attempt.head.status >= kFirstFinalStatus &&
             FinishHead(attempt) == BodyAction::kStop) {
    attempt.stopped = true;
    return 0;
  }
  return line.size();
}

std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                   void* user) {
  auto& attempt = *static_cast<Attempt*>(user);
  const std::string_view part(data, size * count);
  switch (attempt.observer.on_body(part)) {
    case BodyAction::kContinue:
      return part.size();
    case BodyAction::kPause:
      return CURL_WRITEFUNC_PAUSE;
    case BodyAction::kStop:
      break;
  }
  attempt.stopped = true;
  return 0;
}

std::string Url(const AttemptRequest& request) {
  const bool v6 = request.address.ip.find(':') != std::string::npos;
  const std::string host =
      v6 ? "[" + request.address.ip + "]" : request.address.ip;
  return "http://" + host + ":" + std::to_string(request.address.port) +
         request.target;
}

curl_slist* HeaderLines(const AttemptRequest& request) {
  curl_slist* lines = nullptr;
  for (const http::Header& header : request.headers) {
    const std::string line = header.value.empty()
                                 ? header.name + ";"
                                 : header.name + ": " + header.value;
    lines = curl_slist_append(lines, line.c_str());
  }
  // A name without a value suppresses a header that libcurl would add by
  // default.
  for (const char* name : {"Expect", "Accept", "Content-Type", "User-Agent"}) {
    if (http::FindHeader(request.headers, name) == nullptr) {
      lines = curl_slist_append(lines, (std::string(name) + ":").c_str());
    }
  }
  return lines;
}

void SetMethod(CURL* easy, const AttemptRequest& request) {
  const bool has_body = request.body && !request.body->empty();
  if (request.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    return;
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  if (has_body || request.method == "POST" || request.method == "PUT") {
    curl_easy_setopt(
        easy, CURLOPT_POSTFIELDSIZE_LARGE,
        static_cast<curl_off_t>(has_body ? request.body->size() : 0));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
                     has_body ? request.body->data() : "");
  }
}

void SetConnection(CURL* easy, const AttemptRequest& request) {
  const long single_use =  // NOLINT(google-runtime-int): libcurl's type.
      request.single_use_connection ? 1 : 0;
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, single_use);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, single_use);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.timeout.count()));  // NOLINT
}

void Configure(Attempt& attempt) {
  attempt.easy.reset(curl_easy_init());
  CURL* easy = attempt.easy.get();
  attempt.header_lines.reset(HeaderLines(attempt.request));
  curl_easy_setopt(easy, CURLOPT_URL, Url(attempt.request).c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, attempt.header_lines.get());
  SetMethod(easy, attempt.request);
  SetConnection(easy, attempt.request);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &attempt);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &attempt);
}

AttemptEnd ToAttemptEnd(const Attempt& attempt, CURLcode code) {
  long sent_bytes = 0;  // NOLINT(google-runtime-int): libcurl's type.
  curl_easy_getinfo(attempt.easy.get(), CURLINFO_REQUEST_SIZE, &sent_bytes);
  // Nothing is sent before a connect error. After any sent byte or a response
  // head the endpoint may have started the request.
  AttemptEnd end;
  end.may_have_started =
      code == CURLE_OK || sent_bytes > 0 || attempt.head_complete;
  if (code == CURLE_OK && attempt.head_complete) {
    return end;
  }
  if (attempt.stopped && !attempt.malformed) {
    end.error = AttemptError::kStopped;
  } else if (code == CURLE_COULDNT_CONNECT) {
    end.error = AttemptError::kConnect;
  } else if (code == CURLE_OPERATION_TIMEDOUT) {
    end.error = AttemptError::kTimeout;
  } else {
    end.error = AttemptError::kBrokenResponse;
  }
  return end;
}

}  // namespace internal

struct Upstream::Impl : std::enable_shared_from_this<Upstream::Impl> {
  Impl(asio::io_context& event_loop, int connections_per_endpoint,
       std::string source_ip)
      : loop(event_loop),
        curl(
            event_loop,
            [this](CURL* easy, CURLcode code) { Finish(easy, code); },
            std::move(source_ip)) {
    curl_multi_setopt(curl.multi(), CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(connections_per_endpoint));  // NOLINT
    curl_multi_setopt(curl.multi(), CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  }

  void Finish(CURL* easy, CURLcode code);
  void StartHeadTimer(internal::Attempt& attempt);
  void TimeOutHead(AttemptId id);

  asio::io_context& loop;
  AttemptId last_id = 0;
  std::map<CURL*, std::unique_ptr<internal::Attempt>> attempts;
  std::map<AttemptId, CURL*> by_id;
  http::CurlLoop curl;
};

void Upstream::Impl::Finish(CURL* easy, CURLcode code) {
  const auto attempt = std::move(attempts.extract(easy).mapped());
  by_id.erase(attempt->id);
  attempt->observer.on_end(internal::ToAttemptEnd(*attempt, code));
}

void Upstream::Impl::StartHeadTimer(internal::Attempt& attempt) {
  if (attempt.request.head_timeout <= core::Millis(0)) {
    return;
  }
  attempt.head_timer.emplace(loop, attempt.request.head_timeout);
  attempt.head_timer->async_wait([weak = weak_from_this(), id = attempt.id](
                                     const asio::error_code& error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->TimeOutHead(id);
    }
  });
}

void Upstream::Impl::TimeOutHead(AttemptId id) {
  const auto found = by_id.find(id);
  if (found == by_id.end() || attempts.at(found->second)->head_complete) {
    return;
  }
  CURL* easy = found->second;
  curl.Remove(easy);
  Finish(easy, CURLE_OPERATION_TIMEDOUT);
}

Upstream::Upstream(asio::io_context& loop, int connections_per_endpoint,
                   std::string source_ip)
    : impl_(std::make_shared<Impl>(loop, connections_per_endpoint,
                                   std::move(source_ip))) {}

Upstream::~Upstream() {
  for (const auto& [easy, attempt] : impl_->attempts) {
    impl_->curl.Remove(easy);
  }
  impl_->attempts.clear();
}

Upstream::AttemptId Upstream::Start(AttemptRequest request,
                                    AttemptObserver observer) {
  auto attempt = std::make_unique<internal::Attempt>();
  attempt->id = ++impl_->last_id;
  attempt->request = std::move(request);
  attempt->observer = std::move(observer);
  internal::Configure(*attempt);
  CURL* easy = attempt->easy.get();
  const AttemptId id = attempt->id;
  impl_->StartHeadTimer(*attempt);
  impl_->by_id.emplace(id, easy);
  impl_->attempts.emplace(easy, std::move(attempt));
  // libcurl starts the transfer from its timer, in a later iteration of the
  // event loop.
  impl_->curl.Add(easy);
  return id;
}

void Upstream::Resume(AttemptId attempt) {
  const auto found = impl_->by_id.find(attempt);
  if (found != impl_->by_id.end()) {
    curl_easy_pause(found->second, CURLPAUSE_CONT);
  }
}

}  // namespace camphormux::gateway
