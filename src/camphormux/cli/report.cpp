#include "camphormux/cli/report.hpp"

#include <fmt/format.h>

namespace camphormux::cli {

using nlohmann::json;

json FindingsJson(const std::vector<text::Finding>& findings) {
  json list = json::array();
  for (const text::Finding& finding : findings) {
    list.push_back({{"kind", text::NameOf(finding.kind)},
                    {"key", finding.key},
                    {"found", finding.found},
                    {"expected", finding.expected}});
  }
  return list;
}

std::string FindingsText(const std::string& file,
                         const std::vector<text::Finding>& findings) {
  std::string lines;
  for (const text::Finding& finding : findings) {
    lines += fmt::format("{}: {}: {}: found {}, expected {}\n", file,
                         finding.key, text::NameOf(finding.kind), finding.found,
                         finding.expected);
  }
  return lines;
}

json EffectJson(const text::TextDiff& diff) {
  json keys = json::array();
  for (const text::KeyChange& change : diff.keys) {
    keys.push_back({{"key", change.key},
                    {"before", change.before},
                    {"after", change.after}});
  }
  json pools = json::array();
  for (const text::PoolChange& change : diff.pools) {
    pools.push_back({{"pool", change.pool.value},
                     {"hosts", change.hosts},
                     {"required", change.required}});
  }
  json under_budget = json::array();
  for (const text::UnderBudget& service : diff.under_budget) {
    under_budget.push_back({{"service", service.service.value},
                            {"hosts", service.hosts},
                            {"min_hosts", service.min_hosts}});
  }
  return {{"keys", keys},
          {"pools", pools},
          {"hosts_moved", diff.hosts_moved},
          {"under_budget", under_budget}};
}

std::string EffectText(const text::TextDiff& diff) {
  std::string lines =
      fmt::format("hosts that change pools (minimum): {}\n", diff.hosts_moved);
  for (const text::PoolChange& change : diff.pools) {
    lines += fmt::format("pool {}: {} hosts, {} required\n", change.pool.value,
                         change.hosts, change.required);
  }
  for (const text::UnderBudget& service : diff.under_budget) {
    lines +=
        fmt::format("service {} is below min_hosts: {} of {} hosts\n",
                    service.service.value, service.hosts, service.min_hosts);
  }
  return lines;
}

}  // namespace camphormux::cli
