/// Messages of the upstream servers' protocol (design 5.2) and their JSON form.
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

struct ExecuteRequest {
  /// Term the server must lead; 0 lets any server run a read.
  base::TermNumber Term = 0;
  bool IsWrite = false;
  std::string Statement;
  base::RequestId Request;
  base::LogPosition MinPosition;
  /// How long the server may wait to reach MinPosition.
  std::chrono::milliseconds Wait{0};
  /// Empty outside a transaction.
  std::string Transaction;
};

struct BeginTransactionRequest {
  base::TermNumber Term = 0;
};

struct EndTransactionRequest {
  base::TermNumber Term = 0;
  std::string Transaction;
  base::RequestId Request;
  bool Commit = false;
};

struct StatusRequest {
  base::LogIndex WaitIndex = 0;
  base::TermNumber WaitTerm = 0;
  std::chrono::milliseconds Wait{0};
};

struct PrepareRequest {
  base::TermNumber Term = 0;
  base::NodeId Candidate;
};

struct PromoteRequest {
  base::TermNumber Term = 0;
  base::NodeId Candidate;
};

struct FollowRequest {
  base::TermNumber Term = 0;
  base::ServerId Primary;
  std::string PrimaryAddress;
};

/// What is known about a call at its end.
enum class CallOutcome {
  Ok,      ///< The server did what was asked.
  Refused, ///< The server did not do it; Error says why.
  Failed,  ///< The server tried and the database rejected it; no effect.
  NotSent, ///< No connection could be made; the server never saw the call.
  Lost,    ///< No valid answer came back; the call may have taken effect.
};

/// The union of all answers; a field that a call does not return keeps its
/// default value.
struct Answer {
  CallOutcome Outcome = CallOutcome::Lost;
  /// True when a timeout ended the call, for failure detection.
  bool TimedOut = false;
  base::ErrorType Error = base::ErrorType::Internal;
  std::string Detail;

  std::string Result;
  bool Replayed = false;
  std::string Transaction;
  base::LogPosition Position;
  base::TermNumber Term = 0;

  base::ServerId Server;
  bool IsPrimary = false;
  base::TermNumber PromisedTerm = 0;
  base::NodeId PromisedBy;
  bool Granted = false;
  std::vector<base::TermStart> TermStarts;
  base::ServerId Primary;
  std::optional<std::chrono::milliseconds> PrimaryContact;
  bool Leaving = false;
};

std::string encode(std::uint64_t id, const ExecuteRequest &request);
std::string encode(std::uint64_t id, const BeginTransactionRequest &request);
std::string encode(std::uint64_t id, const EndTransactionRequest &request);
std::string encode(std::uint64_t id, const StatusRequest &request);
std::string encode(std::uint64_t id, const PrepareRequest &request);
std::string encode(std::uint64_t id, const PromoteRequest &request);
std::string encode(std::uint64_t id, const FollowRequest &request);

/// The protocol path of each call.
std::string pathOf(const ExecuteRequest &request);
std::string pathOf(const BeginTransactionRequest &request);
std::string pathOf(const EndTransactionRequest &request);
std::string pathOf(const StatusRequest &request);
std::string pathOf(const PrepareRequest &request);
std::string pathOf(const PromoteRequest &request);
std::string pathOf(const FollowRequest &request);

/// Fails with CrossedAnswer when the body does not carry \p id, and with
/// InvalidMessage when it is not a whole answer.
base::Result<Answer> decodeAnswer(std::uint64_t id, const std::string &body);

} // namespace baobabpin::upstream
