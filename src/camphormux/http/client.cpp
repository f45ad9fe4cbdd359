#include "camphormux/http/client.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include <asio/post.hpp>
#include <curl/curl.h>
#include <strings.h>

#include "camphormux/http/curl_loop.hpp"

namespace camphormux::http {
namespace internal {

struct CurlDeleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

/// What the unfinished responses of a client hold.
struct Buffered {
  std::size_t bytes = 0;
  std::size_t limit = SIZE_MAX;
};

struct Transfer {
  ~Transfer() {
    if (buffered != nullptr) {
      buffered->bytes -= counted;
    }
  }
  Buffered* buffered = nullptr;
  std::size_t counted = 0;  ///< Part of `buffered` that is this response's.
  ClientRequest request;
  std::function<void(ClientResult)> done;
  std::unique_ptr<CURL, CurlDeleter> easy;
  std::unique_ptr<curl_slist, CurlDeleter> header_lines;
  ClientResponse response;
  std::size_t body_sent = 0;
  bool too_large = false;
};

/// Passes the next part of the request's body to libcurl. libcurl cannot rewind
/// a body that it reads this way, so it cannot send the request twice.
std::size_t OnSendBody(char* buffer, std::size_t size, std::size_t count,
                       void* user) {
  auto& transfer = *static_cast<Transfer*>(user);
  const std::string& body = transfer.request.body;
  const std::size_t bytes =
      std::min(size * count, body.size() - transfer.body_sent);
  body.copy(buffer, bytes, transfer.body_sent);
  transfer.body_sent += bytes;
  return bytes;
}

std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                   void* user) {
  auto& transfer = *static_cast<Transfer*>(user);
  const std::size_t bytes = size * count;
  const std::size_t length = transfer.response.body.size() + bytes;
  Buffered& buffered = *transfer.buffered;
  if (length > transfer.request.max_response_bytes ||
      (buffered.bytes + bytes > buffered.limit &&
       length > transfer.request.max_response_bytes_when_full)) {
    transfer.too_large = true;
    return 0;
  }
  transfer.response.body.append(data, bytes);
  transfer.counted += bytes;
  buffered.bytes += bytes;
  return bytes;
}

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                     void* user) {
  auto& transfer = *static_cast<Transfer*>(user);
  const std::string_view line(data, size * count);
  const std::size_t colon = line.find(':');
  if (line.starts_with("HTTP/")) {
    transfer.response.headers.clear();
  } else if (colon != std::string_view::npos) {
    transfer.response.headers.push_back(
        {std::string(Trim(line.substr(0, colon))),
         std::string(Trim(line.substr(colon + 1)))});
  }
  return line.size();
}

/// Connections that were not used for this long are closed by libcurl.
constexpr std::chrono::seconds kLongestIdle{118};

/// Handles that are kept; more requests at a time are rare.
constexpr std::size_t kSpareHandles = 64;

/// Scheme, address and port of a URL.
std::string Origin(const std::string& url) {
  const std::size_t host = url.find("://");
  return url.substr(0,
                    host == std::string::npos ? host : url.find('/', host + 3));
}

ClientFailure ToFailure(const Transfer& transfer, CURLcode code) {
  // Counts all copies of the request: the failure may be that of a second one.
  long sent_bytes = 0;  // NOLINT(google-runtime-int): libcurl's type.
  curl_easy_getinfo(transfer.easy.get(), CURLINFO_REQUEST_SIZE, &sent_bytes);
  const bool sent = sent_bytes > 0;
  if (transfer.too_large) {
    return {ClientError::kTooLarge, true};
  }
  switch (code) {
    case CURLE_COULDNT_CONNECT:
      return {sent ? ClientError::kCut : ClientError::kConnect, sent};
    case CURLE_OPERATION_TIMEDOUT:
      return {ClientError::kTimeout, sent};
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
      return {ClientError::kBadRequest, false};
    default:
      return {ClientError::kCut, sent};
  }
}

}  // namespace internal

struct Client::Impl {
  Impl(asio::io_context& event_loop, std::string source_ip)
      : loop(event_loop),
        curl(
            event_loop,
            [this](CURL* easy, CURLcode code) { Finish(easy, code); },
            std::move(source_ip)) {}

  /// Makes a handle available again after its callback.
  struct ReturnHandle {
    Impl& client;
    internal::Transfer& transfer;
    ~ReturnHandle();
  };

  void Close();
  void LimitAge(CURL* easy, const std::string& origin);
  void Start(std::shared_ptr<internal::Transfer> transfer);
  void Finish(CURL* easy, CURLcode code);

  asio::io_context& loop;
  bool closed = false;
  internal::Buffered buffered;
  std::map<CURL*, std::shared_ptr<internal::Transfer>> transfers;
  /// Handles for the next requests: setting one up costs more than a reset.
  std::vector<std::unique_ptr<CURL, internal::CurlDeleter>> spare;
  /// Last failure of a request to each origin.
  std::map<std::string, core::MonotonicTime> failures;
  CurlLoop curl;
};

Client::Impl::ReturnHandle::~ReturnHandle() {
  if (client.spare.size() < internal::kSpareHandles) {
    curl_easy_reset(transfer.easy.get());
    client.spare.push_back(std::move(transfer.easy));
  }
}

void Client::Impl::Close() {
  closed = true;
  for (const auto& [easy, transfer] : transfers) {
    curl.Remove(easy);
  }
  transfers.clear();
}

/// Keeps a request off connections that are older than the last failure at its
/// origin: they may be silent too.
void Client::Impl::LimitAge(CURL* easy, const std::string& origin) {
  const auto failure = failures.find(origin);
  if (failure == failures.end()) {
    return;
  }
  const auto age = std::chrono::duration_cast<std::chrono::seconds>(
      core::MonotonicNow() - failure->second);
  if (age > internal::kLongestIdle) {
    failures.erase(failure);
  } else if (age.count() < 1) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
  } else {
    curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN,
                     static_cast<long>(age.count()));  // NOLINT
  }
}

void Client::Impl::Start(std::shared_ptr<internal::Transfer> transfer) {
  if (spare.empty()) {
    transfer->easy.reset(curl_easy_init());
  } else {
    transfer->easy = std::move(spare.back());
    spare.pop_back();
  }
  CURL* easy = transfer->easy.get();
  transfer->buffered = &buffered;
  const ClientRequest& request = transfer->request;
  curl_slist* lines = nullptr;
  for (const Header& header : request.headers) {
    lines =
        curl_slist_append(lines, (header.name + ": " + header.value).c_str());
  }
  // libcurl would otherwise wait a second for "100 Continue" on large bodies.
  lines = curl_slist_append(lines, "Expect:");
  transfer->header_lines.reset(lines);
  curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, lines);
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  if (request.method != "GET") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    // libcurl resends on a reused connection that was closed before the first
    // byte of the answer, although the server may have received the request.
    if (request.reuse == ConnectionReuse::kResend) {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    } else {
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      curl_easy_setopt(easy, CURLOPT_READFUNCTION, &internal::OnSendBody);
      curl_easy_setopt(easy, CURLOPT_READDATA, transfer.get());
    }
    if (request.reuse == ConnectionReuse::kNone) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
  }
  LimitAge(easy, internal::Origin(request.url));
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.timeout.count()));  // NOLINT
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &internal::OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &internal::OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
  transfers.emplace(easy, std::move(transfer));
  curl.Add(easy);
}

void Client::Impl::Finish(CURL* easy, CURLcode code) {
  const auto transfer = transfers.at(easy);
  transfers.erase(easy);
  const ReturnHandle return_handle{*this, *transfer};
  if (code != CURLE_OK) {
    failures[internal::Origin(transfer->request.url)] = core::MonotonicNow();
    transfer->done(internal::ToFailure(*transfer, code));
    return;
  }
  long status = 0;  // NOLINT(google-runtime-int): libcurl's type.
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  transfer->response.status = static_cast<int>(status);
  transfer->done(std::move(transfer->response));
}

Client::Client(asio::io_context& loop, std::string source_ip)
    : impl_(std::make_shared<Impl>(loop, std::move(source_ip))) {}

void Client::LimitBuffered(core::Bytes limit) {
  impl_->buffered.limit = static_cast<std::size_t>(limit.value);
}

Client::~Client() { impl_->Close(); }

void Client::Send(ClientRequest request,
                  std::function<void(ClientResult)> done) {
  auto transfer = std::make_shared<internal::Transfer>();
  transfer->request = std::move(request);
  transfer->done = std::move(done);
  asio::post(impl_->loop, [impl = impl_, transfer] {
    if (!impl->closed) {
      impl->Start(transfer);
    }
  });
}

bool SameHeaderName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const std::string* FindHeader(const Headers& headers, std::string_view name) {
  for (const Header& header : headers) {
    if (SameHeaderName(header.name, name)) {
      return &header.value;
    }
  }
  return nullptr;
}

}  // namespace camphormux::http
