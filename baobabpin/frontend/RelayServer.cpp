#include "baobabpin/frontend/RelayServer.h"

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
  run.Route.StatementTimeout = request.TimeLeft;
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

/// One connection of another node.
class RelayServer::Client : public std::enable_shared_from_this<Client> {
public:
  Client(RelayServer &owner) : Owner(owner) {}

  void start(int fd) {
    Connection = net::LineConnection::adopt(
        Owner.Loop, fd,
        net::makeWeakHandlers(shared_from_this(), &Client::onLine,
                              &Client::end));
  }

  void sweep(base::BootTime now, std::chrono::nanoseconds limit) {
    std::erase_if(Transactions, [&](auto &entry) {
      auto &it = entry.second;
      if (it.Run || now - it.LastUsed < limit)
        return false;
      Owner.Log.line("relayed_transaction_aborted")
          .add("server", it.Pinned.Pool->server().Id)
          .add("idle_ms", now - it.LastUsed);
      it.Group->releaseClean(it.Pinned.Pool, it.Pinned.Link);
      return true;
    });
  }

  std::size_t openTransactions() const { return Transactions.size(); }

private:
  struct Transaction {
    std::shared_ptr<GroupProxy> Group;
    PinnedTransaction Pinned;
    base::BootTime LastUsed{};
    /// The statement that runs now; it has the connection.
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
    reply.Leaving = Owner.Leaving;
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
      else if (result.Pinned.Link)
        group->releaseClean(result.Pinned.Pool, result.Pinned.Link);
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
    auto token = request.Transaction;
    if (result.Pinned.Link) {
      if (token == 0)
        token = NextTransaction++;
      Transactions[token] = {group, result.Pinned, base::BootClock::now(), {}};
    } else if (token != 0) {
      Transactions.erase(token);
      token = 0;
    }
    relay::Reply reply;
    reply.Result = std::move(result.Reply);
    reply.RefusedByOwner = reply.Result.Error && !result.FromServer;
    reply.Transaction = result.Pinned.Link ? token : 0;
    reply.Epoch = result.Pinned.Epoch;
    reply.OnPrimary = result.Pinned.OnPrimary;
    send(request, std::move(reply));
  }

  /// The reply, which nobody reads, lets the caller forget the request.
  void cancel(const relay::Request &request) {
    auto it = Runs.find(request.Sequence);
    if (it == Runs.end())
      return;
    it->second->cancel();
    Runs.erase(it);
    refuse(request, sql::ErrorCode::Aborted, "cancelled");
  }

  void release(std::uint64_t token) {
    auto it = Transactions.find(token);
    if (it == Transactions.end())
      return;
    Transaction transaction = std::move(it->second);
    Transactions.erase(it);
    if (transaction.Run)
      transaction.Run->cancel();
    else
      transaction.Group->releaseClean(transaction.Pinned.Pool,
                                      transaction.Pinned.Link);
  }

  void probe(const relay::Request &request) {
    relay::Reply reply;
    if (auto group = Owner.FindGroup(request.Group)) {
      if (auto report = group->positionReport()) {
        reply.Epoch = report->Epoch;
        reply.Position = report->Position;
        reply.PositionAge = report->Age;
      }
      reply.PrimaryReplyAge = group->primaryHeardAge();
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
    for (auto &[token, it] : transactions) {
      if (!it.Run)
        it.Group->releaseClean(it.Pinned.Pool, it.Pinned.Link);
    }
    Owner.Clients.erase(this);
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
    auto client = std::make_shared<Client>(*this);
    Clients.emplace(client.get(), client);
    client->start(fd);
  });
}

void RelayServer::sweep(base::BootTime now, std::chrono::nanoseconds limit) {
  for (const auto &[raw, it] : Clients)
    it->sweep(now, limit);
}

std::size_t RelayServer::openTransactions() const {
  std::size_t n = 0;
  for (const auto &[raw, it] : Clients)
    n += it->openTransactions();
  return n;
}

} // namespace baobabpin::frontend
