#include "test/endpoint_standin/connection.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

#include <asio/write.hpp>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace camphormux::endpoint_standin {
namespace internal {

/// Upper limit of `Standin-Body-Bytes`.
constexpr std::uint64_t kMaxPadding = std::uint64_t{16} << 20;

std::string Digest(const std::string& bytes) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(  // NOLINT(google-runtime-int)
                    XXH3_64bits(bytes.data(), bytes.size())));
  return text.data();
}

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return number;
}

/// Returns the last path segment, by which the caller identifies its request.
std::string Identity(const std::string& path) {
  const std::string bare = path.substr(0, path.find('?'));
  return bare.substr(bare.rfind('/') + 1);
}

const char* Outcome(FaultMode fault) {
  switch (fault) {
    case FaultMode::kNone:
    case FaultMode::kSlow:
      return "answered";
    case FaultMode::kFail:
      return "failed";
    case FaultMode::kTruncate:
      return "truncated";
    case FaultMode::kLate:
      return "late";
    case FaultMode::kSurplus:
      return "surplus";
    case FaultMode::kClose:
      return "closed";
    case FaultMode::kHang:
      return "hung";
  }
  return "answered";
}

}  // namespace internal

Connection::Connection(HostServer& server, asio::ip::tcp::socket socket)
    : server_(server),
      socket_(std::move(socket)),
      timer_(server.shared().loop) {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
}

void Connection::Start() {
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  Read();
}

http_parser_settings Connection::Callbacks() {
  http_parser_settings callbacks;
  http_parser_settings_init(&callbacks);
  callbacks.on_url = [](http_parser* parser, const char* at, std::size_t size) {
    static_cast<Connection*>(parser->data)->message_.target.append(at, size);
    return 0;
  };
  callbacks.on_header_field = [](http_parser* parser, const char* at,
                                 std::size_t size) {
    Message& message = static_cast<Connection*>(parser->data)->message_;
    if (message.headers.empty() || message.in_value) {
      message.headers.emplace_back();
    }
    message.in_value = false;
    message.headers.back().name.append(at, size);
    return 0;
  };
  callbacks.on_header_value = [](http_parser* parser, const char* at,
                                 std::size_t size) {
    Message& message = static_cast<Connection*>(parser->data)->message_;
    message.in_value = true;
    message.headers.back().value.append(at, size);
    return 0;
  };
  callbacks.on_body = [](http_parser* parser, const char* at,
                         std::size_t size) {
    static_cast<Connection*>(parser->data)->message_.body.append(at, size);
    return 0;
  };
  callbacks.on_message_complete = [](http_parser* parser) {
    Message& message = static_cast<Connection*>(parser->data)->message_;
    message.complete = true;
    message.method = http_method_str(static_cast<http_method>(parser->method));
    message.keep_alive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
  };
  return callbacks;
}

void Connection::Read() {
  socket_.async_read_some(asio::buffer(chunk_),
                          [self = shared_from_this()](
                              const asio::error_code& error, std::size_t size) {
                            if (self->phase_ == Phase::kClosed) {
                              return;
                            }
                            if (error) {
                              self->Close();
                              return;
                            }
                            self->unread_.append(self->chunk_.data(), size);
                            self->Parse();
                          });
}

void Connection::Parse() {
  static const http_parser_settings callbacks = Callbacks();
  const std::size_t parsed =
      http_parser_execute(&parser_, &callbacks, unread_.data(), unread_.size());
  unread_.erase(0, parsed);
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (message_.complete) {
    http_parser_pause(&parser_, 0);
    Handle();
  } else if (error != HPE_OK || parser_.upgrade != 0) {
    Close();
  } else {
    Read();
  }
}

const std::string& Connection::HeaderOrEmpty(std::string_view name) const {
  static const std::string none;
  const std::string* value = http::FindHeader(message_.headers, name);
  return value != nullptr ? *value : none;
}

void Connection::Handle() {
  Host& host = server_.host();
  const auto generation =
      internal::ParseNumber(HeaderOrEmpty("Camphormux-Generation"));
  run_ = Run{};
  run_.request_id = HeaderOrEmpty("Camphormux-Request-Id");
  run_.key = HeaderOrEmpty("Idempotency-Key");
  run_.service = HeaderOrEmpty("Camphormux-Service");
  run_.generation = generation.value_or(0);
  run_.method = message_.method;
  run_.path = message_.target;
  run_.start_us = UnixMicros();
  const std::optional<core::Generation> number =
      generation ? std::optional(core::Generation{*generation}) : std::nullopt;
  std::optional<Refusal> refusal = CheckAdmission(host, {run_.service}, number);
  if (!server_.shared().check_assignment) {
    refusal =
        host.running >= kSlots ? std::optional(Refusal::kSlots) : std::nullopt;
  }
  if (refusal) {
    Refuse(*refusal);
  } else {
    StartRun();
  }
}

void Connection::Refuse(Refusal refusal) {
  CountRefusal(server_.host(), refusal);
  server_.shared().journal.WriteRefusal(server_.host(), run_, refusal);
  phase_ = Phase::kResponding;
  const std::string reason(Describe(refusal));
  const std::string body = R"({"code":")" + reason + R"("})";
  const std::string extra = "Camphormux-Refused: " + reason + "\r\n";
  Send(ResponseHead(503, body.size(), extra) + body, false);
}

void Connection::StartRun() {
  Host& host = server_.host();
  SharedState& shared = server_.shared();
  phase_ = Phase::kRunning;
  ++host.running;
  ++host.exchanges;
  ++host.counts.runs;
  fault_ = SampleFault(host, shared.random);
  fault_delay_ = host.fault.delay;
  const auto requested_us =
      internal::ParseNumber(HeaderOrEmpty("Standin-Service-Us"));
  std::chrono::microseconds time =
      SampleServiceTime(shared.service_time, shared.random);
  if (requested_us) {
    time = std::chrono::microseconds(*requested_us);
  }
  if (fault_ == FaultMode::kSlow) {
    time += fault_delay_;
  }
  RunAfter(time, &Connection::FinishRun);
}

void Connection::RunAfter(std::chrono::microseconds delay,
                          void (Connection::*next)()) {
  timer_.expires_after(delay);
  timer_.async_wait(
      [self = shared_from_this(), next](const asio::error_code& error) {
        if (!error && self->phase_ != Phase::kClosed) {
          (*self.*next)();
        }
      });
}

void Connection::FinishRun() {
  --server_.host().running;
  phase_ = Phase::kResponding;
  response_body_ =
      fault_ == FaultMode::kFail ? R"({"code":"failed"})" : ResponseBody();
  run_.end_us = UnixMicros();
  run_.outcome = internal::Outcome(fault_);
  run_.digest = internal::Digest(response_body_);
  server_.shared().journal.Write(server_.host(), run_);
  switch (fault_) {
    case FaultMode::kClose:
      Close();
      break;
    case FaultMode::kHang:
      RunAfter(fault_delay_, &Connection::Close);
      break;
    case FaultMode::kLate:
      RunAfter(fault_delay_, &Connection::SendResponse);
      break;
    default:
      SendResponse();
  }
}

std::string Connection::ResponseBody() const {
  nlohmann::ordered_json json{
      {"identity", internal::Identity(run_.path)},
      {"request_id", run_.request_id},
      {"host", server_.host().spec.id.value},
      {"service", run_.service},
      {"request_digest", internal::Digest(message_.body)}};
  const std::uint64_t wanted =
      internal::ParseNumber(HeaderOrEmpty("Standin-Body-Bytes")).value_or(0);
  json["padding"] = std::string(std::min(wanted, internal::kMaxPadding), 'x');
  json["end"] = true;
  return json.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

std::string Connection::ResponseHead(int status, std::size_t length,
                                     const std::string& extra) const {
  const bool close = !message_.keep_alive || server_.host().draining;
  std::string head = "HTTP/1.1 " + std::to_string(status) + " " +
                     (status == 200 ? "OK" : "Error") +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(length) +
                     "\r\nCamphormux-Request-Id: " + run_.request_id + "\r\n";
  head += extra;
  head += close ? "Connection: close\r\n\r\n" : "\r\n";
  return head;
}

void Connection::SendResponse() {
  const int status = fault_ == FaultMode::kFail ? 500 : 200;
  std::string bytes = ResponseHead(status, response_body_.size(), "");
  if (message_.method == "HEAD") {
    response_body_.clear();
  }
  if (fault_ == FaultMode::kTruncate) {
    bytes += response_body_.substr(0, response_body_.size() / 2);
    Send(std::move(bytes), true);
    return;
  }
  bytes += response_body_;
  if (fault_ == FaultMode::kSurplus) {
    bytes +=
        "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n"
        "Camphormux-Request-Id: surplus\r\n\r\nsurplus";
  }
  Send(std::move(bytes), false);
}

void Connection::Send(std::string bytes, bool then_close) {
  outgoing_ = std::move(bytes);
  const bool close =
      then_close || !message_.keep_alive || server_.host().draining;
  asio::async_write(socket_, asio::buffer(outgoing_),
                    [self = shared_from_this(), close](
                        const asio::error_code& error, std::size_t /*size*/) {
                      if (self->phase_ == Phase::kClosed) {
                        return;
                      }
                      if (error || close) {
                        self->Close();
                        return;
                      }
                      self->EndExchange();
                      self->Parse();
                    });
}

void Connection::EndExchange() {
  if (phase_ == Phase::kResponding && !run_.outcome.empty()) {
    --server_.host().exchanges;
  }
  phase_ = Phase::kReading;
  message_ = Message{};
}

void Connection::Close() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  Host& host = server_.host();
  if (phase_ == Phase::kRunning) {
    --host.running;
    --host.exchanges;
    run_.end_us = UnixMicros();
    run_.outcome = "cut";
    server_.shared().journal.Write(host, run_);
  } else if (phase_ == Phase::kResponding && !run_.outcome.empty()) {
    --host.exchanges;
  }
  phase_ = Phase::kClosed;
  --host.connections;
  timer_.cancel();
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  server_.Remove(shared_from_this());
}

}  // namespace camphormux::endpoint_standin
