#include "baobabpin/owner/GroupRunner.h"

#include "baobabpin/replication/Confirmation.h"

namespace baobabpin::owner {

using base::ErrorType;
using base::Outcome;
using upstream::Answer;
using upstream::CallOutcome;
using namespace std::chrono_literals;

namespace {

/// Limits for the time between two statements of a transaction and for its
/// whole duration. A client that disappeared must not keep one of the few
/// slots.
constexpr auto TransactionIdleLimit = 5s;
constexpr auto TransactionDurationLimit = 30s;
/// Separates the parts of a transaction ID; the last one is the server's ID.
constexpr char TransactionIdSeparator = '|';
/// Delay before a commit is sent again whose transaction is still open on
/// another connection of the server.
constexpr auto OpenElsewhereRetryDelay = 500ms;

} // namespace

void GroupRunner::submitInTransaction(const PendingPtr &pending) {
  auto it = Transactions.find(pending->Request.transaction());
  bool isCommit = pending->Request.operation() == proto::ForwardRequest::COMMIT;
  if (it == Transactions.end()) {
    if (isCommit && pending->Request.repeat()) {
      enqueuePending(pending);
      dispatchQueued();
      return;
    }
    // The owner or the server ended the transaction, so none of its statements
    // takes effect. The request is not a repeated commit, so no earlier commit
    // can have succeeded.
    refuse(pending, ErrorType::TransactionLost,
           "the transaction is not open on this node");
    return;
  }
  Transaction &transaction = it->second;
  if (transaction.Busy) {
    refuse(pending, ErrorType::BadRequest,
           "another statement of this transaction is running");
    return;
  }
  transaction.LastUsed = Loop.now();
  transaction.Busy = true;
  if (pending->Request.operation() == proto::ForwardRequest::EXECUTE)
    runInTransaction(pending, transaction);
  else
    endTransaction(pending, transaction);
}

void GroupRunner::beginTransaction(const PendingPtr &pending) {
  auto primary = replication::currentPrimary(State);
  auto &link = *Links.at(primary->Primary);
  Transaction transaction;
  transaction.Id = Settings.Self + "|" + std::to_string(Rng());
  transaction.Server = primary->Primary;
  transaction.Slot = link.reserve();
  transaction.Term = primary->Term;
  transaction.StartedAt = Loop.now();
  transaction.LastUsed = transaction.StartedAt;
  transaction.Busy = true;
  std::string id = transaction.Id;
  Transactions[id] = transaction;
  link.callIn(
      *transaction.Slot, upstream::BeginTransactionRequest{primary->Term},
      pending->Deadline - Loop.now(),
      [this, pending, id](const Answer &answer, base::TimePoint) {
        auto node = Transactions.extract(id);
        Transaction &begun = node.mapped();
        begun.Busy = false;
        if (answer.Outcome == CallOutcome::Ok) {
          // The client's transaction ID contains the server's ID, so that a
          // later owner can ask the primary for the outcome of a commit.
          begun.ServerTransaction = answer.Transaction;
          begun.Id += TransactionIdSeparator + answer.Transaction;
          node.key() = begun.Id;
        }
        auto &it = Transactions.insert(std::move(node)).position->second;
        if (answer.Outcome == CallOutcome::Ok) {
          proto::ForwardReply reply;
          reply.set_outcome(std::string(base::outcomeName(Outcome::Answered)));
          reply.set_transaction(it.Id);
          reply.set_server(it.Server);
          reply.set_role("primary");
          reply.set_age_ms(-1);
          finish(pending, std::move(reply));
          return;
        }
        base::ServerId server = it.Server;
        closeTransaction(id, answer.Outcome != CallOutcome::Refused);
        if (answer.Outcome == CallOutcome::Refused) {
          onRefused(pending, server, answer);
        } else {
          // Closing the connection has rolled back the transaction that the
          // server may have begun.
          reportNoAnswer(server, replication::RequestKind::Statement, answer);
          retryWithinBudget(pending, 10ms, ErrorType::ConnectionLost);
        }
        dispatchQueued();
      });
}

void GroupRunner::runInTransaction(const PendingPtr &pending,
                                   Transaction &transaction) {
  upstream::ExecuteRequest call;
  call.Term = transaction.Term;
  call.IsWrite = pending->Request.is_write();
  call.Statement = pending->Request.statement();
  call.Transaction = transaction.ServerTransaction;
  Links.at(transaction.Server)
      ->callIn(
          *transaction.Slot, call, pending->Deadline - Loop.now(),
          [this, pending, id = transaction.Id](Answer answer, base::TimePoint) {
            auto &it = Transactions.at(id);
            it.Busy = false;
            it.LastUsed = Loop.now();
            switch (answer.Outcome) {
            case CallOutcome::Ok:
            case CallOutcome::Failed:
              pending->AnsweredBy = it.Server;
              pending->AnswerTerm = it.Term;
              pending->Answer = std::move(answer);
              // The answer needs no proof: only the commit makes the statement
              // durable, and the commit waits for its proof.
              this->finishAnswered(pending);
              return;
            default:
              closeTransaction(id, true);
              refuse(pending, ErrorType::TransactionLost,
                     "the transaction was rolled back");
              dispatchQueued();
            }
          });
}

void GroupRunner::endTransaction(const PendingPtr &pending,
                                 Transaction &transaction) {
  upstream::EndTransactionRequest call;
  call.Commit = pending->Request.operation() == proto::ForwardRequest::COMMIT;
  call.Term = transaction.Term;
  call.Transaction = transaction.ServerTransaction;
  call.Request = pending->Request.request_id();
  Links.at(transaction.Server)
      ->callIn(*transaction.Slot, call, pending->Deadline - Loop.now(),
               [this, pending, id = transaction.Id](Answer answer,
                                                    base::TimePoint sentAt) {
                 Transaction it = Transactions.at(id);
                 bool ended = answer.Outcome == CallOutcome::Ok ||
                              answer.Outcome == CallOutcome::Failed;
                 closeTransaction(id, !ended);
                 if (ended) {
                   onPrimaryAnswer(pending, it.Server, it.Term,
                                   std::move(answer), sentAt);
                 } else if (answer.Outcome == CallOutcome::Lost &&
                            isWrite(*pending)) {
                   reportNoAnswer(it.Server,
                                  replication::RequestKind::Statement, answer);
                   finishUnknown(pending, ErrorType::TransactionLost);
                 } else {
                   refuse(pending, ErrorType::TransactionLost,
                          "the transaction was rolled back");
                 }
                 reportWritesInFlight();
                 dispatchQueued();
               });
}

void GroupRunner::closeTransaction(const std::string &id, bool discard) {
  auto it = Transactions.find(id);
  Links.at(it->second.Server)->release(*it->second.Slot, discard);
  Transactions.erase(it);
}

void GroupRunner::retryCommit(const PendingPtr &pending) {
  auto primary = replication::currentPrimary(State);
  const auto &id = pending->Request.transaction();
  upstream::EndTransactionRequest call;
  call.Commit = true;
  call.Term = primary->Term;
  call.Transaction = id.substr(id.rfind(TransactionIdSeparator) + 1);
  call.Request = pending->Request.request_id();
  ++StatementsInFlight;
  Links.at(primary->Primary)
      ->call(call, pending->Deadline - Loop.now(),
             [this, pending, server = primary->Primary,
              term = primary->Term](Answer answer, base::TimePoint sentAt) {
               --StatementsInFlight;
               bool refused = answer.Outcome == CallOutcome::Refused;
               if (refused && answer.Error == ErrorType::UnknownTransaction)
                 confirmRollback(pending, server, term, std::move(answer));
               else if (refused && answer.Error == ErrorType::BadRequest)
                 delayRequest(pending, OpenElsewhereRetryDelay);
               else
                 onPrimaryAnswer(pending, server, term, std::move(answer),
                                 sentAt);
               dispatchQueued();
             });
}

void GroupRunner::confirmRollback(const PendingPtr &pending,
                                  const base::ServerId &server,
                                  base::TermNumber term, Answer answer) {
  // Every later primary has the record of a commit that survived. A commit
  // without a record can no longer happen, because its transaction is closed.
  // The primary's answer counts only after a majority has confirmed its term.
  pending->Answer = std::move(answer);
  pending->AnsweredBy = server;
  pending->AnswerTerm = term;
  pending->ProofSince = Loop.now();
  pending->Proof = ProofKind::Term;
  AwaitingProof.push_back(pending);
  perform(replication::requestStatusRound(State, Loop.now()));
}

void GroupRunner::expireTransactions(base::TimePoint now) {
  std::vector<std::string> expired;
  for (const auto &[id, it] : Transactions) {
    bool idle = !it.Busy && now - it.LastUsed >= TransactionIdleLimit;
    if (idle || (!it.Busy && now - it.StartedAt >= TransactionDurationLimit))
      expired.push_back(id);
  }
  for (const auto &id : expired) {
    record("transaction_expired", {{"transaction", id}});
    closeTransaction(id, true);
  }
  if (!expired.empty())
    reportWritesInFlight();
}

} // namespace baobabpin::owner
