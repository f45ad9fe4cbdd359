#include "fake_endpoint.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

namespace camphormux::gateway {
namespace {

constexpr std::size_t kFillerPart = 16384;

std::string HeaderValue(const std::string& head, const std::string& name) {
  const std::size_t start = head.find("\r\n" + name + ": ");
  if (start == std::string::npos) {
    return "";
  }
  const std::size_t value = start + name.size() + 4;
  return head.substr(value, head.find("\r\n", value) - value);
}

}  // namespace

std::string CompleteResponse(const std::string& body,
                             const std::string& status_line,
                             const std::string& more) {
  return "HTTP/1.1 " + status_line + "\r\nCamphormux-Request-Id: {id}\r\n" +
         more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

struct FakeEndpoint::Session : std::enable_shared_from_this<Session> {
  Session(FakeEndpoint& endpoint, asio::ip::tcp::socket connection)
      : owner(endpoint), socket(std::move(connection)), timer(endpoint.loop_) {}

  void ReadHead() {
    asio::async_read_until(
        socket, input, "\r\n\r\n",
        [self = shared_from_this()](const asio::error_code& error,
                                    std::size_t size) {
          if (!error) {
            self->ReadBody(size);
          }
        });
  }

  void ReadBody(std::size_t head_size) {
    const auto* data = static_cast<const char*>(input.data().data());
    head.assign(data, head_size);
    input.consume(head_size);
    const std::string length = HeaderValue(head, "Content-Length");
    const std::size_t body = length.empty() ? 0 : std::stoul(length);
    const std::size_t missing = body - std::min(body, input.size());
    asio::async_read(socket, input, asio::transfer_exactly(missing),
                     [self = shared_from_this(), body](
                         const asio::error_code& error, std::size_t) {
                       if (!error) {
                         self->input.consume(body);
                         self->Reply();
                       }
                     });
  }

  void Reply() {
    reply = owner.script_(head, ++owner.requests_);
    const std::size_t place = reply.bytes.find("{id}");
    if (place != std::string::npos) {
      reply.bytes.replace(place, 4, HeaderValue(head, "Camphormux-Request-Id"));
    }
    timer.expires_after(reply.delay);
    timer.async_wait([self = shared_from_this()](const asio::error_code& e) {
      if (!e) {
        self->Write();
      }
    });
  }

  void Write() {
    asio::async_write(socket, asio::buffer(reply.bytes),
                      [self = shared_from_this()](const asio::error_code& error,
                                                  std::size_t) {
                        if (!error) {
                          self->WriteFiller();
                        }
                      });
  }

  void WriteFiller() {
    const std::size_t part = std::min(reply.filler, kFillerPart);
    if (part == 0) {
      if (!reply.close) {
        ReadHead();
      }
      return;
    }
    reply.filler -= part;
    filler.assign(part, 'f');
    asio::async_write(socket, asio::buffer(filler),
                      [self = shared_from_this()](const asio::error_code& error,
                                                  std::size_t size) {
                        self->owner.filler_sent_ += size;
                        if (!error) {
                          self->WriteFiller();
                        }
                      });
  }

  FakeEndpoint& owner;
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  asio::streambuf input;
  std::string head;
  std::string filler;
  FakeReply reply;
};

FakeEndpoint::FakeEndpoint(
    std::function<FakeReply(const std::string& head, int number)> script)
    : acceptor_(loop_, {asio::ip::address_v4::loopback(), 0}),
      script_(std::move(script)) {
  Accept();
  thread_ = std::thread([this] { loop_.run(); });
}

FakeEndpoint::~FakeEndpoint() {
  loop_.stop();
  thread_.join();
}

void FakeEndpoint::Accept() {
  acceptor_.async_accept(
      [this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error) {
          return;
        }
        ++connections_;
        std::make_shared<Session>(*this, std::move(socket))->ReadHead();
        Accept();
      });
}

std::uint16_t FakeEndpoint::port() const {
  return acceptor_.local_endpoint().port();
}

int FakeEndpoint::requests() const { return requests_; }

int FakeEndpoint::connections() const { return connections_; }

std::size_t FakeEndpoint::filler_sent() const { return filler_sent_; }

}  // namespace camphormux::gateway
