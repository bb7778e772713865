/// Messages between a node and the owner of a server's connections: one JSON
/// object a line.
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

/// A statement that a session prepared.
struct PreparedStatement {
  sql::Access Access = sql::Access::Read;
  std::string Shape;
};

enum class RequestKind {
  Run,     ///< Run a statement at a server.
  Release, ///< Roll back and forget a transaction.
  Probe,   ///< Report what is known of a group's primary.
  Ping,    ///< Show that the owner is alive.
  Cancel,  ///< Do not run the statement with the same sequence number.
};

struct Request {
  RequestKind Kind = RequestKind::Ping;
  /// Copied to the reply.
  std::uint64_t Sequence = 0;
  base::GroupName Group;
  base::ServerId Server;
  /// The transaction that the statement belongs to; 0 for none.
  std::uint64_t Transaction = 0;

  // Of Run only.
  std::string StatementId;
  sql::Statement Statement;
  std::string Database;
  cluster::Consistency Reads = cluster::Consistency::Strict;
  int Priority = 0;
  std::chrono::milliseconds TimeLeft{0};
  bool Writes = false;
  bool NeedsPrimary = false;
  std::optional<sql::Verb> Begin;
  std::optional<base::LogPosition> WaitFor;
  std::map<std::string, std::string> Values;
  std::optional<PreparedStatement> Prepared;
};

struct Reply {
  std::uint64_t Sequence = 0;
  /// The owner is about to stop; new work should go elsewhere.
  bool Leaving = false;
  sql::Reply Result;
  /// The error of Result is the owner's own, not the server's.
  bool RefusedByOwner = false;
  std::uint64_t Transaction = 0;
  /// Set when the server was the usable primary.
  std::uint64_t Epoch = 0;
  bool OnPrimary = false;

  // Of Probe only.
  std::optional<base::LogPosition> Position;
  std::chrono::milliseconds PositionAge{0};
  std::optional<std::chrono::milliseconds> PrimaryReplyAge;
};

/// Without a line end.
std::string encode(const Request &it);
std::string encode(const Reply &it);
std::optional<Request> decodeRequest(std::string_view line);
std::optional<Reply> decodeReply(std::string_view line);

} // namespace baobabpin::relay
