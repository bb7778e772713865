// The writes and transactions of CallerSession.
#include "standins/load/CallerSession.h"

#include <utility>

namespace standins::load {

using Shape = ClassMix::Shape;

Attempt CallerSession::makeWrite() const {
  bool isCommit = Current->What == Shape::Transaction;
  Attempt attempt =
      isCommit ? makeTransactionStep("/v1/transaction/commit", "commit")
               : makeStatement(0);
  attempt.Body["request_id"] = Current->RequestId;
  attempt.Record.RequestId = Current->RequestId;
  bool isRepeat = MayHaveRun || AnswerDropped;
  attempt.Record.Repeat = isRepeat;
  if (isRepeat)
    attempt.Body["repeat"] = true;
  return attempt;
}

void CallerSession::sendWrite() {
  ++Attempts;
  Client.send(makeWrite(), [this](AttemptEnd &end) { onWrite(end); });
}

void CallerSession::onWrite(AttemptEnd &end) {
  history::HistoryRecord &record = end.Record;
  bool isFinal = record.Outcome == "answered" || record.Outcome == "failed" ||
                 record.Outcome == "not_run";
  if (!isFinal) {
    repeatWrite(end);
    return;
  }
  bool mayDrop = record.Outcome == "answered" && !AnswerDropped;
  if (mayDrop && Draws.drawChance(Behaviour.DropShare)) {
    record.Dropped = true;
    AnswerDropped = true;
    ++Counts.DroppedAnswers;
    retryAfterBackoff(&CallerSession::sendWrite);
    return;
  }
  finishWrite(end);
}

void CallerSession::finishWrite(const AttemptEnd &end) {
  const history::HistoryRecord &record = end.Record;
  countEnd(end);
  if (record.Outcome == "answered") {
    takeToken(end);
    LastWrite = WrittenKey{Current->Group, Current->Key};
    ReadBackNext = Draws.drawChance(Behaviour.ReadBackShare);
    if (record.Repeat)
      ++Counts.RepeatsAnswered;
  }
  if (record.Error == "position_lost")
    restartSession();
  finish();
}

void CallerSession::repeatWrite(const AttemptEnd &end) {
  // A connection that was never made carried nothing.
  if (end.Record.Transfer != "not_sent")
    MayHaveRun = true;
  if (Attempts >= Behaviour.WriteAttempts) {
    countEnd(end);
    finish();
    return;
  }
  retryAfterBackoff(&CallerSession::sendWrite);
}

Attempt CallerSession::makeTransactionStep(const std::string &path,
                                           const std::string &kind) const {
  Attempt attempt = makeAttempt(path, kind);
  attempt.Record.Transaction = Current->RequestId;
  if (!Transaction.empty())
    attempt.Body["transaction"] = Transaction;
  return attempt;
}

void CallerSession::sendBegin() {
  ++Attempts;
  Client.send(makeTransactionStep("/v1/transaction/begin", "begin"),
              [this](AttemptEnd &end) { onBegin(end); });
}

void CallerSession::onBegin(const AttemptEnd &end) {
  if (end.Record.Outcome == "answered") {
    Attempts = 0;
    Transaction = end.Transaction;
    sendTransactionStatement();
    return;
  }
  if (end.Record.Error == "position_lost") {
    restartSession();
  } else if (Attempts < Behaviour.ReadAttempts) {
    // A transaction that was begun without an answer ends by its idle limit.
    retryAfterBackoff(&CallerSession::sendBegin);
    return;
  }
  countEnd(end);
  finish();
}

void CallerSession::sendTransactionStatement() {
  if (Step == Current->Statements.size()) {
    sendWrite();
    return;
  }
  const std::string &statement = Current->Statements[Step++];
  bool isWrite = statement.rfind("GET", 0) != 0;
  const std::string kind = isWrite ? "write" : "read";
  Attempt attempt = makeTransactionStep("/v1/statement", kind);
  attempt.Body["kind"] = kind;
  attempt.Body["statement"] = statement;
  attempt.Record.Statement = statement;
  Client.send(std::move(attempt), [this](AttemptEnd &end) {
    if (end.Record.Outcome == "answered") {
      sendTransactionStatement();
      return;
    }
    countEnd(end);
    rollBack();
  });
}

void CallerSession::rollBack() {
  Client.send(makeTransactionStep("/v1/transaction/rollback", "rollback"),
              [this](AttemptEnd &) { finish(); });
}

} // namespace standins::load
