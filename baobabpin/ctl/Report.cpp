#include "baobabpin/ctl/Report.h"

#include <algorithm>
#include <iomanip>

namespace baobabpin::ctl {

using base::ErrorType;
using nlohmann::json;

namespace {

/// Nodes named in one line; the rest are counted.
constexpr int MaxNamedNodes = 5;

json parseOrText(const std::string &text) {
  json parsed = json::parse(text, nullptr, false);
  return parsed.is_discarded() ? json(text) : parsed;
}

} // namespace

ExitCode exitCodeOf(const base::Failure &failure) {
  switch (failure.Type) {
  case ErrorType::Conflict:
    return ExitCode::Conflict;
  case ErrorType::NotFound:
    return ExitCode::NotFound;
  case ErrorType::StoreUnavailable:
    return ExitCode::Unavailable;
  case ErrorType::DeadlineExceeded:
    return ExitCode::TimedOut;
  case ErrorType::BadRequest:
  case ErrorType::InvalidSettings:
    return ExitCode::Usage;
  default:
    return ExitCode::Failed;
  }
}

ExitCode reportFailure(std::ostream &err, const base::Failure &failure) {
  err << "error: " << base::errorName(failure.Type) << ": " << failure.Detail
      << "\n";
  return exitCodeOf(failure);
}

ExitCode reportError(std::ostream &err, const proto::OperatorError &error) {
  err << "error: " << error.type() << ": ";
  if (!error.kind().empty())
    err << error.kind() << "/" << error.name() << ": ";
  err << error.message();
  if (error.current_version() > 0)
    err << " (current version " << error.current_version() << ")";
  if (error.outcome_unknown())
    err << " (the change may have taken effect)";
  err << "\n";
  auto type = base::parseErrorType(error.type());
  return exitCodeOf({type.value_or(ErrorType::Internal), ""});
}

ExitCode reportStatus(Session &session, const grpc::Status &status) {
  auto report = [&](const char *type, const std::string &detail) {
    session.Err << "error: " << type << ": " << detail << "\n";
  };
  switch (status.error_code()) {
  case grpc::StatusCode::UNAVAILABLE:
  case grpc::StatusCode::CANCELLED:
    report("unavailable", "none of " +
                              std::to_string(session.Client.serverCount()) +
                              " nodes answered: " + status.error_message());
    return ExitCode::Unavailable;
  case grpc::StatusCode::DEADLINE_EXCEEDED:
    report("timed_out", "no answer in time");
    return ExitCode::TimedOut;
  case grpc::StatusCode::RESOURCE_EXHAUSTED:
    report("request_too_large", status.error_message());
    return ExitCode::Failed;
  default:
    report("internal", status.error_message());
    return ExitCode::Failed;
  }
}

void printTable(std::ostream &out, const std::vector<Row> &rows) {
  std::vector<std::size_t> widths;
  for (const auto &row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto &row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      bool isLast = i + 1 == row.size();
      std::size_t width = isLast ? row[i].size() : widths[i] + 2;
      out << std::left << std::setw(static_cast<int>(width)) << row[i];
    }
    out << "\n";
  }
}

json resourceJson(const proto::Resource &resource) {
  json value{{"kind", resource.kind()},
             {"name", resource.name()},
             {"version", resource.version()}};
  if (!resource.spec().empty())
    value["spec"] = parseOrText(resource.spec());
  return value;
}

json statusJson(const proto::ResourceStatus &status) {
  json unconfirmed = json::array();
  for (const auto &it : status.unconfirmed())
    unconfirmed.push_back({{"node", it.node()},
                           {"availability_zone", it.availability_zone()},
                           {"reason", it.reason()}});
  json value{{"in_force", status.in_force()},
             {"confirmed_nodes", status.confirmed_nodes()},
             {"unconfirmed", std::move(unconfirmed)}};
  if (!status.detail().empty())
    value["detail"] = parseOrText(status.detail());
  return value;
}

std::string describeStatus(const proto::ResourceStatus &status) {
  if (status.in_force())
    return "in force";
  std::string text =
      "pending (" + std::to_string(status.confirmed_nodes()) + " confirmed";
  int named = std::min(MaxNamedNodes, status.unconfirmed_size());
  for (int i = 0; i < named; ++i) {
    const auto &node = status.unconfirmed(i);
    text += i == 0 ? "; " : ", ";
    text += node.node() + " " + node.reason();
  }
  if (status.unconfirmed_size() > named)
    text +=
        " and " + std::to_string(status.unconfirmed_size() - named) + " others";
  return text + ")";
}

} // namespace baobabpin::ctl
