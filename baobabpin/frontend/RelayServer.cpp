#include "baobabpin/frontend/RelayServer.h"

#include <algorithm>
#include <utility>

namespace baobabpin::frontend {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view LineEnd = "\r\n";

RunRequest toRunRequest(const relay::Request &request) {
  RunRequest run;
  run.Id = request.StatementId;
  run.Statement = request.Statement;
  run.Route.Database = request.Database;
  run.Route.Group = request.Group;
  run.Route.Reads = request.Reads;
  run.Route.Priority = request.Priority;
  run.Organisation = request.Organisation;
  run.Route.StatementTimeout = request.TimeLeft;
  run.Route.TargetLatency = request.TargetLeft;
  run.Arrived = base::BootClock::now();
  run.FreshAsOf = run.Arrived;
  run.Writes = request.Writes;
  run.NeedsPrimary = request.NeedsPrimary;
  run.Begin = request.Begin;
  run.Values = request.Values;
  run.Prepared = request.Prepared;
  run.FixedServer = request.Server;
  run.FixedWaitFor = request.WaitFor;
  return run;
}

} // namespace

/// One connection from another node, with the statements and transactions that
/// run for it.
class RelayServer::PeerConnection
    : public std::enable_shared_from_this<PeerConnection> {
public:
  PeerConnection(RelayServer &owner) : Owner(owner) {}

  void start(int fd) {
    Connection = net::LineConnection::adopt(
        Owner.Loop, fd,
        net::makeWeakHandlers(shared_from_this(), &PeerConnection::onLine,
                              &PeerConnection::end));
  }

  void abortIdleTransactions(base::BootTime now,
                             std::chrono::nanoseconds limit) {
    std::erase_if(Transactions, [&](auto &entry) {
      auto &it = entry.second;
      if (it.Run || now - it.LastUsed < limit)
        return false;
      Owner.Log.line("relayed_transaction_aborted")
          .add("server", it.Pinned.Pool->server().Id)
          .add("idle_ms", now - it.LastUsed);
      it.Group->rollBackAndRelease(it.Pinned.Pool, it.Pinned.Connection);
      return true;
    });
  }

  bool isIdle() const { return Runs.empty() && Transactions.empty(); }

  void answerNow() {
    auto runs = Runs;
    for (const auto &[sequence, it] : runs)
      it->giveUp("node_stops");
  }

private:
  struct Transaction {
    std::shared_ptr<GroupProxy> Group;
    PinnedTransaction Pinned;
    base::BootTime LastUsed{};
    /// The statement in progress, which holds the server connection; null
    /// between two statements.
    std::shared_ptr<StatementRun> Run;
  };

  void onLine(std::string_view line) {
    auto request = relay::decodeRequest(line);
    if (!request) {
      end();
      return;
    }
    switch (request->Kind) {
    case relay::RequestKind::Run:
      run(*request);
      return;
    case relay::RequestKind::Release:
      release(request->Transaction);
      return;
    case relay::RequestKind::Probe:
      probe(*request);
      return;
    case relay::RequestKind::Ping:
      send(*request, {});
      return;
    case relay::RequestKind::Cancel:
      cancel(*request);
      return;
    }
  }

  void send(const relay::Request &request, relay::Reply reply) {
    reply.Sequence = request.Sequence;
    reply.Leaving = !Owner.Owning;
    std::string text = relay::encode(reply);
    text += LineEnd;
    Connection->send(text);
  }

  void refuse(const relay::Request &request, sql::ErrorCode code,
              std::string_view text) {
    relay::Reply reply;
    reply.Result.Error = code;
    reply.Result.ErrorText = text;
    reply.RefusedByOwner = true;
    send(request, std::move(reply));
  }

  void run(const relay::Request &request) {
    auto group = Owner.FindGroup(request.Group);
    if (!group) {
      refuse(request, sql::ErrorCode::Busy, "unknown group");
      return;
    }
    if (Owner.RefusesWork && request.Transaction == 0) {
      refuse(request, sql::ErrorCode::Busy, "node_stops");
      return;
    }
    RunRequest run = toRunRequest(request);
    if (request.Transaction != 0) {
      auto it = Transactions.find(request.Transaction);
      if (it == Transactions.end() || it->second.Run) {
        refuse(request, sql::ErrorCode::Aborted, "transaction is gone");
        return;
      }
      run.Pinned = std::move(it->second.Pinned);
    }
    auto onDone = [weak = weak_from_this(), group, request](RunResult result) {
      if (auto self = weak.lock())
        self->onDone(request, group, std::move(result));
      else if (result.Pinned.Connection)
        group->rollBackAndRelease(result.Pinned.Pool, result.Pinned.Connection);
    };
    auto it = std::make_shared<StatementRun>(Owner.Loop, Owner.Log, group,
                                             std::move(run), std::move(onDone));
    Runs[request.Sequence] = it;
    if (request.Transaction != 0)
      Transactions[request.Transaction].Run = it;
    it->start();
  }

  void onDone(const relay::Request &request,
              const std::shared_ptr<GroupProxy> &group, RunResult result) {
    Runs.erase(request.Sequence);
    auto transactionId = request.Transaction;
    if (result.Pinned.Connection) {
      if (transactionId == 0)
        transactionId = NextTransaction++;
      Transactions[transactionId] = {
          group, result.Pinned, base::BootClock::now(), {}};
    } else if (transactionId != 0) {
      Transactions.erase(transactionId);
      transactionId = 0;
    }
    relay::Reply reply;
    reply.Result = std::move(result.Reply);
    reply.RefusedByOwner = reply.Result.Error && !result.FromServer;
    if (reply.RefusedByOwner)
      reply.ExpectedWait = std::chrono::ceil<milliseconds>(result.ExpectedWait);
    reply.Transaction = result.Pinned.Connection ? transactionId : 0;
    reply.Epoch = result.Pinned.Epoch;
    reply.OnPrimary = result.Pinned.OnPrimary;
    send(request, std::move(reply));
  }

  /// Cancels a statement. A read may have run. A write that a server may have
  /// received is not cancelled; its reply tells the outcome.
  void cancel(const relay::Request &request) {
    auto it = Runs.find(request.Sequence);
    if (it == Runs.end() || it->second->mayHaveWritten())
      return;
    it->second->cancel();
    Runs.erase(it);
    refuse(request, sql::ErrorCode::Aborted, "cancelled");
  }

  void release(std::uint64_t transactionId) {
    auto it = Transactions.find(transactionId);
    if (it == Transactions.end())
      return;
    Transaction transaction = std::move(it->second);
    Transactions.erase(it);
    if (transaction.Run)
      transaction.Run->cancel();
    else
      transaction.Group->rollBackAndRelease(transaction.Pinned.Pool,
                                            transaction.Pinned.Connection);
  }

  void probe(const relay::Request &request) {
    relay::Reply reply;
    if (auto group = Owner.FindGroup(request.Group)) {
      if (auto report = group->positionReport()) {
        reply.Epoch = report->Epoch;
        reply.Position = report->Position;
        reply.PositionAge = report->Age;
      }
      reply.PrimaryReplyAge = group->primaryReplyAge();
    }
    send(request, std::move(reply));
  }

  void end() {
    auto self = shared_from_this();
    Connection->close();
    auto runs = std::exchange(Runs, {});
    for (auto &[sequence, it] : runs)
      it->cancel();
    auto transactions = std::exchange(Transactions, {});
    for (auto &[transactionId, it] : transactions) {
      if (!it.Run)
        it.Group->rollBackAndRelease(it.Pinned.Pool, it.Pinned.Connection);
    }
    Owner.PeerConnections.erase(this);
  }

  RelayServer &Owner;
  std::shared_ptr<net::LineConnection> Connection;
  std::map<std::uint64_t, std::shared_ptr<StatementRun>> Runs;
  std::map<std::uint64_t, Transaction> Transactions;
  std::uint64_t NextTransaction = 1;
};

RelayServer::RelayServer(kernel::EventLoop &loop, kernel::LineLog &log,
                         GroupFinder findGroup)
    : Loop(loop), Log(log), FindGroup(std::move(findGroup)), Socket(loop) {}

RelayServer::~RelayServer() = default;

base::Result<void> RelayServer::listen(const http::Endpoint &endpoint) {
  return Socket.listen(endpoint, [this](int fd) {
    auto peer = std::make_shared<PeerConnection>(*this);
    PeerConnections.emplace(peer.get(), peer);
    peer->start(fd);
  });
}

void RelayServer::abortIdleTransactions(base::BootTime now,
                                        std::chrono::nanoseconds limit) {
  for (const auto &[raw, it] : PeerConnections)
    it->abortIdleTransactions(now, limit);
}

void RelayServer::refuseWork() {
  RefusesWork = true;
  abortIdleTransactions(base::BootClock::now(), {});
}

void RelayServer::answerNow() {
  auto connections = PeerConnections;
  for (const auto &[raw, it] : connections)
    it->answerNow();
}

bool RelayServer::isIdle() const {
  return std::ranges::all_of(
      PeerConnections, [](const auto &it) { return it.second->isIdle(); });
}

} // namespace baobabpin::frontend
