#include "bench/capacity/alternatives.hpp"

#include <algorithm>
#include <optional>

#include <boost/graph/adjacency_list.hpp>
#include <boost/graph/successive_shortest_path_nonnegative_weights.hpp>
#include <boost/range/iterator_range.hpp>

namespace camphormux::bench {
namespace {

using Traits =
    boost::adjacency_list_traits<boost::vecS, boost::vecS, boost::directedS>;
using EdgeProperty = boost::property<
    boost::edge_capacity_t, long,
    boost::property<
        boost::edge_residual_capacity_t, long,
        boost::property<boost::edge_reverse_t, Traits::edge_descriptor,
                        boost::property<boost::edge_weight_t, long>>>>;
using Graph = boost::adjacency_list<boost::vecS, boost::vecS, boost::directedS,
                                    boost::no_property, EdgeProperty>;

void AddEdge(Graph& graph, std::size_t from, std::size_t to, long capacity,
             long weight) {
  const auto forward = boost::add_edge(from, to, graph).first;
  const auto backward = boost::add_edge(to, from, graph).first;
  boost::put(boost::edge_capacity, graph, forward, capacity);
  boost::put(boost::edge_capacity, graph, backward, 0);
  boost::put(boost::edge_weight, graph, forward, weight);
  boost::put(boost::edge_weight, graph, backward, -weight);
  boost::put(boost::edge_reverse, graph, forward, backward);
  boost::put(boost::edge_reverse, graph, backward, forward);
}

/// Number of hosts moved, by supplying and receiving pool.
using Flow = std::vector<std::vector<int>>;

Flow GreedyFlow(const TransportProblem& problem) {
  std::vector<int> left = problem.surplus;
  Flow flow(left.size(), std::vector<int>(problem.deficit.size(), 0));
  for (std::size_t to = 0; to < problem.deficit.size(); ++to) {
    for (int missing = problem.deficit[to]; missing > 0; --missing) {
      std::optional<std::size_t> best;
      for (std::size_t from = 0; from < left.size(); ++from) {
        const bool better =
            left[from] > 0 &&
            (!best || problem.cost[from][to] < problem.cost[*best][to]);
        best = better ? std::optional(from) : best;
      }
      if (!best) {
        break;
      }
      --left[*best];
      ++flow[*best][to];
    }
  }
  return flow;
}

TransportResult ResultOf(const TransportProblem& problem, const Flow& flow) {
  TransportResult result;
  for (std::size_t from = 0; from < flow.size(); ++from) {
    for (std::size_t to = 0; to < flow[from].size(); ++to) {
      result.moved += flow[from][to];
      result.cost += static_cast<long>(flow[from][to]) * problem.cost[from][to];
    }
  }
  return result;
}

/// Swaps the receivers of suppliers `a` and `b` for as many hosts as possible,
/// wherever that lowers the cost. Returns whether the flow has changed.
bool SwapReceivers(const TransportProblem& problem, Flow& flow, std::size_t a,
                   std::size_t b) {
  bool improved = false;
  for (std::size_t s = 0; s < problem.deficit.size(); ++s) {
    for (std::size_t t = 0; t < problem.deficit.size() && flow[a][s] > 0; ++t) {
      const int gain = problem.cost[a][s] + problem.cost[b][t] -
                       problem.cost[a][t] - problem.cost[b][s];
      const int count = std::min(flow[a][s], flow[b][t]);
      if (s == t || gain <= 0 || count == 0) {
        continue;
      }
      flow[a][s] -= count;
      flow[b][t] -= count;
      flow[a][t] += count;
      flow[b][s] += count;
      improved = true;
    }
  }
  return improved;
}

}  // namespace

TransportProblem GenerateTransportProblem(int pools, int hosts,
                                          core::Random& random) {
  constexpr std::uint64_t kCosts = 20;
  TransportProblem problem;
  const int suppliers = pools / 2;
  const int moving = std::max(1, hosts / 10);
  problem.surplus.assign(static_cast<std::size_t>(suppliers), 0);
  problem.deficit.assign(static_cast<std::size_t>(pools - suppliers), 0);
  for (int i = 0; i < moving; ++i) {
    ++problem.surplus[core::UniformBelow(random, problem.surplus.size())];
    ++problem.deficit[core::UniformBelow(random, problem.deficit.size())];
  }
  problem.cost.resize(problem.surplus.size());
  for (std::vector<int>& row : problem.cost) {
    for (std::size_t to = 0; to < problem.deficit.size(); ++to) {
      row.push_back(1 + static_cast<int>(core::UniformBelow(random, kCosts)));
    }
  }
  return problem;
}

TransportResult SolveGreedy(const TransportProblem& problem) {
  return ResultOf(problem, GreedyFlow(problem));
}

TransportResult SolveLocalSearch(const TransportProblem& problem) {
  Flow flow = GreedyFlow(problem);
  bool improved = true;
  while (improved) {
    improved = false;
    for (std::size_t a = 0; a < flow.size(); ++a) {
      for (std::size_t b = 0; b < flow.size(); ++b) {
        improved = (a != b && SwapReceivers(problem, flow, a, b)) || improved;
      }
    }
  }
  return ResultOf(problem, flow);
}

TransportResult SolveMinCostFlow(const TransportProblem& problem) {
  const std::size_t suppliers = problem.surplus.size();
  const std::size_t receivers = problem.deficit.size();
  const std::size_t source = suppliers + receivers;
  const std::size_t sink = source + 1;
  Graph graph(sink + 1);
  for (std::size_t from = 0; from < suppliers; ++from) {
    AddEdge(graph, source, from, problem.surplus[from], 0);
    for (std::size_t to = 0; to < receivers; ++to) {
      AddEdge(graph, from, suppliers + to, problem.surplus[from],
              problem.cost[from][to]);
    }
  }
  for (std::size_t to = 0; to < receivers; ++to) {
    AddEdge(graph, suppliers + to, sink, problem.deficit[to], 0);
  }
  boost::successive_shortest_path_nonnegative_weights(graph, source, sink);
  TransportResult result;
  for (const auto& edge : boost::make_iterator_range(boost::edges(graph))) {
    const long flow = boost::get(boost::edge_capacity, graph, edge) -
                      boost::get(boost::edge_residual_capacity, graph, edge);
    if (flow > 0) {
      result.cost += flow * boost::get(boost::edge_weight, graph, edge);
      result.moved +=
          boost::source(edge, graph) == source ? static_cast<int>(flow) : 0;
    }
  }
  return result;
}

}  // namespace camphormux::bench
