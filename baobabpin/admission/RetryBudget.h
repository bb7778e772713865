/// Token bucket that keeps retries to a share of the requests, so that retries
/// cannot multiply an overload.
///
/// \code
///   onRequest(budget);
///   if (tryRetry(budget))
///     sendAgain();
/// \endcode
#pragma once

namespace baobabpin::admission {

struct RetryBudget {
  /// Retries earned by each request.
  double PerRequest = 0.1;
  /// Most retries that can be saved up.
  double Burst = 10;
  double Tokens = 10;
};

void onRequest(RetryBudget &budget);

/// Takes one retry from the budget; false when none is left.
bool tryRetry(RetryBudget &budget);

} // namespace baobabpin::admission
