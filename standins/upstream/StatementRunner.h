/// Runs statements and transactions in the slots of one server: waiting for a
/// position, waiting for a slot, the time a statement takes.
///
/// \code
///   runner.execute(call, 100ms, [&](const Answer &answer) { send(answer); });
/// \endcode
#pragma once

#include "standins/common/DelayedCalls.h"
#include "standins/upstream/Database.h"
#include "standins/upstream/Slots.h"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace standins::upstream {

struct StatementTimes {
  std::chrono::microseconds Min{0};
  std::chrono::microseconds Max{0};
};

class StatementRunner {
public:
  using Done = std::function<void(const Answer &)>;

  /// \p logChanged is called after each own entry.
  StatementRunner(baobabpin::kernel::EventLoop &loop, Database &db,
                  std::size_t slots, StatementTimes times, std::uint64_t seed,
                  std::function<void()> logChanged);

  /// Runs the statement when its position is reached, within \p wait, and a
  /// slot is free. All callbacks run once.
  void execute(ExecuteCall call, baobabpin::base::Duration wait, Done done);
  void begin(TermNumber term, std::uint64_t connection, Done done);
  void commit(const EndCall &call, Done done);
  void rollback(const EndCall &call, const Done &done);

  void closeConnection(std::uint64_t connection);
  /// Rolls back idle transactions; call regularly.
  void expire();
  /// Call after anything else changed the database: wakes reads whose position
  /// was reached, and frees the slots of transactions that ended.
  void databaseChanged();

  std::size_t slotsInUse() const { return Seats.Holders.size(); }

private:
  struct Task {
    std::function<Answer()> Run;
    Done Finished;
    /// The transaction that provides the slot, if any.
    std::string Transaction;
  };
  struct WaitingRead {
    ExecuteCall Call;
    Done Finished;
  };

  void enqueue(Task task);
  void start(SlotTicket ticket);
  void finish(SlotTicket ticket);
  void releaseSlot(SlotTicket ticket);
  void releaseEnded();
  void recheck(std::uint64_t id, bool isLast);
  void admit(ExecuteCall call, Done done);

  baobabpin::kernel::EventLoop &Loop;
  Database &Db;
  Slots Seats;
  StatementTimes Times;
  std::mt19937_64 Random;
  std::function<void()> LogChanged;
  SlotTicket NextTicket = 1;
  std::map<SlotTicket, Task> Tasks;
  /// The slots of open transactions.
  std::map<std::string, SlotTicket> TransactionSlots;
  /// Transactions with a statement under way.
  std::set<std::string> Busy;
  std::map<std::uint64_t, WaitingRead> Waiting;
  std::uint64_t NextWaiting = 1;
  common::DelayedCalls Calls;
};

} // namespace standins::upstream
