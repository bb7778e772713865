#include "baobabpin/operators/ServerCalls.h"

#include <grpc/grpc_security_constants.h>

namespace baobabpin::operators::internal {

ClientIdentity identityOf(const ServerState &state,
                          const grpc::ServerContext &context) {
  if (state.ClearText)
    return {"clear-text", {}};
  auto auth = context.auth_context();
  if (!auth || !auth->IsPeerAuthenticated())
    return {};
  auto values = auth->FindPropertyValues(GRPC_X509_PEM_CERT_PROPERTY_NAME);
  if (values.size() != 1)
    return {};
  return readIdentity({values[0].data(), values[0].size()});
}

Right rightOfCall(const ServerState &state, const ClientIdentity &identity) {
  return state.ClearText ? Right::Change : rightOf(identity);
}

WatchCall::WatchCall(std::shared_ptr<ServerState> state)
    : State(std::move(state)), Writer(&Context) {}

void WatchCall::accept(const std::shared_ptr<ServerState> &state,
                       const Handler &handler) {
  auto call = std::make_shared<WatchCall>(state);
  void *done = state->Pump->tag([call](bool) { call->end(); });
  call->Context.AsyncNotifyWhenDone(done);
  void *tag = state->Pump->tag([state, handler, call, done](bool ok) {
    if (!ok) {
      // A call that never began does not return its done tag.
      delete static_cast<kernel::Completion *>(done);
      return;
    }
    if (state->Stopped)
      return;
    accept(state, handler);
    call->Client = identityOf(*state, call->Context);
    handler(call);
  });
  state->Service.RequestWatch(&call->Context, &call->Request, &call->Writer,
                              state->Queue, state->Queue, tag);
}

void WatchCall::send(proto::WatchEvent event) {
  if (Finishing || Ended)
    return;
  if (Queue.size() >= MaxQueued) {
    Queue.clear();
    FinalStatus = grpc::Status(grpc::StatusCode::RESOURCE_EXHAUSTED,
                               "the client reads events too slowly");
    return finish();
  }
  Queue.push_back(std::move(event));
  advance();
}

void WatchCall::finish() {
  if (Finishing || Ended)
    return;
  Finishing = true;
  advance();
}

void WatchCall::advance() {
  if (Writing || State->Stopped)
    return;
  if (Queue.empty() && !Finishing)
    return;
  Writing = true;
  if (Queue.empty()) {
    Writer.Finish(FinalStatus,
                  State->Pump->tag([self = shared_from_this()](bool) {}));
    return;
  }
  Writer.Write(Queue.front(),
               State->Pump->tag([self = shared_from_this()](bool ok) {
                 self->Writing = false;
                 if (!self->Queue.empty())
                   self->Queue.pop_front();
                 if (!ok)
                   self->Queue.clear();
                 self->advance();
               }));
}

void WatchCall::end() {
  Ended = true;
  Queue.clear();
  if (Done)
    std::exchange(Done, nullptr)();
  // Releases the call at gRPC's side when the client left first.
  Finishing = true;
  advance();
}

} // namespace baobabpin::operators::internal
