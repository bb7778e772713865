#include "baobabpin/peer/ForwardServer.h"

#include <utility>

namespace baobabpin::peer::internal {
namespace {

/// A forwarding stream that the server has accepted.
class ServerStream : public std::enable_shared_from_this<ServerStream> {
public:
  ServerStream(kernel::CompletionPump &pump, const PeerHandlers &handlers)
      : Pump(pump), Handlers(handlers) {}

  grpc::ServerContext Context;
  grpc::ServerAsyncReaderWriter<proto::ForwardReply, proto::ForwardRequest>
      Stream{&Context};

  void readNext() {
    Stream.Read(&Incoming, Pump.tag([self = shared_from_this()](bool ok) {
      if (!ok) {
        self->finish();
        return;
      }
      self->dispatch();
      self->readNext();
    }));
  }

private:
  void dispatch() {
    std::uint64_t correlation = Incoming.correlation();
    if (Incoming.operation() == proto::ForwardRequest::PING) {
      proto::ForwardReply pong;
      pong.set_correlation(correlation);
      reply(std::move(pong));
      return;
    }
    Handlers.Forward(Incoming, [weak = weak_from_this(),
                                correlation](proto::ForwardReply answer) {
      auto self = weak.lock();
      if (!self)
        return;
      answer.set_correlation(correlation);
      self->reply(std::move(answer));
    });
  }

  void reply(proto::ForwardReply answer) {
    if (Closed)
      return;
    Queue.push_back(std::move(answer));
    writeNext();
  }

  void writeNext() {
    if (Writing || Queue.empty())
      return;
    Writing = true;
    proto::ForwardReply answer = std::move(Queue.front());
    Queue.pop_front();
    grpc::WriteOptions options;
    if (!Queue.empty())
      options.set_buffer_hint();
    Stream.Write(answer, options,
                 Pump.tag([self = shared_from_this()](bool ok) {
                   self->Writing = false;
                   if (!ok)
                     self->Queue.clear();
                   if (self->Closed && self->Queue.empty())
                     self->close();
                   else
                     self->writeNext();
                 }));
  }

  void finish() {
    Closed = true;
    Queue.clear();
    if (!Writing)
      close();
  }

  void close() {
    Stream.Finish(grpc::Status::OK,
                  Pump.tag([self = shared_from_this()](bool) {}));
  }

  kernel::CompletionPump &Pump;
  const PeerHandlers &Handlers;
  proto::ForwardRequest Incoming;
  std::deque<proto::ForwardReply> Queue;
  bool Writing = false;
  bool Closed = false;
};

/// The state of one unary call, from its arrival to its end.
template <typename Request, typename Reply> struct UnaryCall {
  grpc::ServerContext Context;
  Request Incoming;
  grpc::ServerAsyncResponseWriter<Reply> Writer{&Context};
};

void acceptForward(const ServerResources &resources,
                   const PeerHandlers &handlers) {
  auto stream = std::make_shared<ServerStream>(resources.Pump, handlers);
  resources.Service.RequestForward(
      &stream->Context, &stream->Stream, &resources.Queue, &resources.Queue,
      resources.Pump.tag([resources, &handlers, stream](bool ok) {
        if (!ok)
          return;
        acceptForward(resources, handlers);
        stream->readNext();
      }));
}

/// Accepts calls of one unary method, one after the other, and replies to each
/// with the result of the handler.
template <typename Request, typename Reply, typename RequestMethod,
          typename Handler>
void acceptUnary(const ServerResources &resources, RequestMethod method,
                 const Handler &handler) {
  auto call = std::make_shared<UnaryCall<Request, Reply>>();
  (resources.Service.*
   method)(&call->Context, &call->Incoming, &call->Writer, &resources.Queue,
           &resources.Queue,
           resources.Pump.tag([resources, method, &handler, call](bool ok) {
             if (!ok)
               return;
             acceptUnary<Request, Reply>(resources, method, handler);
             call->Writer.Finish(handler(call->Incoming), grpc::Status::OK,
                                 resources.Pump.tag([call](bool) {}));
           }));
}

} // namespace

void acceptCalls(const ServerResources &resources,
                 const PeerHandlers &handlers) {
  using Service = proto::Peer::AsyncService;
  acceptForward(resources, handlers);
  acceptUnary<proto::SyncRequest, proto::SyncReply>(
      resources, &Service::RequestSync, handlers.Sync);
  acceptUnary<proto::InForceRequest, proto::InForceReply>(
      resources, &Service::RequestInForce, handlers.InForce);
  acceptUnary<proto::TimelineRequest, proto::TimelineReply>(
      resources, &Service::RequestEvents, handlers.Events);
  acceptUnary<proto::DescribeRequest, proto::DescribeReply>(
      resources, &Service::RequestDescribe, handlers.Describe);
}

} // namespace baobabpin::peer::internal
