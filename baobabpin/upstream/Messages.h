/// Messages of the protocol with the upstream servers (section 5.2 of the
/// design) and their JSON encoding.
#pragma once

#include "baobabpin/base/Errors.h"
#include "baobabpin/base/Identifiers.h"
#include "baobabpin/base/LogPosition.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabpin::upstream {

/// Runs one statement.
struct ExecuteRequest {
  /// Term that the server must lead. 0 allows any server to run a read.
  base::TermNumber Term = 0;
  bool IsWrite = false;
  std::string Statement;
  /// Identifies a write across retries; empty if the caller gave none.
  base::RequestId Request;
  /// Position that the server's log must contain; Index 0 for none.
  base::LogPosition MinPosition;
  /// How long the server may wait to reach MinPosition.
  std::chrono::milliseconds Wait{0};
  /// ID of the open transaction; empty if there is none.
  std::string Transaction;
};

/// Begins a transaction.
struct BeginTransactionRequest {
  base::TermNumber Term = 0;
};

/// Commits a transaction or rolls it back.
struct EndTransactionRequest {
  base::TermNumber Term = 0;
  std::string Transaction;
  base::RequestId Request;
  /// False requests a rollback.
  bool Commit = false;
};

/// Asks for the state of the server. With WaitIndex above 0, the server waits
/// up to Wait until its log reaches that position.
struct StatusRequest {
  base::LogIndex WaitIndex = 0;
  base::TermNumber WaitTerm = 0;
  std::chrono::milliseconds Wait{0};
};

/// Prepares a promotion: asks the server to promise that it refuses all terms
/// lower than Term.
struct PrepareRequest {
  base::TermNumber Term = 0;
  base::NodeId Candidate;
};

/// Makes the server the primary of Term. The server refuses unless it promised
/// this Term to this Candidate.
struct PromoteRequest {
  base::TermNumber Term = 0;
  base::NodeId Candidate;
};

/// Makes the server a replica of Primary.
struct FollowRequest {
  base::TermNumber Term = 0;
  base::ServerId Primary;
  std::string PrimaryAddress;
};

/// Outcome of a call, as far as the caller knows it.
enum class CallOutcome {
  Ok,      ///< The server carried out the call.
  Refused, ///< The server did not carry out the call; Error is the reason.
  Failed,  ///< The database rejected the statement, which had no effect.
  NotSent, ///< No connection could be made; the server never received the call.
  Lost,    ///< No valid answer arrived; the call may have taken effect.
};

/// The answer to any call. A field that the call does not return keeps its
/// default value.
struct Answer {
  CallOutcome Outcome = CallOutcome::Lost;
  /// The call ended by a timeout. Failure detection uses this.
  bool TimedOut = false;
  base::ErrorType Error = base::ErrorType::Internal;
  std::string Detail;

  std::string Result;
  /// The server repeated the stored answer to an earlier request with the same
  /// request identifier.
  bool Replayed = false;
  std::string Transaction;
  /// End of the server's log after the call; for a replayed answer, the
  /// position of the recorded entry.
  base::LogPosition Position;
  base::TermNumber Term = 0;

  base::ServerId Server;
  bool IsPrimary = false;
  /// The server refuses statements and replication of lower terms.
  base::TermNumber PromisedTerm = 0;
  /// Candidate to which the server promised PromisedTerm.
  base::NodeId PromisedBy;
  /// The server gave the promise that a PrepareRequest asked for.
  bool Granted = false;
  std::vector<base::TermStart> TermStarts;
  /// Primary that the server follows; empty if it follows none.
  base::ServerId Primary;
  /// Time since the server last heard from its primary; empty if it never did.
  std::optional<std::chrono::milliseconds> PrimaryContact;
  bool Leaving = false;
};

/// Encode a request as the JSON body of the call with the identifier \p id.
std::string encode(std::uint64_t id, const ExecuteRequest &request);
std::string encode(std::uint64_t id, const BeginTransactionRequest &request);
std::string encode(std::uint64_t id, const EndTransactionRequest &request);
std::string encode(std::uint64_t id, const StatusRequest &request);
std::string encode(std::uint64_t id, const PrepareRequest &request);
std::string encode(std::uint64_t id, const PromoteRequest &request);
std::string encode(std::uint64_t id, const FollowRequest &request);

/// Return the HTTP path of a call.
std::string pathOf(const ExecuteRequest &request);
std::string pathOf(const BeginTransactionRequest &request);
std::string pathOf(const EndTransactionRequest &request);
std::string pathOf(const StatusRequest &request);
std::string pathOf(const PrepareRequest &request);
std::string pathOf(const PromoteRequest &request);
std::string pathOf(const FollowRequest &request);

/// Decodes the answer to the call with the identifier \p id. Fails with
/// CrossedAnswer when the body carries another identifier, and with
/// InvalidMessage when it is not valid JSON, lacks the identifier, or has a
/// field of the wrong type. Other missing fields keep their defaults.
base::Result<Answer> decodeAnswer(std::uint64_t id, const std::string &body);

} // namespace baobabpin::upstream
