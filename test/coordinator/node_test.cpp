#include "camphormux/coordinator/node.hpp"

#include <chrono>
#include <cstdio>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <asio/post.hpp>
#include <gtest/gtest.h>

#include "test/coordinator/fake_platform.hpp"
#include "test/coordinator/free_port.hpp"

namespace camphormux::coordinator {
namespace {

constexpr std::size_t kNodes = 4;
constexpr core::Millis kRunTime{50};
constexpr std::int64_t kTaskMillicores = 6000;

workload::JobSpec MakeSpec(std::uint64_t number, std::uint32_t tasks) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016llx",
                static_cast<unsigned long long>(number));  // NOLINT
  workload::JobSpec spec;
  spec.id.value = id;
  spec.queue.value = "q";
  workload::Step step;
  step.count = tasks;
  step.size = {{kTaskMillicores}, {1000}, {0}};
  step.estimate = kRunTime;
  spec.steps = {step};
  return spec;
}

/// Calls to hosts that one node has made.
struct Calls {
  std::uint64_t starts = 0;
  std::uint64_t renewals = 0;
};

/// Nodes of one deployment on one fake platform; the first node is the holder.
class Deployment {
 public:
  explicit Deployment(std::size_t hosts) : platform_(loop_, hosts, kRunTime) {
    for (std::size_t i = 0; i < kNodes; ++i) {
      addresses_.push_back({"127.0.0.1", FreePort(loop_)});
    }
    calls_.resize(kNodes);
    for (std::size_t i = 0; i < kNodes; ++i) {
      NodeSettings settings;
      settings.name = "node-" + std::to_string(i);
      settings.zone.value = "z";
      settings.peer = addresses_[i];
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

  template <typename Condition>
  bool RunUntil(const Condition& condition) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!condition() && std::chrono::steady_clock::now() < end) {
      loop_.restart();
      loop_.run_one_for(std::chrono::milliseconds(50));
    }
    return condition();
  }

  void Submit(const workload::JobSpec& spec) {
    nodes_[0]->job_frontend().Submit(
        spec, core::MonotonicNow() + core::Millis(20'000),
        [this](SubmitAnswer answer) {
          accepted_ += answer.outcome == SubmitOutcome::kAccepted ? 1U : 0U;
        });
  }

  /// Sends a forwarded request to the first node and returns the status.
  int Forward(const std::string& body) {
    peer::Client client(loop_, addresses_[0]);
    std::optional<int> status;
    client.Send({std::string(kForwardPath), body}, core::Millis(5000),
                [&](const peer::Result& result) {
                  status = result ? result.value().status : 0;
                });
    RunUntil([&] { return status.has_value(); });
    return status.value_or(0);
  }

  /// Publishes a catalog to the first node and returns the version in force.
  std::uint64_t PublishCatalog(std::uint64_t version) {
    workload::Catalog catalog = *nodes_[0]->catalog();
    catalog.version.value = version;
    listeners_[0].on_catalog(catalog);
    return nodes_[0]->catalog()->version.value;
  }

  [[nodiscard]] bool IsReady() const { return nodes_[0]->is_ready(); }
  [[nodiscard]] std::size_t Accepted() const { return accepted_; }
  [[nodiscard]] const Calls& CallsOf(std::size_t node) const {
    return calls_[node];
  }
  [[nodiscard]] std::uint64_t Starts() const { return platform_.starts(); }
  void ResetCalls() { calls_.assign(kNodes, {}); }

 private:
  Ports MakePorts(std::size_t node) {
    Ports ports = platform_.MakePorts();
    const HostPort direct = ports.host;
    ports.host.start = [this, node, direct](const StartCall& call, auto done) {
      ++calls_[node].starts;
      direct.start(call, std::move(done));
    };
    ports.host.renew = [this, node, direct](const RenewCall& call, auto done) {
      ++calls_[node].renewals;
      direct.renew(call, std::move(done));
    };
    ports.election.join = [node](auto done) {
      done(MembershipAnswer{{1}, node == 0});
    };
    ports.election.leave = [](auto done) { done(); };
    ports.election.evict_previous_process = [](auto done) { done(); };
    ports.election.find_holder = [this, node](auto done) {
      done(node == 0 ? Ownership{} : Ownership{addresses_[0]});
    };
    ports.election.announce = [this](auto done) {
      std::vector<Member> members;
      for (const core::Address& address : addresses_) {
        members.push_back({address, {"z"}, {500}});
      }
      done(members);
    };
    ports.feed.start = [this](const FeedPort::Listener& listener) {
      workload::Catalog catalog;
      workload::Queue queue;
      queue.name.value = "q";
      queue.pool.value = "pool";
      queue.stretch = 100.0;
      queue.latency_target = core::Millis(60'000);
      catalog.queues = {queue};
      catalog.pools[{"pool"}];
      listener.on_catalog(catalog);
      listeners_.push_back(listener);
    };
    ports.serve_forwarded = [](const std::string& body, auto done) {
      if (body == "throw") {
        throw std::runtime_error("malformed request");
      }
      done(body);
    };
    ports.feed.follow_hosts = [this, node](bool follow) {
      if (follow) {
        asio::post(loop_, [this, node] {
          listeners_[node].on_hosts(platform_.Listings(),
                                    core::MonotonicTime{});
        });
      }
    };
    return ports;
  }

  asio::io_context loop_;
  FakePlatform platform_;
  std::vector<core::Address> addresses_;
  std::vector<Calls> calls_;
  std::vector<FeedPort::Listener> listeners_;
  std::vector<std::unique_ptr<PeerForwarder>> peer_forwarder_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::size_t accepted_ = 0;
};

// Guards against a key or a service that was withdrawn and is in use again,
// because an older configuration arrives late.
TEST(NodeTest, OlderCatalogIsIgnored) {
  Deployment deployment(1);
  EXPECT_EQ(deployment.PublishCatalog(5), 5U);
  EXPECT_EQ(deployment.PublishCatalog(4), 5U);
  EXPECT_EQ(deployment.PublishCatalog(6), 6U);
}

// Guards against a malformed message that ends the whole process.
TEST(NodeTest, ExceptionInAHandlerCostsOnlyItsRequest) {
  Deployment deployment(1);
  ASSERT_TRUE(deployment.RunUntil([&] { return deployment.IsReady(); }));
  EXPECT_EQ(deployment.Forward("throw"), peer::kStatusInternalError);
  EXPECT_EQ(deployment.Forward("well-formed"), peer::kStatusOk);
}

// Guards against a holder that calls all hosts of a large fleet itself during a
// surge: a call takes half of the processor time that the holder may spend on
// one start.
TEST(NodeTest, HolderOfALargeFleetDelegatesHostCalls) {
  constexpr std::size_t kHosts = 349;
  constexpr std::size_t kJobs = 60;
  constexpr std::uint32_t kTasks = 10;
  Deployment deployment(kHosts);
  ASSERT_TRUE(deployment.RunUntil([&] { return deployment.IsReady(); }));
  // Waits until the hosts have reported to the holder and it knows the other
  // nodes.
  deployment.Submit(MakeSpec(1, 1));
  ASSERT_TRUE(deployment.RunUntil([&] { return deployment.Starts() == 1; }));
  const auto settled =
      std::chrono::steady_clock::now() + std::chrono::seconds(2);
  deployment.RunUntil(
      [&] { return std::chrono::steady_clock::now() >= settled; });
  deployment.ResetCalls();
  for (std::uint64_t i = 0; i < kJobs; ++i) {
    deployment.Submit(MakeSpec(i + 2, kTasks));
  }
  ASSERT_TRUE(deployment.RunUntil(
      [&] { return deployment.Starts() > kJobs * kTasks; }));
  const Calls& holder = deployment.CallsOf(0);
  EXPECT_LT(holder.starts + holder.renewals, deployment.Starts());
  EXPECT_EQ(deployment.Accepted(), kJobs + 1);
}

}  // namespace
}  // namespace camphormux::coordinator
