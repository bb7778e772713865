/// One simulated caller: keeps its session's order, carries its token from node
/// to node, and repeats what ended unknown under the same request ID.
#pragma once

#include "standins/load/CallerClient.h"
#include "standins/load/Workload.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace standins::load {

/// How callers behave; the shares are probabilities per operation.
struct CallerBehaviour {
  double MoveShare = 0.2;  ///< Goes to another node before an operation.
  double DropShare = 0.03; ///< Discards a write's answer and repeats it.
  /// Reads what it has just written, at once, mostly through another node; the
  /// replicas still lag then.
  double ReadBackShare = 0.3;
  std::chrono::milliseconds ReadTimeout{1000};
  std::chrono::milliseconds WriteTimeout{2000};
  /// Added to the stated timeout before the caller stops waiting.
  std::chrono::milliseconds Patience{1000};
  std::chrono::milliseconds FirstBackoff{50};
  std::chrono::milliseconds LastBackoff{800};
  unsigned ReadAttempts = 3;
  unsigned WriteAttempts = 30; ///< The drain limit may end them earlier.
};

/// Counts over all sessions, for the driver's own summary.
struct CallerCounts {
  std::uint64_t Operations = 0;
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Failed = 0;
  std::uint64_t GivenUp = 0;
  std::uint64_t DroppedAnswers = 0;
  std::uint64_t RepeatsAnswered = 0;
  std::uint64_t Moves = 0;
  std::uint64_t SessionsRestarted = 0;
};

class CallerSession {
public:
  CallerSession(std::string name, baobabpin::kernel::EventLoop &loop,
                CallerClient &client, Workload &workload,
                const CallerBehaviour &behaviour, CallerCounts &counts);
  CallerSession(const CallerSession &) = delete;
  CallerSession &operator=(const CallerSession &) = delete;

  /// Draws an operation now and runs it after those that were added before.
  void addOperation();
  bool isIdle() const { return !Current && Waiting == 0; }
  /// Forgets operations that have not begun; returns how many.
  std::uint64_t dropWaiting();

private:
  void startNext();
  void finish();
  void move();
  void retryAfterBackoff(void (CallerSession::*step)());
  Attempt makeAttempt(const std::string &path, const std::string &kind) const;
  Attempt makeStatement(std::size_t index) const;
  Attempt makeWrite() const;
  Attempt makeTransactionStep(const std::string &path,
                              const std::string &kind) const;

  void sendRead();
  void onRead(const AttemptEnd &end);
  void sendParallelReads();
  void onParallelRead(const AttemptEnd &end);
  void sendWrite();
  void onWrite(AttemptEnd &end);
  void finishWrite(const AttemptEnd &end);
  void repeatWrite(const AttemptEnd &end);
  void sendBegin();
  void onBegin(const AttemptEnd &end);
  void sendTransactionStatement();
  void rollBack();
  void takeToken(const AttemptEnd &end);
  void countEnd(const AttemptEnd &end);
  void restartSession();
  std::string sessionName() const;

  std::string Name;
  baobabpin::kernel::EventLoop &Loop;
  CallerClient &Client;
  Workload &Draws;
  const CallerBehaviour &Behaviour;
  CallerCounts &Counts;

  std::size_t Node = 0;
  std::vector<std::string> Tokens;
  /// Counts the restarts after the session's position was lost; the history
  /// shows each as a session of its own.
  unsigned Epoch = 0;
  std::optional<WrittenKey> LastWrite;
  std::uint64_t Waiting = 0;
  bool ReadBackNext = false;

  std::optional<Operation> Current;
  unsigned Attempts = 0;
  /// Whether an earlier attempt of the current write may have run.
  bool MayHaveRun = false;
  bool AnswerDropped = false;
  std::size_t Step = 0; ///< Next statement of a transaction.
  std::string Transaction;
  std::size_t ReadsInFlight = 0;
  std::vector<std::string> ParallelTokens;
  baobabpin::kernel::Timer Backoff;
};

} // namespace standins::load
