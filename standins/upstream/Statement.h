/// The statement language of the upstream stand-in, over one table of string
/// keys with integer or text values:
///
///   GET key          the value, or the empty string when the key is absent
///   PUT key value    "ok"; the rest of the line is the value, an integer when
///                    it reads as one
///   ADD key n        the new value; an absent key counts as 0
///   TAKE key n       the new value; fails when less than n is left
///   APPEND key text  the new value; an absent key counts as empty
///   SCAN prefix      a JSON object of all keys with the prefix; an empty
///                    prefix matches every key
///
/// \code
///   auto statement = parseStatement("ADD stock:1 -2");
///   Evaluation e = evaluate(*statement, view);
/// \endcode
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace standins::upstream {

using Value = std::variant<std::int64_t, std::string>;

std::string formatValue(const Value &value);

/// New values of the keys that a write changes.
using Effects = std::map<std::string, Value>;

enum class Verb { Get, Put, Add, Take, Append, Scan };

struct Statement {
  Verb Operation = Verb::Get;
  /// The key, or the prefix of a scan.
  std::string Key;
  Value Operand;

  bool isWrite() const {
    return Operation != Verb::Get && Operation != Verb::Scan;
  }
};

/// Empty when \p text is no statement.
std::optional<Statement> parseStatement(std::string_view text);

/// Where a statement reads: the table, or a transaction's view of it.
struct TableView {
  std::function<std::optional<Value>(const std::string &key)> Lookup;
  std::function<std::map<std::string, Value>(const std::string &prefix)> Scan;
};

struct Evaluation {
  /// Why the database rejects the statement; empty when it does not.
  std::string Error;
  std::string Result;
  Effects Changes;
};

Evaluation evaluate(const Statement &statement, const TableView &view);

} // namespace standins::upstream
