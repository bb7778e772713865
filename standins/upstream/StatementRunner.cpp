#include "standins/upstream/StatementRunner.h"

#include <utility>
#include <vector>

namespace standins::upstream {

using baobabpin::base::Duration;

StatementRunner::StatementRunner(baobabpin::kernel::EventLoop &loop,
                                 Database &db, std::size_t slots,
                                 StatementTimes times, std::uint64_t seed,
                                 std::function<void()> logChanged)
    : Loop(loop), Db(db), Seats{.Limit = slots}, Times(times), Random(seed),
      LogChanged(std::move(logChanged)), Calls(loop) {}

void StatementRunner::execute(ExecuteCall call, Duration wait, Done done) {
  Answer answer = checkExecute(Db, Loop.now(), call);
  if (answer.isOk()) {
    admit(std::move(call), std::move(done));
    return;
  }
  if (answer.Error != Problem::NotCaughtUp || wait <= Duration::zero()) {
    done(answer);
    return;
  }
  std::uint64_t id = NextWaiting++;
  Waiting.emplace(id, WaitingRead{std::move(call), std::move(done)});
  Calls.after(wait, [this, id] { recheck(id, true); });
}

void StatementRunner::recheck(std::uint64_t id, bool isLast) {
  auto it = Waiting.find(id);
  if (it == Waiting.end())
    return;
  Answer answer = checkExecute(Db, Loop.now(), it->second.Call);
  if (answer.Error == Problem::NotCaughtUp && !isLast)
    return;
  WaitingRead read = std::move(it->second);
  Waiting.erase(it);
  if (answer.isOk())
    admit(std::move(read.Call), std::move(read.Finished));
  else
    read.Finished(answer);
}

void StatementRunner::admit(ExecuteCall call, Done done) {
  std::string transaction = call.Transaction;
  auto run = [this, call = std::move(call)] {
    return upstream::execute(Db, Loop.now(), call);
  };
  enqueue({std::move(run), std::move(done), std::move(transaction)});
}

void StatementRunner::begin(TermNumber term, std::uint64_t connection,
                            Done done) {
  Answer check = checkBegin(Db, term);
  if (!check.isOk()) {
    done(check);
    return;
  }
  enqueue({[this, term, connection] {
             return upstream::begin(Db, Loop.now(), term, connection);
           },
           std::move(done),
           {}});
}

void StatementRunner::commit(const EndCall &call, Done done) {
  auto run = [this, call] { return upstream::commit(Db, Loop.now(), call); };
  // A repeat whose transaction is gone only looks up the record.
  if (!TransactionSlots.contains(call.Transaction)) {
    done(run());
    return;
  }
  enqueue({std::move(run), std::move(done), call.Transaction});
}

void StatementRunner::rollback(const EndCall &call, const Done &done) {
  Answer answer = upstream::rollback(Db, Loop.now(), call);
  releaseEnded();
  done(answer);
}

void StatementRunner::enqueue(Task task) {
  SlotTicket ticket = NextTicket++;
  bool hasSlot = !task.Transaction.empty();
  if (hasSlot)
    Busy.insert(task.Transaction);
  Tasks.emplace(ticket, std::move(task));
  if (hasSlot || acquire(Seats, ticket))
    start(ticket);
}

void StatementRunner::start(SlotTicket ticket) {
  std::uniform_int_distribution<std::int64_t> distribution(Times.Min.count(),
                                                           Times.Max.count());
  std::chrono::microseconds time(distribution(Random));
  Calls.after(time, [this, ticket] { finish(ticket); });
}

void StatementRunner::finish(SlotTicket ticket) {
  auto node = Tasks.extract(ticket);
  Task &task = node.mapped();
  Busy.erase(task.Transaction);
  LogPosition before = lastPosition(Db);
  Answer answer = task.Run();
  // The slot of a begun transaction stays taken until the transaction ends.
  if (!answer.Transaction.empty())
    TransactionSlots.emplace(answer.Transaction, ticket);
  else if (task.Transaction.empty())
    releaseSlot(ticket);
  releaseEnded();
  task.Finished(answer);
  if (lastPosition(Db) != before)
    LogChanged();
}

void StatementRunner::releaseSlot(SlotTicket ticket) {
  if (auto next = release(Seats, ticket))
    start(*next);
}

void StatementRunner::releaseEnded() {
  std::vector<SlotTicket> ended;
  std::erase_if(TransactionSlots, [&](const auto &it) {
    if (Db.Transactions.contains(it.first))
      return false;
    ended.push_back(it.second);
    return true;
  });
  for (SlotTicket it : ended)
    releaseSlot(it);
}

void StatementRunner::closeConnection(std::uint64_t connection) {
  upstream::closeConnection(Db, Loop.now(), connection);
  releaseEnded();
}

void StatementRunner::expire() {
  upstream::expire(Db, Loop.now(), Busy);
  releaseEnded();
}

void StatementRunner::databaseChanged() {
  releaseEnded();
  std::vector<std::uint64_t> ids;
  for (const auto &it : Waiting)
    ids.push_back(it.first);
  for (std::uint64_t id : ids)
    recheck(id, false);
}

} // namespace standins::upstream
