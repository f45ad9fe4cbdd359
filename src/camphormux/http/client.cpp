#include "camphormux/http/client.hpp"

#include <map>
#include <utility>

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>
#include <strings.h>

namespace camphormux::http {
namespace internal {

struct GlobalCurl {
  GlobalCurl() { curl_global_init(CURL_GLOBAL_DEFAULT); }
  ~GlobalCurl() { curl_global_cleanup(); }
};

struct CurlDeleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

struct Transfer {
  ClientRequest request;
  std::function<void(ClientResult)> done;
  std::unique_ptr<CURL, CurlDeleter> easy;
  std::unique_ptr<curl_slist, CurlDeleter> header_lines;
  ClientResponse response;
  bool too_large = false;
};

/// A socket that libcurl watches.
struct Watch {
  explicit Watch(asio::io_context& loop) : descriptor(loop) {}
  asio::posix::stream_descriptor descriptor;
  int wanted = 0;  ///< CURL_POLL_* bits.
  bool reading = false;
  bool writing = false;
};

std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                   void* user) {
  auto& transfer = *static_cast<Transfer*>(user);
  const std::size_t bytes = size * count;
  if (transfer.response.body.size() + bytes >
      transfer.request.max_response_bytes) {
    transfer.too_large = true;
    return 0;
  }
  transfer.response.body.append(data, bytes);
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

ClientFailure ToFailure(const Transfer& transfer, CURLcode code) {
  long sent_bytes = 0;  // NOLINT(google-runtime-int): libcurl's type.
  curl_easy_getinfo(transfer.easy.get(), CURLINFO_REQUEST_SIZE, &sent_bytes);
  const bool sent = sent_bytes > 0;
  if (transfer.too_large) {
    return {ClientError::kTooLarge, true};
  }
  switch (code) {
    case CURLE_COULDNT_CONNECT:
      return {ClientError::kConnect, false};
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

struct Client::Impl : std::enable_shared_from_this<Client::Impl> {
  explicit Impl(asio::io_context& event_loop)
      : loop(event_loop), timer(event_loop), multi(curl_multi_init()) {}
  ~Impl() { curl_multi_cleanup(multi); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Configure();
  void Close();
  void Start(std::shared_ptr<internal::Transfer> transfer);
  void UpdateWatch(curl_socket_t socket, int wanted);
  void Wait(curl_socket_t socket,
            const std::shared_ptr<internal::Watch>& watch);
  void Act(curl_socket_t socket, int events);
  void Collect();
  void SetTimer(long timeout_ms);  // NOLINT(google-runtime-int)

  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* user,
                      void* socket_data);
  static int OnTimer(CURLM* multi, long timeout_ms,  // NOLINT
                     void* user);
  static int OnClose(void* user, curl_socket_t socket);

  asio::io_context& loop;
  asio::steady_timer timer;
  CURLM* multi;
  bool closed = false;
  std::map<curl_socket_t, std::shared_ptr<internal::Watch>> watches;
  std::map<CURL*, std::shared_ptr<internal::Transfer>> transfers;
};

void Client::Impl::Configure() {
  curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
  curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
  curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
}

void Client::Impl::Close() {
  closed = true;
  timer.cancel();
  for (const auto& [easy, transfer] : transfers) {
    curl_multi_remove_handle(multi, easy);
  }
  transfers.clear();
  for (const auto& [socket, watch] : watches) {
    watch->descriptor.release();
  }
  watches.clear();
}

void Client::Impl::Start(std::shared_ptr<internal::Transfer> transfer) {
  transfer->easy.reset(curl_easy_init());
  CURL* easy = transfer->easy.get();
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
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    // libcurl resends on a reused connection that was closed before the first
    // byte; a request that changes something must not be sent twice.
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.timeout.count()));  // NOLINT
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &internal::OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &internal::OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Impl::OnClose);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
  transfers.emplace(easy, std::move(transfer));
  curl_multi_add_handle(multi, easy);
}

int Client::Impl::OnSocket(CURL* /*easy*/, curl_socket_t socket, int what,
                           void* user, void* /*socket_data*/) {
  static_cast<Impl*>(user)->UpdateWatch(socket, what);
  return 0;
}

int Client::Impl::OnTimer(CURLM* /*multi*/, long timeout_ms,  // NOLINT
                          void* user) {
  static_cast<Impl*>(user)->SetTimer(timeout_ms);
  return 0;
}

int Client::Impl::OnClose(void* user, curl_socket_t socket) {
  auto& impl = *static_cast<Impl*>(user);
  const auto found = impl.watches.find(socket);
  if (found != impl.watches.end()) {
    found->second->descriptor.release();
    found->second->wanted = 0;
    impl.watches.erase(found);
  }
  return close(socket);
}

void Client::Impl::UpdateWatch(curl_socket_t socket, int wanted) {
  if (closed) {
    return;
  }
  auto& watch = watches[socket];
  if (!watch) {
    watch = std::make_shared<internal::Watch>(loop);
    watch->descriptor.assign(socket);
  }
  watch->wanted = wanted == CURL_POLL_REMOVE ? 0 : wanted;
  if (watch->wanted == 0) {
    watch->descriptor.release();
    watches.erase(socket);
    return;
  }
  Wait(socket, watch);
}

void Client::Impl::Wait(curl_socket_t socket,
                        const std::shared_ptr<internal::Watch>& watch) {
  const auto wait = [&](int poll_bit, int select_bit,
                        bool internal::Watch::*busy,
                        asio::posix::stream_descriptor::wait_type type) {
    if ((watch->wanted & poll_bit) == 0 || (*watch).*busy) {
      return;
    }
    (*watch).*busy = true;
    watch->descriptor.async_wait(
        type, [self = shared_from_this(), socket, watch, select_bit,
               busy](const asio::error_code& error) {
          (*watch).*busy = false;
          const auto found = self->watches.find(socket);
          if (self->closed || found == self->watches.end() ||
              found->second != watch) {
            return;
          }
          self->Act(socket, error ? CURL_CSELECT_ERR : select_bit);
          const auto again = self->watches.find(socket);
          if (again != self->watches.end() && again->second == watch) {
            self->Wait(socket, watch);
          }
        });
  };
  using Type = asio::posix::stream_descriptor;
  wait(CURL_POLL_IN, CURL_CSELECT_IN, &internal::Watch::reading,
       Type::wait_read);
  wait(CURL_POLL_OUT, CURL_CSELECT_OUT, &internal::Watch::writing,
       Type::wait_write);
}

void Client::Impl::Act(curl_socket_t socket, int events) {
  int running = 0;
  curl_multi_socket_action(multi, socket, events, &running);
  Collect();
}

void Client::Impl::Collect() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    CURL* easy = message->easy_handle;
    const CURLcode code = message->data.result;
    const auto transfer = transfers.at(easy);
    transfers.erase(easy);
    curl_multi_remove_handle(multi, easy);
    if (code != CURLE_OK) {
      transfer->done(internal::ToFailure(*transfer, code));
    } else {
      long status = 0;  // NOLINT(google-runtime-int): libcurl's type.
      curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
      transfer->response.status = static_cast<int>(status);
      transfer->done(std::move(transfer->response));
    }
    if (closed) {
      return;
    }
  }
}

void Client::Impl::SetTimer(long timeout_ms) {  // NOLINT
  timer.cancel();
  if (timeout_ms < 0 || closed) {
    return;
  }
  timer.expires_after(core::Millis(timeout_ms));
  timer.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error && !self->closed) {
      self->Act(CURL_SOCKET_TIMEOUT, 0);
    }
  });
}

Client::Client(asio::io_context& loop) {
  static const internal::GlobalCurl global;
  impl_ = std::make_shared<Impl>(loop);
  impl_->Configure();
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

const std::string* FindHeader(const Headers& headers, std::string_view name) {
  for (const Header& header : headers) {
    if (header.name.size() == name.size() &&
        strncasecmp(header.name.data(), name.data(), name.size()) == 0) {
      return &header.value;
    }
  }
  return nullptr;
}

}  // namespace camphormux::http
