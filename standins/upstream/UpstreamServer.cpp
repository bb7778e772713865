#include "standins/upstream/UpstreamServer.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace standins::upstream {

using namespace std::chrono_literals;
using namespace baobabpin;
using http::HttpRequest;
using http::ResponderPtr;

namespace {

constexpr std::size_t MaxBody = 1 << 20;
/// Fine enough for the idle bound of 5 s.
constexpr auto ExpiryPeriod = 100ms;
/// A refused connection is closed this long after its answer, which must have
/// left by then.
constexpr auto RefusedLinger = 20ms;
constexpr std::size_t PullLimit = 256;

std::chrono::milliseconds unixOffset(TimePoint now) {
  using std::chrono::milliseconds;
  auto unix = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(unix) -
         std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
}

std::chrono::milliseconds milliseconds(const json &body, const char *name) {
  return std::chrono::milliseconds(body.value(name, std::int64_t{0}));
}

json parseObject(const std::string &text) {
  json body = text.empty() ? json::object() : json::parse(text);
  if (!body.is_object())
    throw json::type_error::create(302, "the body must be an object", &body);
  return body;
}

} // namespace

UpstreamServer::UpstreamServer(UpstreamOptions options)
    : Options(std::move(options)) {}

UpstreamServer::~UpstreamServer() = default;

base::Result<void> UpstreamServer::start(kernel::Kernel &kernel) {
  Process = &kernel;
  kernel::EventLoop &loop = kernel.loop();
  Options.Open.UnixOffset = unixOffset(loop.now());
  Db = openDatabase(Options.Open, loop.now());
  Calls = std::make_unique<common::DelayedCalls>(loop);
  Sender = std::make_unique<AnswerSender>(loop);
  auto changed = [this] { databaseChanged(); };
  Runner = std::make_unique<StatementRunner>(
      loop, Db, Options.SlotLimit, Options.Times, Options.Seed, changed);
  Replication =
      std::make_unique<Follower>(loop, Db, Options.Replication, changed);
  Http = std::make_unique<http::HttpServer>(loop);
  Http->setMaxBody(MaxBody);
  Http->onConnection(
      [this](std::uint64_t connection) {
        Connections[connection].Ready =
            Process->loop().now() + Options.ConnectCost;
      },
      [this](std::uint64_t connection) { closed(connection); });
  route("/v1/execute", &UpstreamServer::execute, true);
  route("/v1/begin", &UpstreamServer::begin, true);
  route("/v1/commit", &UpstreamServer::commit, true);
  route("/v1/rollback", &UpstreamServer::rollback, true);
  route("/v1/status", &UpstreamServer::status, false);
  route("/v1/prepare", &UpstreamServer::prepare, false);
  route("/v1/promote", &UpstreamServer::promote, false);
  route("/v1/follow", &UpstreamServer::follow, false);
  route("/replication/pull", &UpstreamServer::pull, false);
  routeAdmin();
  BOOST_LEAF_ASSIGN(Bound, Http->listen(Options.Listen));
  Expiry = loop.runEvery(ExpiryPeriod, [this] { Runner->expire(); });
  Replication->refresh();
  return {};
}

void UpstreamServer::stop() {
  Expiry.cancel();
  Http.reset();
  Replication.reset();
  Runner.reset();
  Sender.reset();
  Calls.reset();
}

void UpstreamServer::route(const std::string &path, Handler handler,
                           bool isStatement) {
  Http->handle(path, [this, handler, isStatement](const HttpRequest &request,
                                                  ResponderPtr responder) {
    receive(request, std::move(responder), handler, isStatement);
  });
}

void UpstreamServer::routeAdmin() {
  Http->handle("/admin/history", [this](const HttpRequest &request,
                                        const ResponderPtr &responder) {
    json body = json::parse(request.Body, nullptr, false);
    LogIndex first =
        body.is_object() ? body.value("from_index", LogIndex{1}) : LogIndex{1};
    responder->respond(200, "application/jsonl",
                       formatHistory(Db, Options.Group, first));
  });
  Http->handle("/admin/fault", [this](const HttpRequest &request,
                                      const ResponderPtr &responder) {
    try {
      injectFault(parseObject(request.Body));
      responder->json(200, R"({"outcome":"ok"})");
    } catch (const json::exception &ec) {
      responder->json(400, dumpJson({{"outcome", "refused"},
                                     {"error", "bad_request"},
                                     {"detail", ec.what()}}));
    }
  });
}

void UpstreamServer::receive(const HttpRequest &request, ResponderPtr responder,
                             Handler handler, bool isStatement) {
  Call call{.Connection = request.Connection,
            .Responder = std::move(responder),
            .IsStatement = isStatement};
  try {
    call.Body = parseObject(request.Body);
    call.Id = call.Body.value("id", json());
    bool isReplication = handler == &UpstreamServer::pull;
    if (isReplication || admitConnection(call))
      (this->*handler)(call);
  } catch (const json::exception &ec) {
    refuse(call, Problem::BadRequest, ec.what());
  }
}

bool UpstreamServer::admitConnection(const Call &call) {
  auto it = Connections.find(call.Connection);
  if (it == Connections.end() || it->second.IsCounted)
    return true;
  if (CountedConnections < Options.ConnectionLimit) {
    it->second.IsCounted = true;
    ++CountedConnections;
    return true;
  }
  refuse(call, Problem::TooManyConnections,
         "all " + std::to_string(Options.ConnectionLimit) +
             " connections are in use");
  Calls->after(
      Options.ConnectCost + RefusedLinger,
      [this, connection = call.Connection] { Http->close(connection); });
  return false;
}

void UpstreamServer::closed(std::uint64_t connection) {
  auto it = Connections.find(connection);
  if (it == Connections.end())
    return;
  if (it->second.IsCounted)
    --CountedConnections;
  Connections.erase(it);
  if (Runner)
    Runner->closeConnection(connection);
}

void UpstreamServer::send(const Call &call, const json &body) {
  OutgoingAnswer answer{.Body = dumpJson(body),
                        .IsStatement = call.IsStatement};
  auto it = Connections.find(call.Connection);
  if (it != Connections.end())
    answer.NotBefore = it->second.Ready;
  Sender->send(call.Responder, std::move(answer));
}

void UpstreamServer::refuse(const Call &call, Problem problem,
                            std::string detail) {
  Answer answer;
  answer.Error = problem;
  answer.Message = std::move(detail);
  answer.Position = lastPosition(Db);
  send(call, encodeAnswer(call.Id, Db, answer));
}

StatementRunner::Done UpstreamServer::answerTo(const Call &call) {
  return [this, call](const Answer &answer) {
    send(call, encodeAnswer(call.Id, Db, answer));
  };
}

void UpstreamServer::execute(const Call &call) {
  Runner->execute(decodeExecute(call.Body, call.Connection),
                  milliseconds(call.Body, "wait_ms"), answerTo(call));
}

void UpstreamServer::begin(const Call &call) {
  Runner->begin(call.Body.at("term").get<TermNumber>(), call.Connection,
                answerTo(call));
}

void UpstreamServer::commit(const Call &call) {
  Runner->commit(decodeEnd(call.Body, call.Connection), answerTo(call));
}

void UpstreamServer::rollback(const Call &call) {
  Runner->rollback(decodeEnd(call.Body, call.Connection), answerTo(call));
}

void UpstreamServer::status(const Call &call) {
  LogPosition wanted = decodePosition(call.Body, "wait_position");
  auto isReady = [this, wanted] {
    // A server that promised a later term may never get there.
    return Db.PromisedTerm > std::max(wanted.Term, Db.Term) ||
           checkPosition(Db.TermStarts, lastPosition(Db), wanted) !=
               base::PositionCheck::NotYet;
  };
  answerWhen(
      isReady, [this, call] { send(call, statusBody(call)); },
      milliseconds(call.Body, "wait_ms"));
}

json UpstreamServer::statusBody(const Call &call) const {
  Answer common;
  common.Position = lastPosition(Db);
  json body = encodeAnswer(call.Id, Db, common);
  body["group"] = Options.Group;
  body["promised_term"] = Db.PromisedTerm;
  body["promised_by"] = Db.PromisedBy;
  body["term_starts"] = encodeTermStarts(Db.TermStarts);
  body["primary"] = Db.Primary;
  body["connections"] = CountedConnections;
  body["slots_in_use"] = Runner->slotsInUse();
  body["leaving"] = Db.Leaving;
  if (Db.CurrentRole == Role::Replica && !Db.Primary.empty())
    body["primary_contact_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Process->loop().now() - Db.PrimaryHeard)
            .count();
  else
    body["primary_contact_ms"] = nullptr;
  return body;
}

void UpstreamServer::prepare(const Call &call) {
  PrepareAnswer answer = upstream::prepare(
      Db, Process->loop().now(), call.Body.at("term").get<TermNumber>(),
      call.Body.at("candidate").get<std::string>());
  send(call, encodePrepare(call.Id, Db, answer));
  databaseChanged();
}

void UpstreamServer::promote(const Call &call) {
  answerTo(call)(upstream::promote(
      Db, Process->loop().now(), call.Body.at("term").get<TermNumber>(),
      call.Body.at("candidate").get<std::string>()));
  databaseChanged();
}

void UpstreamServer::follow(const Call &call) {
  answerTo(call)(upstream::follow(Db, Process->loop().now(),
                                  call.Body.at("term").get<TermNumber>(),
                                  call.Body.at("primary").get<std::string>(),
                                  call.Body.value("primary_address", "")));
  databaseChanged();
}

void UpstreamServer::pull(const Call &call) {
  LogSummary follower = decodeSummary(call.Body);
  auto isReady = [this, follower] {
    return Db.CurrentRole != Role::Primary || lastPosition(Db) != follower.Last;
  };
  auto answer = [this, call, follower] {
    json body = encodeBatch(entriesFor(Db, follower, PullLimit));
    body["outcome"] = "ok";
    send(call, body);
  };
  answerWhen(isReady, answer, HeartbeatPeriod);
}

void UpstreamServer::answerWhen(std::function<bool()> isReady,
                                std::function<void()> answer,
                                base::Duration wait) {
  if (wait <= base::Duration::zero() || isReady()) {
    answer();
    return;
  }
  std::uint64_t id = NextWaiter++;
  LogWaiters.emplace(id, LogWaiter{std::move(isReady), std::move(answer)});
  Calls->after(wait, [this, id] {
    auto node = LogWaiters.extract(id);
    if (!node.empty())
      node.mapped().Answer();
  });
}

void UpstreamServer::databaseChanged() {
  Runner->databaseChanged();
  Replication->refresh();
  std::vector<std::uint64_t> ready;
  for (const auto &[id, it] : LogWaiters) {
    if (it.IsReady())
      ready.push_back(id);
  }
  for (std::uint64_t id : ready) {
    auto node = LogWaiters.extract(id);
    if (!node.empty())
      node.mapped().Answer();
  }
}

void UpstreamServer::injectFault(const json &body) {
  AnswerFaults &faults = Sender->faults();
  if (body.contains("pause_ms"))
    faults.PausedUntil = Process->loop().now() + milliseconds(body, "pause_ms");
  if (auto it = body.find("late"); it != body.end()) {
    faults.LateCount = it->at("count").get<std::uint64_t>();
    faults.LateBy = milliseconds(*it, "ms");
  }
  faults.CrossCount = body.value("cross", faults.CrossCount);
  faults.DropCount = body.value("drop", faults.DropCount);
  if (auto it = body.find("lag_ms"); it != body.end())
    Replication->setLag(milliseconds(*it, "min"), milliseconds(*it, "max"));
  Db.Leaving = body.value("leaving", Db.Leaving);
  Process->log().record("fault_set", {{"fault", dumpJson(body)}});
}

} // namespace standins::upstream
