/// Typed errors and the outcomes of requests.
///
/// A function that can fail returns Result<T>, and reports an error with
/// fail():
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

/// Every type of error that is reported to callers, operators or other nodes.
enum class ErrorType {
  BadRequest,         ///< The request is malformed, truncated or incomplete.
  RequestTooLarge,    ///< The request exceeds the documented size limit.
  UnknownDatabase,    ///< No declared group serves the database.
  UnknownClass,       ///< The request class is not admitted.
  InvalidSession,     ///< The session token is forged, corrupted or of another
                      ///< customer.
  PositionLost,       ///< A failover discarded the log entry at the session's
                      ///< position.
  NotCaughtUp,        ///< No server reached the required log position in time.
  TooStale,           ///< No reachable server has data within the maximum age.
  Overloaded,         ///< A queue is full or a connection limit is reached.
  TooManyConnections, ///< The upstream server accepts no further connections.
  DeadlineExceeded,   ///< The request's timeout passed.
  NoPrimary,          ///< The group has no primary, or no node that can
                      ///< run its statements is available.
  StaleTerm,      ///< The term of the request differs from the server's term.
  NotPrimary,     ///< The server is not the primary of its group.
  ConnectionLost, ///< The connection was lost before the reply arrived.
  CrossedAnswer,  ///< The reply belongs to another request.
  UnknownTransaction, ///< There is no open transaction with this ID.
  TransactionLost,    ///< The transaction was rolled back, its node is
                      ///< unreachable or no longer holds it, or the result of
                      ///< its commit was lost.
  RequestIdExpired,   ///< The idempotency record may have expired.
  StatementError,     ///< The database rejected the statement.
  Draining,           ///< The node or server is shutting down.
  InvalidResource,  ///< A field is missing, of the wrong type or out of range.
  UnknownKind,      ///< The resource kind does not exist.
  NotFound,         ///< The resource does not exist.
  Conflict,         ///< The resource was changed concurrently.
  PermissionDenied, ///< The operator is not authorized for the operation.
  StoreUnavailable, ///< The platform's store did not reply.
  InvalidSettings,  ///< The settings are invalid.
  InvalidMessage,   ///< A received message failed validation.
  Internal,         ///< A bug in this program.
};

/// Returns the name of \p type on the wire and in logs, such as "bad_request".
/// Names must not change.
std::string_view errorName(ErrorType type);

/// Returns the error type with the given name, or nullopt for an unknown name.
std::optional<ErrorType> parseErrorType(std::string_view name);

/// What is known about the effect of a request when it ends.
enum class Outcome {
  Answered, ///< The request ran, and the reply contains its result.
  NotRun,   ///< The request did not run and will not run later.
  Unknown,  ///< The request may have run. Repeating it with the same request ID
            ///< tells the outcome.
  Failed,   ///< The database rejected the request without any effect.
};

/// Returns the name of \p outcome on the wire and in logs, such as "not_run".
std::string_view outcomeName(Outcome outcome);
/// Returns the outcome with the given name, or nullopt for an unknown name.
std::optional<Outcome> parseOutcome(std::string_view name);

/// The error that a failed Result carries.
struct Failure {
  ErrorType Type = ErrorType::Internal;
  std::string Detail;

  bool operator==(const Failure &) const = default;
};

/// Reports an error; the returned ID converts to a failed Result of any type.
inline leaf::error_id fail(ErrorType type, std::string detail) {
  return leaf::new_error(Failure{type, std::move(detail)});
}

/// Calls \p body, which returns a Result<T>. Returns its value, or if it fails,
/// the T that \p onFailure returns for the error.
template <typename Body, typename OnFailure>
auto handleFailure(Body body, OnFailure onFailure) {
  return leaf::try_handle_all(
      body, [&](const Failure &failure) { return onFailure(failure); },
      [&] {
        return onFailure(Failure{ErrorType::Internal, "unspecified failure"});
      });
}

} // namespace baobabpin::base
