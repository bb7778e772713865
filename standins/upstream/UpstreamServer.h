/// One server of a database group over HTTP; docs/upstream-protocol.md.
#pragma once

#include "baobabpin/http/HttpServer.h"
#include "baobabpin/kernel/Kernel.h"
#include "standins/upstream/AnswerSender.h"
#include "standins/upstream/Follower.h"
#include "standins/upstream/Messages.h"
#include "standins/upstream/StatementRunner.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace standins::upstream {

struct UpstreamOptions {
  baobabpin::http::Endpoint Listen;
  std::string Group;
  OpenOptions Open;
  FollowerOptions Replication;
  StatementTimes Times;
  std::size_t SlotLimit = 2;
  std::size_t ConnectionLimit = 15;
  std::chrono::milliseconds ConnectCost{10};
  std::uint64_t Seed = 1;
};

class UpstreamServer : public baobabpin::kernel::Service {
public:
  explicit UpstreamServer(UpstreamOptions options);
  ~UpstreamServer() override;

  std::string_view name() const override { return "upstream"; }
  baobabpin::base::Result<void>
  start(baobabpin::kernel::Kernel &kernel) override;
  void stop() override;
  /// The address in use; its port is chosen by the system for port 0.
  const baobabpin::http::Endpoint &endpoint() const { return Bound; }

private:
  /// One request under way.
  struct Call {
    json Body;
    json Id;
    std::uint64_t Connection = 0;
    baobabpin::http::ResponderPtr Responder;
    bool IsStatement = false;
  };
  using Handler = void (UpstreamServer::*)(const Call &);

  struct ConnectionRecord {
    TimePoint Ready;
    /// Uses one of the database connections.
    bool IsCounted = false;
  };

  /// A status or pull call that waits for the log to change.
  struct LogWaiter {
    std::function<bool()> IsReady;
    std::function<void()> Answer;
  };

  void route(const std::string &path, Handler handler, bool isStatement);
  void routeAdmin();
  void receive(const baobabpin::http::HttpRequest &request,
               baobabpin::http::ResponderPtr responder, Handler handler,
               bool isStatement);
  bool admitConnection(const Call &call);
  void closed(std::uint64_t connection);

  void execute(const Call &call);
  void begin(const Call &call);
  void commit(const Call &call);
  void rollback(const Call &call);
  void status(const Call &call);
  void prepare(const Call &call);
  void promote(const Call &call);
  void follow(const Call &call);
  void pull(const Call &call);
  void injectFault(const json &body);

  StatementRunner::Done answerTo(const Call &call);
  void send(const Call &call, const json &body);
  void refuse(const Call &call, Problem problem, std::string detail);
  json statusBody(const Call &call) const;
  /// Answers at once when ready, else after a change of the log or \p wait.
  void answerWhen(std::function<bool()> isReady, std::function<void()> answer,
                  baobabpin::base::Duration wait);
  /// After terms, roles or the log changed.
  void databaseChanged();

  UpstreamOptions Options;
  Database Db;
  baobabpin::kernel::Kernel *Process = nullptr;
  std::unique_ptr<AnswerSender> Sender;
  std::unique_ptr<StatementRunner> Runner;
  std::unique_ptr<Follower> Replication;
  std::unique_ptr<common::DelayedCalls> Calls;
  std::unique_ptr<baobabpin::http::HttpServer> Http;
  baobabpin::kernel::Timer Expiry;
  baobabpin::http::Endpoint Bound;
  std::map<std::uint64_t, ConnectionRecord> Connections;
  std::size_t CountedConnections = 0;
  std::map<std::uint64_t, LogWaiter> LogWaiters;
  std::uint64_t NextWaiter = 1;
};

} // namespace standins::upstream
