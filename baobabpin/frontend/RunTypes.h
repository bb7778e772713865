/// Request and result types of StatementRun, which runs one statement.
#pragma once

#include "baobabpin/frontend/GroupProxy.h"
#include "baobabpin/relay/Channel.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace baobabpin::frontend {

using relay::PreparedStatement;

/// Where an open transaction runs. After its first statement a transaction is
/// pinned to one server connection: either a connection of this node
/// (Connection), or one of the node that owns the server's connections (Channel
/// and TransactionId).
struct PinnedTransaction {
  PoolPtr Pool;
  pooling::ServerConnectionPtr Connection;
  ChannelPtr Channel;
  /// The number by which the owner identifies the transaction.
  std::uint64_t TransactionId = 0;
  /// Epoch of the primary that runs the transaction; 0 on a replica.
  std::uint64_t Epoch = 0;
  bool OnPrimary = false;

  bool isOpen() const { return Connection != nullptr || Channel != nullptr; }
};

/// Starts to roll the transaction back and does not wait for the result.
void rollBack(GroupProxy &group, const PinnedTransaction &transaction);

/// One statement and everything that decides where and how it runs.
struct RunRequest {
  std::string Id;
  sql::Statement Statement;
  cluster::Route Route;
  /// The organisation for which the statement runs, or empty.
  base::OrganisationName Organisation;
  base::BootTime Arrived{};
  /// The time from which staleness is measured: the beginning of the
  /// transaction, or the arrival of a statement outside of a transaction.
  base::BootTime FreshAsOf{};
  /// The statement may make a change durable: it is a write outside of a
  /// transaction, or the COMMIT of a transaction that wrote.
  bool Writes = false;
  /// Only the primary may run it.
  bool NeedsPrimary = false;
  /// The transaction's BEGIN, to be sent before its first statement; empty
  /// outside of a transaction and after the first statement.
  std::optional<sql::Verb> Begin;
  /// Position of the session's last commit, which a read must see.
  std::optional<base::LogPosition> OwnCommit;
  /// The session's values (SetValue), which the server connection must hold.
  std::map<std::string, std::string> Values;
  /// The prepared statement that Execute names.
  std::optional<PreparedStatement> Prepared;
  /// Where the transaction runs; open after its first statement.
  PinnedTransaction Pinned;
  /// Set when another node sent the statement: that node has chosen the server
  /// and the position that the server must have applied.
  std::optional<base::ServerId> FixedServer;
  std::optional<base::LogPosition> FixedWaitFor;
};

struct RunResult {
  sql::Reply Reply;
  /// Open when the transaction continues after the statement. Epoch and
  /// OnPrimary describe the server of a successful reply in any case.
  PinnedTransaction Pinned;
  /// For a reply with an error: the error came from a server and not from a
  /// node of the proxy. Not set for a successful reply through an owner.
  bool FromServer = false;
  /// For a refusal because of the load of the server: the expected wait.
  std::chrono::nanoseconds ExpectedWait{0};
};

/// Why a statement is tried again, at the same server or another one.
enum class RetryCause {
  ServerRefused,
  SetupRefused,
  ServerUnreachable,
  ConnectionLost,
  ReplyLost,
  SlowReply,
  OwnerRefused,
  /// No owner of the server's connections can be reached.
  NoOwner,
  /// The work that waits for the server cannot be done in time.
  Overloaded,
};

std::string_view retryCauseName(RetryCause cause);

} // namespace baobabpin::frontend
