#include "camphormux/admission/retry_budget.hpp"

#include <algorithm>

namespace camphormux::admission {

void Earn(RetryBudget& budget) noexcept {
  budget.balance = std::min(budget.capacity, budget.balance + budget.share);
}

bool Spend(RetryBudget& budget) noexcept {
  if (budget.balance < 1.0) {
    return false;
  }
  budget.balance -= 1.0;
  return true;
}

core::Millis BackOff(const RetryDelay& delay, int attempts,
                     core::Random& random) {
  core::Millis bound = delay.first;
  for (int i = 1; i < attempts && bound < delay.longest; ++i) {
    bound *= 2;
  }
  bound = std::min(bound, delay.longest);
  return bound / 2 + core::Jitter(random, bound - bound / 2);
}

}  // namespace camphormux::admission
