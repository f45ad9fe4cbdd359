#include "camphormux/dispatch/runner.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "camphormux/jobs/codec.hpp"
#include "camphormux/jobs/reader.hpp"
#include "camphormux/log/appender.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::dispatch {
namespace internal {

/// The platform's usage data lags, so shorter periods give no newer data.
constexpr core::Millis kUsagePeriod = std::chrono::seconds(1);
/// Limits the load on the platform when a new holder lists a whole zone.
constexpr std::size_t kMaxListsInFlight = 64;
/// Keeps an entry of the log far below the log's limit of 1 MiB.
constexpr std::size_t kMaxRecordsPerEntry = 100;

const char* Describe(DriverPhase phase) {
  switch (phase) {
    case DriverPhase::kIdle:
      return "idle";
    case DriverPhase::kAnnouncing:
      return "announcing";
    case DriverPhase::kFencing:
      return "fencing";
    case DriverPhase::kListing:
      return "listing";
    case DriverPhase::kRunning:
      return "running";
  }
  return "unknown";
}

}  // namespace internal

struct Runner::Impl : std::enable_shared_from_this<Runner::Impl> {
  Impl(asio::io_context& loop, const log::LogPort& log, TaskPort task_port,
       core::ZoneName own_zone, core::Millis kept)
      : reader(loop, log),
        appender(loop, log, log::kJobStream),
        tasks(std::move(task_port)),
        zone(std::move(own_zone)),
        retention(kept) {}

  void RequestUsage(core::MonotonicTime now);
  void RequestNextLists();
  void Execute(const DriverOutput& output);
  void LogPhase(DriverPhase before) const;

  jobs::Reader reader;
  log::Appender appender;
  TaskPort tasks;
  core::ZoneName zone;
  core::Millis retention;
  Driver driver;
  std::vector<TaskAnswer> answers;
  std::vector<HostTasks> reports;
  std::vector<core::HostId> list_requests;  ///< Not sent yet.
  std::size_t lists_in_flight = 0;
  bool usage_in_flight = false;
  core::MonotonicTime usage_requested_at;
};

void Runner::Impl::RequestUsage(core::MonotonicTime now) {
  if (usage_in_flight || now - usage_requested_at < internal::kUsagePeriod)
    return;
  usage_in_flight = true;
  usage_requested_at = now;
  tasks.usage(zone, [weak = weak_from_this()](
                        std::optional<std::vector<HostTasks>> list) {
    const auto self = weak.lock();
    if (!self) return;
    self->usage_in_flight = false;
    if (!list) return;
    for (HostTasks& host : *list) self->reports.push_back(std::move(host));
  });
}

void Runner::Impl::RequestNextLists() {
  while (!list_requests.empty() &&
         lists_in_flight < internal::kMaxListsInFlight) {
    const core::HostId host = std::move(list_requests.back());
    list_requests.pop_back();
    ++lists_in_flight;
    tasks.list(host, [weak = weak_from_this()](std::optional<HostTasks> list) {
      const auto self = weak.lock();
      if (!self) return;
      --self->lists_in_flight;
      if (list) self->reports.push_back(std::move(*list));
      self->RequestNextLists();
    });
  }
}

void Runner::Impl::Execute(const DriverOutput& output) {
  const std::vector<jobs::Record>& records = output.records;
  for (std::size_t first = 0; first < records.size();
       first += internal::kMaxRecordsPerEntry) {
    const auto begin = records.begin() + static_cast<std::ptrdiff_t>(first);
    const std::size_t count =
        std::min(internal::kMaxRecordsPerEntry, records.size() - first);
    // Failures need no handling: the driver repeats records that it does not
    // read from the log.
    appender.Append(jobs::EncodeRecords(
                        {begin, begin + static_cast<std::ptrdiff_t>(count)}),
                    [](const log::AppendResult&) {});
  }
  for (const TaskCall& call : output.calls) {
    tasks.send(call, [weak = weak_from_this()](TaskAnswer answer) {
      if (const auto self = weak.lock()) {
        self->answers.push_back(std::move(answer));
      }
    });
  }
  for (const core::HostId& host : output.list_requests) {
    if (std::find(list_requests.begin(), list_requests.end(), host) ==
        list_requests.end()) {
      list_requests.push_back(host);
    }
  }
  RequestNextLists();
}

void Runner::Impl::LogPhase(DriverPhase before) const {
  if (driver.phase == before) return;
  telemetry::Log(telemetry::Level::kInfo, "job placement changed phase",
                 {{"phase", internal::Describe(driver.phase)},
                  {"epoch", std::to_string(driver.epoch.value)},
                  {"adopted_tasks", std::to_string(driver.adopted)}});
}

Runner::Runner(asio::io_context& loop, const log::LogPort& log, TaskPort tasks,
               core::ZoneName zone, core::Millis retention)
    : impl_(std::make_shared<Impl>(loop, log, std::move(tasks), std::move(zone),
                                   retention)) {}

Runner::~Runner() = default;

void Runner::Start() { impl_->reader.Start(); }

void Runner::Step(const Situation& situation, core::MonotonicTime now) {
  Impl& own = *impl_;
  if (own.driver.phase == DriverPhase::kRunning) own.RequestUsage(now);
  const DriverInput input{situation.state,
                          own.reader.fold(),
                          own.zone,
                          situation.lease,
                          own.reader.TakeChanged(),
                          situation.missing,
                          situation.cut_off,
                          std::exchange(own.answers, {}),
                          std::exchange(own.reports, {}),
                          own.retention,
                          now};
  const DriverPhase before = own.driver.phase;
  const DriverOutput output = dispatch::Step(input, own.driver);
  own.LogPhase(before);
  own.Execute(output);
}

std::set<core::HostId> Runner::BusyHosts(const state::FleetState& state) const {
  std::set<core::HostId> busy;
  for (const auto& [id, host] : state.hosts) {
    if (host.zone == impl_->zone && host.phase == state::HostPhase::kDraining &&
        !IsFreeOfTasks(impl_->driver, id)) {
      busy.insert(id);
    }
  }
  return busy;
}

const jobs::Fold& Runner::fold() const { return impl_->reader.fold(); }

const Driver& Runner::driver() const { return impl_->driver; }

std::size_t Runner::unconfirmed() const { return impl_->appender.queued(); }

}  // namespace camphormux::dispatch
