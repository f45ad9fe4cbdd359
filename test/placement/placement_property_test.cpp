#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "test/placement/fake_workers.hpp"

namespace camphormux::placement {
namespace {

constexpr int kWorkers = 8;
constexpr int kTeams = 3;
constexpr std::size_t kCommandsPerRun = 600;
constexpr std::size_t kMinCommands = 50000;
constexpr Resources kShape{{8000}, {16000}, {2}};

/// A random command; `a`, `b` and `c` select its operands.
struct Command {
  int kind = 0;
  std::uint32_t a = 0;
  std::uint32_t b = 0;
  std::uint32_t c = 0;
};

rc::Gen<Command> ArbitraryCommand() {
  return rc::gen::build<Command>(
      rc::gen::set(&Command::kind, rc::gen::inRange(0, 24)),
      rc::gen::set(&Command::a, rc::gen::inRange<std::uint32_t>(0, 1U << 20)),
      rc::gen::set(&Command::b, rc::gen::inRange<std::uint32_t>(0, 1U << 20)),
      rc::gen::set(&Command::c, rc::gen::inRange<std::uint32_t>(0, 1U << 20)));
}

std::vector<Command> ArbitraryCommands() {
  return *rc::gen::container<std::vector<Command>>(kCommandsPerRun,
                                                   ArbitraryCommand());
}

FakeWorkers MakeFake() {
  FakeWorkers fake;
  for (int i = 0; i < kTeams; ++i) {
    SetTeamQuota(fake, "t" + std::to_string(i), {{20000}, {40000}, {5}});
  }
  for (int i = 0; i < kWorkers; ++i) {
    AddWorker(fake, "w" + std::to_string(i), i % 2 == 0 ? "p" : "q", kShape);
  }
  return fake;
}

core::HostId WorkerOf(std::uint32_t number) {
  return {"w" + std::to_string(number % kWorkers)};
}

JobSpec JobOf(const FakeWorkers& fake, const Command& command) {
  JobSpec job;
  job.id = {"j" + std::to_string(fake.jobs.size())};
  job.team = {"t" + std::to_string(command.a % kTeams)};
  job.kind = "k" + std::to_string(command.b % 4);
  job.priority = command.a % 7 == 0 ? Priority::kUrgent : Priority::kNormal;
  job.preemptible = command.b % 2 == 0;
  job.repeatable = command.c % 3 != 0;
  job.declared = {{static_cast<std::int64_t>(200 + command.b % 5000)},
                  {static_cast<std::int64_t>(100 + command.c % 9000)},
                  {command.c % 5 == 0 ? 1 : 0}};
  job.pool = {command.a % 2 == 0 ? "p" : "q"};
  return job;
}

const OpenRun* RunAt(const FakeWorkers& fake, std::uint32_t number) {
  if (fake.runs.empty()) return nullptr;
  auto run = fake.runs.begin();
  std::advance(run, number % fake.runs.size());
  return &run->second;
}

void Report(FakeWorkers& fake, const core::HostId& worker, std::uint32_t c) {
  UsageReported report;
  report.worker = worker;
  report.age = core::Millis{c % 3000};
  for (auto& [epoch, run] : fake.runs) {
    if (run.worker != worker) continue;
    const auto quarters = static_cast<std::int64_t>(1 + (c + epoch) % 5);
    // Uses up to a quarter more memory than its limit.
    run.reported = std::max(
        run.reported, core::Mebibytes{run.limits.memory.value * quarters / 4});
    report.tasks.push_back({run.task, run.limits.cores, run.reported});
  }
  ApplyEvent(fake, report);
}

void RunTaskCommand(FakeWorkers& fake, const Command& command) {
  const OpenRun* open = RunAt(fake, command.a);
  if (open == nullptr) return;
  const OpenRun run = *open;
  switch (command.kind) {
    case 8:
    case 9:
      return BeginRun(fake, run.task);
    case 10:
    case 11:
      return EndRun(fake, run.task, TaskOutcome::kFinished);
    case 12:
      return EndRun(fake, run.task,
                    command.b % 3 == 0 ? TaskOutcome::kOutOfMemory
                                       : TaskOutcome::kFailed);
    case 13:
      if (run.began) return;
      return EndRun(fake, run.task, TaskOutcome::kNeverBegan);
    case 14:
      return ApplyEvent(fake, LeaseExpired{run.task});
    default:
      return ConfirmYieldSteps(fake);
  }
}

void RunWorkerCommand(FakeWorkers& fake, const Command& command) {
  const core::HostId worker = WorkerOf(command.a);
  switch (command.kind) {
    case 16:
    case 17:
      return Report(fake, worker, command.c);
    case 18:
      return ApplyEvent(fake, WorkerLost{worker});
    case 19:
      return ApplyEvent(fake, WorkerDrained{worker});
    case 20: {
      const bool rebooted = command.b % 2 == 0;
      if (rebooted) {
        std::erase_if(fake.runs, [&](const auto& run) {
          return run.second.worker == worker;
        });
      }
      return ApplyEvent(fake, WorkerReturned{worker, rebooted});
    }
    case 21:
      return ApplyEvent(fake,
                        PoolChanged{worker, {command.b % 2 == 0 ? "p" : "q"}});
    default:
      return ApplyEvent(fake, ProbeFinished{worker, command.b % 2 == 0});
  }
}

void RunCommand(FakeWorkers& fake, const Command& command) {
  if (command.kind < 4) {
    Submit(fake, JobOf(fake, command));
  } else if (command.kind < 7) {
    AdvanceTime(fake, core::Millis{command.a % 2000});
  } else if (command.kind == 7) {
    if (!fake.jobs.empty()) {
      ApplyEvent(
          fake,
          JobCancelled{{"j" + std::to_string(command.a % fake.jobs.size())}});
    }
  } else if (command.kind < 16) {
    RunTaskCommand(fake, command);
  } else {
    RunWorkerCommand(fake, command);
  }
}

bool HasEnded(const State& state, const core::JobId& job) {
  const Reason reason = Explain(state, job);
  return std::holds_alternative<Finished>(reason) ||
         std::holds_alternative<Cancelled>(reason) ||
         std::holds_alternative<GivenUp>(reason) ||
         std::holds_alternative<MayNotRunTwice>(reason);
}

/// Repairs all workers and lets every run finish.
void FinishAll(FakeWorkers& fake) {
  constexpr int kRounds = 400;
  for (int i = 0; i < kWorkers; ++i) {
    std::erase_if(fake.runs, [&](const auto& run) {
      return run.second.worker == WorkerOf(static_cast<std::uint32_t>(i));
    });
    const core::HostId worker = WorkerOf(static_cast<std::uint32_t>(i));
    ApplyEvent(fake, WorkerReturned{worker, true});
    ApplyEvent(fake, ProbeFinished{worker, true});
    ApplyEvent(fake, PoolChanged{worker, {i % 2 == 0 ? "p" : "q"}});
  }
  for (int i = 0; i < kRounds; ++i) {
    ConfirmYieldSteps(fake);
    AdvanceTime(fake, core::Millis{60000});
    while (!fake.runs.empty()) {
      EndRun(fake, fake.runs.begin()->second.task, TaskOutcome::kFinished);
    }
  }
}

// Guards against overcommitted memory, violated quotas, repeated runs of
// non-repeatable jobs and lost jobs, in any order of events.
TEST(PlacementPropertyTest, KeepsInvariantsInAnyOrderOfEvents) {
  std::size_t commands_run = 0;
  const bool holds = rc::check([&commands_run] {
    FakeWorkers fake = MakeFake();
    for (const Command& command : ArbitraryCommands()) {
      RunCommand(fake, command);
      ++commands_run;
      RC_ASSERT(fake.invariant_violations == std::vector<std::string>{});
    }
    FinishAll(fake);
    RC_ASSERT(fake.invariant_violations == std::vector<std::string>{});
    for (const auto& [id, job] : fake.jobs) {
      if (!HasEnded(fake.state, id)) {
        RC_FAIL("job " + id.value + ": " + Describe(Explain(fake.state, id)));
      }
    }
    RC_ASSERT(fake.state.used_total == Resources{});
    for (const Pool& pool : fake.state.pools) {
      RC_ASSERT(pool.non_preemptible == Resources{});
    }
  });
  EXPECT_TRUE(holds);
  EXPECT_GE(commands_run, kMinCommands);
}

/// Checks that the same commands start the same runs with and without
/// impossible jobs.
void CheckThatImpossibleJobsDelayNoOtherJob() {
  FakeWorkers with = MakeFake();
  FakeWorkers without = MakeFake();
  for (const Command& command : ArbitraryCommands()) {
    JobSpec job = JobOf(without, command);
    if (command.kind < 4) Submit(without, job);
    if (command.kind < 4) Submit(with, job);
    if (command.kind == 4) {
      job.id = {"never" + std::to_string(command.b)};
      job.declared.memory.value = 1000000;
      Submit(with, job);
    }
    if (command.kind > 10 && !without.runs.empty()) {
      const TaskRef run = RunAt(without, command.a)->task;
      EndRun(without, run, TaskOutcome::kFinished);
      EndRun(with, run, TaskOutcome::kFinished);
    }
    AdvanceTime(without, core::Millis{100});
    AdvanceTime(with, core::Millis{100});
    RC_ASSERT(with.starts.size() == without.starts.size());
  }
  for (std::size_t i = 0; i < with.starts.size(); ++i) {
    RC_ASSERT(with.starts[i].task == without.starts[i].task);
    RC_ASSERT(with.starts[i].worker == without.starts[i].worker);
  }
}

/// Number of jobs placed by naive first fit: each job goes to the first worker
/// with enough free resources.
std::size_t NaiveFirstFit(const std::vector<JobSpec>& jobs) {
  std::map<core::PoolName, std::vector<Resources>> free_by_pool;
  for (int i = 0; i < kWorkers; ++i) {
    free_by_pool[{i % 2 == 0 ? "p" : "q"}].push_back(kShape);
  }
  std::size_t placed = 0;
  for (const JobSpec& job : jobs) {
    for (Resources& headroom : free_by_pool[job.pool]) {
      if (!Fits(job.declared, headroom)) continue;
      headroom -= job.declared;
      ++placed;
      break;
    }
  }
  return placed;
}

/// Checks that as many jobs of one size are placed as by naive first fit.
void CompareWithNaiveFirstFit() {
  FakeWorkers fake = MakeFake();
  SetTeamQuota(fake, "t0", {{1000000}, {1000000}, {100}});
  fake.state.settings.non_preemptible_share = 1.0;
  const auto size = *ArbitraryCommand();
  std::vector<JobSpec> jobs;
  for (int i = 0; i < 60; ++i) {
    JobSpec job = JobOf(fake, size);
    job.team = {"t0"};
    job.priority = Priority::kNormal;
    job.declared.cores.value = 1000 * (1 + size.a % 4);
    job.declared.memory.value = 1024 * (1 + size.b % 8);
    job.pool = {i % 3 == 0 ? "p" : "q"};
    jobs.push_back(job);
    Submit(fake, job);
  }
  AdvanceTime(fake, core::Millis{1000});
  RC_ASSERT(fake.starts.size() == NaiveFirstFit(jobs));
}

// Guards against an impossible job that delays any other job.
TEST(PlacementPropertyTest, ImpossibleJobsDelayNoOtherJob) {
  EXPECT_TRUE(rc::check(CheckThatImpossibleJobsDelayNoOtherJob));
}

// Guards against a search that misses free resources that naive first fit
// finds.
TEST(PlacementPropertyTest, FindsRoomLikeNaiveFirstFit) {
  EXPECT_TRUE(rc::check(CompareWithNaiveFirstFit));
}

}  // namespace
}  // namespace camphormux::placement
