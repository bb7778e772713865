#include "baobabpin/peer/PeerService.h"

#include "baobabpin/peer/ForwardServer.h"
#include "baobabpin/peer/ForwardStream.h"

#include <grpcpp/grpcpp.h>

#include <map>
#include <optional>

namespace baobabpin::peer {

using internal::ForwardStream;
using namespace std::chrono_literals;

namespace {

constexpr auto LivenessCheckPeriod = 25ms;
constexpr auto CallTimeout = 1s;
constexpr int InitialReconnectBackoffMs = 20;
constexpr int MaxReconnectBackoffMs = 500;

std::shared_ptr<grpc::Channel> makeChannel(const std::string &endpoint) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   InitialReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                   InitialReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectBackoffMs);
  // Calls between nodes must not use a web proxy from the environment.
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  return grpc::CreateCustomChannel(endpoint, grpc::InsecureChannelCredentials(),
                                   arguments);
}

template <typename Reply> struct UnaryCall {
  grpc::ClientContext Context;
  grpc::Status Status;
  Reply Answer;
  std::unique_ptr<grpc::ClientAsyncResponseReader<Reply>> Reader;
};

struct PeerConnection {
  std::shared_ptr<grpc::Channel> Channel;
  std::shared_ptr<ForwardStream> Stream;
};

} // namespace

struct PeerService::State {
  explicit State(PeerSettings settings) : Settings(std::move(settings)) {}

  PeerSettings Settings;
  internal::PeerHandlers Handlers;
  std::function<void(const std::string &)> OnStreamTimeout;
  kernel::EventLoop *Loop = nullptr;
  proto::Peer::AsyncService Service;
  std::unique_ptr<grpc::Server> Server;
  grpc::ServerCompletionQueue *Queue = nullptr;
  std::optional<kernel::CompletionPump> Pump;
  std::map<std::string, PeerConnection> Connections;
  kernel::Timer LivenessTimer;

  ForwardStream &streamTo(const std::string &endpoint);
  std::shared_ptr<grpc::Channel> channelTo(const std::string &endpoint);
  void checkLiveness();

  template <typename Reply, typename Start, typename Callback>
  void call(const std::string &endpoint, Start start, Callback callback) {
    auto it = std::make_shared<UnaryCall<Reply>>();
    it->Context.set_deadline(std::chrono::system_clock::now() + CallTimeout);
    auto stub = proto::Peer::NewStub(channelTo(endpoint));
    it->Reader = start(*stub, it->Context, Pump->queue());
    it->Reader->Finish(&it->Answer, &it->Status,
                       Pump->tag([it, callback](bool) {
                         if (it->Status.ok())
                           callback(std::move(it->Answer));
                         else
                           callback(std::nullopt);
                       }));
  }
};

std::shared_ptr<grpc::Channel>
PeerService::State::channelTo(const std::string &endpoint) {
  PeerConnection &connection = Connections[endpoint];
  if (!connection.Channel)
    connection.Channel = makeChannel(endpoint);
  return connection.Channel;
}

ForwardStream &PeerService::State::streamTo(const std::string &endpoint) {
  auto channel = channelTo(endpoint);
  PeerConnection &connection = Connections[endpoint];
  if (!connection.Stream || connection.Stream->hasFailed()) {
    connection.Stream = std::make_shared<ForwardStream>(*Pump, channel);
    connection.Stream->open();
  }
  return *connection.Stream;
}

void PeerService::State::checkLiveness() {
  std::vector<std::string> timedOut;
  for (auto &[endpoint, connection] : Connections) {
    // The callbacks of a failed stream may open a new one.
    auto stream = connection.Stream;
    if (stream && stream->checkLiveness(Loop->now(), Settings.PingAfter))
      timedOut.push_back(endpoint);
  }
  if (!OnStreamTimeout)
    return;
  for (const auto &it : timedOut)
    OnStreamTimeout(it);
}

PeerService::PeerService(PeerSettings settings)
    : Impl(std::make_unique<State>(std::move(settings))) {}

PeerService::~PeerService() { stop(); }

base::Result<void> PeerService::start(kernel::Kernel &kernel) {
  Impl->Loop = &kernel.loop();
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(http::formatEndpoint(Impl->Settings.Listen),
                           grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(&Impl->Service);
  auto queue = builder.AddCompletionQueue();
  Impl->Queue = queue.get();
  Impl->Server = builder.BuildAndStart();
  if (!Impl->Server || port == 0)
    return base::fail(base::ErrorType::InvalidSettings,
                      "cannot listen on " +
                          http::formatEndpoint(Impl->Settings.Listen));
  Impl->Settings.Listen.Port = static_cast<std::uint16_t>(port);
  Impl->Pump.emplace(kernel.loop(), std::move(queue));
  internal::acceptCalls({Impl->Service, *Impl->Queue, *Impl->Pump},
                        Impl->Handlers);
  Impl->LivenessTimer = Impl->Loop->runEvery(LivenessCheckPeriod,
                                             [this] { Impl->checkLiveness(); });
  return {};
}

void PeerService::stop() {
  if (!Impl->Server)
    return;
  Impl->LivenessTimer.cancel();
  for (auto &[endpoint, connection] : Impl->Connections) {
    if (connection.Stream)
      connection.Stream->fail();
  }
  Impl->Server->Shutdown(std::chrono::system_clock::now());
  Impl->Pump.reset();
  Impl->Connections.clear();
  Impl->Server.reset();
}

http::Endpoint PeerService::endpoint() const { return Impl->Settings.Listen; }

void PeerService::setForwardHandler(ForwardHandler handler) {
  Impl->Handlers.Forward = std::move(handler);
}

void PeerService::setSyncHandler(SyncHandler handler) {
  Impl->Handlers.Sync = std::move(handler);
}

void PeerService::setInForceHandler(InForceHandler handler) {
  Impl->Handlers.InForce = std::move(handler);
}

void PeerService::onStreamTimeout(
    std::function<void(const std::string &endpoint)> callback) {
  Impl->OnStreamTimeout = std::move(callback);
}

void PeerService::setEventsHandler(EventsHandler handler) {
  Impl->Handlers.Events = std::move(handler);
}

void PeerService::setDescribeHandler(DescribeHandler handler) {
  Impl->Handlers.Describe = std::move(handler);
}

void PeerService::fetchEvents(const std::string &endpoint,
                              const proto::TimelineRequest &request,
                              EventsCallback callback) {
  Impl->call<proto::TimelineReply>(
      endpoint,
      [&](auto &stub, auto &context, auto &queue) {
        return stub.AsyncEvents(&context, request, &queue);
      },
      std::move(callback));
}

void PeerService::describeGroup(const std::string &endpoint,
                                const proto::DescribeRequest &request,
                                DescribeCallback callback) {
  Impl->call<proto::DescribeReply>(
      endpoint,
      [&](auto &stub, auto &context, auto &queue) {
        return stub.AsyncDescribe(&context, request, &queue);
      },
      std::move(callback));
}

void PeerService::forward(const std::string &endpoint,
                          proto::ForwardRequest request,
                          ForwardCallback callback) {
  Impl->streamTo(endpoint).send(std::move(request), std::move(callback),
                                Impl->Loop->now());
}

} // namespace baobabpin::peer
