#ifndef BENCH_CAPACITY_ALTERNATIVES_HPP_
#define BENCH_CAPACITY_ALTERNATIVES_HPP_

#include <vector>

#include "camphormux/core/random.hpp"

namespace camphormux::bench {

/// @brief A transportation problem: supply and demand of hosts by pool, and
/// the cost of a move for each pair of pools.
struct TransportProblem {
  std::vector<int> surplus;
  std::vector<int> deficit;
  /// Cost of a move, by supplying and receiving pool.
  std::vector<std::vector<int>> cost;
};

/// @brief Size and total cost of a solution.
struct TransportResult {
  int moved = 0;
  long cost = 0;
};

/// @brief Generates a random transportation problem.
/// @param pools Number of pools; half of them lack hosts.
/// @param hosts Number of hosts; about a tenth of them moves.
/// @param random The source.
/// @return The problem.
[[nodiscard]] TransportProblem GenerateTransportProblem(int pools, int hosts,
                                                        core::Random& random);

/// @brief Greedy heuristic: serves each demand in turn from its cheapest
/// supply.
/// @param problem The problem.
/// @return Hosts moved and their cost.
[[nodiscard]] TransportResult SolveGreedy(const TransportProblem& problem);

/// @brief Local search from the greedy solution: swaps the supplies of two
/// demands while that lowers the cost.
/// @param problem The problem.
/// @return Hosts moved and their cost.
[[nodiscard]] TransportResult SolveLocalSearch(const TransportProblem& problem);

/// @brief Exact optimum by successive shortest paths (Boost.Graph).
/// @param problem The problem.
/// @return Hosts moved and their cost.
[[nodiscard]] TransportResult SolveMinCostFlow(const TransportProblem& problem);

}  // namespace camphormux::bench

#endif  // BENCH_CAPACITY_ALTERNATIVES_HPP_
