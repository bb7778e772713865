#include "baobabpin/peer/ForwardStream.h"

#include <grpcpp/grpcpp.h>

#include <utility>

namespace baobabpin::peer::internal {
namespace {

/// The correlation number of pings. The numbers of requests begin at 1.
constexpr std::uint64_t PingCorrelation = 0;

} // namespace

ForwardStream::ForwardStream(kernel::CompletionPump &pump,
                             const std::shared_ptr<grpc::Channel> &channel)
    : Pump(pump), Stub(proto::Peer::NewStub(channel)) {}

void ForwardStream::open() {
  Stream = Stub->PrepareAsyncForward(&Context, &Pump.queue());
  Stream->StartCall(Pump.tag([self = shared_from_this()](bool ok) {
    if (!ok) {
      self->fail();
      return;
    }
    self->Opened = true;
    self->readNext();
    self->writeNext();
  }));
}

void ForwardStream::send(proto::ForwardRequest request,
                         ForwardCallback callback, base::TimePoint now) {
  if (Pending.empty())
    LastReceived = now;
  std::uint64_t correlation = NextCorrelation++;
  request.set_correlation(correlation);
  Pending[correlation] = {std::move(callback), false};
  Queue.push_back(std::move(request));
  writeNext();
}

void ForwardStream::writeNext() {
  if (!Opened || Writing || Failed || Queue.empty())
    return;
  Writing = true;
  proto::ForwardRequest request = std::move(Queue.front());
  Queue.pop_front();
  auto it = Pending.find(request.correlation());
  if (it != Pending.end())
    it->second.Sent = true;
  grpc::WriteOptions options;
  if (!Queue.empty())
    options.set_buffer_hint();
  Stream->Write(request, options,
                Pump.tag([self = shared_from_this()](bool ok) {
                  self->Writing = false;
                  if (!ok)
                    self->fail();
                  self->writeNext();
                }));
}

void ForwardStream::readNext() {
  Stream->Read(&Incoming, Pump.tag([self = shared_from_this()](bool ok) {
    if (!ok || self->Failed) {
      self->fail();
      return;
    }
    self->onReply();
    if (!self->Failed)
      self->readNext();
  }));
}

void ForwardStream::onReply() {
  LastReceived = base::Clock::now();
  if (Incoming.correlation() == PingCorrelation) {
    PingOutstanding = false;
    return;
  }
  auto it = Pending.find(Incoming.correlation());
  if (it == Pending.end())
    return;
  ForwardCallback callback = std::move(it->second.Callback);
  Pending.erase(it);
  callback({ForwardOutcome::Answered, std::move(Incoming)});
}

void ForwardStream::fail() {
  if (std::exchange(Failed, true))
    return;
  Context.TryCancel();
  Queue.clear();
  for (auto &[correlation, it] : std::exchange(Pending, {}))
    it.Callback({it.Sent ? ForwardOutcome::Lost : ForwardOutcome::NotSent, {}});
}

bool ForwardStream::checkLiveness(base::TimePoint now,
                                  base::Duration pingAfter) {
  if (Failed || Pending.empty() || now - LastReceived < pingAfter)
    return false;
  if (now - LastReceived >= 2 * pingAfter) {
    fail();
    return true;
  }
  if (std::exchange(PingOutstanding, true))
    return false;
  proto::ForwardRequest ping;
  ping.set_correlation(PingCorrelation);
  ping.set_operation(proto::ForwardRequest::PING);
  Queue.push_back(std::move(ping));
  writeNext();
  return false;
}

} // namespace baobabpin::peer::internal
