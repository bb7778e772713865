/// The callers' requests and answers (design 5.1) and their JSON form.
#pragma once

#include "baobabpin/base/Errors.h"
#include "baobabpin/proto/peer.pb.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabpin::gateway {

inline constexpr std::size_t MaxRequestBytes = 128 << 10;
inline constexpr std::size_t MaxStatementBytes = 64 << 10;
/// Largest time limit a caller may ask for.
inline constexpr std::chrono::milliseconds MaxTimeout{60'000};

struct CallerRequest {
  proto::ForwardRequest::Operation Operation = proto::ForwardRequest::EXECUTE;
  std::string Customer;
  std::string Database;
  /// One of both selects the group.
  std::string Group;
  std::string RoutingKey;
  std::string Class;
  bool IsWrite = false;
  std::string Statement;
  /// Tokens of the session, to be merged; HasSession also for an empty one.
  std::vector<std::string> Sessions;
  bool HasSession = false;
  std::optional<std::chrono::milliseconds> MaxAge;
  std::string RequestId;
  bool Repeat = false;
  std::optional<std::chrono::milliseconds> Timeout;
  std::string Transaction;
};

/// Fails with BadRequest or RequestTooLarge; the detail names the field.
base::Result<CallerRequest>
parseRequest(proto::ForwardRequest::Operation operation,
             const std::string &body);

struct CallerReply {
  base::Outcome Outcome = base::Outcome::NotRun;
  /// Set unless answered.
  std::optional<base::Failure> Error;
  std::string Result;
  std::string Session;
  std::string RequestId;
  bool Replayed = false;
  std::string Server;
  std::string Role;
  /// Negative when not known.
  std::int64_t AgeMs = -1;
  std::string Transaction;
};

std::string printReply(const CallerReply &reply);

/// 200 for answered and failed statements, 4xx for requests that can never
/// succeed as they are, 503 for refusals that may succeed later, 504 for an
/// unknown outcome.
int httpStatus(const CallerReply &reply);

} // namespace baobabpin::gateway
