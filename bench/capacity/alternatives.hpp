#ifndef BENCH_CAPACITY_ALTERNATIVES_HPP_
#define BENCH_CAPACITY_ALTERNATIVES_HPP_

#include <vector>

#include "camphormux/core/random.hpp"

namespace camphormux::bench {

/// @brief A transportation problem: which pools with surplus hosts give them to
/// which pools that lack hosts, at the lowest total cost.
struct TransportProblem {
  std::vector<int> surplus;  ///< Hosts to give, by supplying pool.
  std::vector<int> deficit;  ///< Hosts that are missing, by receiving pool.
  /// Cost of moving one host, by supplying and receiving pool.
  std::vector<std::vector<int>> cost;
};

/// @brief Number of hosts moved and total cost of a solution.
struct TransportResult {
  int moved = 0;
  long cost = 0;
};

/// @brief Generates a random transportation problem.
/// @param pools Number of pools; half of them lack hosts.
/// @param hosts Number of hosts; about a tenth of them move.
/// @param random Source of randomness.
/// @return The problem.
[[nodiscard]] TransportProblem GenerateTransportProblem(int pools, int hosts,
                                                        core::Random& random);

/// @brief Greedy heuristic: fills each deficit in turn from its cheapest
/// supplier that has surplus left.
/// @param problem The problem.
/// @return Hosts moved and their cost.
[[nodiscard]] TransportResult SolveGreedy(const TransportProblem& problem);

/// @brief Local search that starts from the greedy solution and swaps the
/// receivers of two suppliers while that lowers the cost.
/// @param problem The problem.
/// @return Hosts moved and their cost.
[[nodiscard]] TransportResult SolveLocalSearch(const TransportProblem& problem);

/// @brief Exact optimum: minimum-cost flow by successive shortest paths
/// (Boost.Graph).
/// @param problem The problem.
/// @return Hosts moved and their cost.
[[nodiscard]] TransportResult SolveMinCostFlow(const TransportProblem& problem);

}  // namespace camphormux::bench

#endif  // BENCH_CAPACITY_ALTERNATIVES_HPP_
