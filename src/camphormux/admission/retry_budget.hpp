#ifndef CAMPHORMUX_ADMISSION_RETRY_BUDGET_HPP_
#define CAMPHORMUX_ADMISSION_RETRY_BUDGET_HPP_

#include "camphormux/core/random.hpp"
#include "camphormux/core/time.hpp"

namespace camphormux::admission {

/// @brief Limits retries to a share of the first attempts, so that retries do
/// not amplify an overload.
struct RetryBudget {
  double share = 0.1;      ///< Retries earned per first attempt.
  double capacity = 10.0;  ///< Maximum balance.
  double balance = 10.0;   ///< Retries available.
};

/// @brief Credits the share of a retry that a first attempt earns.
/// @param budget The budget.
void Earn(RetryBudget& budget) noexcept;

/// @brief Takes one retry from the budget, if available.
/// @param budget The budget.
/// @return Whether a retry was available.
[[nodiscard]] bool Spend(RetryBudget& budget) noexcept;

/// @brief Bounds of the backoff before retries.
struct RetryDelay {
  core::Millis first{5};
  core::Millis longest{500};
};

/// @brief Draws the delay before a retry: exponential backoff with jitter.
/// @param delay Bounds of the delay.
/// @param attempts Attempts made so far; at least 1.
/// @param random Source of jitter.
/// @return A random delay between half of the exponential value and the value,
/// in milliseconds.
[[nodiscard]] core::Millis BackOff(const RetryDelay& delay, int attempts,
                                   core::Random& random);

}  // namespace camphormux::admission

#endif  // CAMPHORMUX_ADMISSION_RETRY_BUDGET_HPP_
