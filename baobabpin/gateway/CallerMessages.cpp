#include "baobabpin/gateway/CallerMessages.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace baobabpin::gateway {

using base::ErrorType;
using nlohmann::json;

namespace {

constexpr std::size_t MaxNameBytes = 128;
constexpr std::size_t MaxSessions = 16;
constexpr std::int64_t MaxAgeMs = 3'600'000;

/// Reads the fields of a request and rejects a request with unknown fields.
/// Each field must be read at most once: rejectUnknownFields() compares the
/// number of fields read with the size of the object.
class RequestReader {
public:
  explicit RequestReader(const json &body) : Body(body) {}

  base::Result<std::string> text(const char *key, std::size_t max) {
    auto it = Body.find(key);
    if (it == Body.end())
      return std::string();
    ++FieldsRead;
    if (!it->is_string())
      return invalidField(key, "a string");
    auto value = it->get<std::string>();
    if (value.size() > max)
      return base::fail(ErrorType::RequestTooLarge,
                        std::string(key) + " is longer than " +
                            std::to_string(max) + " bytes");
    return value;
  }

  base::Result<std::optional<std::chrono::milliseconds>>
  milliseconds(const char *key, std::int64_t max) {
    auto it = Body.find(key);
    if (it == Body.end())
      return std::optional<std::chrono::milliseconds>();
    ++FieldsRead;
    if (!it->is_number_integer() || *it < 0 || *it > max)
      return invalidField(key, "an integer from 0 to " + std::to_string(max));
    return std::optional(std::chrono::milliseconds(it->get<std::int64_t>()));
  }

  base::Result<bool> flag(const char *key) {
    auto it = Body.find(key);
    if (it == Body.end())
      return false;
    ++FieldsRead;
    if (!it->is_boolean())
      return invalidField(key, "true or false");
    return it->get<bool>();
  }

  base::Result<void> sessions(CallerRequest &request) {
    auto it = Body.find("session");
    if (it == Body.end())
      return {};
    ++FieldsRead;
    request.HasSession = true;
    const json list = it->is_array() ? *it : json::array({*it});
    if (list.size() > MaxSessions)
      return invalidField("session", "at most 16 tokens");
    for (const auto &token : list) {
      if (!token.is_string())
        return invalidField("session", "a token or an array of tokens");
      if (auto text = token.get<std::string>(); !text.empty())
        request.Sessions.push_back(std::move(text));
    }
    return {};
  }

  /// Fails if the request has fields that were not read.
  base::Result<void> rejectUnknownFields() const {
    if (FieldsRead != Body.size())
      return base::fail(ErrorType::BadRequest,
                        "the request has unknown fields");
    return {};
  }

  static base::leaf::error_id invalidField(const std::string &key,
                                           const std::string &accepted) {
    return base::fail(ErrorType::BadRequest, key + " must be " + accepted);
  }

private:
  const json &Body;
  std::size_t FieldsRead = 0;
};

base::Result<void> readExecute(RequestReader &reader, CallerRequest &request) {
  BOOST_LEAF_ASSIGN(request.Statement,
                    reader.text("statement", MaxStatementBytes));
  if (request.Statement.empty())
    return RequestReader::invalidField("statement", "a non-empty string");
  BOOST_LEAF_AUTO(kind, reader.text("kind", MaxNameBytes));
  if (kind != "read" && kind != "write")
    return RequestReader::invalidField("kind", "read or write");
  request.IsWrite = kind == "write";
  BOOST_LEAF_ASSIGN(request.MaxAge,
                    reader.milliseconds("max_age_ms", MaxAgeMs));
  return {};
}

base::Result<void> readCommon(RequestReader &reader, CallerRequest &request) {
  BOOST_LEAF_ASSIGN(request.Customer, reader.text("customer", MaxNameBytes));
  BOOST_LEAF_ASSIGN(request.Database, reader.text("database", MaxNameBytes));
  BOOST_LEAF_ASSIGN(request.Group, reader.text("group", MaxNameBytes));
  BOOST_LEAF_ASSIGN(request.RoutingKey,
                    reader.text("routing_key", MaxNameBytes));
  BOOST_LEAF_ASSIGN(request.Class, reader.text("class", MaxNameBytes));
  BOOST_LEAF_ASSIGN(request.RequestId, reader.text("request_id", MaxNameBytes));
  BOOST_LEAF_ASSIGN(request.Repeat, reader.flag("repeat"));
  BOOST_LEAF_ASSIGN(request.Timeout,
                    reader.milliseconds("timeout_ms", MaxTimeout.count()));
  BOOST_LEAF_ASSIGN(request.Transaction,
                    reader.text("transaction", 2 * MaxNameBytes));
  BOOST_LEAF_CHECK(reader.sessions(request));
  for (const auto *it :
       {&request.Customer, &request.Database, &request.Class}) {
    if (it->empty())
      return RequestReader::invalidField("customer, database and class",
                                         "given");
  }
  if (request.Group.empty() && request.RoutingKey.empty())
    return RequestReader::invalidField("group or routing_key", "given");
  return {};
}

/// Whether the request would fail again if it were sent unchanged.
bool isPermanentError(ErrorType type) {
  constexpr std::array PermanentErrors{
      ErrorType::BadRequest,     ErrorType::RequestTooLarge,
      ErrorType::UnknownClass,   ErrorType::UnknownDatabase,
      ErrorType::InvalidSession, ErrorType::RequestIdExpired,
      ErrorType::PositionLost,   ErrorType::TransactionLost};
  return std::find(PermanentErrors.begin(), PermanentErrors.end(), type) !=
         PermanentErrors.end();
}

} // namespace

base::Result<CallerRequest>
parseRequest(proto::ForwardRequest::Operation operation,
             const std::string &body) {
  if (body.size() > MaxRequestBytes)
    return base::fail(ErrorType::RequestTooLarge,
                      "the body is longer than 128 KiB");
  json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object())
    return base::fail(ErrorType::BadRequest, "the body must be a JSON object");
  CallerRequest request;
  request.Operation = operation;
  RequestReader reader(parsed);
  BOOST_LEAF_CHECK(readCommon(reader, request));
  if (operation == proto::ForwardRequest::EXECUTE)
    BOOST_LEAF_CHECK(readExecute(reader, request));
  BOOST_LEAF_CHECK(reader.rejectUnknownFields());
  bool endsTransaction = operation == proto::ForwardRequest::COMMIT ||
                         operation == proto::ForwardRequest::ROLLBACK;
  if (endsTransaction && request.Transaction.empty())
    return RequestReader::invalidField("transaction", "given");
  return request;
}

std::string encodeReply(const CallerReply &reply) {
  json body{{"outcome", base::outcomeName(reply.Outcome)}};
  if (reply.Error)
    body["error"] = {{"type", base::errorName(reply.Error->Type)},
                     {"message", reply.Error->Detail}};
  if (reply.Outcome == base::Outcome::Answered) {
    body["result"] = reply.Result;
    body["replayed"] = reply.Replayed;
    body["server"] = reply.Server;
    body["role"] = reply.Role;
    if (reply.AgeMs >= 0)
      body["age_ms"] = reply.AgeMs;
  }
  if (!reply.Session.empty())
    body["session"] = reply.Session;
  if (!reply.RequestId.empty())
    body["request_id"] = reply.RequestId;
  if (!reply.Transaction.empty())
    body["transaction"] = reply.Transaction;
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

int httpStatus(const CallerReply &reply) {
  switch (reply.Outcome) {
  case base::Outcome::Answered:
  case base::Outcome::Failed:
    return 200;
  case base::Outcome::Unknown:
    return 504;
  case base::Outcome::NotRun:
    break;
  }
  if (reply.Error && reply.Error->Type == ErrorType::RequestTooLarge)
    return 413;
  return reply.Error && isPermanentError(reply.Error->Type) ? 400 : 503;
}

} // namespace baobabpin::gateway
