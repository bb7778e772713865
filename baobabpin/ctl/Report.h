/// What baobabpinctl prints, and the exit codes of failures.
#pragma once

#include "baobabpin/ctl/ExitCode.h"
#include "baobabpin/ctl/NodeClient.h"
#include "baobabpin/ctl/Options.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace baobabpin::ctl {

/// What a command needs.
struct Session {
  const Options &Settings;
  NodeClient &Client;
  std::ostream &Out;
  std::ostream &Err;
};

ExitCode exitCodeOf(const base::Failure &failure);

/// Prints a failure of this program, a node's refusal, or a failed call, and
/// returns the exit code.
ExitCode reportFailure(std::ostream &err, const base::Failure &failure);
ExitCode reportError(std::ostream &err, const proto::OperatorError &error);
ExitCode reportStatus(Session &session, const grpc::Status &status);

/// Either of the latter two, or Ok.
template <typename Reply>
ExitCode reportReply(Session &session, const grpc::Status &status,
                     const Reply &reply) {
  if (!status.ok())
    return reportStatus(session, status);
  if (!reply.error().type().empty())
    return reportError(session.Err, reply.error());
  return ExitCode::Ok;
}

using Row = std::vector<std::string>;

/// Left-aligned columns, two spaces apart.
void printTable(std::ostream &out, const std::vector<Row> &rows);

nlohmann::json resourceJson(const proto::Resource &resource);
nlohmann::json statusJson(const proto::ResourceStatus &status);

/// "in force", or "pending (3 confirmed; node-2 pending, node-3 cut_off)".
std::string describeStatus(const proto::ResourceStatus &status);

} // namespace baobabpin::ctl
