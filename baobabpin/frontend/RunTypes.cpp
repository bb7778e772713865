#include "baobabpin/frontend/RunTypes.h"

namespace baobabpin::frontend {

void rollBack(GroupProxy &group, const PinnedTransaction &transaction) {
  if (transaction.Channel)
    transaction.Channel->release(transaction.TransactionId);
  else if (transaction.Connection)
    group.rollBackAndRelease(transaction.Pool, transaction.Connection);
}

std::string_view retryCauseName(RetryCause cause) {
  switch (cause) {
  case RetryCause::ServerRefused:
    return "server_refused";
  case RetryCause::SetupRefused:
    return "setup_refused";
  case RetryCause::ServerUnreachable:
    return "server_unreachable";
  case RetryCause::ConnectionLost:
    return "connection_lost";
  case RetryCause::ReplyLost:
    return "reply_lost";
  case RetryCause::SlowReply:
    return "slow_reply";
  case RetryCause::OwnerRefused:
    return "owner_refused";
  case RetryCause::NoOwner:
    return "no_owner";
  case RetryCause::Overloaded:
    break;
  }
  return "overloaded";
}

} // namespace baobabpin::frontend
