/// The state of one upstream server, as plain structs and free functions that
/// take the time as an argument. No function waits; whoever runs the database
/// provides slots (Slots.h), delays and the network.
///
/// \code
///   Database db = openDatabase({.Server = "a", .Primary = "a"}, now);
///   Answer answer = execute(db, now, {.Term = 1, .IsWrite = true,
///                                     .Text = "ADD stock 1",
///                                     .Request = requestId});
/// \endcode
#pragma once

#include "baobabpin/base/Identifiers.h"
#include "baobabpin/base/LogPosition.h"
#include "baobabpin/base/Time.h"
#include "standins/upstream/Statement.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace standins::upstream {

using baobabpin::base::LogIndex;
using baobabpin::base::LogPosition;
using baobabpin::base::RequestId;
using baobabpin::base::ServerId;
using baobabpin::base::TermNumber;
using baobabpin::base::TermStart;
using baobabpin::base::TimePoint;

/// A transaction without a statement for this long is rolled back.
constexpr std::chrono::seconds TransactionIdleBound{5};
/// A request record answers repeats for this long after its request ID's time.
constexpr std::chrono::hours RecordLifetime{24};

/// Why a call did not run, or, for StatementError, ran without effect.
enum class Problem {
  None,
  StaleTerm,
  NotPrimary,
  NotCaughtUp,
  PositionLost,
  TooManyConnections,
  UnknownTransaction,
  RequestIdExpired,
  BadRequest,
  StatementError,
};

/// "stale_term" and so on; the empty string for None.
std::string_view problemName(Problem problem);

enum class Role { Primary, Replica };
std::string_view roleName(Role role);

/// One replicated change.
struct LogEntry {
  LogPosition Position;
  /// Empty for the entry that starts a term.
  RequestId Request;
  /// The statements in order, separated by "; ".
  std::string Text;
  /// What the request record answers.
  std::string Result;
  Effects Changes;
  /// When the primary appended it.
  TimePoint Appended;

  bool operator==(const LogEntry &) const = default;
};

/// An entry as one server holds it.
struct AppliedEntry {
  LogEntry Entry;
  TimePoint Applied;
  /// Values before the entry, to undo it on truncation.
  std::map<std::string, std::optional<Value>> Before;
};

struct Transaction {
  /// The connection that began it; no other may use it.
  std::uint64_t Connection = 0;
  TermNumber Term = 0;
  TimePoint LastUsed;
  /// The log's end when it began; later changes to what it read conflict.
  LogIndex BaseIndex = 0;
  Effects Changes;
  std::set<std::string> KeysRead;
  std::set<std::string> PrefixesRead;
  std::string Text;
};

/// What happened to a server, for the outside checker.
struct DatabaseEvent {
  enum class Kind { Promoted, Followed, SteppedDown, Truncated, RolledBack };
  Kind What = Kind::Promoted;
  TimePoint At;
  TermNumber Term = 0;
  /// Truncated: the position of the entry. Otherwise the log's end.
  LogPosition Position;
  /// Truncated: the entry's request ID. RolledBack: the transaction.
  /// Followed: the primary.
  std::string Subject;
  /// RolledBack: "idle", "closed", "requested" or "stepped_down".
  std::string Reason;
};
std::string_view eventName(DatabaseEvent::Kind kind);

struct Database {
  ServerId Server;
  Role CurrentRole = Role::Replica;
  /// The term that this server serves or follows.
  TermNumber Term = 0;
  /// No statement or replication of a lower term is accepted.
  TermNumber PromisedTerm = 0;
  /// Who asked for the promise; the one who may promote under it.
  std::string PromisedBy;
  ServerId Primary;
  /// Where Primary is reached; empty when only its ID is known.
  std::string PrimaryAddress;
  /// When the primary was last heard; on the primary itself unused.
  TimePoint PrimaryHeard;
  bool Leaving = false;
  bool IsInitialPrimary = false;
  TimePoint Opened;

  /// Entry i has index i + 1.
  std::vector<AppliedEntry> Log;
  std::vector<TermStart> TermStarts;
  std::map<std::string, Value> Table;
  /// From request ID to the index of its entry.
  std::unordered_map<RequestId, LogIndex> Records;
  std::map<std::string, Transaction> Transactions;
  std::uint64_t NextTransaction = 1;
  /// Kept whole: the checker needs every truncated entry.
  std::vector<DatabaseEvent> Events;
  /// Added to a TimePoint since its epoch, gives the Unix time; ages of request
  /// IDs need it.
  std::chrono::milliseconds UnixOffset{0};
};

struct OpenOptions {
  ServerId Server;
  /// The initial primary, of term 1; empty to start in term 0 and be told.
  ServerId Primary;
  std::string PrimaryAddress;
  std::chrono::milliseconds UnixOffset{0};
};

Database openDatabase(const OpenOptions &options, TimePoint now);

/// The position of the last entry; {0, 0} of an empty log.
LogPosition lastPosition(const Database &db);

struct Answer {
  Problem Error = Problem::None;
  std::string Message;
  std::string Result;
  /// Of the recorded entry when replayed, else the log's end after the call.
  LogPosition Position;
  bool Replayed = false;
  /// Set by begin().
  std::string Transaction;

  bool isOk() const { return Error == Problem::None; }
};

struct ExecuteCall {
  /// 0 allows a read on any server.
  TermNumber Term = 0;
  bool IsWrite = false;
  std::string Text;
  RequestId Request;
  LogPosition MinPosition;
  /// Empty outside a transaction.
  std::string Transaction;
  std::uint64_t Connection = 0;
};

/// Runs one statement now. Refused with NotCaughtUp where the caller may wait
/// for the log to grow and call again.
Answer execute(Database &db, TimePoint now, const ExecuteCall &call);

/// What execute() would refuse before it runs the statement, so that a hopeless
/// call takes no slot.
Answer checkExecute(const Database &db, TimePoint now, const ExecuteCall &call);

/// What begin() would refuse.
Answer checkBegin(const Database &db, TermNumber term);

/// Opens a transaction of \p connection. Only the primary of \p term does.
Answer begin(Database &db, TimePoint now, TermNumber term,
             std::uint64_t connection);

struct EndCall {
  TermNumber Term = 0;
  std::string Transaction;
  RequestId Request;
  std::uint64_t Connection = 0;
};

/// Applies all buffered writes as one entry. Fails with StatementError, and
/// rolls back, when another write changed what the transaction read.
Answer commit(Database &db, TimePoint now, const EndCall &call);
Answer rollback(Database &db, TimePoint now, const EndCall &call);

/// Rolls back the transactions of a connection that closed.
void closeConnection(Database &db, TimePoint now, std::uint64_t connection);

/// Rolls back transactions beyond their idle bound and drops expired request
/// records. \p busy names transactions with a statement queued or running.
void expire(Database &db, TimePoint now, const std::set<std::string> &busy);

} // namespace standins::upstream
