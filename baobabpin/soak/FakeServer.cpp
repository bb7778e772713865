#include "baobabpin/soak/FakeServer.h"

#include <algorithm>

namespace baobabpin::soak {
namespace {

namespace upstream = standins::upstream;

constexpr std::size_t BatchLimit = 64;
constexpr Duration PullTimeout = ms(100);

replication::ServerReport reportOf(const Simulation &sim,
                                   const FakeServer &server) {
  const auto &db = server.Db;
  replication::ServerReport report{.Server = db.Server,
                                   .Term = db.Term,
                                   .PromisedTerm = db.PromisedTerm,
                                   .PromisedBy = db.PromisedBy,
                                   .Position = upstream::lastPosition(db),
                                   .TermStarts = db.TermStarts,
                                   .Primary = db.Primary,
                                   .Leaving = db.Leaving};
  if (db.CurrentRole == upstream::Role::Primary)
    report.Role = replication::ServerRole::Primary;
  else if (!db.Primary.empty())
    report.PrimaryContact = sim.Now - db.PrimaryHeard;
  return report;
}

void answerWaiting(ServerFleet &fleet, FakeServer &server) {
  auto position = upstream::lastPosition(server.Db);
  std::vector<WaitingStatus> kept;
  auto waiting = std::move(server.Waiting);
  for (auto &it : waiting) {
    if (position >= it.Wanted)
      it.Answer(reportOf(*fleet.Sim, server));
    else
      kept.push_back(std::move(it));
  }
  server.Waiting = std::move(kept);
}

/// After every call that may have changed the database.
void noteChange(ServerFleet &fleet, FakeServer &server) {
  for (const auto &it : server.Db.Events) {
    if (it.What == upstream::DatabaseEvent::Kind::Truncated)
      ++server.Truncations;
  }
  server.Db.Events.clear();
  // Servers are the first processes, so the index is that of the mirror too.
  observeLog(*fleet.Check, server.Proc.Index, server.Db);
  answerWaiting(fleet, server);
}

void applyBatch(ServerFleet &fleet, FakeServer &server, upstream::Batch batch) {
  if (batch.Term == 0)
    return;
  if (fleet.Disabled == Safeguard::TermCheck)
    batch.Term = std::max(batch.Term, server.Db.PromisedTerm);
  if (fleet.Disabled == Safeguard::Fence)
    batch.Term = std::max(batch.Term, server.Db.Term);
  auto answer = upstream::appendBatch(server.Db, fleet.Sim->Now, batch);
  if (!answer.isOk())
    return;
  upstream::notePrimaryContact(server.Db, fleet.Sim->Now, batch.Primary);
  noteChange(fleet, server);
}

void pull(ServerFleet &fleet, FakeServer &server) {
  auto again = [&fleet, &server] {
    auto pause = pickDuration(*fleet.Sim, ms(2), ms(5));
    scheduleOn(*fleet.Sim, server.Proc, pause,
               [&fleet, &server] { pull(fleet, server); });
  };
  auto *primary = findServer(fleet, server.Db.Primary);
  bool follows = server.Db.CurrentRole == upstream::Role::Replica && primary;
  if (!follows || primary == &server) {
    again();
    return;
  }
  auto serve = [&fleet, &server, primary, again,
                summary = upstream::summarize(server.Db)](Reply reply) {
    auto batch = upstream::entriesFor(primary->Db, summary, BatchLimit);
    reply([&fleet, &server, again, batch = std::move(batch)] {
      scheduleOn(*fleet.Sim, server.Proc, server.Lag,
                 [&fleet, &server, again, batch] {
                   applyBatch(fleet, server, batch);
                   again();
                 });
    });
  };
  call(*fleet.Sim, server.Proc, primary->Proc, PullTimeout, std::move(serve),
       [again](CallFailure) { again(); });
}

} // namespace

FakeServer *findServer(ServerFleet &fleet, const std::string &id) {
  for (auto &it : fleet.Servers) {
    if (it.Db.Server == id)
      return &it;
  }
  return nullptr;
}

void startReplication(ServerFleet &fleet, FakeServer &server) {
  pull(fleet, server);
}

void crashServer(FakeServer &server) {
  stopProcess(server.Proc);
  server.Waiting.clear();
}

void restartServer(ServerFleet &fleet, FakeServer &server) {
  startProcess(server.Proc);
  startReplication(fleet, server);
}

void serveStatus(ServerFleet &fleet, FakeServer &server,
                 base::LogPosition wanted, Duration wait,
                 std::function<void(replication::ServerReport)> answer) {
  bool reached = upstream::lastPosition(server.Db) >= wanted;
  if (reached || wait <= Duration::zero()) {
    answer(reportOf(*fleet.Sim, server));
    return;
  }
  auto ticket = server.NextTicket++;
  server.Waiting.push_back({wanted, ticket, std::move(answer)});
  scheduleOn(*fleet.Sim, server.Proc, wait, [&fleet, &server, ticket] {
    auto it = std::ranges::find(server.Waiting, ticket, &WaitingStatus::Ticket);
    if (it == server.Waiting.end())
      return;
    auto late = std::move(*it);
    server.Waiting.erase(it);
    late.Answer(reportOf(*fleet.Sim, server));
  });
}

replication::PrepareAnswer servePrepare(ServerFleet &fleet, FakeServer &server,
                                        base::TermNumber term,
                                        const std::string &candidate) {
  auto &db = server.Db;
  if (fleet.Disabled == Safeguard::Fence)
    return {.Server = db.Server,
            .Term = term,
            .Granted = true,
            .PromisedTerm = db.PromisedTerm,
            .PromisedBy = db.PromisedBy,
            .Position = upstream::lastPosition(db),
            .TermStarts = db.TermStarts};
  auto answer = upstream::prepare(db, fleet.Sim->Now, term, candidate);
  noteChange(fleet, server);
  return {.Server = db.Server,
          .Term = term,
          .Granted = answer.Granted,
          .PromisedTerm = answer.PromisedTerm,
          .PromisedBy = answer.PromisedBy,
          .Position = answer.Position,
          .TermStarts = answer.TermStarts};
}

replication::PromoteAnswer servePromote(ServerFleet &fleet, FakeServer &server,
                                        base::TermNumber term,
                                        const std::string &candidate) {
  auto &db = server.Db;
  if (fleet.Disabled == Safeguard::Fence && term > db.Term) {
    db.PromisedTerm = term;
    db.PromisedBy = candidate;
    db.CurrentRole = upstream::Role::Replica;
  }
  auto answer = upstream::promote(db, fleet.Sim->Now, term, candidate);
  if (answer.isOk()) {
    noteChange(fleet, server);
    observePromotion(*fleet.Check, db, term);
  }
  return {.Server = db.Server, .Term = term, .Accepted = answer.isOk()};
}

void serveFollow(ServerFleet &fleet, FakeServer &server, base::TermNumber term,
                 const std::string &primary) {
  upstream::follow(server.Db, fleet.Sim->Now, term, primary, "");
  noteChange(fleet, server);
}

upstream::Answer serveExecute(ServerFleet &fleet, FakeServer &server,
                              upstream::ExecuteCall call) {
  auto &db = server.Db;
  if (fleet.Disabled == Safeguard::TermCheck && call.Term != 0)
    call.Term = db.Term;
  if (fleet.Disabled == Safeguard::RequestRecord && call.IsWrite)
    call.Request += "#" + std::to_string(db.Log.size());
  if (fleet.Disabled == Safeguard::ReadPosition && !call.IsWrite)
    call.MinPosition = {};
  auto answer = upstream::execute(db, fleet.Sim->Now, call);
  noteChange(fleet, server);
  return answer;
}

} // namespace baobabpin::soak
