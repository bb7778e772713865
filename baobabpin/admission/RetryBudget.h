/// A token bucket that limits retries to a fraction of the requests, so that
/// retries cannot multiply the load of an overloaded server.
///
/// \code
///   onRequest(budget);
///   if (tryRetry(budget))
///     sendAgain();
/// \endcode
#pragma once

namespace baobabpin::admission {

struct RetryBudget {
  /// Tokens that each request adds; each retry takes one token.
  double PerRequest = 0.1;
  /// The maximum number of tokens.
  double Burst = 10;
  double Tokens = 10;
};

/// Adds the tokens of one request to the budget.
void onRequest(RetryBudget &budget);

/// Takes one token for a retry; returns false when less than one is left.
bool tryRetry(RetryBudget &budget);

} // namespace baobabpin::admission
