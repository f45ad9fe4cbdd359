#include "camphormux/peer/connection.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include <asio/post.hpp>
#include <asio/write.hpp>

namespace camphormux::peer::internal {
namespace {

// Bounds the bytes that are copied out of the session for one write.
constexpr std::size_t kMaxWriteBytes = std::size_t{256} << 10;

constexpr std::uint32_t kMaxConcurrentStreams = 1024;
constexpr std::int32_t kStreamWindowBytes = std::int32_t{1} << 20;
constexpr std::int32_t kConnectionWindowBytes = std::int32_t{16} << 20;

ssize_t ReadBody(nghttp2_session* /*session*/, std::int32_t /*stream*/,
                 std::uint8_t* buffer, std::size_t length, std::uint32_t* flags,
                 nghttp2_data_source* source, void* /*user*/) {
  auto& outgoing = *static_cast<Outgoing*>(source->ptr);
  const std::size_t count =
      std::min(length, outgoing.body.size() - outgoing.offset);
  outgoing.body.copy(reinterpret_cast<char*>(buffer), count, outgoing.offset);
  outgoing.offset += count;
  if (outgoing.offset == outgoing.body.size()) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(count);
}

}  // namespace

nghttp2_data_provider BodySource(Outgoing& outgoing) {
  nghttp2_data_provider provider{};
  provider.source.ptr = &outgoing;
  provider.read_callback = &ReadBody;
  return provider;
}

nghttp2_nv HeaderField(std::string_view name, std::string_view value) {
  // nghttp2 copies both and does not write through the pointers.
  const auto bytes = [](std::string_view text) {
    return const_cast<std::uint8_t*>(  // NOLINT
        reinterpret_cast<const std::uint8_t*>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

Callbacks MakeCallbacks() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  return Callbacks(callbacks);
}

Connection::Connection(asio::ip::tcp::socket socket)
    : socket_(std::move(socket)) {}

void Connection::Start(Session session, ConnectionEvents events,
                       ReadPolicy read_policy) {
  session_ = std::move(session);
  events_ = std::move(events);
  read_policy_ = read_policy;
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  const std::array<nghttp2_settings_entry, 3> settings{{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  nghttp2_submit_settings(session_.get(), NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session_.get(), NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
  Flush();
  Read();
}

void Connection::Flush() {
  if (closed_ || flush_scheduled_) {
    return;
  }
  flush_scheduled_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->flush_scheduled_ = false;
    self->Write();
  });
}

void Connection::Close() {
  closed_ = true;
  events_ = {};
  asio::error_code ignored;
  socket_.close(ignored);
}

void Connection::Fail() {
  if (closed_) {
    return;
  }
  const auto on_close = std::move(events_.on_close);
  Close();
  if (on_close) {
    on_close();
  }
}

void Connection::NotifyActivity() {
  if (events_.on_activity) {
    events_.on_activity();
  }
}

void Connection::ReadIfAllowed() {
  const bool is_allowed =
      read_policy_ == ReadPolicy::kAlways || (!writing_ && !flush_scheduled_);
  if (!closed_ && !reading_ && is_allowed) {
    Read();
  }
}

void Connection::Read() {
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(input_),
      [self = shared_from_this()](const asio::error_code& error,
                                  std::size_t count) {
        self->reading_ = false;
        if (self->closed_) {
          return;
        }
        if (error) {
          self->Fail();
          return;
        }
        self->received_ += count;
        // nghttp2 reports what is malformed by a negative result; the
        // connection then ends, because its state is unknown.
        const ssize_t used = nghttp2_session_mem_recv(
            self->session_.get(), self->input_.data(), count);
        if (used < 0) {
          self->Fail();
          return;
        }
        self->Flush();
        self->NotifyActivity();
        self->ReadIfAllowed();
      });
}

void Connection::Write() {
  if (closed_ || writing_) {
    return;
  }
  output_.clear();
  while (output_.size() < kMaxWriteBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t count = nghttp2_session_mem_send(session_.get(), &data);
    if (count < 0) {
      Fail();
      return;
    }
    if (count == 0) {
      break;
    }
    output_.append(reinterpret_cast<const char*>(data),
                   static_cast<std::size_t>(count));
  }
  if (closed_) {
    return;
  }
  if (output_.empty()) {
    if (nghttp2_session_want_read(session_.get()) == 0) {
      Fail();
    }
    ReadIfAllowed();
    return;
  }
  writing_ = true;
  write_began_ = core::MonotonicNow();
  NotifyActivity();
  asio::async_write(socket_, asio::buffer(output_),
                    [self = shared_from_this()](const asio::error_code& error,
                                                std::size_t /*count*/) {
                      self->writing_ = false;
                      self->output_.clear();
                      if (self->output_.capacity() > kReadBytes) {
                        self->output_.shrink_to_fit();
                      }
                      if (error) {
                        self->Fail();
                        return;
                      }
                      self->NotifyActivity();
                      self->ReadIfAllowed();
                      self->Write();
                    });
}

}  // namespace camphormux::peer::internal
