#include "test/coordinator/fake_platform.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace camphormux::coordinator {
namespace {

constexpr core::Millis kHostCallDelay{1};
constexpr core::Millis kStoreCallDelay{5};
constexpr std::size_t kRecordBytes = 262'144;
constexpr std::int64_t kHostMillicores = 64'000;
constexpr std::int64_t kHostMemoryMib = 262'144;

std::string KeyOf(const scheduler::RunName& name) {
  return name.job.value + "." + std::to_string(name.place.step) + "." +
         std::to_string(name.place.index) + "." + std::to_string(name.attempt);
}

}  // namespace

Authority UnlimitedAuthority() {
  return {[] { return true; }, [] { return core::Millis(3'600'000); },
          [] { return core::Millis(0); }};
}

FakePlatform::FakePlatform(asio::io_context& loop, std::size_t hosts,
                           core::Millis run_time)
    : loop_(loop), run_time_(run_time) {
  for (std::size_t i = 0; i < hosts; ++i) {
    hosts_[{"i-" + std::to_string(i)}];
  }
}

void FakePlatform::RunAfter(core::Millis delay, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(loop_, delay);
  timer->async_wait(
      [timer, action = std::move(action)](const asio::error_code& error) {
        if (!error) {
          action();
        }
      });
}

std::vector<scheduler::HostListing> FakePlatform::Listings() const {
  std::vector<scheduler::HostListing> listings;
  for (const auto& [id, host] : hosts_) {
    scheduler::HostListing listing;
    listing.id = id;
    listing.incarnation.value = 1;
    listing.address = {"127.0.0.1", 1};
    listing.pool.value = "pool";
    listing.rack.value = "r1";
    listing.capacity = {{kHostMillicores}, {kHostMemoryMib}, {0}};
    listings.push_back(std::move(listing));
  }
  return listings;
}

std::vector<scheduler::MachineListing> FakePlatform::Machines() const {
  std::vector<scheduler::MachineListing> machines;
  for (const scheduler::HostListing& host : Listings()) {
    machines.push_back({{"m-" + host.id.value},
                        host.pool,
                        scheduler::MachineState::kUp,
                        host.id,
                        host.capacity});
  }
  return machines;
}

RenewAnswer FakePlatform::Report(const FakeHost& host) const {
  RenewAnswer answer;
  answer.outcome = CallOutcome::kDone;
  answer.clock_ms = core::MonotonicNow().time_since_epoch().count();
  for (const auto& [key, run] : host.running) {
    answer.running.push_back(run);
  }
  answer.ended.assign(host.ended.begin(), host.ended.end());
  return answer;
}

void FakePlatform::Start(const StartCall& call,
                         std::function<void(StartAnswer)> done) {
  ++starts_;
  const std::string key = KeyOf(call.name);
  FakeHost& host = hosts_[call.target.host];
  host.running[key] = {call.name, "", 0, 0};
  RunAfter(kHostCallDelay, [done = std::move(done)] {
    done({scheduler::StartOutcome::kStarted,
          core::MonotonicNow().time_since_epoch().count()});
  });
  RunAfter(run_time_, [this, id = call.target.host, key] { EndRun(id, key); });
}

void FakePlatform::EndRun(const core::HostId& id, const std::string& key) {
  FakeHost& host = hosts_[id];
  const auto run = host.running.extract(key);
  if (run.empty()) {
    return;
  }
  host.ended.push_back(
      {{++host.last_end}, run.mapped().name, scheduler::EndKind::kDone, ""});
  if (host.waiting) {
    const auto done = std::exchange(host.waiting, nullptr);
    RunAfter(kHostCallDelay, [this, &host, done] { done(Report(host)); });
  }
}

void FakePlatform::Renew(const RenewCall& call,
                         std::function<void(RenewAnswer)> done) {
  FakeHost& host = hosts_[call.target.host];
  while (!host.ended.empty() &&
         host.ended.front().number <= call.acknowledged) {
    host.ended.pop_front();
  }
  if (call.wait.count() > 0 && host.ended.empty()) {
    host.waiting = std::move(done);
    return;
  }
  RunAfter(kHostCallDelay,
           [this, &host, done = std::move(done)] { done(Report(host)); });
}

AppendOutcome FakePlatform::Append(const std::vector<StoreRecord>& records) {
  for (const StoreRecord& record : records) {
    stored_bytes_ += record.value ? record.value->size() : 0;
  }
  if (store_down_) {
    return AppendOutcome::kNotStored;
  }
  const bool accepted = std::all_of(
      records.begin(), records.end(), [](const StoreRecord& record) {
        return !record.value ||
               1 + record.key.size() + record.value->size() <= kRecordBytes;
      });
  if (!accepted) {
    return AppendOutcome::kRejected;
  }
  for (const StoreRecord& record : records) {
    if (record.value) {
      records_[record.key] = *record.value;
    } else {
      records_.erase(record.key);
    }
  }
  return AppendOutcome::kStored;
}

Ports FakePlatform::MakePorts() {
  Ports ports;
  ports.store.fence = [this](core::Epoch,
                             const std::function<void(AppendOutcome)>& done) {
    RunAfter(kStoreCallDelay, [done] { done(AppendOutcome::kStored); });
  };
  ports.store.append = [this](core::Epoch, std::uint64_t,
                              const std::vector<StoreRecord>& records,
                              const std::function<void(AppendOutcome)>& done) {
    const AppendOutcome outcome = Append(records);
    RunAfter(kStoreCallDelay, [done, outcome] { done(outcome); });
  };
  ports.store.load = [this](auto done) {
    std::vector<StoreRecord> records;
    for (const auto& [key, value] : records_) {
      records.push_back({key, value});
    }
    RunAfter(kStoreCallDelay, [done, records] { done(records); });
  };
  ports.store.publish_wave = [](auto, bool, auto) {};
  ports.host.start = [this](const StartCall& call, auto done) {
    Start(call, std::move(done));
  };
  ports.host.renew = [this](const RenewCall& call, auto done) {
    Renew(call, std::move(done));
  };
  ports.host.stop = [](const HostTarget&, const scheduler::RunName&, auto) {};
  ports.host.pace = [](const HostTarget&, const scheduler::RunName&, int,
                       auto) {};
  ports.cloud.list = [this](auto done) {
    RunAfter(kHostCallDelay, [this, done] { done(Machines()); });
  };
  ports.cloud.move = [this](const scheduler::MoveMachine& order, core::Epoch,
                            auto done) {
    moves_.push_back(order);
    RunAfter(kHostCallDelay,
             [done] { done(scheduler::MachineOutcome::kBusy); });
  };
  ports.cloud.upkeep = [](const scheduler::UpkeepMachine&, core::Epoch, auto) {
  };
  return ports;
}

}  // namespace camphormux::coordinator
