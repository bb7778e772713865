/// Requests of callers, replies to them, and their JSON encoding, as defined in
/// section 5.1 of the design document.
#pragma once

#include "baobabpin/base/Errors.h"
#include "baobabpin/proto/peer.pb.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabpin::gateway {

/// Largest body of a request.
inline constexpr std::size_t MaxRequestBytes = 128 << 10;
inline constexpr std::size_t MaxStatementBytes = 64 << 10;
/// Largest timeout that a caller may request.
inline constexpr std::chrono::milliseconds MaxTimeout{60'000};

struct CallerRequest {
  proto::ForwardRequest::Operation Operation = proto::ForwardRequest::EXECUTE;
  std::string Customer;
  std::string Database;
  /// The group is selected by Group, or by the hash of RoutingKey if Group is
  /// empty. At least one of the two is required.
  std::string Group;
  std::string RoutingKey;
  /// Name of the request class, which determines the priority, the default
  /// timeout and the allowed staleness.
  std::string Class;
  bool IsWrite = false;
  std::string Statement;
  /// Session tokens, which are merged. Empty tokens are left out here, but they
  /// set HasSession.
  std::vector<std::string> Sessions;
  bool HasSession = false;
  /// Largest accepted age of the data that a read returns.
  std::optional<std::chrono::milliseconds> MaxAge;
  std::string RequestId;
  /// Whether the caller has sent this request before under the same RequestId.
  bool Repeat = false;
  std::optional<std::chrono::milliseconds> Timeout;
  std::string Transaction;
};

/// Parses the JSON body of a request. Fails with BadRequest or RequestTooLarge;
/// the detail describes the error and, for an invalid value, names the field.
base::Result<CallerRequest>
parseRequest(proto::ForwardRequest::Operation operation,
             const std::string &body);

struct CallerReply {
  base::Outcome Outcome = base::Outcome::NotRun;
  /// Set unless Outcome is Answered.
  std::optional<base::Failure> Error;
  std::string Result;
  /// Token that the caller passes with the next request of the session.
  std::string Session;
  std::string RequestId;
  /// Whether the result comes from the idempotency record of an earlier
  /// attempt.
  bool Replayed = false;
  /// The upstream server that ran the statement, and its role at that time.
  std::string Server;
  std::string Role;
  /// Age of the data in the result; negative if it is unknown.
  std::int64_t AgeMs = -1;
  std::string Transaction;
};

/// Encodes \p reply as JSON.
std::string encodeReply(const CallerReply &reply);

/// Returns the HTTP status code of \p reply: 200 if the database ran or
/// rejected the statement, 4xx if the request cannot succeed without a change,
/// 503 if it did not run but may succeed later, and 504 if the outcome is
/// unknown.
int httpStatus(const CallerReply &reply);

} // namespace baobabpin::gateway
