#include "camphormux/admission/retry_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace camphormux::admission {
namespace {

// Guards against retries that amplify an overload.
RC_GTEST_PROP(RetryBudgetTest, RetriesStayBelowTheirShare, ()) {
  RetryBudget budget;
  const double saved = budget.balance;
  const int first_attempts = *rc::gen::inRange(0, 2000);
  int retries = 0;
  for (int i = 0; i < first_attempts; ++i) {
    Earn(budget);
    while (Spend(budget)) {
      ++retries;
    }
  }
  RC_ASSERT(retries <= saved + budget.share * first_attempts + 1e-6);
}

// Guards against synchronised retries and against delays outside the bounds.
RC_GTEST_PROP(RetryBudgetTest, PausesGrowWithinBounds, ()) {
  const RetryDelay delay;
  core::Random random = core::SeededRandom(*rc::gen::arbitrary<unsigned>());
  const int attempts = *rc::gen::inRange(1, 100);
  const core::Millis pause = BackOff(delay, attempts, random);
  RC_ASSERT(pause >= delay.first / 2);
  RC_ASSERT(pause <= delay.longest);
  RC_ASSERT(attempts < 10 || pause >= delay.longest / 2);
}

}  // namespace
}  // namespace camphormux::admission
