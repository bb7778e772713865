#include "baobabpin/peer/ForwardServer.h"

#include <utility>

namespace baobabpin::peer::internal {
namespace {

/// One accepted forwarding stream.
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

/// One unary call from its arrival to its end.
template <typename Request, typename Reply> struct UnaryCall {
  grpc::ServerContext Context;
  Request Incoming;
  grpc::ServerAsyncResponseWriter<Reply> Writer{&Context};
};

void acceptForward(const ServerParts &parts, const PeerHandlers &handlers) {
  auto stream = std::make_shared<ServerStream>(parts.Pump, handlers);
  parts.Service.RequestForward(
      &stream->Context, &stream->Stream, &parts.Queue, &parts.Queue,
      parts.Pump.tag([parts, &handlers, stream](bool ok) {
        if (!ok)
          return;
        acceptForward(parts, handlers);
        stream->readNext();
      }));
}

/// Accepts calls of one unary method, one after the other, and answers each
/// with what the handler returns.
template <typename Request, typename Reply, typename RequestMethod,
          typename Handler>
void acceptUnary(const ServerParts &parts, RequestMethod method,
                 const Handler &handler) {
  auto call = std::make_shared<UnaryCall<Request, Reply>>();
  (parts.Service.*method)(
      &call->Context, &call->Incoming, &call->Writer, &parts.Queue,
      &parts.Queue, parts.Pump.tag([parts, method, &handler, call](bool ok) {
        if (!ok)
          return;
        acceptUnary<Request, Reply>(parts, method, handler);
        call->Writer.Finish(handler(call->Incoming), grpc::Status::OK,
                            parts.Pump.tag([call](bool) {}));
      }));
}

} // namespace

void acceptCalls(const ServerParts &parts, const PeerHandlers &handlers) {
  using Service = proto::Peer::AsyncService;
  acceptForward(parts, handlers);
  acceptUnary<proto::SyncRequest, proto::SyncReply>(
      parts, &Service::RequestSync, handlers.Sync);
  acceptUnary<proto::InForceRequest, proto::InForceReply>(
      parts, &Service::RequestInForce, handlers.InForce);
  acceptUnary<proto::TimelineRequest, proto::TimelineReply>(
      parts, &Service::RequestEvents, handlers.Events);
  acceptUnary<proto::DescribeRequest, proto::DescribeReply>(
      parts, &Service::RequestDescribe, handlers.Describe);
}

} // namespace baobabpin::peer::internal
