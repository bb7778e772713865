#include "baobabpin/base/Errors.h"

#include <array>
#include <utility>

namespace baobabpin::base {
namespace {

using ErrorName = std::pair<ErrorType, std::string_view>;
using OutcomeName = std::pair<Outcome, std::string_view>;

constexpr std::array ErrorNames{
    ErrorName{ErrorType::BadRequest, "bad_request"},
    ErrorName{ErrorType::RequestTooLarge, "request_too_large"},
    ErrorName{ErrorType::UnknownDatabase, "unknown_database"},
    ErrorName{ErrorType::UnknownClass, "unknown_class"},
    ErrorName{ErrorType::InvalidSession, "invalid_session"},
    ErrorName{ErrorType::PositionLost, "position_lost"},
    ErrorName{ErrorType::NotCaughtUp, "not_caught_up"},
    ErrorName{ErrorType::TooStale, "too_stale"},
    ErrorName{ErrorType::Overloaded, "overloaded"},
    ErrorName{ErrorType::TooManyConnections, "too_many_connections"},
    ErrorName{ErrorType::DeadlineExceeded, "deadline_exceeded"},
    ErrorName{ErrorType::NoPrimary, "no_primary"},
    ErrorName{ErrorType::StaleTerm, "stale_term"},
    ErrorName{ErrorType::NotPrimary, "not_primary"},
    ErrorName{ErrorType::ConnectionLost, "connection_lost"},
    ErrorName{ErrorType::CrossedAnswer, "crossed_answer"},
    ErrorName{ErrorType::UnknownTransaction, "unknown_transaction"},
    ErrorName{ErrorType::TransactionLost, "transaction_lost"},
    ErrorName{ErrorType::RequestIdExpired, "request_id_expired"},
    ErrorName{ErrorType::StatementError, "statement_error"},
    ErrorName{ErrorType::Draining, "draining"},
    ErrorName{ErrorType::InvalidResource, "invalid_resource"},
    ErrorName{ErrorType::UnknownKind, "unknown_kind"},
    ErrorName{ErrorType::NotFound, "not_found"},
    ErrorName{ErrorType::Conflict, "conflict"},
    ErrorName{ErrorType::PermissionDenied, "permission_denied"},
    ErrorName{ErrorType::StoreUnavailable, "store_unavailable"},
    ErrorName{ErrorType::InvalidSettings, "invalid_settings"},
    ErrorName{ErrorType::InvalidMessage, "invalid_message"},
    ErrorName{ErrorType::Internal, "internal"},
};

constexpr std::array OutcomeNames{
    OutcomeName{Outcome::Answered, "answered"},
    OutcomeName{Outcome::NotRun, "not_run"},
    OutcomeName{Outcome::Unknown, "unknown"},
    OutcomeName{Outcome::Failed, "failed"},
};

template <typename Names, typename Value>
std::string_view nameOf(const Names &names, Value value) {
  for (const auto &[candidate, name] : names) {
    if (candidate == value)
      return name;
  }
  return "internal";
}

template <typename Value, typename Names>
std::optional<Value> valueOf(const Names &names, std::string_view wanted) {
  for (const auto &[value, name] : names) {
    if (name == wanted)
      return value;
  }
  return std::nullopt;
}

} // namespace

std::string_view errorName(ErrorType type) { return nameOf(ErrorNames, type); }

std::optional<ErrorType> parseErrorType(std::string_view name) {
  return valueOf<ErrorType>(ErrorNames, name);
}

std::string_view outcomeName(Outcome outcome) {
  return nameOf(OutcomeNames, outcome);
}

std::optional<Outcome> parseOutcome(std::string_view name) {
  return valueOf<Outcome>(OutcomeNames, name);
}

} // namespace baobabpin::base
