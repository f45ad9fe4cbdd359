#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "camphormux/controller/status.hpp"
#include "camphormux/state/fold.hpp"

namespace camphormux::controller {
namespace internal {

using nlohmann::json;

template <typename Id>
json Names(const std::vector<Id>& ids) {
  json list = json::array();
  for (const Id& id : ids) {
    list.push_back(id.value);
  }
  return list;
}

template <typename Id>
std::string Joined(const std::vector<Id>& ids) {
  std::string text;
  for (const Id& id : ids) {
    text.append(text.empty() ? "" : ", ").append(id.value);
  }
  return text.empty() ? "none" : text;
}

std::string FormatTime(core::WallTime time) {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(time)));
}

json LeasesJson(const FleetStatus& status) {
  json list = json::array();
  for (const auto& [zone, lease] : status.leases) {
    list.push_back({{"zone", zone.value},
                    {"holder", lease.holder.value},
                    {"epoch", lease.epoch.value}});
  }
  return list;
}

json PoolsJson(const FleetStatus& status) {
  json list = json::array();
  for (const PoolStatus& pool : status.pools) {
    list.push_back({{"pool", pool.pool.value},
                    {"assigned", pool.assigned},
                    {"admitted", pool.admitted},
                    {"draining", pool.draining},
                    {"empty", pool.empty}});
  }
  return list;
}

json MovesJson(const FleetStatus& status) {
  json list = json::array();
  for (const MoveStatus& move : status.moves) {
    list.push_back({{"host", move.host.value},
                    {"zone", move.zone.value},
                    {"pool", move.pool.value},
                    {"phase", move.phase},
                    {"reason", move.reason}});
  }
  return list;
}

json MaintenanceJson(const MaintenanceStatus& status) {
  json body{{"hosts", status.hosts},
            {"done", status.done},
            {"in_progress", status.in_progress},
            {"postponed", status.postponed},
            {"on_time", status.on_time},
            {"hosts_per_day_needed", status.hosts_per_day_needed},
            {"forecast", nullptr}};
  if (status.forecast) {
    body["forecast"] = {{"late_hosts", status.forecast->late_hosts},
                        {"host", status.forecast->host.value},
                        {"deadline", FormatTime(status.forecast->deadline)},
                        {"expected", FormatTime(status.forecast->expected)}};
  }
  return body;
}

json ShortfallsJson(const FleetStatus& status) {
  json list = json::array();
  for (const moves::Shortfall& shortfall : status.shortfalls) {
    list.push_back({{"pool", shortfall.pool.value},
                    {"hosts", shortfall.hosts},
                    {"needed", shortfall.needed}});
  }
  return list;
}

std::string MaintenanceText(const MaintenanceStatus& status) {
  std::string text = fmt::format(
      "maintenance: {} of {} hosts in the period, {} in progress, {} "
      "postponed, {}; the rest needs {:.1f} hosts a day\n",
      status.done, status.hosts, status.in_progress, status.postponed,
      status.on_time ? "on time" : "late", status.hosts_per_day_needed);
  if (status.forecast) {
    text += fmt::format(
        "maintenance forecast: {} hosts late; {} is due {} and expected {}\n",
        status.forecast->late_hosts, status.forecast->host.value,
        FormatTime(status.forecast->deadline),
        FormatTime(status.forecast->expected));
  }
  return text;
}

json JobsJson(const dispatch::JobCounts& jobs) {
  return {{"open", jobs.open},
          {"unclaimed", jobs.unclaimed},
          {"queued", jobs.queued},
          {"running", jobs.running},
          {"held_back", jobs.held_back},
          {"impossible", jobs.impossible},
          {"unconfirmed", jobs.unconfirmed},
          {"quarantined_workers", Names(jobs.quarantined)}};
}

std::string JobsText(const dispatch::JobCounts& jobs) {
  return fmt::format(
      "jobs: {} open in all zones, {} not taken; here {} queued, {} "
      "running, "
      "{} held back, {} impossible, {} unconfirmed\n"
      "quarantined workers: {}\n",
      jobs.open, jobs.unclaimed, jobs.queued, jobs.running, jobs.held_back,
      jobs.impossible, jobs.unconfirmed, Joined(jobs.quarantined));
}

json HostJson(const state::Host& host) {
  return {{"id", host.id.value},
          {"zone", host.zone.value},
          {"rack", host.rack.value},
          {"address", host.address.ip},
          {"port", host.address.port},
          {"phase", Describe(host.phase)},
          {"drain_reason", Describe(host.drain_reason)},
          {"pool", host.pool ? json(host.pool->value) : json(nullptr)},
          {"generation", host.generation.value},
          {"phase_offset", host.phase_offset.value}};
}

}  // namespace internal

std::string StatusText(const FleetStatus& status) {
  std::string text = fmt::format(
      "controller {} of zone {}: {}\n"
      "revision {}, offset {}, digest {}, skipped records {}\n",
      status.process.value, status.zone.value,
      status.idle.empty() ? "decides" : "no decisions: " + status.idle,
      status.revision.value, status.offset.value,
      state::FormatDigest(status.digest), status.skipped_records);
  for (const auto& [zone, lease] : status.leases) {
    text += fmt::format("lease of {}: {}, epoch {}\n", zone.value,
                        lease.holder.value, lease.epoch.value);
  }
  text += fmt::format("{:<20} {:>8} {:>8} {:>8} {:>8}\n", "pool", "assigned",
                      "admitted", "draining", "empty");
  for (const PoolStatus& pool : status.pools) {
    text +=
        fmt::format("{:<20} {:>8} {:>8} {:>8} {:>8}\n", pool.pool.value,
                    pool.assigned, pool.admitted, pool.draining, pool.empty);
  }
  text += fmt::format("hosts without a pool: {}\n", status.released);
  for (const MoveStatus& move : status.moves) {
    text += fmt::format("host {} in {}: {} in pool {}, reason {}\n",
                        move.host.value, move.zone.value, move.phase,
                        move.pool.value, move.reason);
  }
  for (const moves::Shortfall& shortfall : status.shortfalls) {
    text += fmt::format("pool {} in {}: {} of {} needed hosts\n",
                        shortfall.pool.value, status.zone.value,
                        shortfall.hosts, shortfall.needed);
  }
  text += internal::MaintenanceText(status.maintenance);
  text += internal::JobsText(status.jobs);
  text += fmt::format("hosts missing from the platform's list: {}\n",
                      internal::Joined(status.missing));
  text += fmt::format("zones cut off: {}\n", internal::Joined(status.cut_off));
  return text;
}

std::string StatusJson(const FleetStatus& status) {
  const nlohmann::json body{
      {"process", status.process.value},
      {"zone", status.zone.value},
      {"deciding", status.idle.empty()},
      {"idle_reason", status.idle},
      {"revision", status.revision.value},
      {"offset", status.offset.value},
      {"digest", state::FormatDigest(status.digest)},
      {"skipped_records", status.skipped_records},
      {"released", status.released},
      {"missing", internal::Names(status.missing)},
      {"cut_off_zones", internal::Names(status.cut_off)},
      {"leases", internal::LeasesJson(status)},
      {"pools", internal::PoolsJson(status)},
      {"moves", internal::MovesJson(status)},
      {"shortfalls", internal::ShortfallsJson(status)},
      {"maintenance", internal::MaintenanceJson(status.maintenance)},
      {"jobs", internal::JobsJson(status.jobs)}};
  return body.dump(2);
}

std::string StateJson(const state::FleetState& state) {
  nlohmann::json hosts = nlohmann::json::array();
  for (const auto& [id, host] : state.hosts) {
    hosts.push_back(internal::HostJson(host));
  }
  const nlohmann::json body{
      {"offset", state.next.value},
      {"digest", state::FormatDigest(state::Digest(state))},
      {"revision", state.text.revision.value},
      {"hosts", std::move(hosts)}};
  return body.dump(2);
}

}  // namespace camphormux::controller
