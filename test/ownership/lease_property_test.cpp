#include <map>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "camphormux/ownership/lease.hpp"
#include "camphormux/state/fold.hpp"

namespace camphormux::ownership {
namespace {

constexpr std::size_t kCommands = 500;
constexpr int kProcesses = 4;
const core::ZoneName kZone{"a"};

/// A randomly drawn command.
struct Command {
  int kind = 0;
  int process = 0;
  int amount = 0;
};

std::ostream& operator<<(std::ostream& out, const Command& c) {
  return out << "{" << c.kind << "," << c.process << "," << c.amount << "}";
}

rc::Gen<std::vector<Command>> Commands() {
  using rc::gen::inRange;
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::container<std::vector<Command>>(
          kCommands,
          rc::gen::build<Command>(
              rc::gen::set(&Command::kind, inRange(0, 13)),
              rc::gen::set(&Command::process, inRange(0, kProcesses)),
              rc::gen::set(&Command::amount, inRange(0, 1000)))));
}

/// An append in flight to the log.
struct InFlightAppend {
  int process = 0;
  state::Record record;
  core::MonotonicTime sent;
};

/// A read whose answer is in flight to the process.
struct PendingRead {
  core::MonotonicTime sent;
  std::size_t end = 0;
};

struct Process {
  Lease lease;
  state::FleetState state;
  std::optional<core::MonotonicTime> complete_until;
  std::optional<PendingRead> read;
  core::MonotonicTime paused_until;
  int work = 0;
};

/// Several contenders for one lease on a log with delays, losses and pauses.
class Scenario {
 public:
  Scenario() {
    for (int i = 0; i < kProcesses; ++i) {
      processes_.push_back(
          {MakeLease(kZone, {"c" + std::to_string(i)}, {},
                     core::SeededRandom(static_cast<std::uint64_t>(i))),
           {},
           {},
           {},
           {},
           0});
    }
  }

  void Run(const std::vector<Command>& commands) {
    for (const Command& command : commands) {
      Execute(command);
    }
    CheckEffects();
    CheckRecovery();
  }

 private:
  void Execute(const Command& c) {
    Process& process = processes_[static_cast<std::size_t>(c.process)];
    switch (c.kind) {
      case 0:
      case 1:
      case 2:
        now_ += core::Millis{c.amount};
        break;
      case 3:
      case 4:
        Deliver(static_cast<std::size_t>(c.amount), /*answered=*/true);
        break;
      case 5:
        Deliver(static_cast<std::size_t>(c.amount), /*answered=*/false);
        break;
      case 6:
        DropAppend(static_cast<std::size_t>(c.amount));
        break;
      case 7:
        // Up to 20 s, more than three lease durations.
        process.paused_until = now_ + core::Millis{c.amount * 20};
        break;
      case 12:
        Restart(process, c);
        break;
      default:
        Read(process, c.kind >= 10);
        break;
    }
    StepAll();
  }

  // Replaces the process as planned: it releases the lease if it holds it,
  // while some of its earlier records are still in flight.
  void Restart(Process& process, const Command& c) {
    const auto release = Release(process.lease);
    RC_ASSERT(!HeldEpoch(process.lease, now_));
    if (release) {
      in_flight_.push_back({c.process, *release, now_});
    }
    process = {
        MakeLease(kZone, process.lease.self, {},
                  core::SeededRandom(static_cast<std::uint64_t>(c.amount))),
        {},
        {},
        {},
        {},
        process.work};
  }

  void StepAll() {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      if (now_ >= processes_[i].paused_until) {
        Step(static_cast<int>(i));
      }
    }
  }

  void Step(int index) {
    Process& process = processes_[static_cast<std::size_t>(index)];
    const auto it = process.state.leases.find(kZone);
    const LogView view{it == process.state.leases.end() ? nullptr : &it->second,
                       process.complete_until};
    const LeaseStep step = Advance(process.lease, view, now_);
    if (step.claim) {
      in_flight_.push_back({index, *step.claim, now_});
    }
    if (step.renew) {
      in_flight_.push_back({index, *step.renew, now_});
    }
    const auto epoch = HeldEpoch(process.lease, now_);
    if (epoch) {
      const std::string host =
          std::to_string(index) + "-" + std::to_string(process.work++);
      in_flight_.push_back(
          {index,
           state::HostAdded{kZone, *epoch, {host}, {"r"}, {}, {"::1", 1}},
           now_});
    }
  }

  // Puts an append on the log; appends may overtake each other.
  void Deliver(std::size_t choice, bool answered) {
    if (in_flight_.empty()) {
      return;
    }
    const std::size_t at = choice % std::min<std::size_t>(in_flight_.size(), 6);
    const InFlightAppend item = in_flight_[at];
    in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(at));
    log_.push_back(item);
    if (answered) {
      OnAppended(processes_[static_cast<std::size_t>(item.process)].lease,
                 item.sent);
    }
  }

  void DropAppend(std::size_t choice) {
    if (!in_flight_.empty()) {
      in_flight_.erase(in_flight_.begin() +
                       static_cast<std::ptrdiff_t>(choice % in_flight_.size()));
    }
  }

  // Processes the answer to an earlier read, or sends the next read. A prompt
  // read is answered at once.
  void Read(Process& process, bool prompt) {
    if (now_ < process.paused_until) {
      return;
    }
    if (prompt || !process.read) {
      process.read = PendingRead{now_, log_.size()};
    }
    if (prompt || process.read->sent < now_) {
      while (process.state.next.value < process.read->end) {
        (void)state::Apply(process.state, log_[process.state.next.value].record,
                           process.state.next);
      }
      process.complete_until = process.read->sent;
      process.read.reset();
    }
  }

  // Each record that took effect was written by the first claimant of the epoch
  // in force, so an old lease holder changed nothing.
  void CheckEffects() const {
    state::FleetState state;
    std::map<std::uint64_t, int> holders;
    std::uint64_t epoch = 0;
    for (std::size_t i = 0; i < log_.size(); ++i) {
      const bool effective =
          !state::Apply(state, log_[i].record, {i}).has_value();
      const auto* claim = std::get_if<state::LeaseClaim>(&log_[i].record);
      if (claim != nullptr) {
        RC_ASSERT(effective == (claim->epoch.value == epoch + 1));
        if (effective) {
          holders[++epoch] = log_[i].process;
        }
      } else if (effective) {
        RC_ASSERT(log_[i].process == holders.at(epoch));
      }
    }
    RC_CLASSIFY(epoch > 1, "several holders");
  }

  // Without faults, exactly one process makes decisions soon afterwards.
  void CheckRecovery() {
    for (Process& process : processes_) {
      process.paused_until = now_;
    }
    constexpr int kSteps = 300;
    for (int i = 0; i < kSteps; ++i) {
      now_ += core::Millis{100};
      while (!in_flight_.empty()) {
        Deliver(0, /*answered=*/true);
      }
      for (Process& process : processes_) {
        Read(process, /*prompt=*/true);
      }
      StepAll();
    }
    int deciding = 0;
    for (const Process& process : processes_) {
      deciding += HeldEpoch(process.lease, now_).has_value() ? 1 : 0;
    }
    RC_ASSERT(deciding == 1);
  }

  core::MonotonicTime now_{std::chrono::seconds(100)};
  std::vector<Process> processes_;
  std::vector<InFlightAppend> in_flight_;
  std::vector<InFlightAppend> log_;
};

// Guards against two controllers that change one zone, and against a zone that
// has no lease holder after the faults have ended.
TEST(LeasePropertyTest, OneHolderPerEpochTakesEffect) {
  EXPECT_TRUE(rc::check([] { Scenario().Run(*Commands()); }));
}

// Guards against a zone without decisions until the lease expires although its
// holder released it, and against a holder that makes decisions after the
// release.
TEST(LeaseTest, AReleasedLeaseIsClaimedAtOnce) {
  const core::MonotonicTime start{std::chrono::seconds(100)};
  const LeaseOptions options;
  Lease holder = MakeLease(kZone, {"c"}, options, core::SeededRandom(1));
  Lease next = MakeLease(kZone, {"d"}, options, core::SeededRandom(2));
  EXPECT_FALSE(Release(next));
  const auto expired = start + options.duration + options.max_jitter;
  (void)Advance(holder, {nullptr, start}, start);
  ASSERT_TRUE(Advance(holder, {nullptr, expired}, expired).claim);
  state::ZoneLease lease{{"c"}, {1}, {0}};
  (void)Advance(holder, {&lease, expired}, expired);
  EXPECT_FALSE(Advance(next, {&lease, expired}, expired).claim);
  ASSERT_TRUE(HeldEpoch(holder, expired));
  ASSERT_TRUE(Release(holder));
  EXPECT_FALSE(HeldEpoch(holder, expired));
  EXPECT_FALSE(Advance(holder, {&lease, expired}, expired).renew);
  lease.released = true;
  (void)Advance(next, {&lease, expired}, expired);
  const auto soon = expired + options.release_jitter;
  const auto claim = Advance(next, {&lease, expired}, soon).claim;
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->epoch.value, 2U);
}

// Guards against a holder that makes decisions although its renewals are not
// answered, and against a contender that claims the lease after a pause on the
// basis of an old answer.
TEST(LeaseTest, StopsInTimeAndReadsBeforeItClaims) {
  const core::MonotonicTime start{std::chrono::seconds(100)};
  const auto at = [&start](int millis) { return start + core::Millis{millis}; };
  Lease lease = MakeLease(kZone, {"c"}, {}, core::SeededRandom(1));
  EXPECT_FALSE(Advance(lease, {nullptr, start}, start).claim);
  EXPECT_FALSE(Advance(lease, {nullptr, start}, at(60'000)).claim);
  ASSERT_TRUE(Advance(lease, {nullptr, at(60'000)}, at(60'000)).claim);
  EXPECT_FALSE(HeldEpoch(lease, at(60'000)));
  const state::ZoneLease own{{"c"}, {1}, {0}};
  (void)Advance(lease, {&own, at(60'100)}, at(60'100));
  EXPECT_TRUE(HeldEpoch(lease, at(64'000)));
  EXPECT_TRUE(Advance(lease, {&own, at(62'000)}, at(62'000)).renew);
  EXPECT_FALSE(HeldEpoch(lease, at(64'001)));
  OnAppended(lease, at(62'000));
  EXPECT_TRUE(HeldEpoch(lease, at(66'000)));
  const state::ZoneLease other{{"d"}, {2}, {9}};
  (void)Advance(lease, {&other, at(65'000)}, at(65'000));
  EXPECT_FALSE(HeldEpoch(lease, at(65'000)));
}

// Guards against a holder whose appends reach the log but whose reads fail. It
// makes no decisions, and its renewals would keep the lease from a process that
// can read the log.
TEST(LeaseTest, AHolderThatCannotReadDoesNotRenew) {
  const core::MonotonicTime start{std::chrono::hours(1)};
  Lease lease = MakeLease(kZone, {"p"}, {}, core::SeededRandom(1));
  lease.role = Role::kHolder;
  lease.epoch = {1};
  lease.sent_at = start;
  state::ZoneLease held;
  held.holder = {"p"};
  held.epoch = {1};
  const LogView view{&held, start};
  EXPECT_TRUE(Advance(lease, view, start + std::chrono::seconds(3)).renew);
  EXPECT_FALSE(Advance(lease, view, start + std::chrono::seconds(5)).renew);
  const LogView fresh{&held, start + std::chrono::seconds(6)};
  EXPECT_TRUE(Advance(lease, fresh, start + std::chrono::seconds(7)).renew);
}

}  // namespace
}  // namespace camphormux::ownership
