#include "baobabpin/soak/World.h"

#include <algorithm>

namespace baobabpin::soak {
namespace {

constexpr Duration NodeTimeout = ms(1500);
constexpr Duration CallerTimeout = ms(2500);

void next(World &world, Caller &caller);

OwnerNode &chooseNode(World &world) {
  auto *preferred = preferredNode(world);
  if (preferred && chance(world.Sim, 0.7))
    return *preferred;
  auto last = static_cast<std::int64_t>(world.Nodes.size()) - 1;
  return world.Nodes[static_cast<std::size_t>(pick(world.Sim, 0, last))];
}

void mergeToken(Caller &caller, base::LogPosition position) {
  caller.Token = std::max(caller.Token, position);
  caller.HasToken = true;
}

void onWriteResponse(World &world, Caller &caller, const Request &request,
                     const Response &response) {
  if (response.Outcome == base::Outcome::Answered) {
    world.Check.Acked[*response.Ack].ReceivedAt = world.Sim.Now;
    mergeToken(caller, response.Position);
    caller.LastAcked = std::max(caller.LastAcked, response.Position);
    world.LastAck = std::max(world.LastAck, response.Position);
    if (request.InvokedAt > world.FaultEnd)
      ++world.AckedAfterFaults;
    if (caller.Unresolved == request.RequestId)
      caller.Unresolved.clear();
  } else if (response.Outcome == base::Outcome::Unknown) {
    ++world.Unknown;
    caller.Unresolved = request.RequestId;
  } else {
    ++world.NotRun;
  }
}

void onReadResponse(Caller &caller, const Request &request,
                    const Response &response) {
  if (response.Outcome == base::Outcome::Answered) {
    mergeToken(caller, response.Position);
    return;
  }
  bool lost = response.Error == base::ErrorType::PositionLost &&
              request.Wanted.Session == caller.Token;
  if (!lost)
    return;
  caller.Token = caller.LastAcked;
  caller.HasToken = caller.LastAcked.Index > 0;
}

/// Sends the request; \p then runs after its end.
void submit(World &world, Caller &caller, Request request, const Task &then) {
  auto &node = chooseNode(world);
  request.InvokedAt = world.Sim.Now;
  request.Session = caller.Session;
  request.Timeout = NodeTimeout;
  request.Attempt = world.NextAttempt++;
  auto end = [&world, &caller, request, then](const Response &response) {
    if (request.IsWrite)
      onWriteResponse(world, caller, request, response);
    else
      onReadResponse(caller, request, response);
    then();
  };
  auto serve = [&world, &node, request, end](Reply reply) {
    serveRequest(world.Context, node, request,
                 [reply, end](const Response &response) {
                   reply([end, response] { end(response); });
                 });
  };
  auto fail = [end](CallFailure) { end(Response{}); };
  call(world.Sim, caller.Proc, node.Proc, CallerTimeout, serve, fail);
}

Request makeWrite(World &world, Caller &caller) {
  Request request{.IsWrite = true};
  request.Repeat = !caller.Unresolved.empty() && chance(world.Sim, 0.8);
  if (request.Repeat) {
    request.RequestId = caller.Unresolved;
    return request;
  }
  caller.Unresolved.clear();
  auto unixMs = std::chrono::duration_cast<std::chrono::milliseconds>(
      world.Sim.Now.time_since_epoch());
  request.RequestId = std::to_string(unixMs.count()) + "-" +
                      std::to_string(caller.Session) + "-" +
                      std::to_string(caller.NextRequest++);
  return request;
}

Request makeRead(World &world, const Caller &caller) {
  Request request;
  auto kind = pick(world.Sim, 0, 5);
  if (kind <= 3 && caller.HasToken)
    request.Wanted.Session = caller.Token;
  if (kind == 3 || kind == 4) {
    constexpr std::array<std::int64_t, 4> Ages{50, 200, 1000, 5000};
    request.Wanted.MaxAge =
        ms(Ages[static_cast<std::size_t>(pick(world.Sim, 0, 3))]);
  }
  request.Strict = kind == 5;
  return request;
}

/// An impatient caller repeats through another node before the first answer.
void repeatEarly(World &world, Caller &caller, Request request) {
  request.Repeat = true;
  auto delay = pickDuration(world.Sim, ms(1), ms(300));
  schedule(world.Sim, delay, [&world, &caller, request] {
    submit(world, caller, request, [] {});
  });
}

void think(World &world, Caller &caller) {
  auto pause = pickDuration(world.Sim, ms(1), ms(25));
  schedule(world.Sim, pause, [&world, &caller] { next(world, caller); });
}

void next(World &world, Caller &caller) {
  if (world.CallersStopped)
    return;
  bool write = !caller.Unresolved.empty() || chance(world.Sim, 0.4);
  auto request = write ? makeWrite(world, caller) : makeRead(world, caller);
  if (write && chance(world.Sim, 0.1))
    repeatEarly(world, caller, request);
  submit(world, caller, request, [&world, &caller] { think(world, caller); });
}

} // namespace

void startCaller(World &world, Caller &caller) { think(world, caller); }

} // namespace baobabpin::soak
