#include "test/link_standin/relay.hpp"

#include <array>
#include <cstddef>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace camphormux::link_standin {

using asio::ip::tcp;

namespace internal {

constexpr std::size_t kChunkBytes = std::size_t{64} << 10;

/// State that the relay and its connections share.
struct RelayState {
  Rules rules;
  std::map<Direction, Traffic> traffic;
  /// Called once after the next change of the rules.
  std::vector<std::function<void()>> deferred;

  [[nodiscard]] LinkRule RuleFor(const Direction& direction) const {
    return RuleOf(rules, direction.first, direction.second);
  }

  void RunDeferred() {
    for (const auto& action : std::exchange(deferred, {})) {
      action();
    }
  }
};

/// The two sockets of a relayed connection.
struct SocketPair {
  explicit SocketPair(tcp::socket accepted)
      : caller(std::move(accepted)), target(caller.get_executor()) {}

  void Close() {
    asio::error_code ignored;
    caller.close(ignored);
    target.close(ignored);
  }

  tcp::socket caller;
  tcp::socket target;
};

/// Forwards the bytes of one direction of a connection.
class ByteForwarder : public std::enable_shared_from_this<ByteForwarder> {
 public:
  ByteForwarder(std::shared_ptr<RelayState> state,
                std::shared_ptr<SocketPair> sockets, Direction direction,
                bool to_target)
      : state_(std::move(state)),
        sockets_(std::move(sockets)),
        direction_(std::move(direction)),
        from_(to_target ? sockets_->caller : sockets_->target),
        to_(to_target ? sockets_->target : sockets_->caller),
        timer_(from_.get_executor()) {}

  void Read() {
    from_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const asio::error_code& error,
                                    std::size_t count) {
          if (error) {
            self->HandleEnd(error);
          } else {
            self->HandleBytes(count);
          }
        });
  }

 private:
  void HandleBytes(std::size_t count) {
    const LinkRule rule = state_->RuleFor(direction_);
    Traffic& traffic = state_->traffic[direction_];
    if (dropping_ || rule.mode == LinkMode::kDrop) {
      dropping_ = true;
      traffic.dropped_bytes += count;
      Read();
    } else if (rule.mode == LinkMode::kHold) {
      state_->deferred.push_back(
          [self = shared_from_this(), count] { self->HandleBytes(count); });
    } else if (rule.mode == LinkMode::kDelay) {
      timer_.expires_after(rule.delay);
      timer_.async_wait(
          [self = shared_from_this(), count](const asio::error_code& error) {
            if (!error) {
              self->Write(count);
            }
          });
    } else {
      Write(count);
    }
  }

  void Write(std::size_t count) {
    state_->traffic[direction_].passed_bytes += count;
    asio::async_write(to_, asio::buffer(buffer_.data(), count),
                      [self = shared_from_this()](const asio::error_code& error,
                                                  std::size_t) {
                        if (error) {
                          self->sockets_->Close();
                        } else {
                          self->Read();
                        }
                      });
  }

  /// Forwards the end of a connection. Like data, it does not cross a link in
  /// mode drop or hold; it is deferred until the link passes.
  void HandleEnd(const asio::error_code& error) {
    const LinkMode mode = state_->RuleFor(direction_).mode;
    if (mode == LinkMode::kDrop || mode == LinkMode::kHold) {
      state_->deferred.push_back(
          [self = shared_from_this(), error] { self->HandleEnd(error); });
      return;
    }
    asio::error_code ignored;
    if (error == asio::error::eof && !dropping_) {
      to_.shutdown(tcp::socket::shutdown_send, ignored);
    } else {
      sockets_->Close();
    }
  }

  std::shared_ptr<RelayState> state_;
  std::shared_ptr<SocketPair> sockets_;
  Direction direction_;
  tcp::socket& from_;
  tcp::socket& to_;
  asio::steady_timer timer_;
  std::array<char, kChunkBytes> buffer_{};
  bool dropping_ = false;
};

/// An accepted connection without a connection to the target yet. While the
/// link is in mode drop or hold, the caller sees an open connection without
/// responses. The target is connected once the link passes, unless the caller
/// has closed before, because TCP then ends the attempt to connect.
class PendingConnection
    : public std::enable_shared_from_this<PendingConnection> {
 public:
  PendingConnection(std::shared_ptr<RelayState> state,
                    std::shared_ptr<SocketPair> sockets, Direction direction,
                    tcp::endpoint address)
      : state_(std::move(state)),
        sockets_(std::move(sockets)),
        direction_(std::move(direction)),
        address_(std::move(address)) {}

  void Start() {
    if (IsCut()) {
      state_->deferred.push_back(
          [self = shared_from_this()] { self->Retry(); });
      ReadEarlyBytes();
    } else {
      Connect();
    }
  }

 private:
  [[nodiscard]] bool IsCut() const {
    const LinkMode mode = state_->RuleFor(direction_).mode;
    return mode == LinkMode::kDrop || mode == LinkMode::kHold;
  }

  /// Buffers what the caller sends before the target is connected, up to the
  /// buffer's size, and detects that the caller closes.
  void ReadEarlyBytes() {
    sockets_->caller.async_read_some(
        asio::buffer(early_) + early_bytes_,
        [self = shared_from_this()](const asio::error_code& error,
                                    std::size_t count) {
          self->early_bytes_ += count;
          if (error && error != asio::error::operation_aborted) {
            self->sockets_->Close();
          } else if (!error && self->early_bytes_ < self->early_.size()) {
            self->ReadEarlyBytes();
          }
        });
  }

  void Retry() {
    if (!sockets_->caller.is_open()) {
      return;
    }
    if (IsCut()) {
      state_->deferred.push_back(
          [self = shared_from_this()] { self->Retry(); });
      return;
    }
    asio::error_code ignored;
    sockets_->caller.cancel(ignored);
    Connect();
  }

  void Connect() {
    sockets_->target.async_connect(
        address_, [self = shared_from_this()](const asio::error_code& error) {
          if (error) {
            self->sockets_->Close();
          } else {
            self->SendEarly();
          }
        });
  }

  void SendEarly() {
    asio::async_write(sockets_->target,
                      asio::buffer(early_.data(), early_bytes_),
                      [self = shared_from_this()](const asio::error_code& error,
                                                  std::size_t) {
                        if (error) {
                          self->sockets_->Close();
                        } else {
                          self->StartForwarding();
                        }
                      });
  }

  void StartForwarding() {
    asio::error_code ignored;
    sockets_->caller.set_option(tcp::no_delay(true), ignored);
    sockets_->target.set_option(tcp::no_delay(true), ignored);
    const Direction back{direction_.second, direction_.first};
    std::make_shared<ByteForwarder>(state_, sockets_, direction_, true)->Read();
    std::make_shared<ByteForwarder>(state_, sockets_, back, false)->Read();
  }

  std::shared_ptr<RelayState> state_;
  std::shared_ptr<SocketPair> sockets_;
  Direction direction_;
  tcp::endpoint address_;
  std::array<char, kChunkBytes> early_{};
  std::size_t early_bytes_ = 0;
};

/// Accepts the connections of one target.
struct Listener {
  Listener(asio::io_context& loop, std::shared_ptr<RelayState> shared,
           Target served)
      : state(std::move(shared)),
        target(std::move(served)),
        address(asio::ip::make_address(target.address.ip), target.address.port),
        acceptor(loop, tcp::endpoint(asio::ip::make_address(target.listen.ip),
                                     target.listen.port)) {}

  void Accept(const std::map<std::string, core::ZoneName>& sources) {
    acceptor.async_accept([this, &sources](const asio::error_code& error,
                                           tcp::socket socket) {
      if (error) {
        return;
      }
      asio::error_code gone;
      const auto source = socket.remote_endpoint(gone).address();
      const auto zone = sources.find(source.to_string());
      const Direction direction{
          zone == sources.end() ? core::ZoneName{} : zone->second, target.zone};
      ++state->traffic[direction].connections;
      std::make_shared<PendingConnection>(
          state, std::make_shared<SocketPair>(std::move(socket)), direction,
          address)
          ->Start();
      Accept(sources);
    });
  }

  std::shared_ptr<RelayState> state;
  Target target;
  tcp::endpoint address;
  tcp::acceptor acceptor;
};

}  // namespace internal

struct Relay::Impl {
  Impl() = default;
  // Breaks the reference cycle: deferred actions own the state that owns them.
  ~Impl() { std::exchange(state->deferred, {}).clear(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::shared_ptr<internal::RelayState> state =
      std::make_shared<internal::RelayState>();
  std::map<std::string, core::ZoneName> sources;
  std::vector<std::unique_ptr<internal::Listener>> listeners;
};

Relay::Relay(asio::io_context& loop, const Links& links)
    : impl_(std::make_shared<Impl>()) {
  impl_->sources = links.zone_of_source;
  for (const auto& [source, zone] : links.zone_of_source) {
    impl_->state->rules.zones.insert(zone);
  }
  for (const Target& target : links.targets) {
    impl_->state->rules.zones.insert(target.zone);
    impl_->listeners.push_back(
        std::make_unique<internal::Listener>(loop, impl_->state, target));
    impl_->listeners.back()->Accept(impl_->sources);
  }
}

Relay::~Relay() = default;

bool Relay::Set(const core::ZoneName& from, const core::ZoneName& to,
                const LinkRule& rule) {
  if (!SetRule(impl_->state->rules, from, to, rule)) {
    return false;
  }
  impl_->state->RunDeferred();
  return true;
}

const std::map<Direction, Traffic>& Relay::traffic() const {
  return impl_->state->traffic;
}

}  // namespace camphormux::link_standin
