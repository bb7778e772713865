#include "baobabpin/quota/QuotaMessages.h"

#include "baobabpin/control/JsonBody.h"

#include <nlohmann/json.hpp>

namespace baobabpin::quota {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::int64_t MaxTokens = 1'000'000;
constexpr std::int64_t MaxMilliseconds = 60'000;

/// Returns a number from 0 to \p max. Any other value is rejected like a
/// malformed text: a negative number of tokens or time must not be computed
/// with.
std::int64_t parseAmount(const json &it, std::int64_t max) {
  if (!it.is_number_integer())
    throw json::type_error::create(302, "not an integer", nullptr);
  auto value = it.get<std::int64_t>();
  if (value < 0 || value > max)
    throw json::out_of_range::create(401, "amount out of range", nullptr);
  return value;
}

int parseTokens(const json &it) {
  return static_cast<int>(parseAmount(it, MaxTokens));
}

milliseconds parseTime(const json &it) {
  return milliseconds(parseAmount(it, MaxMilliseconds));
}

/// Returns the object \p name of \p it. items() of other types would yield
/// indices as names.
const json &objectAt(const json &it, const char *name) {
  const json &object = it.at(name);
  if (!object.is_object())
    throw json::type_error::create(302, "not an object", nullptr);
  return object;
}

} // namespace

std::string encode(const QuotaRequest &it) {
  json wanted = json::object();
  for (const auto &[name, request] : it.Wanted) {
    wanted[name] = {{"tokens", request.Tokens},
                    {"substitute", request.Substitute}};
    if (request.Returned > 0)
      wanted[name]["returned"] = request.Returned;
  }
  return json{{"node", it.Node}, {"wanted", wanted}}.dump();
}

std::string encode(const QuotaReply &it) {
  json granted = json::object();
  for (const auto &[name, grant] : it.Granted)
    granted[name] = {{"tokens", grant.Tokens},
                     {"valid_ms", grant.Valid.count()},
                     {"retry_ms", grant.Retry.count()}};
  return json{{"granted", granted}}.dump();
}

std::optional<QuotaRequest> decodeQuotaRequest(const std::string &text) {
  return control::decodeJson(text, [](const json &it) {
    QuotaRequest request{it.at("node").get<std::string>(), {}};
    for (const auto &[name, wanted] : objectAt(it, "wanted").items()) {
      auto &one = request.Wanted[name];
      one.Tokens = parseTokens(wanted.at("tokens"));
      one.Substitute = wanted.at("substitute").get<bool>();
      if (wanted.contains("returned"))
        one.Returned = parseTokens(wanted["returned"]);
    }
    return request;
  });
}

std::optional<QuotaReply> decodeQuotaReply(const std::string &text) {
  return control::decodeJson(text, [](const json &it) {
    QuotaReply reply;
    for (const auto &[name, granted] : objectAt(it, "granted").items())
      reply.Granted[name] = {parseTokens(granted.at("tokens")),
                             parseTime(granted.at("valid_ms")),
                             parseTime(granted.at("retry_ms"))};
    return reply;
  });
}

} // namespace baobabpin::quota
