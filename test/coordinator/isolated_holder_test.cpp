#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include "camphormux/coordinator/node.hpp"
#include "test/coordinator/free_port.hpp"

namespace camphormux::coordinator {
namespace {

constexpr std::size_t kNodes = 2;
constexpr std::size_t kHosts = 4;
/// Longer than the interval of confirmations; a successor waits two leases.
constexpr core::Millis kLease{1000};
/// With this lease a holder that lost the store continues for 10 s.
constexpr core::Millis kLongLease{5000};
constexpr core::Millis kCallDelay{1};
constexpr core::Millis kCallTimeout{100};
constexpr core::Millis kQueryTimeout{500};

/// A run on a host, which ends with its lease.
struct HostRun {
  scheduler::RunName name;
  std::size_t host = 0;
  core::MonotonicTime started;
  std::optional<core::MonotonicTime> ended;
};

/// Two nodes, a store and hosts that obey leases and fencing tokens. Which node
/// reaches which host and the store can be set.
class Deployment {
 public:
  explicit Deployment(core::Millis lease = kLease) {
    for (std::size_t i = 0; i < kNodes; ++i) {
      addresses_[i] = {"127.0.0.1", FreePort(loop_)};
    }
    for (auto& reached : reaches_host_) {
      reached.fill(true);
    }
    for (std::size_t i = 0; i < kNodes; ++i) {
      NodeSettings settings;
      settings.peer = addresses_[i];
      settings.scheduler.lease = lease;
      settings.scheduler.longest_lease = lease;
      peer_forwarder_.push_back(
          std::make_unique<PeerForwarder>(loop_, settings.peer));
      nodes_.push_back(std::make_unique<Node>(loop_, settings, MakePorts(i),
                                              *peer_forwarder_.back()));
      nodes_.back()->Start();
    }
  }

  /// Runs the loop until no request is in flight, since each keeps its client
  /// alive.
  ~Deployment() {
    do {
      loop_.restart();
    } while (loop_.run_one_for(std::chrono::milliseconds(10)) > 0);
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  bool RunUntil(const std::function<bool()>& condition, core::Millis limit) {
    const core::MonotonicTime end = core::MonotonicNow() + limit;
    while (!condition() && core::MonotonicNow() < end) {
      loop_.restart();
      loop_.run_one_for(std::chrono::milliseconds(20));
      ExpireLeases();
    }
    return condition();
  }

  static core::JobId JobId() { return {"5c0e7a21d94b36f8"}; }

  /// Submits a job with one permanent task at a node.
  /// @return Receives the answer.
  std::shared_ptr<std::optional<SubmitOutcome>> SubmitPermanentTask(
      std::size_t node = 0) {
    workload::JobSpec spec;
    spec.id = JobId();
    spec.queue.value = "q";
    workload::Step step;
    step.count = 1;
    step.size = {{1000}, {1000}, {0}};
    step.estimate = core::Millis(500);
    step.permanent = true;
    spec.steps = {step};
    auto outcome = std::make_shared<std::optional<SubmitOutcome>>();
    nodes_[node]->job_frontend().Submit(
        spec, core::MonotonicNow() + core::Millis(9000),
        [outcome](const SubmitAnswer& answer) { *outcome = answer.outcome; });
    return outcome;
  }

  /// Cancels that job at a node, or asks for its state.
  /// @return Receives the answer.
  std::shared_ptr<std::optional<QueryOutcome>> CancelJob(std::size_t node) {
    auto outcome = std::make_shared<std::optional<QueryOutcome>>();
    nodes_[node]->job_frontend().Cancel(
        JobId(), {}, core::MonotonicNow() + kQueryTimeout,
        [outcome](QueryOutcome answer) { *outcome = answer; });
    return outcome;
  }
  std::shared_ptr<std::optional<QueryOutcome>> AskForState(std::size_t node) {
    auto outcome = std::make_shared<std::optional<QueryOutcome>>();
    nodes_[node]->job_frontend().State(
        JobId(), {}, core::MonotonicNow() + kQueryTimeout,
        [outcome](const StateAnswer& answer) { *outcome = answer.outcome; });
    return outcome;
  }

  /// Cuts a node off from the store.
  void CutFromStore(std::size_t node) { reaches_store_[node] = false; }
  /// Makes the store give the ownership to a node.
  void SetOwner(std::size_t node) {
    owner_ = node;
    ++generation_;
  }
  /// Sets that a host is reached by one node only.
  void SetOnlyReachedBy(std::size_t host, std::size_t node) {
    for (std::size_t i = 0; i < kNodes; ++i) {
      reaches_host_[i][host] = i == node;
    }
  }

  [[nodiscard]] bool IsReady() const { return nodes_[0]->is_ready(); }
  [[nodiscard]] const std::vector<HostRun>& runs() const { return runs_; }
  [[nodiscard]] std::size_t RunningCount() const {
    return static_cast<std::size_t>(
        std::count_if(runs_.begin(), runs_.end(),
                      [](const HostRun& run) { return !run.ended; }));
  }

 private:
  struct Host {
    core::Epoch token;
    core::MonotonicTime lease_end;
  };

  void RunAfter(core::Millis delay, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(loop_, delay);
    timer->async_wait(
        [timer, action = std::move(action)](const asio::error_code& error) {
          if (!error) {
            action();
          }
        });
  }

  static std::int64_t ClockMs() {
    return core::MonotonicNow().time_since_epoch().count();
  }

  static std::size_t IndexOf(const core::HostId& id) {
    return static_cast<std::size_t>(std::stoul(id.value));
  }

  void ExpireLeases() {
    for (HostRun& run : runs_) {
      const core::MonotonicTime end = hosts_[run.host].lease_end;
      if (!run.ended && core::MonotonicNow() >= end) {
        run.ended = end;
      }
    }
  }

  /// Returns whether a call arrives at its host and is obeyed.
  std::optional<bool> Obeys(std::size_t node, const HostTarget& target) {
    ExpireLeases();
    const std::size_t host = IndexOf(target.host);
    if (!reaches_host_[node][host]) {
      return std::nullopt;
    }
    if (target.token < hosts_[host].token) {
      return false;
    }
    hosts_[host].token = target.token;
    return true;
  }

  void Grant(std::size_t host, std::int64_t lease_end_ms) {
    hosts_[host].lease_end =
        std::max(hosts_[host].lease_end,
                 core::MonotonicTime(core::Millis(lease_end_ms)));
  }

  void Start(std::size_t node, const StartCall& call,
             const std::function<void(StartAnswer)>& done) {
    const std::optional<bool> obeys = Obeys(node, call.target);
    if (!obeys) {
      RunAfter(kCallTimeout, [done] { done({}); });
      return;
    }
    if (!*obeys) {
      RunAfter(kCallDelay, [done] {
        done({scheduler::StartOutcome::kFenced, ClockMs()});
      });
      return;
    }
    const std::size_t host = IndexOf(call.target.host);
    Grant(host, call.lease_end_ms);
    runs_.push_back({call.name, host, core::MonotonicNow(), std::nullopt});
    RunAfter(kCallDelay, [done] {
      done({scheduler::StartOutcome::kStarted, ClockMs()});
    });
  }

  void Renew(std::size_t node, const RenewCall& call,
             const std::function<void(RenewAnswer)>& done) {
    const std::optional<bool> obeys = Obeys(node, call.target);
    if (!obeys) {
      RunAfter(kCallTimeout, [done] { done({}); });
      return;
    }
    const std::size_t host = IndexOf(call.target.host);
    if (*obeys && call.lease_end_ms) {
      Grant(host, *call.lease_end_ms);
    }
    RenewAnswer answer;
    answer.outcome = *obeys ? CallOutcome::kDone : CallOutcome::kFenced;
    answer.clock_ms = ClockMs();
    for (const HostRun& run : runs_) {
      if (run.host == host && !run.ended) {
        answer.running.push_back({run.name, "", 100, 0});
      }
    }
    RunAfter(call.wait.count() > 0 ? core::Millis(200) : kCallDelay,
             [done, answer] { done(answer); });
  }

  void Append(std::size_t node, core::Epoch epoch,
              const std::vector<StoreRecord>& records,
              const std::function<void(AppendOutcome)>& done) {
    AppendOutcome outcome = AppendOutcome::kNotStored;
    if (reaches_store_[node]) {
      outcome =
          epoch < epoch_ ? AppendOutcome::kFenced : AppendOutcome::kStored;
    }
    if (outcome == AppendOutcome::kStored) {
      epoch_ = epoch;
      for (const StoreRecord& record : records) {
        records_[record.key] = record;
      }
    }
    RunAfter(kCallDelay, [done, outcome] { done(outcome); });
  }

  Ports MakePorts(std::size_t node) {
    Ports ports;
    ports.store.fence = [this, node](core::Epoch epoch, auto done) {
      Append(node, epoch, {}, done);
    };
    ports.store.append = [this, node](core::Epoch epoch, std::uint64_t,
                                      const std::vector<StoreRecord>& records,
                                      auto done) {
      Append(node, epoch, records, done);
    };
    ports.store.load = [this](auto done) {
      std::vector<StoreRecord> records;
      for (const auto& [key, record] : records_) {
        records.push_back(record);
      }
      RunAfter(kCallDelay, [done, records] { done(records); });
    };
    ports.store.publish_wave = [](auto, bool, auto) {};
    ports.host.start = [this, node](const StartCall& call, auto done) {
      Start(node, call, done);
    };
    ports.host.renew = [this, node](const RenewCall& call, auto done) {
      Renew(node, call, done);
    };
    ports.host.stop = [this](const HostTarget&, const scheduler::RunName&,
                             auto done) {
      RunAfter(kCallDelay, [done] { done(CallOutcome::kNoAnswer); });
    };
    ports.host.pace = [](const HostTarget&, const scheduler::RunName&, int,
                         auto) {};
    ports.cloud.list = [this](auto done) {
      RunAfter(kCallDelay, [done] { done(std::nullopt); });
    };
    ports.cloud.move = [](const scheduler::MoveMachine&, core::Epoch, auto) {};
    ports.cloud.upkeep = [](const scheduler::UpkeepMachine&, core::Epoch,
                            auto) {};
    ports.election.join = [this, node](auto done) {
      RunAfter(kCallDelay, [this, node, done] {
        done(reaches_store_[node] ? std::optional(MembershipAnswer{
                                        {generation_}, node == owner_})
                                  : std::nullopt);
      });
    };
    ports.election.leave = [](auto done) { done(); };
    ports.election.evict_previous_process = [](auto done) { done(); };
    ports.election.find_holder = [this, node](auto done) {
      RunAfter(kCallDelay, [this, node, done] {
        if (!reaches_store_[node]) {
          done(std::nullopt);
        } else {
          done(owner_ == node ? Ownership{} : Ownership{addresses_[owner_]});
        }
      });
    };
    ports.election.announce = [this, node](auto done) {
      RunAfter(kCallDelay, [this, node, done] {
        if (!reaches_store_[node]) {
          done(std::nullopt);
          return;
        }
        std::vector<Member> members;
        for (const core::Address& address : addresses_) {
          members.push_back({address, {"z"}, {500}});
        }
        done(members);
      });
    };
    ports.feed.start = [this](const FeedPort::Listener& listener) {
      workload::Catalog catalog;
      workload::Queue queue;
      queue.name.value = "q";
      queue.pool.value = "pool";
      catalog.queues = {queue};
      catalog.pools[{"pool"}];
      listener.on_catalog(catalog);
      listeners_.push_back(listener);
    };
    ports.feed.follow_hosts = [this, node](bool follow) {
      if (follow) {
        asio::post(loop_, [this, node] {
          listeners_[node].on_hosts(Listings(), core::MonotonicTime{});
        });
      }
    };
    return ports;
  }

  static std::vector<scheduler::HostListing> Listings() {
    std::vector<scheduler::HostListing> listings;
    for (std::size_t i = 0; i < kHosts; ++i) {
      scheduler::HostListing listing;
      listing.id.value = std::to_string(i);
      listing.incarnation.value = 1;
      listing.address = {"127.0.0.1", 1};
      listing.pool.value = "pool";
      listing.capacity = {{64'000}, {262'144}, {0}};
      listings.push_back(std::move(listing));
    }
    return listings;
  }

  asio::io_context loop_;
  std::array<core::Address, kNodes> addresses_;
  std::array<bool, kNodes> reaches_store_{true, true};
  std::array<std::array<bool, kHosts>, kNodes> reaches_host_{};
  std::size_t owner_ = 0;
  std::uint64_t generation_ = 1;
  core::Epoch epoch_;
  std::map<std::string, StoreRecord> records_;
  std::array<Host, kHosts> hosts_;
  std::vector<HostRun> runs_;
  std::vector<FeedPort::Listener> listeners_;
  std::vector<std::unique_ptr<PeerForwarder>> peer_forwarder_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

// Guards against a task that runs twice: a holder that lost the store kept
// granting leases on the hosts that its successor does not reach.
TEST(IsolatedHolderTest, LeasesEndBeforeASuccessorStartsTheirTasksElsewhere) {
  Deployment deployment;
  ASSERT_TRUE(deployment.RunUntil([&] { return deployment.IsReady(); },
                                  core::Millis(20'000)));
  deployment.SubmitPermanentTask();
  ASSERT_TRUE(deployment.RunUntil(
      [&] { return deployment.RunningCount() == 1; }, core::Millis(20'000)));
  const std::size_t first = deployment.runs().front().host;
  const std::size_t other = (first + 1) % kHosts;
  for (std::size_t host = 0; host < kHosts; ++host) {
    deployment.SetOnlyReachedBy(host, host == other ? 1 : 0);
  }
  deployment.CutFromStore(0);
  deployment.SetOwner(1);
  ASSERT_TRUE(deployment.RunUntil([&] { return deployment.runs().size() == 2; },
                                  core::Millis(20'000)));
  const HostRun& successor = deployment.runs().back();
  EXPECT_EQ(successor.host, other);
  ASSERT_TRUE(deployment.runs().front().ended.has_value());
  EXPECT_LE(*deployment.runs().front().ended, successor.started);
}

// Guards against runs that lapse in an outage of the store, in which no other
// node can take over.
TEST(IsolatedHolderTest, RunsContinueWhileNoNodeReachesTheStore) {
  Deployment deployment;
  ASSERT_TRUE(deployment.RunUntil([&] { return deployment.IsReady(); },
                                  core::Millis(20'000)));
  deployment.SubmitPermanentTask();
  ASSERT_TRUE(deployment.RunUntil(
      [&] { return deployment.RunningCount() == 1; }, core::Millis(20'000)));
  // Hosts without runs are idle for longer than a report counts.
  deployment.RunUntil([] { return false; }, core::Millis(4000));
  deployment.CutFromStore(0);
  deployment.CutFromStore(1);
  deployment.RunUntil([] { return false; }, core::Millis(5000));
  EXPECT_EQ(deployment.RunningCount(), 1U);
  EXPECT_EQ(deployment.runs().size(), 1U);
}

/// A deployment whose first node lost the ownership and does not know it; the
/// second one is the holder and has accepted a job.
void ReplaceHolder(Deployment& deployment) {
  ASSERT_TRUE(deployment.RunUntil([&] { return deployment.IsReady(); },
                                  core::Millis(20'000)));
  for (std::size_t host = 0; host < kHosts; ++host) {
    deployment.SetOnlyReachedBy(host, host == 0 ? 1 : 0);
  }
  deployment.CutFromStore(0);
  // The store gives the ownership away once it has lapsed.
  deployment.RunUntil([] { return false; }, kOwnershipTtl);
  deployment.SetOwner(1);
  // The second node rejects jobs until it has taken over.
  const core::MonotonicTime end = core::MonotonicNow() + core::Millis(8000);
  std::optional<SubmitOutcome> submitted;
  while (submitted != SubmitOutcome::kAccepted && core::MonotonicNow() < end) {
    const auto outcome = deployment.SubmitPermanentTask(1);
    deployment.RunUntil([&] { return outcome->has_value(); },
                        core::Millis(8000));
    submitted = *outcome;
  }
  ASSERT_EQ(submitted, SubmitOutcome::kAccepted);
}

// Guards against a job that runs although its cancellation was acknowledged: a
// holder that had been replaced denied the job.
TEST(IsolatedHolderTest, ReplacedHolderDoesNotAcknowledgeACancellation) {
  Deployment deployment(kLongLease);
  ASSERT_NO_FATAL_FAILURE(ReplaceHolder(deployment));
  const auto cancelled = deployment.CancelJob(0);
  ASSERT_TRUE(deployment.RunUntil([&] { return cancelled->has_value(); },
                                  core::Millis(20'000)));
  EXPECT_EQ(**cancelled, QueryOutcome::kUnavailable);
}

// Guards against an accepted job that is reported as not known.
TEST(IsolatedHolderTest, ReplacedHolderDoesNotDenyAJob) {
  Deployment deployment(kLongLease);
  ASSERT_NO_FATAL_FAILURE(ReplaceHolder(deployment));
  const auto state = deployment.AskForState(0);
  ASSERT_TRUE(deployment.RunUntil([&] { return state->has_value(); },
                                  core::Millis(20'000)));
  EXPECT_EQ(**state, QueryOutcome::kUnavailable);
}

}  // namespace
}  // namespace camphormux::coordinator
