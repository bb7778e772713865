/// Statements of a client's session and the replies to them, independent of
/// their text format on the wire.
#pragma once

#include "baobabpin/base/LogPosition.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabpin::sql {

/// The kinds of statements.
enum class Verb {
  Begin,
  BeginReadOnly,
  Commit,
  Rollback,
  Read,
  Write,
  SetValue,
  Prepare,
  Execute,
  Deallocate,
};

/// Whether a prepared statement only reads or also writes.
enum class Access { Read, Write };

struct Statement {
  Verb Kind = Verb::Read;
  /// For Read and Write, the item that is accessed. For SetValue, the name of
  /// the value. For Prepare, Execute and Deallocate, the name of the prepared
  /// statement.
  std::string Name;
  /// For Write, the data. For SetValue, the value. For Prepare, the text of the
  /// statement to prepare. For Execute, the item, optionally followed by data.
  std::string Argument;
  /// Used by Prepare only.
  Access PreparedAccess = Access::Read;
  /// The statement as the client wrote it. It is sent to servers unchanged,
  /// except that Execute is sent with the name under which the proxy prepared
  /// the statement.
  std::string Text;

  bool operator==(const Statement &) const = default;
};

/// Error codes of a reply.
enum class ErrorCode {
  Busy,
  Aborted,
  Lagging,
  ReadOnly,
  WrongServer,
  TooManyConnections,
  InDoubt,
  TimedOut,
  Failed,
  UnknownDatabase,
  UnknownName,
  Malformed,
  /// The client's access key names no organisation.
  Denied,
};

/// Whether \p code guarantees that the failed statement or transaction had no
/// effect, so that it may safely be retried.
constexpr bool promisesNoEffect(ErrorCode code) {
  switch (code) {
  case ErrorCode::Busy:
  case ErrorCode::Aborted:
  case ErrorCode::Lagging:
  case ErrorCode::ReadOnly:
  case ErrorCode::WrongServer:
  case ErrorCode::TooManyConnections:
    return true;
  default:
    return false;
  }
}

/// The state of a session's transaction. After a failed statement the
/// transaction is Failed until the client ends it.
enum class TransactionState { Idle, Open, Failed };

/// The complete reply to one statement.
struct Reply {
  /// The connection was closed, or a timeout passed, before the reply was
  /// complete.
  bool Lost = false;
  std::optional<ErrorCode> Error;
  std::string ErrorText;
  /// The server's signature, which proves that it ran the statement; "-" for
  /// statements that need no proof.
  std::string Signature;
  /// The result rows.
  std::vector<std::string> Rows;
  TransactionState State = TransactionState::Idle;
  /// The end of the log that the server has applied, if the reply states it.
  std::optional<base::LogPosition> Position;

  bool succeeded() const { return !Lost && !Error; }
};

enum class ServerRole { Primary, Replica };

/// The state that a server reports about itself.
struct ServerStatus {
  ServerRole Role = ServerRole::Replica;
  base::TermNumber Term = 0;
  /// End of the log that the server has received, whether applied or not.
  base::LogPosition Received;
};

} // namespace baobabpin::sql
