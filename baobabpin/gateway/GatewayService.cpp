#include "baobabpin/gateway/GatewayService.h"

#include "baobabpin/base/Hash.h"
#include "baobabpin/gateway/CallerMessages.h"
#include "baobabpin/gateway/RequestId.h"
#include "baobabpin/gateway/StatementRouter.h"
#include "baobabpin/http/HttpServer.h"

#include <algorithm>
#include <optional>

namespace baobabpin::gateway {

using base::ErrorType;
using base::Outcome;
using proto::ForwardRequest;
using session::Session;

namespace {

/// Bodies beyond this are cut off by the HTTP library; up to it they get a
/// typed error.
constexpr std::size_t HardBodyLimit = 1 << 20;
constexpr int HealthyStatus = 200;
constexpr int DrainingStatus = 503;

/// One caller's request while it runs.
struct Call {
  CallerRequest Request;
  Session Positions;
  base::GroupName Group;
  ForwardRequest Forward;
};
using CallPtr = std::shared_ptr<Call>;

bool acknowledgesWrite(const ForwardRequest &request) {
  return request.operation() == ForwardRequest::COMMIT ||
         (request.is_write() && request.transaction().empty());
}

CallerReply failedReply(Outcome outcome, const base::Failure &failure) {
  CallerReply reply;
  reply.Outcome = outcome;
  reply.Error = failure;
  return reply;
}

} // namespace

struct GatewayService::State {
  explicit State(GatewaySettings settings)
      : Settings(std::move(settings)), Random(Settings.RandomSeed) {}

  GatewaySettings Settings;
  kernel::Kernel *Kernel = nullptr;
  directory::Directory *Fleet = nullptr;
  std::optional<http::HttpServer> Server;
  std::optional<StatementRouter> Router;
  std::mt19937_64 Random;
  std::size_t InFlight = 0;
  base::TimePoint LastRequest;
  bool Draining = false;
  prometheus::Histogram *Latency = nullptr;

  void handle(ForwardRequest::Operation operation, http::HttpRequest request,
              const http::ResponderPtr &responder);
  base::Result<void> prepare(Call &call, std::uint64_t connection);
  base::Result<void> selectGroup(Call &call) const;
  base::Result<void> readSession(Call &call) const;
  base::Result<void> admit(Call &call) const;
  base::Result<void> setRequestId(Call &call);
  void setFreshness(Call &call) const;
  CallerReply toReply(Call &call, proto::ForwardReply answer) const;
};

base::Result<void> GatewayService::State::selectGroup(Call &call) const {
  const auto &request = call.Request;
  const auto &groups =
      Fleet->catalog().groupsOf(request.Customer, request.Database);
  if (groups.empty())
    return base::fail(ErrorType::UnknownDatabase,
                      "no group serves " + request.Database);
  if (request.Group.empty()) {
    call.Group = groups[base::hash64(request.RoutingKey) % groups.size()];
    return {};
  }
  if (std::find(groups.begin(), groups.end(), request.Group) == groups.end())
    return base::fail(ErrorType::UnknownDatabase,
                      request.Group + " is no group of " + request.Database);
  call.Group = request.Group;
  return {};
}

base::Result<void> GatewayService::State::readSession(Call &call) const {
  call.Positions.Customer = call.Request.Customer;
  for (const auto &token : call.Request.Sessions) {
    BOOST_LEAF_AUTO(it, session::decodeToken(token, Settings.SessionKeys,
                                             call.Request.Customer));
    session::merge(call.Positions, it);
  }
  auto it = call.Positions.Positions.find(call.Group);
  if (it != call.Positions.Positions.end()) {
    call.Forward.mutable_min_position()->set_term(it->second.Term);
    call.Forward.mutable_min_position()->set_index(it->second.Index);
  }
  return {};
}

base::Result<void> GatewayService::State::admit(Call &call) const {
  const auto &request = call.Request;
  const auto *admitted = Fleet->catalog().admittedClass(
      request.Customer, request.Database, request.Class);
  if (!admitted)
    return base::fail(ErrorType::UnknownClass,
                      "class " + request.Class + " is not admitted");
  call.Forward.set_priority(
      static_cast<std::uint32_t>(admitted->ClassPriority));
  call.Forward.set_timeout_ms(
      request.Timeout.value_or(admitted->Timeout).count());
  return {};
}

base::Result<void> GatewayService::State::setRequestId(Call &call) {
  if (!acknowledgesWrite(call.Forward))
    return {};
  auto now = std::chrono::system_clock::now();
  if (call.Request.RequestId.empty()) {
    call.Forward.set_request_id(makeRequestId(now, Random));
    return {};
  }
  auto id = parseRequestId(call.Request.RequestId);
  if (!id)
    return base::fail(ErrorType::BadRequest,
                      "request_id must be <unix ms>-<32 hex digits>");
  if (isExpired(*id, now))
    return base::fail(ErrorType::RequestIdExpired,
                      "the record of this request may be gone");
  call.Forward.set_request_id(call.Request.RequestId);
  return {};
}

void GatewayService::State::setFreshness(Call &call) const {
  const auto &request = call.Request;
  auto allowed = Fleet->catalog().allowance(request.Customer, request.Database,
                                            request.Class);
  call.Forward.set_max_age_ms(-1);
  if (request.MaxAge) {
    auto age = allowed ? std::min(*allowed, *request.MaxAge) : *request.MaxAge;
    call.Forward.set_max_age_ms(age.count());
  } else if (!request.HasSession) {
    // Without a session or a stated age only the newest data is right, unless
    // the operators allow this class some age.
    call.Forward.set_max_age_ms(allowed ? allowed->count() : 0);
  }
}

base::Result<void> GatewayService::State::prepare(Call &call,
                                                  std::uint64_t connection) {
  const auto &request = call.Request;
  call.Forward.set_operation(request.Operation);
  call.Forward.set_customer(request.Customer);
  call.Forward.set_request_class(request.Class);
  call.Forward.set_is_write(request.IsWrite);
  call.Forward.set_statement(request.Statement);
  call.Forward.set_repeat(request.Repeat);
  call.Forward.set_transaction(request.Transaction);
  call.Forward.set_session_key(base::hash64(Fleet->self(), connection));
  BOOST_LEAF_CHECK(selectGroup(call));
  call.Forward.set_group(call.Group);
  BOOST_LEAF_CHECK(readSession(call));
  BOOST_LEAF_CHECK(admit(call));
  BOOST_LEAF_CHECK(setRequestId(call));
  setFreshness(call);
  auto stamp = Kernel->log().stamp();
  call.Forward.mutable_stamp()->set_wall_us(stamp.WallUs);
  call.Forward.mutable_stamp()->set_counter(stamp.Counter);
  return {};
}

CallerReply GatewayService::State::toReply(Call &call,
                                           proto::ForwardReply answer) const {
  CallerReply reply;
  reply.Outcome =
      base::parseOutcome(answer.outcome()).value_or(Outcome::Unknown);
  if (reply.Outcome != Outcome::Answered)
    reply.Error = base::Failure{
        base::parseErrorType(answer.error()).value_or(ErrorType::Internal),
        answer.detail()};
  bool acknowledged =
      reply.Outcome == Outcome::Answered && acknowledgesWrite(call.Forward);
  if (acknowledged && answer.position().index() > 0)
    session::advance(call.Positions, call.Group,
                     {answer.position().term(), answer.position().index()});
  if (!call.Positions.Positions.empty())
    reply.Session = session::encodeToken(call.Positions, Settings.SessionKeys);
  reply.Result = std::move(*answer.mutable_result());
  reply.RequestId = call.Forward.request_id();
  reply.Replayed = answer.replayed();
  reply.Server = answer.server();
  reply.Role = answer.role();
  reply.AgeMs = answer.age_ms();
  reply.Transaction = answer.transaction();
  return reply;
}

void GatewayService::State::handle(ForwardRequest::Operation operation,
                                   http::HttpRequest request,
                                   const http::ResponderPtr &responder) {
  auto arrived = Kernel->loop().now();
  LastRequest = arrived;
  auto send = [responder](const CallerReply &reply) {
    responder->json(httpStatus(reply), printReply(reply));
  };
  auto call = std::make_shared<Call>();
  bool accepted = base::handleFailure(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_ASSIGN(call->Request, parseRequest(operation, request.Body));
        BOOST_LEAF_CHECK(prepare(*call, request.Connection));
        return true;
      },
      [&](const base::Failure &failure) {
        bool expired = failure.Type == ErrorType::RequestIdExpired;
        bool repeated = call->Request.Repeat && call->Request.IsWrite;
        send(failedReply(
            expired || repeated ? Outcome::Unknown : Outcome::NotRun, failure));
        return false;
      });
  if (!accepted)
    return;
  ++InFlight;
  Router->route(
      call->Forward, [this, call, send, arrived](proto::ForwardReply answer) {
        --InFlight;
        std::chrono::duration<double> took = Kernel->loop().now() - arrived;
        Latency->Observe(took.count());
        send(toReply(*call, std::move(answer)));
      });
}

GatewayService::GatewayService(GatewaySettings settings)
    : Impl(std::make_unique<State>(std::move(settings))) {}

GatewayService::~GatewayService() = default;

base::Result<void> GatewayService::start(kernel::Kernel &kernel) {
  auto &state = *Impl;
  state.Kernel = &kernel;
  state.Fleet = &kernel.find<directory::Directory>("directory");
  auto &owner = kernel.find<owner::OwnerService>("owner");
  auto &peers = kernel.find<peer::PeerService>("peer");
  state.Router.emplace(kernel.loop(), *state.Fleet, owner, peers);
  peers.onStreamTimeout(
      [&state](const std::string &endpoint) { state.Router->avoid(endpoint); });
  state.Latency = &kernel.metrics().histogram(
      "baobabpin_statement_seconds", "Time from a statement to its answer.",
      {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5});
  state.LastRequest = kernel.loop().now();
  state.Server.emplace(kernel.loop());
  state.Server->setMaxBody(HardBodyLimit);
  auto serve = [&](const char *path, ForwardRequest::Operation operation) {
    state.Server->handle(path,
                         [&state, operation](http::HttpRequest request,
                                             const http::ResponderPtr &it) {
                           state.handle(operation, std::move(request), it);
                         });
  };
  serve("/v1/statement", ForwardRequest::EXECUTE);
  serve("/v1/transaction/begin", ForwardRequest::BEGIN);
  serve("/v1/transaction/commit", ForwardRequest::COMMIT);
  serve("/v1/transaction/rollback", ForwardRequest::ROLLBACK);
  state.Server->handle(
      "/healthz",
      [&state](const http::HttpRequest &, const http::ResponderPtr &responder) {
        bool ready =
            !state.Draining && state.Fleet->catalog().highestRevision() > 0;
        responder->json(ready ? HealthyStatus : DrainingStatus,
                        ready ? R"({"status":"ok"})"
                              : R"({"status":"unavailable"})");
      });
  state.Server->handle("/metrics",
                       [&kernel](const http::HttpRequest &,
                                 const http::ResponderPtr &responder) {
                         responder->respond(200, "text/plain; version=0.0.4",
                                            kernel.metrics().render());
                       });
  BOOST_LEAF_ASSIGN(state.Settings.Listen,
                    state.Server->listen(state.Settings.Listen));
  return {};
}

void GatewayService::stop() { Impl->Server.reset(); }

http::Endpoint GatewayService::endpoint() const {
  return Impl->Settings.Listen;
}

void GatewayService::drain() {
  Impl->Draining = true;
  Impl->Server->closeAfterReplies();
}

std::size_t GatewayService::inFlight() const { return Impl->InFlight; }

base::TimePoint GatewayService::lastRequest() const {
  return Impl->LastRequest;
}

} // namespace baobabpin::gateway
