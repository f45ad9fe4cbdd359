#ifndef TEST_COORDINATOR_FAKE_PLATFORM_HPP_
#define TEST_COORDINATOR_FAKE_PLATFORM_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "camphormux/coordinator/authority.hpp"
#include "camphormux/coordinator/ports.hpp"

namespace camphormux::coordinator {

/// @return Authority of a holder that is always confirmed.
[[nodiscard]] Authority UnlimitedAuthority();

/// Fake hosts and a fake store that answer on the holder's own event loop, to
/// measure the cost of the holder alone. All runs take the same time.
class FakePlatform {
 public:
  FakePlatform(asio::io_context& loop, std::size_t hosts,
               core::Millis run_time);

  [[nodiscard]] Ports MakePorts();
  [[nodiscard]] std::vector<scheduler::HostListing> Listings() const;
  /// @brief Lists one machine per host, in the host's pool.
  [[nodiscard]] std::vector<scheduler::MachineListing> Machines() const;
  /// @brief Makes appends fail (true) or succeed (false).
  void SetStoreDown(bool down) { store_down_ = down; }
  /// @return Moves that were ordered; none is carried out.
  [[nodiscard]] const std::vector<scheduler::MoveMachine>& moves() const {
    return moves_;
  }
  [[nodiscard]] std::uint64_t starts() const { return starts_; }
  [[nodiscard]] std::uint64_t stored_bytes() const { return stored_bytes_; }
  /// @return Newest record of each key in the store.
  [[nodiscard]] const std::map<std::string, std::string>& records() const {
    return records_;
  }

 private:
  struct FakeHost {
    std::map<std::string, scheduler::ReportedRun> running;
    std::deque<scheduler::ReportedEnd> ended;
    std::uint64_t last_end = 0;
    std::function<void(RenewAnswer)> waiting;
  };

  void RunAfter(core::Millis delay, std::function<void()> action);
  [[nodiscard]] AppendOutcome Append(const std::vector<StoreRecord>& records);
  void Start(const StartCall& call, std::function<void(StartAnswer)> done);
  void Renew(const RenewCall& call, std::function<void(RenewAnswer)> done);
  void EndRun(const core::HostId& id, const std::string& key);
  [[nodiscard]] RenewAnswer Report(const FakeHost& host) const;

  asio::io_context& loop_;
  core::Millis run_time_;
  std::map<core::HostId, FakeHost> hosts_;
  std::map<std::string, std::string> records_;
  std::vector<scheduler::MoveMachine> moves_;
  bool store_down_ = false;
  std::uint64_t starts_ = 0;
  std::uint64_t stored_bytes_ = 0;
};

}  // namespace camphormux::coordinator

#endif  // TEST_COORDINATOR_FAKE_PLATFORM_HPP_
