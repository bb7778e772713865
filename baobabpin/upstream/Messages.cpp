#include "baobabpin/upstream/Messages.h"

#include <nlohmann/json.hpp>

namespace baobabpin::upstream {

using base::ErrorType;
using nlohmann::json;

namespace {

json toJson(base::LogPosition position) {
  return {{"term", position.Term}, {"index", position.Index}};
}

base::LogPosition parsePosition(const json &value) {
  return {value.at("term").get<base::TermNumber>(),
          value.at("index").get<base::LogIndex>()};
}

/// Serializes compactly; invalid UTF-8 is replaced.
std::string serialize(const json &body) {
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<base::TermStart> parseTermStarts(const json &values) {
  std::vector<base::TermStart> starts;
  for (const auto &it : values)
    starts.push_back({it.at("term").get<base::TermNumber>(),
                      it.at("index").get<base::LogIndex>()});
  return starts;
}

CallOutcome parseOutcome(const json &body) {
  std::string outcome = body.value("outcome", "ok");
  if (outcome == "ok")
    return CallOutcome::Ok;
  return outcome == "failed" ? CallOutcome::Failed : CallOutcome::Refused;
}

/// Parses the fields that describe the state of the server.
void parseServerState(const json &body, Answer &answer) {
  answer.Server = body.value("server", "");
  answer.IsPrimary = body.value("role", "") == "primary";
  answer.PromisedTerm = body.value("promised_term", base::TermNumber{0});
  answer.PromisedBy = body.value("promised_by", "");
  answer.Granted = body.value("granted", false);
  answer.Primary = body.value("primary", "");
  answer.Leaving = body.value("leaving", false);
  if (auto it = body.find("term_starts"); it != body.end())
    answer.TermStarts = parseTermStarts(*it);
  auto contact = body.find("primary_contact_ms");
  if (contact != body.end() && contact->is_number() && *contact >= 0)
    answer.PrimaryContact =
        std::chrono::milliseconds(contact->get<std::int64_t>());
}

Answer parseAnswer(const json &body) {
  Answer answer;
  answer.Outcome = parseOutcome(body);
  if (answer.Outcome != CallOutcome::Ok) {
    answer.Error = base::parseErrorType(body.value("error", ""))
                       .value_or(ErrorType::Internal);
    answer.Detail = body.value("detail", "");
  }
  answer.Result = body.value("result", "");
  answer.Replayed = body.value("replayed", false);
  answer.Transaction = body.value("transaction", "");
  answer.Term = body.value("term", base::TermNumber{0});
  if (auto it = body.find("position"); it != body.end())
    answer.Position = parsePosition(*it);
  parseServerState(body, answer);
  return answer;
}

} // namespace

std::string encode(std::uint64_t id, const ExecuteRequest &request) {
  json body{{"id", id},
            {"term", request.Term},
            {"kind", request.IsWrite ? "write" : "read"},
            {"statement", request.Statement}};
  if (!request.Request.empty())
    body["request_id"] = request.Request;
  if (request.MinPosition.Index > 0) {
    body["min_position"] = toJson(request.MinPosition);
    body["wait_ms"] = request.Wait.count();
  }
  if (!request.Transaction.empty())
    body["transaction"] = request.Transaction;
  return serialize(body);
}

std::string encode(std::uint64_t id, const BeginTransactionRequest &request) {
  return serialize({{"id", id}, {"term", request.Term}});
}

std::string encode(std::uint64_t id, const EndTransactionRequest &request) {
  return serialize({{"id", id},
                    {"term", request.Term},
                    {"transaction", request.Transaction},
                    {"request_id", request.Request}});
}

std::string encode(std::uint64_t id, const StatusRequest &request) {
  json body{{"id", id}};
  if (request.WaitIndex > 0) {
    body["wait_position"] = toJson({request.WaitTerm, request.WaitIndex});
    body["wait_ms"] = request.Wait.count();
  }
  return serialize(body);
}

std::string encode(std::uint64_t id, const PrepareRequest &request) {
  return serialize(
      {{"id", id}, {"term", request.Term}, {"candidate", request.Candidate}});
}

std::string encode(std::uint64_t id, const PromoteRequest &request) {
  return serialize(
      {{"id", id}, {"term", request.Term}, {"candidate", request.Candidate}});
}

std::string encode(std::uint64_t id, const FollowRequest &request) {
  return serialize({{"id", id},
                    {"term", request.Term},
                    {"primary", request.Primary},
                    {"primary_address", request.PrimaryAddress}});
}

std::string pathOf(const ExecuteRequest &) { return "/v1/execute"; }
std::string pathOf(const BeginTransactionRequest &) { return "/v1/begin"; }
std::string pathOf(const EndTransactionRequest &request) {
  return request.Commit ? "/v1/commit" : "/v1/rollback";
}
std::string pathOf(const StatusRequest &) { return "/v1/status"; }
std::string pathOf(const PrepareRequest &) { return "/v1/prepare"; }
std::string pathOf(const PromoteRequest &) { return "/v1/promote"; }
std::string pathOf(const FollowRequest &) { return "/v1/follow"; }

base::Result<Answer> decodeAnswer(std::uint64_t id, const std::string &body) {
  try {
    json parsed = json::parse(body);
    if (parsed.at("id").get<std::uint64_t>() != id)
      return base::fail(ErrorType::CrossedAnswer,
                        "the answer carries the identifier of another call");
    return parseAnswer(parsed);
  } catch (const json::exception &error) {
    return base::fail(ErrorType::InvalidMessage, error.what());
  }
}

} // namespace baobabpin::upstream
