#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/controller/fake_fleet.hpp"

namespace camphormux::controller {
namespace {

using state::HostPhase;

constexpr int kHosts = 3;
constexpr int kRounds = 300;
/// Number of equally likely choices; one of them publishes a text, another
/// claims the lease.
constexpr unsigned kChoices = 60;
/// Choices from 2 up to but not including this one let a gateway read.
constexpr unsigned kReadChoicesEnd = 15;
/// Bit mask of all parts of a round.
constexpr unsigned kAllRoundParts = 31;

/// Draws a number below `bound`, from the whole range in every run.
unsigned DrawBelow(unsigned bound) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0U, bound));
}

/// Decisions of a controller that have not reached the log or the platform.
struct PendingDelivery {
  std::vector<std::vector<state::Record>> batches;
  std::vector<PlatformCall> calls;
};

/// Two controllers of one zone, three gateways and the platform. Either
/// controller may be paused for any time between deciding and delivering.
struct Simulation {
  FakeLog log;
  FakePlatform platform = MakePlatform(kHosts);
  std::vector<FakeController> controllers{{{"c1"}, {}, {}, {}},
                                          {{"c2"}, {}, {}, {}}};
  std::vector<PendingDelivery> pending_deliveries{2};
  std::vector<state::FleetState> gateways{3};
  state::FleetState newest;  ///< Reads every record at once.
  std::map<std::pair<core::HostId, core::Generation>, core::PoolName> pools;
  core::MonotonicTime now{std::chrono::hours(1)};
  int texts = 0;

  void Publish() {
    // Alternating pool names force moves.
    std::string text = MakeOperatorText(2);
    if (texts % 2 == 1) {
      text.replace(text.find("service web"), 11, "service shop");
    }
    log.Append(
        {MakePublish(std::to_string(texts++), newest.text.revision, text)});
  }

  void Observe(FakeController& controller) {
    platform.Observe(controller.observed, now);
    controller.observed.gateways.clear();
    for (std::size_t i = 0; i < gateways.size(); ++i) {
      controller.observed.gateways.push_back(
          {{"g" + std::to_string(i)}, kZone, gateways[i].next, false, {}});
    }
  }

  void Decide(std::size_t which) {
    // The controller may have an old view of the lease: this test does not rely
    // on the 4 s limit.
    const StepResult result = controllers[which].Decide(now);
    PendingDelivery& queue = pending_deliveries[which];
    queue.batches.push_back(result.records);
    queue.calls.insert(queue.calls.end(), result.calls.begin(),
                       result.calls.end());
  }

  void DeliverBatches(std::size_t which) {
    for (const auto& batch : pending_deliveries[which].batches) {
      log.Append(batch);
    }
    pending_deliveries[which].batches.clear();
  }

  void DeliverCalls(std::size_t which) {
    for (const PlatformCall& call : pending_deliveries[which].calls) {
      const CallOutcome outcome = platform.Handle(call);
      controllers[which].observed.answers.push_back({call, outcome, now});
    }
    pending_deliveries[which].calls.clear();
  }

  /// Runs one round of a controller. Any part may be left out, so that views
  /// are old and records and calls arrive rounds later.
  void RunRound(std::size_t which, unsigned parts) {
    now += core::Millis(400);
    FakeController& controller = controllers[which];
    if ((parts & 1U) != 0) {
      log.Read(controller.state, log.records.size());
    }
    if ((parts & 2U) != 0) {
      Observe(controller);
    }
    if ((parts & 4U) != 0) {
      Decide(which);
    }
    if ((parts & 8U) != 0) {
      DeliverBatches(which);
    }
    if ((parts & 16U) != 0) {
      DeliverCalls(which);
    }
  }

  /// Reads the log and checks that each generation of a host has only one pool.
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

  /// A cancelled drain raises the generation within the pool, so a gateway may
  /// know an older generation. No generation since then may have had another
  /// pool.
  void CheckSamePoolSince(const state::Host& known,
                          core::Generation current_generation) {
    RC_ASSERT(known.generation <= current_generation);
    for (core::Generation generation = known.generation;
         generation <= current_generation;
         generation = core::Next(generation)) {
      const auto pool = pools.find({known.id, generation});
      RC_ASSERT(pool == pools.end() || pool->second == *known.pool);
    }
  }

  /// A gateway at any offset sends to a host only for the pool that the host
  /// has in the newest state and had in between.
  void CheckGateways() {
    for (const state::FleetState& gateway : gateways) {
      for (const auto& [id, host] : gateway.hosts) {
        const auto current_entry = newest.hosts.find(id);
        if (host.phase != HostPhase::kAdmitted ||
            current_entry == newest.hosts.end()) {
          continue;
        }
        const state::Host& current = current_entry->second;
        RC_ASSERT(current.pool == host.pool);
        CheckSamePoolSince(host, current.generation);
        const FakeHost& platform_host = platform.hosts.at(id);
        RC_ASSERT(platform_host.generation != host.generation ||
                  platform_host.pool == *host.pool);
      }
    }
  }

  /// Counts the hosts that reached a second generation.
  long CountMovedHosts() const {
    return std::count_if(
        newest.hosts.begin(), newest.hosts.end(),
        [](const auto& item) { return item.second.generation.value >= 2; });
  }

  void Check() {
    CheckOnePoolPerGeneration();
    CheckGateways();
  }
};

// Guards against a host in two pools at once, with two controllers that both
// assume they hold the lease, delayed records and calls, and gateways that lag.
RC_GTEST_PROP(InterleavingTest, AHostServesOnePool, ()) {
  Simulation simulation;
  simulation.Publish();
  simulation.Check();
  simulation.controllers[0].Claim(simulation.log);
  for (int i = 0; i < kRounds; ++i) {
    const unsigned which = DrawBelow(2);
    const unsigned choice = DrawBelow(kChoices);
    if (choice == 0) {
      simulation.Publish();
    } else if (choice == 1) {
      simulation.controllers[which].Claim(simulation.log);
    } else if (choice < kReadChoicesEnd) {
      // A gateway reads some records; most of the time all gateways lag.
      simulation.log.Read(simulation.gateways[DrawBelow(3)], 1 + DrawBelow(20));
    } else {
      // Each part is included with a probability of three in four.
      simulation.RunRound(
          which, DrawBelow(kAllRoundParts + 1) | DrawBelow(kAllRoundParts + 1));
    }
    simulation.Check();
  }
  // A run in which no host moves would show nothing.
  RC_CLASSIFY(simulation.CountMovedHosts() >= 1, "with moves");
  // Afterwards one controller runs alone and every host must be admitted.
  FakeController& last = simulation.controllers[0];
  simulation.log.Read(last.state, simulation.log.records.size());
  last.Claim(simulation.log);
  constexpr int kEnoughSteps = 60;
  for (int i = 0; i < kEnoughSteps; ++i) {
    simulation.now += core::Millis(500);
    for (state::FleetState& gateway : simulation.gateways) {
      simulation.log.Read(gateway, simulation.log.records.size());
    }
    simulation.Observe(last);
    RunStep(last, simulation.log, simulation.platform, simulation.now);
    simulation.Check();
  }
  RC_ASSERT(std::all_of(simulation.newest.hosts.begin(),
                        simulation.newest.hosts.end(), [](const auto& item) {
                          return item.second.phase == HostPhase::kAdmitted;
                        }));
  RC_ASSERT(simulation.newest.hosts.size() == std::size_t{kHosts});
}

}  // namespace
}  // namespace camphormux::controller
