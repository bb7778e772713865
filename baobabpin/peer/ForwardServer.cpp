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

} // namespace

void acceptForward(proto::Peer::AsyncService &service,
                   grpc::ServerCompletionQueue &queue,
                   kernel::CompletionPump &pump, const PeerHandlers &handlers) {
  auto stream = std::make_shared<ServerStream>(pump, handlers);
  service.RequestForward(&stream->Context, &stream->Stream, &queue, &queue,
                         pump.tag([&, stream](bool ok) {
                           if (!ok)
                             return;
                           acceptForward(service, queue, pump, handlers);
                           stream->readNext();
                         }));
}

void acceptSync(proto::Peer::AsyncService &service,
                grpc::ServerCompletionQueue &queue,
                kernel::CompletionPump &pump, const PeerHandlers &handlers) {
  using Call = UnaryCall<proto::SyncRequest, proto::SyncReply>;
  auto call = std::make_shared<Call>();
  service.RequestSync(&call->Context, &call->Incoming, &call->Writer, &queue,
                      &queue, pump.tag([&, call](bool ok) {
                        if (!ok)
                          return;
                        acceptSync(service, queue, pump, handlers);
                        call->Writer.Finish(handlers.Sync(call->Incoming),
                                            grpc::Status::OK,
                                            pump.tag([call](bool) {}));
                      }));
}

void acceptInForce(proto::Peer::AsyncService &service,
                   grpc::ServerCompletionQueue &queue,
                   kernel::CompletionPump &pump, const PeerHandlers &handlers) {
  using Call = UnaryCall<proto::InForceRequest, proto::InForceReply>;
  auto call = std::make_shared<Call>();
  service.RequestInForce(&call->Context, &call->Incoming, &call->Writer, &queue,
                         &queue, pump.tag([&, call](bool ok) {
                           if (!ok)
                             return;
                           acceptInForce(service, queue, pump, handlers);
                           call->Writer.Finish(handlers.InForce(call->Incoming),
                                               grpc::Status::OK,
                                               pump.tag([call](bool) {}));
                         }));
}

} // namespace baobabpin::peer::internal
