/// Typed failures and the outcomes that callers see.
///
/// Functions that can fail return Result<T> and report a Failure:
///
/// \code
///   Result<Token> decode(std::string_view text) {
///     if (text.empty())
///       return fail(ErrorType::InvalidSession, "empty token");
///     ...
///   }
/// \endcode
#pragma once

#include <boost/leaf.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace baobabpin::base {

namespace leaf = boost::leaf;

template <typename T> using Result = leaf::result<T>;

/// Every failure that a caller, an operator or another node can be told of.
enum class ErrorType {
  BadRequest,         ///< Malformed, truncated or incomplete request.
  RequestTooLarge,    ///< Larger than the published limit.
  UnknownDatabase,    ///< No declared group serves this database.
  UnknownClass,       ///< The request class is not admitted.
  InvalidSession,     ///< Forged, corrupted or foreign session token.
  PositionLost,       ///< The session's position is in no surviving history.
  NotCaughtUp,        ///< No server reached the required position in time.
  TooStale,           ///< No data as fresh as the stated age is reachable.
  Overloaded,         ///< Queue full or connection limit reached.
  TooManyConnections, ///< The upstream server accepts no further connection.
  DeadlineExceeded,   ///< The request's timeout passed.
  NoPrimary,          ///< No server leads the group at present.
  StaleTerm,          ///< The server serves another term.
  NotPrimary,         ///< The server does not lead its group.
  ConnectionLost,     ///< The connection broke before the answer.
  CrossedAnswer,      ///< The answer belonged to another request.
  UnknownTransaction, ///< No such open transaction.
  TransactionLost,    ///< The transaction ended with its owner.
  RequestIdExpired,   ///< The idempotency record may be gone already.
  StatementError,     ///< The database rejected the statement.
  Draining,           ///< The node or server is shutting down.
  InvalidResource,    ///< A field is missing, of the wrong type or range.
  UnknownKind,        ///< No such resource kind.
  NotFound,           ///< No such resource.
  Conflict,           ///< Another writer was first.
  PermissionDenied,   ///< The operator has no right to do this.
  StoreUnavailable,   ///< The platform's store did not answer.
  InvalidSettings,    ///< The settings file is wrong.
  InvalidMessage,     ///< A message between nodes could not be trusted.
  Internal,           ///< A fault of the program itself.
};

/// "bad_request", "unknown_database" and so on; stable, for wire and logs.
std::string_view errorName(ErrorType type);

/// The reverse of errorName; empty for an unknown name.
std::optional<ErrorType> parseErrorType(std::string_view name);

/// What is known about a request at its end.
enum class Outcome {
  Answered, ///< Ran; the answer is attached.
  NotRun,   ///< Did not run and never will.
  Unknown,  ///< May have run; repeat under the same request ID to learn.
  Failed,   ///< Ran and was rejected by the database without effect.
};

std::string_view outcomeName(Outcome outcome);
std::optional<Outcome> parseOutcome(std::string_view name);

/// The error object that every Result carries.
struct Failure {
  ErrorType Type = ErrorType::Internal;
  std::string Detail;

  bool operator==(const Failure &) const = default;
};

/// Starts a failed result.
inline leaf::error_id fail(ErrorType type, std::string detail) {
  return leaf::new_error(Failure{type, std::move(detail)});
}

/// Runs \p body, which returns Result<T>, and hands its failure to \p
/// onFailure. Both return the same type.
template <typename Body, typename OnFailure>
auto handleFailure(Body body, OnFailure onFailure) {
  return leaf::try_handle_all(
      body, [&](const Failure &failure) { return onFailure(failure); },
      [&] {
        return onFailure(Failure{ErrorType::Internal, "unspecified failure"});
      });
}

} // namespace baobabpin::base
