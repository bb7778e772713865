/// Calls of the gRPC server on the asynchronous API, driven from the loop.
#pragma once

#include "baobabpin/kernel/CompletionPump.h"
#include "baobabpin/operators/Rights.h"
#include "baobabpin/proto/operators.grpc.pb.h"

#include <grpcpp/server_context.h>
#include <grpcpp/support/async_stream.h>
#include <grpcpp/support/async_unary_call.h>

#include <deque>
#include <functional>
#include <memory>

namespace baobabpin::operators::internal {

/// What all calls of a server share. Calls may outlive the server in callbacks
/// of the backend; they do nothing once Stopped is set.
struct ServerState {
  proto::Resources::AsyncService Service;
  grpc::ServerCompletionQueue *Queue = nullptr;
  std::unique_ptr<kernel::CompletionPump> Pump;
  bool ClearText = false;
  bool Stopped = false;
};

/// The certificate's identity; clear text grants every right.
ClientIdentity identityOf(const ServerState &state,
                          const grpc::ServerContext &context);
Right rightOfCall(const ServerState &state, const ClientIdentity &identity);

/// A call with one request and one reply.
template <typename RequestType, typename ReplyType>
class UnaryCall
    : public std::enable_shared_from_this<UnaryCall<RequestType, ReplyType>> {
public:
  using Pointer = std::shared_ptr<UnaryCall>;
  using Method = void (proto::Resources::AsyncService::*)(
      grpc::ServerContext *, RequestType *,
      grpc::ServerAsyncResponseWriter<ReplyType> *, grpc::CompletionQueue *,
      grpc::ServerCompletionQueue *, void *);
  using Handler = std::function<void(const Pointer &)>;

  explicit UnaryCall(std::shared_ptr<ServerState> state)
      : State(std::move(state)), Writer(&Context) {}

  /// Waits for calls of \p method for the life of the server.
  static void accept(const std::shared_ptr<ServerState> &state, Method method,
                     Handler handler) {
    auto call = std::make_shared<UnaryCall>(state);
    void *tag = state->Pump->tag([state, method, handler, call](bool ok) {
      if (!ok || state->Stopped)
        return;
      accept(state, method, handler);
      call->Client = identityOf(*state, call->Context);
      handler(call);
    });
    (state->Service.*method)(&call->Context, &call->Request, &call->Writer,
                             state->Queue, state->Queue, tag);
  }

  /// Sends Reply; call once.
  void finish() {
    if (State->Stopped)
      return;
    Writer.Finish(Reply, grpc::Status::OK,
                  State->Pump->tag([self = this->shared_from_this()](bool) {}));
  }
  Right right() const { return rightOfCall(*State, Client); }

  RequestType Request;
  ReplyType Reply;
  ClientIdentity Client;

private:
  std::shared_ptr<ServerState> State;
  grpc::ServerContext Context;
  grpc::ServerAsyncResponseWriter<ReplyType> Writer;
};

/// The Watch call: one request and a stream of events.
class WatchCall : public std::enable_shared_from_this<WatchCall> {
public:
  using Pointer = std::shared_ptr<WatchCall>;
  using Handler = std::function<void(const Pointer &)>;

  explicit WatchCall(std::shared_ptr<ServerState> state);

  static void accept(const std::shared_ptr<ServerState> &state,
                     const Handler &handler);

  /// Queues an event. A client that lets more than MaxQueued events pile up is
  /// cut off with RESOURCE_EXHAUSTED and starts a new watch.
  void send(proto::WatchEvent event);
  /// Ends the stream after the queued events.
  void finish();
  /// \p callback runs once, when the client has gone or the call has ended.
  void onDone(std::function<void()> callback) { Done = std::move(callback); }
  Right right() const { return rightOfCall(*State, Client); }

  static constexpr std::size_t MaxQueued = 65'536;

  proto::WatchRequest Request;
  ClientIdentity Client;

private:
  void advance();
  void end();

  std::shared_ptr<ServerState> State;
  grpc::ServerContext Context;
  grpc::ServerAsyncWriter<proto::WatchEvent> Writer;
  std::deque<proto::WatchEvent> Queue;
  grpc::Status FinalStatus;
  std::function<void()> Done;
  bool Writing = false;
  bool Finishing = false;
  bool Ended = false;
};

} // namespace baobabpin::operators::internal
