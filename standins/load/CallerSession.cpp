#include "standins/load/CallerSession.h"

#include <algorithm>
#include <utility>

namespace standins::load {

using namespace baobabpin;
using nlohmann::json;
using Shape = ClassMix::Shape;

CallerSession::CallerSession(std::string name, kernel::EventLoop &loop,
                             CallerClient &client, Workload &workload,
                             const CallerBehaviour &behaviour,
                             CallerCounts &counts)
    : Name(std::move(name)), Loop(loop), Client(client), Draws(workload),
      Behaviour(behaviour), Counts(counts),
      Node(workload.drawIndex(client.pool().size())) {}

void CallerSession::addOperation() {
  ++Waiting;
  if (!Current)
    startNext();
}

std::uint64_t CallerSession::dropWaiting() { return std::exchange(Waiting, 0); }

std::string CallerSession::sessionName() const {
  return Name + "." + std::to_string(Epoch);
}

void CallerSession::startNext() {
  ++Counts.Operations;
  if (std::exchange(ReadBackNext, false)) {
    Current = Draws.drawReadBack(*LastWrite);
    move();
  } else {
    --Waiting;
    Current =
        Draws.draw(sessionName(), LastWrite, std::chrono::system_clock::now());
  }
  Attempts = 0;
  MayHaveRun = false;
  AnswerDropped = false;
  Step = 0;
  Transaction.clear();
  bool moves = Draws.drawChance(Behaviour.MoveShare);
  if (moves || !Client.pool().isHealthy(Node))
    move();
  switch (Current->What) {
  case Shape::Write:
    sendWrite();
    return;
  case Shape::Transaction:
    sendBegin();
    return;
  case Shape::ParallelReads:
    sendParallelReads();
    return;
  default:
    sendRead();
  }
}

void CallerSession::finish() {
  Current.reset();
  if (Waiting > 0 || ReadBackNext)
    startNext();
}

void CallerSession::move() {
  auto others = Client.pool().nodesBut(Node);
  if (others.empty())
    return;
  ++Counts.Moves;
  Node = others[Draws.drawIndex(others.size())];
}

void CallerSession::retryAfterBackoff(void (CallerSession::*step)()) {
  auto delay = Behaviour.FirstBackoff * (1U << std::min(Attempts, 8U)) / 2;
  delay = std::min(delay, Behaviour.LastBackoff);
  auto jitter = std::chrono::milliseconds(
      Draws.drawIndex(static_cast<std::size_t>(delay.count()) / 2 + 1));
  move();
  Backoff = Loop.runAfter(delay + jitter, [this, step] { (this->*step)(); });
}

Attempt CallerSession::makeAttempt(const std::string &path,
                                   const std::string &kind) const {
  auto timeout =
      isRead(*Current) ? Behaviour.ReadTimeout : Behaviour.WriteTimeout;
  const Deployment &profile = Draws.deployment();
  Attempt attempt{.Node = Node,
                  .Path = path,
                  .Body = {{"customer", profile.Customer},
                           {"database", profile.Database},
                           {"group", Current->Group},
                           {"class", Current->Class},
                           {"timeout_ms", timeout.count()}},
                  .Timeout = timeout + Behaviour.Patience};
  attempt.Record = {.Session = sessionName(),
                    .Group = Current->Group,
                    .Class = Current->Class,
                    .Kind = kind,
                    .WithSession = Current->WithSession};
  if (Current->WithSession && Tokens.size() == 1)
    attempt.Body["session"] = Tokens.front();
  else if (Current->WithSession && !Tokens.empty())
    attempt.Body["session"] = Tokens;
  return attempt;
}

Attempt CallerSession::makeStatement(std::size_t index) const {
  bool isWrite = Current->What == Shape::Write;
  const std::string kind = isWrite ? "write" : "read";
  Attempt attempt = makeAttempt("/v1/statement", kind);
  attempt.Body["kind"] = kind;
  attempt.Body["statement"] = Current->Statements[index];
  attempt.Record.Statement = Current->Statements[index];
  if (Current->MaxAge) {
    attempt.Body["max_age_ms"] = Current->MaxAge->count();
    attempt.Record.MaxAgeMs = Current->MaxAge->count();
  }
  return attempt;
}

void CallerSession::takeToken(const AttemptEnd &end) {
  // A read without a session gets a token of its own, which its caller drops.
  if (Current->WithSession && !end.Token.empty())
    Tokens = {end.Token};
}

void CallerSession::countEnd(const AttemptEnd &end) {
  const std::string &outcome = end.Record.Outcome;
  if (outcome == "answered")
    ++Counts.Answered;
  else if (outcome == "not_run")
    ++Counts.NotRun;
  else if (outcome == "failed")
    ++Counts.Failed;
  else
    ++Counts.GivenUp;
}

/// A lost position can only be of data that no write acknowledgement covered;
/// the caller goes on with a new session.
void CallerSession::restartSession() {
  ++Counts.SessionsRestarted;
  ++Epoch;
  Tokens.clear();
  LastWrite.reset();
  ReadBackNext = false;
}

void CallerSession::sendRead() {
  ++Attempts;
  Client.send(makeStatement(0), [this](AttemptEnd &end) { onRead(end); });
}

void CallerSession::onRead(const AttemptEnd &end) {
  if (end.Record.Error == "position_lost") {
    restartSession();
  } else if (end.Record.Outcome == "answered") {
    takeToken(end);
  } else if (end.Record.Outcome != "failed" &&
             Attempts < Behaviour.ReadAttempts) {
    retryAfterBackoff(&CallerSession::sendRead);
    return;
  }
  countEnd(end);
  finish();
}

void CallerSession::sendParallelReads() {
  ReadsInFlight = Current->Statements.size();
  ParallelTokens.clear();
  for (std::size_t i = 0; i < Current->Statements.size(); ++i) {
    Attempt attempt = makeStatement(i);
    if (i > 0)
      move();
    attempt.Node = Node;
    Client.send(std::move(attempt),
                [this](AttemptEnd &end) { onParallelRead(end); });
  }
}

void CallerSession::onParallelRead(const AttemptEnd &end) {
  if (end.Record.Outcome == "answered" && !end.Token.empty())
    ParallelTokens.push_back(end.Token);
  if (--ReadsInFlight > 0)
    return;
  if (end.Record.Error == "position_lost")
    restartSession();
  else if (ParallelTokens.size() == Current->Statements.size())
    Tokens = std::move(ParallelTokens);
  countEnd(end);
  finish();
}

} // namespace standins::load
