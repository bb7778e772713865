/// What a statement needs to run, and how it ended.
#pragma once

#include "baobabpin/frontend/GroupProxy.h"
#include "baobabpin/relay/Channel.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace baobabpin::frontend {

using relay::PreparedStatement;

/// Where a transaction runs: at a connection of this node, or through the owner
/// of the server's connections.
struct PinnedTransaction {
  PoolPtr Pool;
  pooling::LinkPtr Link;
  ChannelPtr Channel;
  /// The owner's number of the transaction.
  std::uint64_t Token = 0;
  /// Epoch of the primary that runs it; 0 on a replica.
  std::uint64_t Epoch = 0;
  bool OnPrimary = false;

  bool isOpen() const { return Link != nullptr || Channel != nullptr; }
};

/// Rolls the transaction back, without waiting.
void rollBack(GroupProxy &group, const PinnedTransaction &transaction);

struct RunRequest {
  std::string Id;
  sql::Statement Statement;
  cluster::Route Route;
  base::BootTime Arrived{};
  /// Arrival of the transaction, or of a statement outside of one.
  base::BootTime FreshAsOf{};
  /// The statement changes data, or commits such a change.
  bool Writes = false;
  /// Only the primary may run it.
  bool NeedsPrimary = false;
  /// The transaction's BEGIN, to be sent before its first statement.
  std::optional<sql::Verb> Begin;
  std::optional<base::LogPosition> OwnCommit;
  std::uint64_t OwnEpoch = 0;
  std::map<std::string, std::string> Values;
  /// The statement that Execute names.
  std::optional<PreparedStatement> Prepared;
  /// The transaction, after its first statement.
  PinnedTransaction Pinned;
  /// Set for a statement of another node, which has chosen the server.
  std::optional<base::ServerId> FixedServer;
  std::optional<base::LogPosition> FixedWaitFor;
};

struct RunResult {
  sql::Reply Reply;
  /// Open when the transaction goes on. Epoch and OnPrimary are always set.
  PinnedTransaction Pinned;
  /// The reply is a server's, not this node's own refusal.
  bool FromServer = false;
};

/// Why a statement is placed again.
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
  /// More work waits for the server than it can do in time.
  Overloaded,
};

std::string_view retryCauseName(RetryCause cause);

} // namespace baobabpin::frontend
