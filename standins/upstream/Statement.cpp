#include "standins/upstream/Statement.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace standins::upstream {

namespace {

struct VerbName {
  std::string_view Name;
  Verb Operation;
};

constexpr std::array<VerbName, 6> VerbNames{{{"GET", Verb::Get},
                                             {"PUT", Verb::Put},
                                             {"ADD", Verb::Add},
                                             {"TAKE", Verb::Take},
                                             {"APPEND", Verb::Append},
                                             {"SCAN", Verb::Scan}}};

std::string_view takeWord(std::string_view &rest) {
  auto end = std::min(rest.find(' '), rest.size());
  std::string_view word = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return word;
}

std::optional<std::int64_t> parseInteger(std::string_view text) {
  std::int64_t n = 0;
  auto [ptr, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || ptr != text.data() + text.size())
    return std::nullopt;
  return n;
}

Value parseValue(std::string_view text) {
  auto n = parseInteger(text);
  // "007" and "+7" stay text: they would not read back as written.
  if (n && std::to_string(*n) == text)
    return *n;
  return std::string(text);
}

Evaluation reject(std::string error) {
  Evaluation evaluation;
  evaluation.Error = std::move(error);
  return evaluation;
}

Evaluation changed(const std::string &key, Value value) {
  Evaluation evaluation;
  evaluation.Result = formatValue(value);
  evaluation.Changes.emplace(key, std::move(value));
  return evaluation;
}

Evaluation evaluateSum(const Statement &statement,
                       const std::optional<Value> &before) {
  Value current = before.value_or(std::int64_t{0});
  if (!std::holds_alternative<std::int64_t>(current))
    return reject("value of " + statement.Key + " is not an integer");
  auto stored = std::get<std::int64_t>(current);
  auto operand = std::get<std::int64_t>(statement.Operand);
  bool takes = statement.Operation == Verb::Take;
  if (takes && stored < operand)
    return reject("not enough of " + statement.Key);
  std::int64_t sum = 0;
  bool overflows = takes ? __builtin_sub_overflow(stored, operand, &sum)
                         : __builtin_add_overflow(stored, operand, &sum);
  if (overflows)
    return reject("value of " + statement.Key + " is out of range");
  return changed(statement.Key, sum);
}

Evaluation evaluateScan(const std::map<std::string, Value> &found) {
  nlohmann::json object = nlohmann::json::object();
  for (const auto &entry : found)
    std::visit([&](const auto &it) { object[entry.first] = it; }, entry.second);
  Evaluation evaluation;
  evaluation.Result =
      object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return evaluation;
}

} // namespace

std::string formatValue(const Value &value) {
  if (const auto *n = std::get_if<std::int64_t>(&value))
    return std::to_string(*n);
  return std::get<std::string>(value);
}

std::optional<Statement> parseStatement(std::string_view text) {
  std::string_view rest = text;
  std::string_view word = takeWord(rest);
  const auto *it = std::find_if(
      VerbNames.begin(), VerbNames.end(),
      [&](const VerbName &candidate) { return candidate.Name == word; });
  if (it == VerbNames.end())
    return std::nullopt;
  Statement statement{it->Operation, std::string(takeWord(rest)), {}};
  bool isRead = !statement.isWrite();
  if (isRead != rest.empty())
    return std::nullopt;
  if (statement.Key.empty() && statement.Operation != Verb::Scan)
    return std::nullopt;
  if (statement.Operation == Verb::Put)
    statement.Operand = parseValue(rest);
  if (statement.Operation == Verb::Append)
    statement.Operand = std::string(rest);
  if (statement.Operation != Verb::Add && statement.Operation != Verb::Take)
    return statement;
  auto n = parseInteger(rest);
  if (!n || (statement.Operation == Verb::Take && *n < 0))
    return std::nullopt;
  statement.Operand = *n;
  return statement;
}

Evaluation evaluate(const Statement &statement, const TableView &view) {
  if (statement.Operation == Verb::Scan)
    return evaluateScan(view.Scan(statement.Key));
  auto before = view.Lookup(statement.Key);
  switch (statement.Operation) {
  case Verb::Get: {
    Evaluation evaluation;
    if (before)
      evaluation.Result = formatValue(*before);
    return evaluation;
  }
  case Verb::Put: {
    Evaluation evaluation = changed(statement.Key, statement.Operand);
    evaluation.Result = "ok";
    return evaluation;
  }
  case Verb::Append: {
    std::string text = before ? formatValue(*before) : std::string();
    text += std::get<std::string>(statement.Operand);
    return changed(statement.Key, std::move(text));
  }
  default:
    return evaluateSum(statement, before);
  }
}

} // namespace standins::upstream
