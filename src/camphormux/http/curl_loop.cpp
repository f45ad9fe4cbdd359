#include "camphormux/http/curl_loop.hpp"

#include <map>
#include <optional>
#include <utility>

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <unistd.h>

#include "camphormux/core/time.hpp"

namespace camphormux::http {
namespace internal {

struct GlobalCurl {
  GlobalCurl() { curl_global_init(CURL_GLOBAL_DEFAULT); }
  ~GlobalCurl() { curl_global_cleanup(); }
};

/// Idle connections that are kept: a few to each of some hundred hosts. By
/// default libcurl keeps four times as many as there are transfers.
constexpr long kKeptConnections = 1500;  // NOLINT(google-runtime-int)

/// A socket that libcurl watches. It stays registered with the event loop while
/// its connection is idle: registering takes several system calls.
struct Watch {
  explicit Watch(asio::io_context& loop) : descriptor(loop) {}
  asio::posix::stream_descriptor descriptor;
  int wanted = 0;  ///< CURL_POLL_* bits.
  bool reading = false;
  bool writing = false;
};

}  // namespace internal

struct CurlLoop::Impl : std::enable_shared_from_this<CurlLoop::Impl> {
  Impl(asio::io_context& event_loop, std::function<void(CURL*, CURLcode)> done,
       std::string source)
      : loop(event_loop),
        timer(event_loop),
        multi(curl_multi_init()),
        on_done(std::move(done)),
        source_ip(std::move(source)) {}
  ~Impl() { curl_multi_cleanup(multi); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Configure();
  void Close();
  void UpdateWatch(curl_socket_t socket, int wanted);
  void Wait(curl_socket_t socket,
            const std::shared_ptr<internal::Watch>& watch);
  void Act(curl_socket_t socket, int events);
  void Collect();
  void SetTimer(long timeout_ms);  // NOLINT(google-runtime-int)
  void OnTimeout();

  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* user,
                      void* socket_data);
  static int OnTimer(CURLM* multi, long timeout_ms,  // NOLINT
                     void* user);
  static int OnClose(void* user, curl_socket_t socket);

  asio::io_context& loop;
  asio::steady_timer timer;
  CURLM* multi;
  std::function<void(CURL*, CURLcode)> on_done;
  std::string source_ip;
  bool closed = false;
  bool timeout_posted = false;
  /// When the timer fires; none if it is not set.
  std::optional<core::MonotonicTime> timer_at;
  std::map<curl_socket_t, std::shared_ptr<internal::Watch>> watches;
};

void CurlLoop::Impl::Configure() {
  curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
  curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
  curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, internal::kKeptConnections);
}

void CurlLoop::Impl::Close() {
  closed = true;
  timer.cancel();
  for (const auto& [socket, watch] : watches) {
    watch->descriptor.release();
  }
  watches.clear();
}

int CurlLoop::Impl::OnSocket(CURL* /*easy*/, curl_socket_t socket, int what,
                             void* user, void* /*socket_data*/) {
  static_cast<Impl*>(user)->UpdateWatch(socket, what);
  return 0;
}

int CurlLoop::Impl::OnTimer(CURLM* /*multi*/, long timeout_ms,  // NOLINT
                            void* user) {
  static_cast<Impl*>(user)->SetTimer(timeout_ms);
  return 0;
}

int CurlLoop::Impl::OnClose(void* user, curl_socket_t socket) {
  auto& impl = *static_cast<Impl*>(user);
  const auto found = impl.watches.find(socket);
  if (found != impl.watches.end()) {
    found->second->descriptor.release();
    found->second->wanted = 0;
    impl.watches.erase(found);
  }
  return close(socket);
}

void CurlLoop::Impl::UpdateWatch(curl_socket_t socket, int wanted) {
  if (closed) {
    return;
  }
  auto& watch = watches[socket];
  if (!watch) {
    watch = std::make_shared<internal::Watch>(loop);
    watch->descriptor.assign(socket);
  }
  watch->wanted = wanted == CURL_POLL_REMOVE ? 0 : wanted;
  Wait(socket, watch);
}

void CurlLoop::Impl::Wait(curl_socket_t socket,
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
              found->second != watch || watch->wanted == 0) {
            return;  // libcurl looks at an idle connection before it uses it.
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

void CurlLoop::Impl::Act(curl_socket_t socket, int events) {
  int running = 0;
  curl_multi_socket_action(multi, socket, events, &running);
  Collect();
}

void CurlLoop::Impl::Collect() {
  int left = 0;
  while (!closed) {
    const CURLMsg* message = curl_multi_info_read(multi, &left);
    if (message == nullptr) {
      return;
    }
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    CURL* easy = message->easy_handle;
    const CURLcode code = message->data.result;
    curl_multi_remove_handle(multi, easy);
    on_done(easy, code);
  }
}

void CurlLoop::Impl::SetTimer(long timeout_ms) {  // NOLINT
  if (timeout_ms < 0 || closed) {
    return;
  }
  if (timeout_ms == 0) {
    if (!std::exchange(timeout_posted, true)) {
      asio::post(loop, [self = shared_from_this()] {
        self->timeout_posted = false;
        self->OnTimeout();
      });
    }
    return;
  }
  // A timer that fires early is harmless: libcurl then asks for the next one.
  const core::MonotonicTime at =
      core::MonotonicNow() + core::Millis(timeout_ms);
  if (timer_at && *timer_at <= at) {
    return;
  }
  timer_at = at;
  timer.expires_at(at);
  timer.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error) {
      self->timer_at.reset();
      self->OnTimeout();
    }
  });
}

void CurlLoop::Impl::OnTimeout() {
  if (!closed) {
    Act(CURL_SOCKET_TIMEOUT, 0);
  }
}

CurlLoop::CurlLoop(asio::io_context& loop,
                   std::function<void(CURL*, CURLcode)> on_done,
                   std::string source_ip) {
  static const internal::GlobalCurl global;
  impl_ =
      std::make_shared<Impl>(loop, std::move(on_done), std::move(source_ip));
  impl_->Configure();
}

CurlLoop::~CurlLoop() { impl_->Close(); }

void CurlLoop::Add(CURL* easy) {
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Impl::OnClose);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, impl_.get());
  if (!impl_->source_ip.empty()) {
    curl_easy_setopt(easy, CURLOPT_INTERFACE,
                     ("host!" + impl_->source_ip).c_str());
  }
  curl_multi_add_handle(impl_->multi, easy);
}

void CurlLoop::Remove(CURL* easy) {
  curl_multi_remove_handle(impl_->multi, easy);
}

CURLM* CurlLoop::multi() const { return impl_->multi; }

}  // namespace camphormux::http
