/// What a server of a group says about itself.
#pragma once

#include "baobabpin/base/Identifiers.h"
#include "baobabpin/base/LogPosition.h"
#include "baobabpin/base/Time.h"

#include <optional>
#include <vector>

namespace baobabpin::replication {

enum class ServerRole { Replica, Primary };

/// A status answer (design section 5.2).
struct ServerReport {
  base::ServerId Server;
  ServerRole Role = ServerRole::Replica;
  /// Term that the server serves or follows.
  base::TermNumber Term = 0;
  /// Statements and replication of lower terms are refused.
  base::TermNumber PromisedTerm = 0;
  base::NodeId PromisedBy;
  /// Last entry of the server's log.
  base::LogPosition Position;
  std::vector<base::TermStart> TermStarts;
  /// The primary that the server follows; empty when it follows none.
  base::ServerId Primary;
  /// Time since the server last heard from its primary; empty for never.
  std::optional<base::Duration> PrimaryContact;
  unsigned Connections = 0;
  unsigned SlotsInUse = 0;
  bool Leaving = false;
};

/// What the answer to a statement tells about the server. It proves the promise
/// only when the request carried a term and the server accepted it.
struct StatementReport {
  base::ServerId Server;
  /// The request's term when the server accepted it, 0 for reads of any term.
  base::TermNumber AcceptedTerm = 0;
  base::LogPosition Position;
  /// Whether Position was the end of the log; not so for a replayed answer.
  bool IsLogEnd = false;
};

/// Answer to prepare(term, candidate).
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

/// Answer to promote(term, candidate).
struct PromoteAnswer {
  base::ServerId Server;
  /// Term that the request asked for.
  base::TermNumber Term = 0;
  bool Accepted = false;
};

} // namespace baobabpin::replication
