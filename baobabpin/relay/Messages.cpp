#include "baobabpin/relay/Messages.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace baobabpin::relay {
namespace {

using nlohmann::json;

json toJson(base::LogPosition it) { return json::array({it.Term, it.Index}); }

base::LogPosition positionFrom(const json &it) {
  return {it.at(0).get<base::TermNumber>(), it.at(1).get<base::LogIndex>()};
}

json toJson(const sql::Statement &it) {
  return json::array({static_cast<int>(it.Kind), it.Name, it.Argument,
                      static_cast<int>(it.PreparedAccess), it.Text});
}

template <typename T> T enumFrom(const json &it, T last) {
  int n = it.get<int>();
  if (n < 0 || n > static_cast<int>(last))
    throw json::type_error::create(302, "value out of range", nullptr);
  return static_cast<T>(n);
}

/// The longest duration that an optional member may state. It exceeds all time
/// limits, and sums of such durations cannot overflow.
constexpr std::int64_t MaxDurationMs = 3'600'000;

/// Reads a duration that is omitted when it is 0, limited to a sensible range.
std::chrono::milliseconds optionalDuration(const json &body, const char *key) {
  auto it = body.find(key);
  if (it == body.end())
    return std::chrono::milliseconds(0);
  if (!it->is_number_integer())
    throw json::type_error::create(302, "not an integer", nullptr);
  if (it->is_number_unsigned())
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(
        it->get<std::uint64_t>(), static_cast<std::uint64_t>(MaxDurationMs))));
  return std::chrono::milliseconds(
      std::clamp<std::int64_t>(it->get<std::int64_t>(), 0, MaxDurationMs));
}

sql::Verb verbFrom(const json &it) {
  return enumFrom(it, sql::Verb::Deallocate);
}

sql::Access accessFrom(const json &it) {
  return enumFrom(it, sql::Access::Write);
}

sql::Statement statementFrom(const json &it) {
  return {verbFrom(it.at(0)), it.at(1).get<std::string>(),
          it.at(2).get<std::string>(), accessFrom(it.at(3)),
          it.at(4).get<std::string>()};
}

void addRun(json &body, const Request &it) {
  body["id"] = it.StatementId;
  body["statement"] = toJson(it.Statement);
  body["database"] = it.Database;
  if (!it.Organisation.empty())
    body["organisation"] = it.Organisation;
  body["reads"] = static_cast<int>(it.Reads);
  body["priority"] = it.Priority;
  body["left_ms"] = it.TimeLeft.count();
  if (it.TargetLeft.count() > 0)
    body["target_ms"] = it.TargetLeft.count();
  body["writes"] = it.Writes;
  body["primary"] = it.NeedsPrimary;
  if (it.Begin)
    body["begin"] = static_cast<int>(*it.Begin);
  if (it.WaitFor)
    body["wait_for"] = toJson(*it.WaitFor);
  if (!it.Values.empty())
    body["values"] = it.Values;
  if (it.Prepared)
    body["prepared"] = json::array(
        {static_cast<int>(it.Prepared->Access), it.Prepared->Shape});
}

void readRun(const json &body, Request &it) {
  it.StatementId = body.at("id").get<std::string>();
  it.Statement = statementFrom(body.at("statement"));
  it.Database = body.at("database").get<std::string>();
  it.Organisation = body.value("organisation", std::string());
  it.Reads = enumFrom(body.at("reads"), cluster::Consistency::ReadYourWrites);
  it.Priority = body.at("priority").get<int>();
  it.TimeLeft =
      std::chrono::milliseconds(body.at("left_ms").get<std::int64_t>());
  it.TargetLeft = optionalDuration(body, "target_ms");
  it.Writes = body.at("writes").get<bool>();
  it.NeedsPrimary = body.at("primary").get<bool>();
  if (body.contains("begin"))
    it.Begin = verbFrom(body["begin"]);
  if (body.contains("wait_for"))
    it.WaitFor = positionFrom(body["wait_for"]);
  if (body.contains("values"))
    it.Values = body["values"].get<std::map<std::string, std::string>>();
  if (body.contains("prepared"))
    it.Prepared = PreparedStatement{accessFrom(body["prepared"].at(0)),
                                    body["prepared"].at(1).get<std::string>()};
}

json toJson(const sql::Reply &it) {
  json body{{"state", static_cast<int>(it.State)}};
  if (it.Lost)
    body["lost"] = true;
  if (it.Error) {
    body["error"] = static_cast<int>(*it.Error);
    body["text"] = it.ErrorText;
  }
  if (!it.Signature.empty())
    body["signature"] = it.Signature;
  if (!it.Rows.empty())
    body["rows"] = it.Rows;
  if (it.Position)
    body["position"] = toJson(*it.Position);
  return body;
}

sql::Reply resultFrom(const json &body) {
  sql::Reply it;
  it.State = enumFrom(body.at("state"), sql::TransactionState::Failed);
  it.Lost = body.value("lost", false);
  if (body.contains("error"))
    it.Error = enumFrom(body["error"], sql::ErrorCode::Denied);
  it.ErrorText = body.value("text", std::string());
  it.Signature = body.value("signature", std::string());
  if (body.contains("rows"))
    it.Rows = body["rows"].get<std::vector<std::string>>();
  if (body.contains("position"))
    it.Position = positionFrom(body["position"]);
  return it;
}

/// The key that marks a message whose strings have one character per byte.
constexpr const char *BytesKey = "bytes";

std::string bytesToUtf8(const std::string &bytes) {
  std::string text;
  for (unsigned char c : bytes) {
    if (c < 0x80) {
      text += static_cast<char>(c);
      continue;
    }
    text += static_cast<char>(0xC0 | (c >> 6));
    text += static_cast<char>(0x80 | (c & 0x3F));
  }
  return text;
}

std::string utf8ToBytes(const std::string &text) {
  std::string bytes;
  for (std::size_t n = 0; n < text.size(); ++n) {
    unsigned char c = text[n];
    if (c >= 0x80 && n + 1 < text.size()) {
      unsigned char low = text[++n];
      c = static_cast<unsigned char>(((c & 0x03) << 6) | (low & 0x3F));
    }
    bytes += static_cast<char>(c);
  }
  return bytes;
}

/// The deepest nesting of a message.
constexpr int MaxDepth = 16;

/// Applies \p change to all strings in \p it, including object keys. A peer's
/// message that is nested more deeply than \p depth is malformed.
json mapStrings(const json &it, std::string (*change)(const std::string &),
                int depth = MaxDepth) {
  if (depth < 0)
    throw json::type_error::create(302, "too deeply nested", nullptr);
  if (it.is_string())
    return change(it.get_ref<const std::string &>());
  if (it.is_array()) {
    json list = json::array();
    for (const json &entry : it)
      list.push_back(mapStrings(entry, change, depth - 1));
    return list;
  }
  if (!it.is_object())
    return it;
  json object = json::object();
  for (const auto &[key, value] : it.items())
    object[change(key)] = mapStrings(value, change, depth - 1);
  return object;
}

/// Serialises a message. JSON strings must be UTF-8, so in a message with other
/// bytes every byte of a string is sent as one character.
std::string dump(const json &body) {
  try {
    return body.dump(-1, ' ', true);
  } catch (const json::type_error &) {
    json encoded = mapStrings(body, bytesToUtf8);
    encoded[BytesKey] = true;
    return encoded.dump(-1, ' ', true);
  }
}

json parse(std::string_view line) {
  json body = json::parse(line);
  if (body.is_object() && body.contains(BytesKey))
    return mapStrings(body, utf8ToBytes);
  return body;
}

} // namespace

std::string encode(const Request &it) {
  json body{{"seq", it.Sequence},
            {"kind", static_cast<int>(it.Kind)},
            {"group", it.Group},
            {"server", it.Server},
            {"tx", it.Transaction}};
  if (it.Kind == RequestKind::Run)
    addRun(body, it);
  return dump(body);
}

std::string encode(const Reply &it) {
  json body{{"seq", it.Sequence},          {"leaving", it.Leaving},
            {"result", toJson(it.Result)}, {"refused", it.RefusedByOwner},
            {"tx", it.Transaction},        {"epoch", it.Epoch},
            {"primary", it.OnPrimary}};
  if (it.ExpectedWait.count() > 0)
    body["wait_ms"] = it.ExpectedWait.count();
  if (it.Position) {
    body["position"] = toJson(*it.Position);
    body["position_age_ms"] = it.PositionAge.count();
  }
  if (it.PrimaryReplyAge)
    body["heard_ms"] = it.PrimaryReplyAge->count();
  return dump(body);
}

std::optional<Request> decodeRequest(std::string_view line) {
  try {
    json body = parse(line);
    Request it;
    it.Sequence = body.at("seq").get<std::uint64_t>();
    it.Kind = enumFrom(body.at("kind"), RequestKind::Cancel);
    it.Group = body.at("group").get<std::string>();
    it.Server = body.at("server").get<std::string>();
    it.Transaction = body.at("tx").get<std::uint64_t>();
    if (it.Kind == RequestKind::Run)
      readRun(body, it);
    return it;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

std::optional<Reply> decodeReply(std::string_view line) {
  try {
    json body = parse(line);
    Reply it;
    it.Sequence = body.at("seq").get<std::uint64_t>();
    it.Leaving = body.at("leaving").get<bool>();
    it.Result = resultFrom(body.at("result"));
    it.RefusedByOwner = body.at("refused").get<bool>();
    it.ExpectedWait = optionalDuration(body, "wait_ms");
    it.Transaction = body.at("tx").get<std::uint64_t>();
    it.Epoch = body.at("epoch").get<std::uint64_t>();
    it.OnPrimary = body.at("primary").get<bool>();
    if (body.contains("position")) {
      it.Position = positionFrom(body["position"]);
      it.PositionAge = std::chrono::milliseconds(
          body.at("position_age_ms").get<std::int64_t>());
    }
    if (body.contains("heard_ms"))
      it.PrimaryReplyAge =
          std::chrono::milliseconds(body["heard_ms"].get<std::int64_t>());
    return it;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace baobabpin::relay
