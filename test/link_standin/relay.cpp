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

/// State that relay and connections share.
struct Core {
  Rules rules;
  std::map<Direction, Traffic> traffic;
  /// Run after the next change of the rules.
  std::vector<std::function<void()>> waiting;

  [[nodiscard]] LinkRule Of(const Direction& direction) const {
    return RuleOf(rules, direction.first, direction.second);
  }

  void RunWaiting() {
    for (const auto& action : std::exchange(waiting, {})) {
      action();
    }
  }
};

/// The two sockets of a relayed connection.
struct Pair {
  explicit Pair(tcp::socket accepted)
      : caller(std::move(accepted)), target(caller.get_executor()) {}

  void Close() {
    asio::error_code ignored;
    caller.close(ignored);
    target.close(ignored);
  }

  tcp::socket caller;
  tcp::socket target;
};

/// Moves bytes in one direction of a connection.
class Pump : public std::enable_shared_from_this<Pump> {
 public:
  Pump(std::shared_ptr<Core> core, std::shared_ptr<Pair> pair,
       Direction direction, bool to_target)
      : core_(std::move(core)),
        pair_(std::move(pair)),
        direction_(std::move(direction)),
        from_(to_target ? pair_->caller : pair_->target),
        to_(to_target ? pair_->target : pair_->caller),
        timer_(from_.get_executor()) {}

  void Read() {
    from_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const asio::error_code& error,
                                    std::size_t count) {
          if (error) {
            self->End(error);
          } else {
            self->Take(count);
          }
        });
  }

 private:
  void Take(std::size_t count) {
    const LinkRule rule = core_->Of(direction_);
    Traffic& traffic = core_->traffic[direction_];
    if (lost_ || rule.mode == LinkMode::kDrop) {
      lost_ = true;
      traffic.dropped_bytes += count;
      Read();
    } else if (rule.mode == LinkMode::kHold) {
      core_->waiting.push_back(
          [self = shared_from_this(), count] { self->Take(count); });
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
    core_->traffic[direction_].passed_bytes += count;
    asio::async_write(to_, asio::buffer(buffer_.data(), count),
                      [self = shared_from_this()](const asio::error_code& error,
                                                  std::size_t) {
                        if (error) {
                          self->pair_->Close();
                        } else {
                          self->Read();
                        }
                      });
  }

  /// The end of a connection crosses a cut link as little as its bytes; it
  /// arrives once the link passes.
  void End(const asio::error_code& error) {
    const LinkMode mode = core_->Of(direction_).mode;
    if (mode == LinkMode::kDrop || mode == LinkMode::kHold) {
      core_->waiting.push_back(
          [self = shared_from_this(), error] { self->End(error); });
      return;
    }
    asio::error_code ignored;
    if (error == asio::error::eof && !lost_) {
      to_.shutdown(tcp::socket::shutdown_send, ignored);
    } else {
      pair_->Close();
    }
  }

  std::shared_ptr<Core> core_;
  std::shared_ptr<Pair> pair_;
  Direction direction_;
  tcp::socket& from_;
  tcp::socket& to_;
  asio::steady_timer timer_;
  std::array<char, kChunkBytes> buffer_{};
  bool lost_ = false;
};

/// A new connection. While the link is cut it is open and silent to the
/// caller; it reaches the target once the link passes, unless the caller has
/// given up before, as TCP then ends the attempt to connect.
class Opening : public std::enable_shared_from_this<Opening> {
 public:
  Opening(std::shared_ptr<Core> core, std::shared_ptr<Pair> pair,
          Direction direction, tcp::endpoint address)
      : core_(std::move(core)),
        pair_(std::move(pair)),
        direction_(std::move(direction)),
        address_(std::move(address)) {}

  void Start() {
    if (IsCut()) {
      core_->waiting.push_back([self = shared_from_this()] { self->Retry(); });
      Watch();
    } else {
      Connect();
    }
  }

 private:
  [[nodiscard]] bool IsCut() const {
    const LinkMode mode = core_->Of(direction_).mode;
    return mode == LinkMode::kDrop || mode == LinkMode::kHold;
  }

  /// Collects what the caller sends, up to the buffer's size.
  void Watch() {
    pair_->caller.async_read_some(
        asio::buffer(early_) + early_bytes_,
        [self = shared_from_this()](const asio::error_code& error,
                                    std::size_t count) {
          self->early_bytes_ += count;
          if (error && error != asio::error::operation_aborted) {
            self->pair_->Close();
          } else if (!error && self->early_bytes_ < self->early_.size()) {
            self->Watch();
          }
        });
  }

  void Retry() {
    if (!pair_->caller.is_open()) {
      return;
    }
    if (IsCut()) {
      core_->waiting.push_back([self = shared_from_this()] { self->Retry(); });
      return;
    }
    asio::error_code ignored;
    pair_->caller.cancel(ignored);
    Connect();
  }

  void Connect() {
    pair_->target.async_connect(
        address_, [self = shared_from_this()](const asio::error_code& error) {
          if (error) {
            self->pair_->Close();
          } else {
            self->SendEarly();
          }
        });
  }

  void SendEarly() {
    asio::async_write(pair_->target, asio::buffer(early_.data(), early_bytes_),
                      [self = shared_from_this()](const asio::error_code& error,
                                                  std::size_t) {
                        if (error) {
                          self->pair_->Close();
                        } else {
                          self->Relay();
                        }
                      });
  }

  void Relay() {
    asio::error_code ignored;
    pair_->caller.set_option(tcp::no_delay(true), ignored);
    pair_->target.set_option(tcp::no_delay(true), ignored);
    const Direction back{direction_.second, direction_.first};
    std::make_shared<Pump>(core_, pair_, direction_, true)->Read();
    std::make_shared<Pump>(core_, pair_, back, false)->Read();
  }

  std::shared_ptr<Core> core_;
  std::shared_ptr<Pair> pair_;
  Direction direction_;
  tcp::endpoint address_;
  std::array<char, kChunkBytes> early_{};
  std::size_t early_bytes_ = 0;
};

/// Accepts for one target.
struct Listener {
  Listener(asio::io_context& loop, std::shared_ptr<Core> shared, Target served)
      : core(std::move(shared)),
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
      ++core->traffic[direction].connections;
      std::make_shared<Opening>(core, std::make_shared<Pair>(std::move(socket)),
                                direction, address)
          ->Start();
      Accept(sources);
    });
  }

  std::shared_ptr<Core> core;
  Target target;
  tcp::endpoint address;
  tcp::acceptor acceptor;
};

}  // namespace internal

struct Relay::Impl {
  Impl() = default;
  // What waits for a link holds the core that holds it.
  ~Impl() { std::exchange(core->waiting, {}).clear(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::shared_ptr<internal::Core> core = std::make_shared<internal::Core>();
  std::map<std::string, core::ZoneName> sources;
  std::vector<std::unique_ptr<internal::Listener>> listeners;
};

Relay::Relay(asio::io_context& loop, const Links& links)
    : impl_(std::make_shared<Impl>()) {
  impl_->sources = links.zone_of_source;
  for (const auto& [source, zone] : links.zone_of_source) {
    impl_->core->rules.zones.insert(zone);
  }
  for (const Target& target : links.targets) {
    impl_->core->rules.zones.insert(target.zone);
    impl_->listeners.push_back(
        std::make_unique<internal::Listener>(loop, impl_->core, target));
    impl_->listeners.back()->Accept(impl_->sources);
  }
}

Relay::~Relay() = default;

bool Relay::Set(const core::ZoneName& from, const core::ZoneName& to,
                const LinkRule& rule) {
  if (!SetRule(impl_->core->rules, from, to, rule)) {
    return false;
  }
  impl_->core->RunWaiting();
  return true;
}

const std::map<Direction, Traffic>& Relay::traffic() const {
  return impl_->core->traffic;
}

}  // namespace camphormux::link_standin
