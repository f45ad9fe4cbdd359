#ifndef BENCH_CAPACITY_ALTERNATIVES_HPP_
#define BENCH_CAPACITY_ALTERNATIVES_HPP_

#include <vector>

#include "camphormux/core/random.hpp"

namespace camphormux::bench {

/// @brief Numbers of hosts that pools can give and lack, and what a host from
/// one pool costs another.
struct TransportProblem {
  std::vector<int> surplus;
  std::vector<int> deficit;
  /// Cost of a move, by giving and receiving pool.
  std::vector<std::vector<int>> cost;
};

/// @brief What a solution reaches.
struct TransportResult {
  int moved = 0;
  long cost = 0;
};

/// @brief Draws a problem.
/// @param pools Number of pools; half of them lack hosts.
/// @param hosts Number of hosts; about a tenth of them moves.
/// @param random The source.
/// @return The problem.
[[nodiscard]] TransportProblem DrawProblem(int pools, int hosts,
                                           core::Random& random);

/// @brief Takes the cheapest giver for each receiver in turn.
/// @param problem The problem.
/// @return Hosts moved and their cost.
[[nodiscard]] TransportResult SolveGreedy(const TransportProblem& problem);

/// @brief Greedy, then exchanges of givers between two receivers while that
/// lowers the cost.
/// @param problem The problem.
/// @return Hosts moved and their cost.
[[nodiscard]] TransportResult SolveLocalSearch(const TransportProblem& problem);

/// @brief Exact optimum by successive shortest paths (Boost.Graph).
/// @param problem The problem.
/// @return Hosts moved and their cost.
[[nodiscard]] TransportResult SolveMinCostFlow(const TransportProblem& problem);

}  // namespace camphormux::bench

#endif  // BENCH_CAPACITY_ALTERNATIVES_HPP_
