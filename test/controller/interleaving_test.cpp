#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/controller/fake_fleet.hpp"

namespace camphormux::controller {
namespace {

using state::HostPhase;

constexpr int kHosts = 3;
constexpr int kOperations = 400;
constexpr int kKinds = 10;

/// What a controller decided while it has not reached log or platform.
struct Undelivered {
  std::vector<std::vector<state::Record>> batches;
  std::vector<PlatformCall> calls;
};

/// Two controllers of one zone, three gateways and the platform. Either
/// controller may be paused between deciding and delivering for any time.
struct World {
  FakeLog log;
  FakePlatform platform = MakePlatform(kHosts);
  std::vector<FakeController> controllers{{{"c1"}, {}, {}, {}},
                                          {{"c2"}, {}, {}, {}}};
  std::vector<Undelivered> undelivered{2};
  std::vector<state::FleetState> gateways{3};
  state::FleetState newest;  ///< Reads every record at once.
  std::map<std::pair<core::HostId, core::Generation>, core::PoolName> pools;
  core::MonotonicTime now{std::chrono::hours(1)};
  int texts = 0;

  void Publish() {
    // Alternating pool names force moves.
    std::string text = TextWith(2);
    if (texts % 2 == 1) {
      text.replace(text.find("service web"), 11, "service shop");
    }
    log.Append(
        {PublishOf(std::to_string(texts++), newest.text.revision, text)});
  }

  void Observe(FakeController& controller) {
    platform.Observe(controller.seen, now);
    controller.seen.gateways.clear();
    for (std::size_t i = 0; i < gateways.size(); ++i) {
      controller.seen.gateways.push_back(
          {{"g" + std::to_string(i)}, kZone, gateways[i].next, false, {}});
    }
  }

  void Decide(std::size_t which) {
    // The view of the lease may be old: the 4 s rule is not relied on here.
    const StepResult result = controllers[which].Decide(now);
    Undelivered& queue = undelivered[which];
    queue.batches.push_back(result.records);
    queue.calls.insert(queue.calls.end(), result.calls.begin(),
                       result.calls.end());
  }

  void DeliverBatch(std::size_t which) {
    auto& batches = undelivered[which].batches;
    if (!batches.empty()) {
      log.Append(batches.front());
      batches.erase(batches.begin());
    }
  }

  void DeliverCall(std::size_t which) {
    auto& calls = undelivered[which].calls;
    if (!calls.empty()) {
      const CallOutcome outcome = platform.Take(calls.front());
      controllers[which].seen.answers.push_back({calls.front(), outcome, now});
      calls.erase(calls.begin());
    }
  }

  void Act(int kind, std::size_t which, std::size_t amount) {
    now += core::Millis(300);
    FakeController& controller = controllers[which % 2];
    switch (kind) {
      case 0:
        return Publish();
      case 1:
        return controller.Claim(log);
      case 2:
      case 3:
        return log.Read(controller.state, 1 + amount);
      case 4:
        return Observe(controller);
      case 5:
      case 6:
        return Decide(which % 2);
      case 7:
        return DeliverBatch(which % 2);
      case 8:
        return DeliverCall(which % 2);
      default:
        return log.Read(gateways[which % gateways.size()], 1 + amount);
    }
  }

  /// Follows the log and checks that a generation of a host has one pool.
  void CheckOnePoolPerGeneration() {
    while (newest.next.value < log.records.size()) {
      log.Read(newest, 1);
      for (const auto& [id, host] : newest.hosts) {
        if (host.pool) {
          const auto [known, added] =
              pools.try_emplace({id, host.generation}, *host.pool);
          RC_ASSERT(known->second == *host.pool);
        }
      }
    }
  }

  /// A gateway at any offset sends to a host of an older generation only
  /// while the newest state still has that generation in its pool.
  void CheckGateways() {
    for (const state::FleetState& gateway : gateways) {
      for (const auto& [id, host] : gateway.hosts) {
        const auto now_known = newest.hosts.find(id);
        if (host.phase != HostPhase::kAdmitted ||
            now_known == newest.hosts.end()) {
          continue;
        }
        const state::Host& current = now_known->second;
        RC_ASSERT(current.generation == host.generation);
        RC_ASSERT(current.pool == host.pool);
        const FakeHost& real = platform.hosts.at(id);
        RC_ASSERT(real.generation != host.generation ||
                  real.pool == *host.pool);
      }
    }
  }

  void Check() {
    CheckOnePoolPerGeneration();
    CheckGateways();
  }
};

// Guards against a host in two pools at once: two controllers that both
// believe in the lease, delayed records and calls, and gateways that lag.
RC_GTEST_PROP(InterleavingTest, AHostServesOnePool, ()) {
  World world;
  world.Publish();
  world.Check();
  for (int i = 0; i < kOperations; ++i) {
    const int kind = *rc::gen::inRange(0, kKinds);
    const auto which = *rc::gen::inRange<std::size_t>(0, 6);
    // Publishing and claiming are rare, so that moves get far.
    const bool rare = kind <= 1 && *rc::gen::inRange(0, 8) != 0;
    if (rare) {
      continue;
    }
    world.Act(kind, which, *rc::gen::inRange<std::size_t>(0, 4));
    world.Check();
  }
  // Afterwards one controller works alone and every host must serve.
  FakeController& last = world.controllers[0];
  world.log.Read(last.state, world.log.records.size());
  last.Claim(world.log);
  constexpr int kEnoughSteps = 60;
  for (int i = 0; i < kEnoughSteps; ++i) {
    world.now += core::Millis(500);
    for (state::FleetState& gateway : world.gateways) {
      world.log.Read(gateway, world.log.records.size());
    }
    world.Observe(last);
    RunStep(last, world.log, world.platform, world.now);
    world.Check();
  }
  RC_ASSERT(std::all_of(world.newest.hosts.begin(), world.newest.hosts.end(),
                        [](const auto& item) {
                          return item.second.phase == HostPhase::kAdmitted;
                        }));
  RC_ASSERT(world.newest.hosts.size() == std::size_t{kHosts});
}

}  // namespace
}  // namespace camphormux::controller
