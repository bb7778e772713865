/// Messages between a node and the owner of a server's connections, one JSON
/// object per line.
#pragma once

#include "baobabpin/cluster/Types.h"
#include "baobabpin/sql/Statement.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace baobabpin::relay {

/// A statement that a session has prepared.
struct PreparedStatement {
  sql::Access Access = sql::Access::Read;
  /// The text of the statement, in the form that is sent to a server to prepare
  /// it.
  std::string Shape;
};

/// The values are sent as numbers; do not reorder them.
enum class RequestKind {
  Run,     ///< Run a statement at a server.
  Release, ///< Roll back a transaction and forget it.
  Probe,   ///< Report what is known about a group's primary.
  Ping,    ///< Reply at once, to show that the owner is alive.
  Cancel,  ///< Do not run the statement with this sequence number.
};

struct Request {
  RequestKind Kind = RequestKind::Ping;
  /// The number of the request, which its reply repeats. For Cancel, the number
  /// of the request to cancel.
  std::uint64_t Sequence = 0;
  base::GroupName Group;
  base::ServerId Server;
  /// The transaction to which the statement belongs, or 0.
  std::uint64_t Transaction = 0;

  // The following members are set only for Run.
  std::string StatementId;
  sql::Statement Statement;
  std::string Database;
  /// The organisation for which the statement runs, or empty. Sent only when
  /// it is not empty.
  base::OrganisationName Organisation;
  cluster::Consistency Reads = cluster::Consistency::Strict;
  int Priority = 0;
  /// The time left until the deadline of the statement.
  std::chrono::milliseconds TimeLeft{0};
  /// The time left until the target latency of the statement ends, at least 1
  /// ms if it is known. Sent only if it is known, which is when it is not 0.
  std::chrono::milliseconds TargetLeft{0};
  /// The statement changes data, or commits such a change.
  bool Writes = false;
  /// Only the primary may run the statement.
  bool NeedsPrimary = false;
  /// The transaction's BEGIN, which is sent before its first statement.
  std::optional<sql::Verb> Begin;
  /// The position that the server's log must include before the statement runs.
  std::optional<base::LogPosition> WaitFor;
  /// The settings of the session, by name.
  std::map<std::string, std::string> Values;
  /// The prepared statement that an Execute names.
  std::optional<PreparedStatement> Prepared;
};

struct Reply {
  std::uint64_t Sequence = 0;
  /// The owner is about to stop. New statements should go to another node.
  bool Leaving = false;
  sql::Reply Result;
  /// The error in Result comes from the owner, not from the server.
  bool RefusedByOwner = false;
  /// The expected wait that made the owner refuse the statement; 0 if it did
  /// not refuse it for its load. Sent only when it is not 0.
  std::chrono::milliseconds ExpectedWait{0};
  /// The owner's number of the transaction that is open after the statement, or
  /// 0 if none is open. Further requests of the transaction send it in
  /// Request::Transaction.
  std::uint64_t Transaction = 0;
  /// The epoch of the primary that ran the statement, or that reported
  /// Position. After Run, it is 0 unless the server was a primary that the
  /// owner could use.
  std::uint64_t Epoch = 0;
  /// The server was the primary, and the owner could use it.
  bool OnPrimary = false;

  // The following members are set only for Probe.
  std::optional<base::LogPosition> Position;
  /// The age of Position at the time of the reply.
  std::chrono::milliseconds PositionAge{0};
  /// The time since the primary's last reply to the owner.
  std::optional<std::chrono::milliseconds> PrimaryReplyAge;
};

/// Encode a message as JSON, without a line end.
std::string encode(const Request &it);
std::string encode(const Reply &it);
std::optional<Request> decodeRequest(std::string_view line);
std::optional<Reply> decodeReply(std::string_view line);

} // namespace baobabpin::relay
