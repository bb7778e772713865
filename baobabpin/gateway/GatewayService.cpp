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

/// libevent rejects larger bodies. The limit exceeds MaxRequestBytes so that a
/// body between the two limits is rejected with a JSON error of type
/// RequestTooLarge.
constexpr std::size_t MaxHttpBodyBytes = 1 << 20;
constexpr int ReadyStatus = 200;
constexpr int UnavailableStatus = 503;

/// The state of one request of a caller until the reply is sent.
struct Call {
  CallerRequest Request;
  /// The session of the request, merged from all its tokens.
  Session CallerSession;
  base::GroupName Group;
  /// The request as the owner of the group receives it.
  ForwardRequest Forward;
};
using CallPtr = std::shared_ptr<Call>;

/// Whether the reply to \p request means that writes are durable: a commit, or
/// a write outside a transaction.
bool acknowledgesWrite(const ForwardRequest &request) {
  return request.operation() == ForwardRequest::COMMIT ||
         (request.is_write() && request.transaction().empty());
}

CallerReply makeErrorReply(Outcome outcome, const base::Failure &failure) {
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
  directory::Directory *Directory = nullptr;
  std::optional<http::HttpServer> Server;
  std::optional<StatementRouter> Router;
  std::mt19937_64 Random;
  std::size_t InFlight = 0;
  base::TimePoint LastRequest;
  bool Draining = false;
  prometheus::Histogram *Latency = nullptr;

  void handle(ForwardRequest::Operation operation, http::HttpRequest request,
              const http::ResponderPtr &responder);
  /// Validates the request and fills call.Forward from it. \p connection
  /// identifies the caller's TCP connection.
  base::Result<void> prepare(Call &call, std::uint64_t connection);
  base::Result<void> selectGroup(Call &call) const;
  /// Merges the session tokens and sets the position that a read must reach.
  base::Result<void> readSession(Call &call) const;
  /// Sets the priority and the timeout of the request's class; fails if the
  /// class is not admitted.
  base::Result<void> applyClass(Call &call) const;
  /// Sets the request ID of a commit or of a write outside a transaction;
  /// generates one if the caller sent none.
  base::Result<void> setRequestId(Call &call);
  /// Sets the largest accepted age of the data; -1 means no age limit: a
  /// server may run a read if it has reached the session's position.
  void setMaxAge(Call &call) const;
  /// Converts the owner's reply and adds the new session token.
  CallerReply toReply(Call &call, proto::ForwardReply forwardReply) const;
};

base::Result<void> GatewayService::State::selectGroup(Call &call) const {
  const auto &request = call.Request;
  const auto &groups =
      Directory->catalog().groupsOf(request.Customer, request.Database);
  if (groups.empty())
    return base::fail(ErrorType::UnknownDatabase,
                      "no group serves database " + request.Database);
  if (request.Group.empty()) {
    call.Group = groups[base::hash64(request.RoutingKey) % groups.size()];
    return {};
  }
  if (std::find(groups.begin(), groups.end(), request.Group) == groups.end())
    return base::fail(ErrorType::UnknownDatabase,
                      request.Group + " is not a group of database " +
                          request.Database);
  call.Group = request.Group;
  return {};
}

base::Result<void> GatewayService::State::readSession(Call &call) const {
  call.CallerSession.Customer = call.Request.Customer;
  for (const auto &token : call.Request.Sessions) {
    BOOST_LEAF_AUTO(it, session::decodeToken(token, Settings.SessionKeys,
                                             call.Request.Customer));
    session::merge(call.CallerSession, it);
  }
  auto it = call.CallerSession.Positions.find(call.Group);
  if (it != call.CallerSession.Positions.end()) {
    call.Forward.mutable_min_position()->set_term(it->second.Term);
    call.Forward.mutable_min_position()->set_index(it->second.Index);
  }
  return {};
}

base::Result<void> GatewayService::State::applyClass(Call &call) const {
  const auto &request = call.Request;
  const auto *admittedClass = Directory->catalog().admittedClass(
      request.Customer, request.Database, request.Class);
  if (!admittedClass)
    return base::fail(ErrorType::UnknownClass,
                      "request class " + request.Class + " is not admitted");
  call.Forward.set_priority(
      static_cast<std::uint32_t>(admittedClass->ClassPriority));
  call.Forward.set_timeout_ms(
      request.Timeout.value_or(admittedClass->Timeout).count());
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
    return base::fail(
        ErrorType::RequestIdExpired,
        "request_id is too old; its idempotency record may have expired");
  call.Forward.set_request_id(call.Request.RequestId);
  return {};
}

void GatewayService::State::setMaxAge(Call &call) const {
  const auto &request = call.Request;
  auto allowedStaleness = Directory->catalog().allowance(
      request.Customer, request.Database, request.Class);
  call.Forward.set_max_age_ms(-1);
  if (request.MaxAge) {
    auto age = allowedStaleness ? std::min(*allowedStaleness, *request.MaxAge)
                                : *request.MaxAge;
    call.Forward.set_max_age_ms(age.count());
  } else if (!request.HasSession) {
    // A request with neither a session nor a maximum age needs the newest data,
    // unless operators have set an allowed staleness for its class.
    call.Forward.set_max_age_ms(allowedStaleness ? allowedStaleness->count()
                                                 : 0);
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
  // Identifies the caller's TCP connection.
  call.Forward.set_session_key(base::hash64(Directory->self(), connection));
  BOOST_LEAF_CHECK(selectGroup(call));
  call.Forward.set_group(call.Group);
  BOOST_LEAF_CHECK(readSession(call));
  BOOST_LEAF_CHECK(applyClass(call));
  BOOST_LEAF_CHECK(setRequestId(call));
  setMaxAge(call);
  auto stamp = Kernel->log().stamp();
  call.Forward.mutable_stamp()->set_wall_us(stamp.WallUs);
  call.Forward.mutable_stamp()->set_counter(stamp.Counter);
  return {};
}

CallerReply
GatewayService::State::toReply(Call &call,
                               proto::ForwardReply forwardReply) const {
  CallerReply reply;
  reply.Outcome =
      base::parseOutcome(forwardReply.outcome()).value_or(Outcome::Unknown);
  if (reply.Outcome != Outcome::Answered)
    reply.Error = base::Failure{base::parseErrorType(forwardReply.error())
                                    .value_or(ErrorType::Internal),
                                forwardReply.detail()};
  bool isWriteAcknowledged =
      reply.Outcome == Outcome::Answered && acknowledgesWrite(call.Forward);
  if (isWriteAcknowledged && forwardReply.position().index() > 0)
    session::advance(
        call.CallerSession, call.Group,
        {forwardReply.position().term(), forwardReply.position().index()});
  if (!call.CallerSession.Positions.empty())
    reply.Session =
        session::encodeToken(call.CallerSession, Settings.SessionKeys);
  reply.Result = std::move(*forwardReply.mutable_result());
  reply.RequestId = call.Forward.request_id();
  reply.Replayed = forwardReply.replayed();
  reply.Server = forwardReply.server();
  reply.Role = forwardReply.role();
  reply.AgeMs = forwardReply.age_ms();
  reply.Transaction = forwardReply.transaction();
  return reply;
}

void GatewayService::State::handle(ForwardRequest::Operation operation,
                                   http::HttpRequest request,
                                   const http::ResponderPtr &responder) {
  auto arrivedAt = Kernel->loop().now();
  LastRequest = arrivedAt;
  auto send = [responder](const CallerReply &reply) {
    responder->json(httpStatus(reply), encodeReply(reply));
  };
  auto call = std::make_shared<Call>();
  bool accepted = base::handleFailure(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_ASSIGN(call->Request, parseRequest(operation, request.Body));
        BOOST_LEAF_CHECK(prepare(*call, request.Connection));
        return true;
      },
      [&](const base::Failure &failure) {
        // An earlier attempt under the same request ID may have run.
        bool isIdExpired = failure.Type == ErrorType::RequestIdExpired;
        bool isRepeated = call->Request.Repeat && call->Request.IsWrite;
        send(makeErrorReply(isIdExpired || isRepeated ? Outcome::Unknown
                                                      : Outcome::NotRun,
                            failure));
        return false;
      });
  if (!accepted)
    return;
  ++InFlight;
  Router->route(call->Forward, [this, call, send,
                                arrivedAt](proto::ForwardReply forwardReply) {
    --InFlight;
    std::chrono::duration<double> elapsed = Kernel->loop().now() - arrivedAt;
    Latency->Observe(elapsed.count());
    send(toReply(*call, std::move(forwardReply)));
  });
}

GatewayService::GatewayService(GatewaySettings settings)
    : Impl(std::make_unique<State>(std::move(settings))) {}

GatewayService::~GatewayService() = default;

base::Result<void> GatewayService::start(kernel::Kernel &kernel) {
  auto &state = *Impl;
  state.Kernel = &kernel;
  state.Directory = &kernel.find<directory::Directory>("directory");
  auto &owner = kernel.find<owner::OwnerService>("owner");
  auto &peers = kernel.find<peer::PeerService>("peer");
  state.Router.emplace(kernel.loop(), *state.Directory, owner, peers);
  peers.onStreamTimeout(
      [&state](const std::string &endpoint) { state.Router->avoid(endpoint); });
  state.Latency = &kernel.metrics().histogram(
      "baobabpin_statement_seconds", "Time from a statement to its answer.",
      {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5});
  state.LastRequest = kernel.loop().now();
  state.Server.emplace(kernel.loop());
  state.Server->setMaxBody(MaxHttpBodyBytes);
  auto addRoute = [&](const char *path, ForwardRequest::Operation operation) {
    state.Server->handle(path,
                         [&state, operation](http::HttpRequest request,
                                             const http::ResponderPtr &it) {
                           state.handle(operation, std::move(request), it);
                         });
  };
  addRoute("/v1/statement", ForwardRequest::EXECUTE);
  addRoute("/v1/transaction/begin", ForwardRequest::BEGIN);
  addRoute("/v1/transaction/commit", ForwardRequest::COMMIT);
  addRoute("/v1/transaction/rollback", ForwardRequest::ROLLBACK);
  state.Server->handle(
      "/healthz",
      [&state](const http::HttpRequest &, const http::ResponderPtr &responder) {
        bool ready =
            !state.Draining && state.Directory->catalog().highestRevision() > 0;
        responder->json(ready ? ReadyStatus : UnavailableStatus,
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
