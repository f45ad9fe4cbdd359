#include "test/scheduler/fleet.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "camphormux/scheduler/hosts.hpp"
#include "camphormux/scheduler/jobs.hpp"
#include "camphormux/scheduler/plan.hpp"
#include "camphormux/scheduler/runs.hpp"
#include "camphormux/scheduler/upkeep.hpp"

namespace camphormux::scheduler {

constexpr std::int64_t kMilliCores = 1000;
constexpr std::int64_t kHostMemory = 262'144;
constexpr core::Millis kStep{10};
constexpr core::Millis kMoveDuration{1500};

Fleet::Fleet() { state.took_over = now - core::Millis(60'000); }

void Fleet::AddQueue(const std::string& name, const std::string& pool,
                     double stretch) {
  workload::Queue queue;
  queue.name.value = name;
  queue.path_prefix = "/" + name + "/";
  queue.pool.value = pool;
  queue.max_failures = 3;
  queue.stretch = stretch;
  queue.latency_target = core::Millis(600);
  state.catalog.queues.push_back(queue);
  state.catalog.pools.try_emplace({pool});
}

void Fleet::AddStandbyPool(const std::string& pool) {
  state.catalog.pools[{pool}].standby = true;
}

void Fleet::AddHosts(const std::string& pool, int count, std::int64_t cores,
                     const std::string& rack) {
  for (int i = 0; i < count; ++i) {
    const std::string name = pool + "-" + std::to_string(listings.size());
    HostListing listing;
    listing.id.value = "i-" + name;
    listing.incarnation.value = 1;
    listing.address = {"10.0.0.1", 8080};
    listing.pool.value = pool;
    listing.rack.value = rack;
    listing.labels = {"a", rack};
    listing.capacity = {{cores * kMilliCores}, {kHostMemory}, {0}};
    listings.push_back(listing);
    machines.push_back({{"m-" + name},
                        listing.pool,
                        MachineState::kUp,
                        listing.id,
                        listing.capacity});
  }
  Publish();
}

void Fleet::Publish() {
  ApplyListings(state, listings, now, now);
  for (const HostListing& listing : listings) {
    if (!unresponsive.contains(listing.id)) {
      Report(listing.id);
    }
  }
  ApplyMachines(state, machines, now);
}

AdmissionResult Fleet::Submit(const workload::JobSpec& spec) {
  const AdmissionResult result = scheduler::Submit(state, spec, now, wall);
  ConfirmSubmission(state, spec.id);
  return result;
}

void Fleet::Report(const core::HostId& host) {
  const auto known = state.hosts.find(host);
  if (known == state.hosts.end()) {
    return;
  }
  // The holder stores a token and raises it before it calls the host.
  if (known->second.needs_token) {
    RaiseToken(state, core::Next(state.token));
  }
  HostReport report;
  report.host = host;
  report.token = known->second.token;
  report.incarnation = known->second.listing.incarnation;
  report.asked = now;
  for (const Running& run : running) {
    if (run.host == host) {
      report.running.push_back({run.name, "", 100, 0});
    }
  }
  report.ended = ends[host];
  OnReport(state, report, now, wall);
}

void Fleet::Execute(const Order& order) {
  if (const auto* repeat = std::get_if<RepeatStart>(&order)) {
    Execute(
        StartRun{repeat->run, repeat->host, repeat->name, repeat->checkpoint});
  } else if (const auto* start = std::get_if<StartRun>(&order)) {
    if (send_starts) {
      OnStartSent(state, start->run, now);
    }
    if (!send_starts || !execute_starts) {
      return;
    }
    const auto found = state.runs.find(start->run);
    if (found == state.runs.end()) {
      return;
    }
    if (unresponsive.contains(start->host)) {
      OnStartAnswer(state, start->run, StartOutcome::kNoAnswer, now);
      return;
    }
    const bool exists =
        std::any_of(running.begin(), running.end(), [&](const Running& run) {
          return run.name == start->name && run.host == start->host;
        });
    if (exists) {
      OnStartAnswer(state, start->run, StartOutcome::kStarted, now);
      return;
    }
    const scheduler::Run& run = found->second;
    const core::Millis span =
        run.permanent ? core::Millis(3'600'000)
                      : (run_time.count() > 0 ? run_time : run.estimate);
    running.push_back({start->name, start->host, now + span});
    OnStartAnswer(state, start->run, StartOutcome::kStarted, now);
  } else if (const auto* stop = std::get_if<StopRun>(&order)) {
    for (Running& run : running) {
      if (run.name == stop->name && run.host == stop->host) {
        run.end = now;
        run.kind = EndKind::kStopped;
      }
    }
    const auto host = state.hosts.find(stop->host);
    if (host != state.hosts.end()) {
      OnStopConfirmed(state, stop->host, host->second.listing.incarnation,
                      stop->name, now);
    }
  } else if (!execute_machine_orders) {
    return;
  } else if (const auto* move = std::get_if<MoveMachine>(&order)) {
    OnMachineAnswer(state, move->machine, nullptr, MachineOutcome::kDone, now);
    for (MachineListing& machine : machines) {
      if (machine.id == move->machine) {
        TakeDown(machine, now + kMoveDuration);
        machine.pool = move->pool;
        machine.state = MachineState::kMoving;
      }
    }
  } else if (const auto* upkeep = std::get_if<UpkeepMachine>(&order)) {
    OnMachineAnswer(state, upkeep->machine, &upkeep->wave,
                    MachineOutcome::kDone, now);
    for (MachineListing& machine : machines) {
      if (machine.id == upkeep->machine && upkeep_duration.count() > 0) {
        TakeDown(machine, now + upkeep_duration);
        machine.state = MachineState::kUpkeep;
      }
    }
  }
}

void Fleet::TakeDown(MachineListing& machine, core::MonotonicTime until) {
  returns_at[machine.id] = until;
  std::erase_if(listings, [&](const HostListing& listing) {
    return listing.id == machine.host;
  });
  std::erase_if(running,
                [&](const Running& run) { return run.host == machine.host; });
}

void Fleet::EndRunsAndMoves() {
  for (auto it = running.begin(); it != running.end();) {
    if (it->end <= now) {
      auto& list = ends[it->host];
      list.push_back({{list.size() + 1}, it->name, it->kind, ""});
      it = running.erase(it);
    } else {
      ++it;
    }
  }
  bool returned = false;
  for (MachineListing& machine : machines) {
    const auto back = returns_at.find(machine.id);
    if (back == returns_at.end() || back->second > now) {
      continue;
    }
    returns_at.erase(back);
    machine.state = MachineState::kUp;
    machine.host.value += "+";
    const auto pool = state.catalog.pools.find(machine.pool);
    if (pool == state.catalog.pools.end() || !pool->second.standby) {
      HostListing listing;
      listing.id = machine.host;
      listing.incarnation.value = 1;
      listing.address = {"10.0.0.1", 8080};
      listing.pool = machine.pool;
      listing.rack.value = "r1";
      listing.labels = {"a", "r1"};
      listing.capacity = machine.capacity;
      listings.push_back(listing);
    }
    returned = true;
  }
  if (returned) {
    Publish();
  }
}

void Fleet::Step() {
  EndRunsAndMoves();
  for (const HostListing& listing : listings) {
    if (!unresponsive.contains(listing.id)) {
      Report(listing.id);
    }
  }
  Plan(state, now, wall);
  const std::vector<Order> orders = std::exchange(state.orders, {});
  for (const Order& order : orders) {
    sent.push_back(order);
    Execute(order);
  }
  for (const core::JobId& id : std::exchange(state.unsaved, {})) {
    const auto job = state.jobs.find(id);
    if (job != state.jobs.end()) {
      ConfirmProgress(state, id, job->second.state, now);
    }
  }
}

void Fleet::Advance(core::Millis span) {
  const core::MonotonicTime end = now + span;
  while (now < end) {
    now += kStep;
    wall += kStep;
    Step();
  }
}

std::size_t Fleet::CountStarts(const std::string& job) const {
  return static_cast<std::size_t>(
      std::count_if(sent.begin(), sent.end(), [&](const Order& order) {
        const auto* start = std::get_if<StartRun>(&order);
        return start != nullptr && start->name.job.value == job;
      }));
}

workload::JobSpec MakeJob(std::uint64_t number, const std::string& queue,
                          std::uint32_t tasks, std::int64_t cores,
                          core::Millis estimate) {
  constexpr std::size_t kIdBytes = 17;
  char id[kIdBytes];
  std::snprintf(id, sizeof(id), "%016llx",
                static_cast<unsigned long long>(number));  // NOLINT
  workload::JobSpec spec;
  spec.id.value = id;
  spec.queue.value = queue;
  workload::Step step;
  step.count = tasks;
  step.size = {{cores * kMilliCores}, {1000}, {0}};
  step.estimate = estimate;
  spec.steps = {step};
  return spec;
}

}  // namespace camphormux::scheduler
