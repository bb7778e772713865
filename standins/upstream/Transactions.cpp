#include "standins/upstream/internal/Changes.h"

#include <algorithm>
#include <utility>

namespace standins::upstream {

namespace {

/// The table as the transaction sees it, its own writes first.
TableView transactionView(const Database &db, Transaction &transaction) {
  TableView base = internal::tableView(db);
  TableView view;
  view.Lookup = [base, &transaction](const std::string &key) {
    auto it = transaction.Changes.find(key);
    if (it != transaction.Changes.end())
      return std::optional<Value>(it->second);
    return base.Lookup(key);
  };
  view.Scan = [base, &transaction](const std::string &prefix) {
    auto found = base.Scan(prefix);
    for (const auto &[key, value] : transaction.Changes) {
      if (key.starts_with(prefix))
        found.insert_or_assign(key, value);
    }
    return found;
  };
  return view;
}

/// PUT alone decides its effect without reading.
void noteRead(Transaction &transaction, const Statement &statement) {
  if (statement.Operation == Verb::Scan)
    transaction.PrefixesRead.insert(statement.Key);
  else if (statement.Operation != Verb::Put)
    transaction.KeysRead.insert(statement.Key);
}

bool hasRead(const Transaction &transaction, const std::string &key) {
  if (transaction.KeysRead.contains(key))
    return true;
  return std::ranges::any_of(
      transaction.PrefixesRead,
      [&](const std::string &prefix) { return key.starts_with(prefix); });
}

/// Whether an entry after the transaction's begin changed what it read.
bool conflicts(const Database &db, const Transaction &transaction) {
  for (LogIndex i = transaction.BaseIndex; i < db.Log.size(); ++i) {
    for (const auto &[key, value] : db.Log[i].Entry.Changes) {
      if (hasRead(transaction, key))
        return true;
    }
  }
  return false;
}

void drop(Database &db, TimePoint now, const std::string &name,
          const char *reason) {
  db.Transactions.erase(name);
  internal::note(db, {.What = DatabaseEvent::Kind::RolledBack,
                      .At = now,
                      .Term = db.Term,
                      .Position = lastPosition(db),
                      .Subject = name,
                      .Reason = reason});
}

template <typename Matches>
void dropMatching(Database &db, TimePoint now, const char *reason,
                  Matches matches) {
  std::vector<std::string> names;
  for (const auto &[name, it] : db.Transactions) {
    if (matches(name, it))
      names.push_back(name);
  }
  for (const auto &name : names)
    drop(db, now, name, reason);
}

void expireRecords(Database &db, TimePoint now) {
  // No record can be older than the server; this spares a scan of all of them.
  if (now - db.Opened < RecordLifetime)
    return;
  std::erase_if(db.Records, [&](const auto &record) {
    return internal::checkRequestId(db, now, record.first).Error ==
           Problem::RequestIdExpired;
  });
}

} // namespace

namespace internal {

Answer checkTransaction(const Database &db, const std::string &transaction,
                        std::uint64_t connection) {
  auto it = db.Transactions.find(transaction);
  if (it == db.Transactions.end())
    return refuse(db, Problem::UnknownTransaction,
                  "no open transaction " + transaction);
  // Told apart from an unknown one: this one may still commit.
  if (it->second.Connection != connection)
    return refuse(db, Problem::BadRequest,
                  transaction + " is open on another connection");
  return {};
}

Answer runInTransaction(Database &db, TimePoint now, const ExecuteCall &call) {
  Transaction &transaction = db.Transactions.at(call.Transaction);
  transaction.LastUsed = now;
  auto statement = *parseStatement(call.Text);
  Evaluation evaluation = evaluate(statement, transactionView(db, transaction));
  noteRead(transaction, statement);
  if (!evaluation.Error.empty())
    return refuse(db, Problem::StatementError, evaluation.Error);
  for (auto &[key, value] : evaluation.Changes)
    transaction.Changes.insert_or_assign(key, std::move(value));
  if (call.IsWrite)
    transaction.Text += (transaction.Text.empty() ? "" : "; ") + call.Text;
  Answer answer;
  answer.Result = std::move(evaluation.Result);
  answer.Position = lastPosition(db);
  return answer;
}

void rollbackAll(Database &db, TimePoint now) {
  dropMatching(db, now, "stepped_down",
               [](const auto &, const auto &) { return true; });
}

} // namespace internal

Answer checkBegin(const Database &db, TermNumber term) {
  return internal::checkLeads(db, term);
}

Answer begin(Database &db, TimePoint now, TermNumber term,
             std::uint64_t connection) {
  if (Answer answer = internal::checkLeads(db, term); !answer.isOk())
    return answer;
  std::string name = db.Server + "-" + std::to_string(term) + "-" +
                     std::to_string(db.NextTransaction++);
  db.Transactions.emplace(name,
                          Transaction{.Connection = connection,
                                      .Term = term,
                                      .LastUsed = now,
                                      .BaseIndex = lastPosition(db).Index});
  Answer answer;
  answer.Position = lastPosition(db);
  answer.Transaction = std::move(name);
  return answer;
}

Answer commit(Database &db, TimePoint now, const EndCall &call) {
  if (Answer answer = internal::checkLeads(db, call.Term); !answer.isOk())
    return answer;
  Answer answer = internal::checkRequestId(db, now, call.Request);
  if (!answer.isOk())
    return answer;
  // A repeated commit finds its record; its transaction is gone by then.
  if (auto recorded = internal::replay(db, call.Request))
    return *recorded;
  answer = internal::checkTransaction(db, call.Transaction, call.Connection);
  if (!answer.isOk())
    return answer;
  Transaction transaction = std::move(db.Transactions.at(call.Transaction));
  db.Transactions.erase(call.Transaction);
  if (conflicts(db, transaction))
    return internal::refuse(db, Problem::StatementError,
                            "another write changed what the transaction read");
  // Without changes too: the record must answer a repeat.
  internal::appendOwn(db, now,
                      {.Request = call.Request,
                       .Text = std::move(transaction.Text),
                       .Changes = std::move(transaction.Changes)});
  answer.Position = lastPosition(db);
  return answer;
}

Answer rollback(Database &db, TimePoint now, const EndCall &call) {
  Answer answer =
      internal::checkTransaction(db, call.Transaction, call.Connection);
  if (!answer.isOk())
    return answer;
  drop(db, now, call.Transaction, "requested");
  answer.Position = lastPosition(db);
  return answer;
}

void closeConnection(Database &db, TimePoint now, std::uint64_t connection) {
  dropMatching(db, now, "closed", [&](const auto &, const Transaction &it) {
    return it.Connection == connection;
  });
}

void expire(Database &db, TimePoint now, const std::set<std::string> &busy) {
  dropMatching(db, now, "idle",
               [&](const std::string &name, const Transaction &it) {
                 return !busy.contains(name) &&
                        now - it.LastUsed >= TransactionIdleBound;
               });
  expireRecords(db, now);
}

} // namespace standins::upstream
