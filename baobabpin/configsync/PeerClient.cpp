#include "baobabpin/configsync/PeerClient.h"

#include "baobabpin/kernel/CompletionPump.h"
#include "baobabpin/proto/peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <map>
#include <set>

namespace baobabpin::configsync {
namespace {

/// A change is in force within 4 s, so a peer that hangs must not hold up a
/// pull for long.
constexpr std::chrono::milliseconds CallTimeout{1000};
/// Open channels; peers are chosen at random, so most are used once.
constexpr std::size_t MaxChannels = 16;

template <typename Reply> struct PeerCall {
  grpc::ClientContext Context;
  grpc::Status Status;
  Reply Answer;
  std::unique_ptr<grpc::ClientAsyncResponseReader<Reply>> Reader;
};

} // namespace

struct PeerClient::State {
  explicit State(kernel::EventLoop &loop)
      : Pump(loop, std::make_unique<grpc::CompletionQueue>()) {}

  // Destroyed after the pump, which waits for the cancelled calls.
  std::map<std::string, std::shared_ptr<grpc::Channel>> Channels;
  std::set<std::shared_ptr<grpc::ClientContext>> Pending;
  kernel::CompletionPump Pump;

  std::shared_ptr<grpc::Channel> channelTo(const std::string &endpoint) {
    auto it = Channels.find(endpoint);
    if (it != Channels.end())
      return it->second;
    // Calls in flight keep their channel.
    if (Channels.size() == MaxChannels)
      Channels.erase(Channels.begin());
    auto channel =
        grpc::CreateChannel(endpoint, grpc::InsecureChannelCredentials());
    Channels[endpoint] = channel;
    return channel;
  }

  template <typename Reply, typename Start, typename Callback>
  void call(const std::string &endpoint, Start start, Callback callback) {
    auto it = std::make_shared<PeerCall<Reply>>();
    std::shared_ptr<grpc::ClientContext> context(it, &it->Context);
    context->set_deadline(std::chrono::system_clock::now() + CallTimeout);
    auto stub = proto::Peer::NewStub(channelTo(endpoint));
    it->Reader = start(*stub, *context, Pump.queue());
    Pending.insert(context);
    it->Reader->Finish(
        &it->Answer, &it->Status,
        Pump.tag([this, it, context, callback = std::move(callback)](bool) {
          Pending.erase(context);
          if (it->Status.ok())
            callback(std::move(it->Answer));
          else
            callback(std::nullopt);
        }));
  }
};

PeerClient::PeerClient(kernel::EventLoop &loop)
    : Impl(std::make_unique<State>(loop)) {}

PeerClient::~PeerClient() {
  for (const auto &it : Impl->Pending)
    it->TryCancel();
}

void PeerClient::sync(const std::string &endpoint,
                      const proto::SyncRequest &request,
                      SyncCallback callback) {
  Impl->call<proto::SyncReply>(
      endpoint,
      [&](proto::Peer::Stub &stub, grpc::ClientContext &context,
          grpc::CompletionQueue &queue) {
        return stub.AsyncSync(&context, request, &queue);
      },
      std::move(callback));
}

void PeerClient::inForce(const std::string &endpoint,
                         const proto::InForceRequest &request,
                         PeerInForceCallback callback) {
  Impl->call<proto::InForceReply>(
      endpoint,
      [&](proto::Peer::Stub &stub, grpc::ClientContext &context,
          grpc::CompletionQueue &queue) {
        return stub.AsyncInForce(&context, request, &queue);
      },
      std::move(callback));
}

} // namespace baobabpin::configsync
