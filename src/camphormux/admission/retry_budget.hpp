#ifndef CAMPHORMUX_ADMISSION_RETRY_BUDGET_HPP_
#define CAMPHORMUX_ADMISSION_RETRY_BUDGET_HPP_

#include "camphormux/core/random.hpp"
#include "camphormux/core/time.hpp"

namespace camphormux::admission {

/// @brief Bounds retries to a share of the first attempts, so that retries do
/// not multiply an overload.
struct RetryBudget {
  double share = 0.1;      ///< Retries earned by a first attempt.
  double capacity = 10.0;  ///< Retries that may be saved up.
  double balance = 10.0;
};

/// @brief Earns a share of a retry for a first attempt.
/// @param budget The budget.
void Earn(RetryBudget& budget) noexcept;

/// @brief Takes a retry from the budget.
/// @param budget The budget.
/// @return Whether there was one.
[[nodiscard]] bool Spend(RetryBudget& budget) noexcept;

/// @brief Pauses before retries.
struct RetryDelay {
  core::Millis first{5};
  core::Millis longest{500};
};

/// @brief Draws the pause before a retry: exponential with jitter.
/// @param delay The bounds.
/// @param attempts Attempts made so far; at least 1.
/// @param random Source of jitter.
/// @return From half of the exponential value up to the value.
[[nodiscard]] core::Millis BackOff(const RetryDelay& delay, int attempts,
                                   core::Random& random);

}  // namespace camphormux::admission

#endif  // CAMPHORMUX_ADMISSION_RETRY_BUDGET_HPP_
