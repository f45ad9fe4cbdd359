#include "test/ops/metric_names.hpp"

#include <regex>

namespace camphormux::ops {
namespace internal {

MetricKind KindOf(const std::string& function) {
  if (function == "AddCounter") {
    return MetricKind::kCounter;
  }
  return function == "AddGauge" ? MetricKind::kGauge : MetricKind::kHistogram;
}

using Matches = std::sregex_iterator;

}  // namespace internal

std::set<Metric> RegisteredMetrics(std::string source) {
  using internal::Matches;
  if (source.find("\"camphormux_") == std::string::npos) {
    return {};
  }
  source = std::regex_replace(source, std::regex(R"(\s+)"), " ");
  std::set<Metric> metrics;
  const std::regex literal_name(
      R"re((Add\w+)\( ?\*?\w+, "(camphormux_\w*[^_\W])",)re");
  for (Matches i(source.begin(), source.end(), literal_name), end; i != end;
       ++i) {
    metrics.insert({(*i)[2], internal::KindOf((*i)[1])});
  }
  const std::regex composed_name(
      R"re((\w+)(?: = \[&\])?\([^;]{0,300}\) \{ return &?telemetry::(Add\w+)\()re"
      R"re( ?\w+, "(camphormux_(?:\w+_)?)" \+ name(?: \+ "(\w+)")?,)re");
  for (Matches i(source.begin(), source.end(), composed_name), end; i != end;
       ++i) {
    const std::regex call("\\b" + (*i)[1].str() +
                          R"re(\( ?(?:registry, )?"(\w+)")re");
    for (Matches j(source.begin(), source.end(), call); j != end; ++j) {
      const std::string name = (*i)[3].str() + (*j)[1].str() + (*i)[4].str();
      metrics.insert({name, internal::KindOf((*i)[2])});
    }
  }
  return metrics;
}

std::set<std::string> UsedMetrics(std::string expression) {
  const std::regex not_metrics(
      R"re("[^"]*"|\{[^}]*\}|\[[^\]]*\]|)re"
      R"re(\b(by|without|on|ignoring|group_left|group_right) ?\([^)]*\)|)re"
      R"re(\b(and|or|unless|bool|offset)\b|\b\d\w*)re");
  const std::regex functions(R"(\w+ *(?=\())");
  expression = std::regex_replace(expression, not_metrics, " ");
  expression = std::regex_replace(expression, functions, " ");
  std::set<std::string> names;
  const std::regex identifier(R"([A-Za-z_:][\w:]*)");
  for (internal::Matches i(expression.begin(), expression.end(), identifier),
       end;
       i != end; ++i) {
    names.insert(i->str());
  }
  return names;
}

}  // namespace camphormux::ops
