/// What the servers of a group report in their answers.
#pragma once

#include "baobabpin/base/Identifiers.h"
#include "baobabpin/base/LogPosition.h"
#include "baobabpin/base/Time.h"

#include <optional>
#include <vector>

namespace baobabpin::replication {

enum class ServerRole { Replica, Primary };

/// The state of a server as its answer to a status request tells it (design
/// section 5.2). The answer to a prepare request updates it too.
struct ServerReport {
  base::ServerId Server;
  ServerRole Role = ServerRole::Replica;
  /// Term in which the server is the primary or follows one.
  base::TermNumber Term = 0;
  /// The server refuses statements and replication of lower terms. PromisedBy
  /// is the node whose prepare request the server granted.
  base::TermNumber PromisedTerm = 0;
  base::NodeId PromisedBy;
  /// Position of the last entry of the server's log.
  base::LogPosition Position;
  /// The first position of each term in the log.
  std::vector<base::TermStart> TermStarts;
  /// The primary that the server follows; empty when it follows none.
  base::ServerId Primary;
  /// Time since the server last received a message from its primary; empty when
  /// it has received none.
  std::optional<base::Duration> PrimaryContact;
  unsigned Connections = 0;
  unsigned SlotsInUse = 0;
  /// The server is about to stop and should get no new requests.
  bool Leaving = false;
};

/// What the answer to a statement tells about the server. It confirms the
/// server's promise only when the request carried a term and the server
/// accepted it.
struct StatementReport {
  base::ServerId Server;
  /// The request's term, which the server accepted; 0 for a read without a
  /// term.
  base::TermNumber AcceptedTerm = 0;
  base::LogPosition Position;
  /// Whether Position was the end of the log. That is not the case for a
  /// replayed answer, which has the position of the original write.
  bool IsLogEnd = false;
};

/// The answer to a prepare request.
struct PrepareAnswer {
  base::ServerId Server;
  /// Term that the request asked for.
  base::TermNumber Term = 0;
  bool Granted = false;
  base::TermNumber PromisedTerm = 0;
  base::NodeId PromisedBy;
  base::LogPosition Position;
  std::vector<base::TermStart> TermStarts;
};

/// The answer to a promote request.
struct PromoteAnswer {
  base::ServerId Server;
  /// Term that the request asked for.
  base::TermNumber Term = 0;
  bool Accepted = false;
};

} // namespace baobabpin::replication
