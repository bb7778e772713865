/// Statements of a client's session and the replies to them, apart from the
/// text in which they travel.
#pragma once

#include "baobabpin/base/LogPosition.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabpin::sql {

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

enum class Access { Read, Write };

struct Statement {
  Verb Kind = Verb::Read;
  /// The item of Read and Write; the name for SetValue, Prepare, Execute and
  /// Deallocate.
  std::string Name;
  /// The data of Write, the value of SetValue, the statement shape of Prepare,
  /// the item with optional data of Execute.
  std::string Argument;
  /// Of Prepare only.
  Access PreparedAccess = Access::Read;
  /// The statement as the client wrote it; servers get it unchanged.
  std::string Text;

  bool operator==(const Statement &) const = default;
};

/// Error codes of a reply. Those for which promisesNoEffect() holds tell the
/// client that nothing of its attempt is kept.
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
};

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

enum class TransactionState { Idle, Open, Failed };

/// A server's whole reply to one statement.
struct Reply {
  /// The connection ended, or fell silent, before the reply was complete.
  bool Lost = false;
  std::optional<ErrorCode> Error;
  std::string ErrorText;
  /// The server's proof that it ran the statement; "-" for statements that
  /// need none.
  std::string Signature;
  /// Contents of the result rows.
  std::vector<std::string> Rows;
  TransactionState State = TransactionState::Idle;
  /// The end of the server's log.
  std::optional<base::LogPosition> Position;

  bool succeeded() const { return !Lost && !Error; }
};

enum class ServerRole { Primary, Replica };

/// A server's report about itself.
struct ServerStatus {
  ServerRole Role = ServerRole::Replica;
  base::TermNumber Term = 0;
  /// End of the log that the server has received, applied or not.
  base::LogPosition Received;
};

} // namespace baobabpin::sql
