#include "baobabpin/admission/RetryBudget.h"

#include <algorithm>

namespace baobabpin::admission {

void onRequest(RetryBudget &budget) {
  budget.Tokens = std::min(budget.Burst, budget.Tokens + budget.PerRequest);
}

bool tryRetry(RetryBudget &budget) {
  if (budget.Tokens < 1)
    return false;
  budget.Tokens -= 1;
  return true;
}

} // namespace baobabpin::admission
