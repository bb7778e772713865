#include "baobabpin/operators/ResourceService.h"

#include "baobabpin/operators/Messages.h"
#include "baobabpin/operators/ServerCalls.h"
#include "baobabpin/operators/Timeline.h"
#include "baobabpin/resources/Validation.h"

#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <set>
#include <sstream>

namespace baobabpin::operators {
namespace {

using base::ErrorType;
using internal::ServerState;
using internal::WatchCall;
using resources::ResourceId;

using ApplyCall = internal::UnaryCall<proto::ApplyRequest, proto::ApplyReply>;
using ValidateCall =
    internal::UnaryCall<proto::ValidateRequest, proto::ValidateReply>;
using GetCall = internal::UnaryCall<proto::GetRequest, proto::GetReply>;
using ListCall = internal::UnaryCall<proto::ListRequest, proto::ListReply>;
using DeleteCall =
    internal::UnaryCall<proto::DeleteRequest, proto::DeleteReply>;
using TimelineCall =
    internal::UnaryCall<proto::TimelineRequest, proto::TimelineReply>;

base::Result<std::string> readFile(const std::string &path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file || text.str().empty())
    return base::fail(ErrorType::InvalidSettings, "cannot read " + path);
  return text.str();
}

base::Result<std::shared_ptr<grpc::ServerCredentials>>
makeCredentials(const OperatorSettings &settings) {
  if (settings.ClearText)
    return grpc::InsecureServerCredentials();
  grpc::SslServerCredentialsOptions options(
      GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  grpc::SslServerCredentialsOptions::PemKeyCertPair pair;
  BOOST_LEAF_ASSIGN(options.pem_root_certs, readFile(settings.CaFile));
  BOOST_LEAF_ASSIGN(pair.cert_chain, readFile(settings.CertificateFile));
  BOOST_LEAF_ASSIGN(pair.private_key, readFile(settings.KeyFile));
  options.pem_key_cert_pairs.push_back(std::move(pair));
  return grpc::SslServerCredentials(options);
}

/// Whether the client of \p call has \p wanted; otherwise writes the error.
template <typename Call>
bool mayDo(const Call &call, Right wanted, proto::OperatorError &error) {
  if (call.right() >= wanted)
    return true;
  const char *unit = wanted == Right::Change ? "operator" : "viewer";
  writeFailure({ErrorType::PermissionDenied,
                "the client certificate has no organisational unit " +
                    std::string(unit)},
               error);
  return false;
}

std::size_t timelineLimit(std::uint32_t stated) {
  return stated == 0 ? DefaultTimelineLimit
                     : std::min<std::size_t>(stated, MaxTimelineLimit);
}

} // namespace

struct ResourceService::State {
  State(OperatorSettings settings, ResourceBackend &backend)
      : Settings(std::move(settings)), Backend(backend) {}

  void acceptCalls();
  void apply(const ApplyCall::Pointer &call);
  void validate(const ValidateCall::Pointer &call) const;
  void get(const GetCall::Pointer &call);
  void getStored(const GetCall::Pointer &call, const ResourceId &id);
  void addStatus(const GetCall::Pointer &call, const ResourceId &id,
                 std::uint64_t version);
  void list(const ListCall::Pointer &call) const;
  void watch(const WatchCall::Pointer &call);
  void remove(const DeleteCall::Pointer &call);
  void timeline(const TimelineCall::Pointer &call);
  void recordChange(const char *event, const ResourceId &id,
                    std::uint64_t version, const ClientIdentity &client);

  OperatorSettings Settings;
  ResourceBackend &Backend;
  kernel::EventLog *Log = nullptr;
  std::shared_ptr<ServerState> Calls;
  std::unique_ptr<grpc::Server> Server;
  /// Open watches; each is removed when its client leaves.
  std::set<std::shared_ptr<ResourceWatch>> Watches;
  int Port = 0;
};

void ResourceService::State::acceptCalls() {
  using Async = proto::Resources::AsyncService;
  ApplyCall::accept(Calls, &Async::RequestApply,
                    [this](const auto &call) { apply(call); });
  ValidateCall::accept(Calls, &Async::RequestValidate,
                       [this](const auto &call) { validate(call); });
  GetCall::accept(Calls, &Async::RequestGet,
                  [this](const auto &call) { get(call); });
  ListCall::accept(Calls, &Async::RequestList,
                   [this](const auto &call) { list(call); });
  DeleteCall::accept(Calls, &Async::RequestDelete,
                     [this](const auto &call) { remove(call); });
  TimelineCall::accept(Calls, &Async::RequestTimeline,
                       [this](const auto &call) { timeline(call); });
  WatchCall::accept(Calls, [this](const auto &call) { watch(call); });
}

void ResourceService::State::recordChange(const char *event,
                                          const ResourceId &id,
                                          std::uint64_t version,
                                          const ClientIdentity &client) {
  Log->record(event, {{"resource", formatResourceId(id)},
                      {"version", std::to_string(version)},
                      {"operator", client.CommonName}});
}

void ResourceService::State::apply(const ApplyCall::Pointer &call) {
  auto &error = *call->Reply.mutable_error();
  if (!mayDo(*call, Right::Change, error))
    return call->finish();
  auto request = readOrReport<ChangeRequest>(
      error, [&] { return readApply(call->Request); });
  if (!request)
    return call->finish();
  auto finish = [this, call, calls = Calls, id = request->Id,
                 spec = *request->NewSpec](const ChangeReply &reply) {
    if (calls->Stopped)
      return;
    if (reply.Error)
      writeError(*reply.Error, *call->Reply.mutable_error());
    else
      call->Reply.clear_error();
    call->Reply.set_changed(reply.Changed);
    writeResource(id, reply.Version, spec, *call->Reply.mutable_resource());
    if (reply.Changed)
      recordChange("resource_applied", id, reply.Version, call->Client);
    call->finish();
  };
  changeResource(Backend, std::move(*request), finish);
}

void ResourceService::State::remove(const DeleteCall::Pointer &call) {
  auto &error = *call->Reply.mutable_error();
  if (!mayDo(*call, Right::Change, error))
    return call->finish();
  auto request = readOrReport<ChangeRequest>(
      error, [&] { return readDelete(call->Request); });
  if (!request)
    return call->finish();
  auto finish = [this, call, calls = Calls,
                 id = request->Id](const ChangeReply &reply) {
    if (calls->Stopped)
      return;
    if (reply.Error)
      writeError(*reply.Error, *call->Reply.mutable_error());
    else
      recordChange("resource_deleted", id, reply.Version, call->Client);
    call->finish();
  };
  changeResource(Backend, std::move(*request), finish);
}

void ResourceService::State::validate(const ValidateCall::Pointer &call) const {
  auto &error = *call->Reply.mutable_error();
  if (!mayDo(*call, Right::Read, error))
    return call->finish();
  std::vector<std::pair<ResourceId, resources::Spec>> changes;
  for (const auto &it : call->Request.resources()) {
    proto::ApplyRequest single;
    *single.mutable_resource() = it;
    single.mutable_resource()->clear_mark();
    auto change =
        readOrReport<ChangeRequest>(error, [&] { return readApply(single); });
    if (!change) {
      error.set_kind(it.kind());
      error.set_name(it.name());
      return call->finish();
    }
    changes.emplace_back(change->Id, std::move(*change->NewSpec));
  }
  base::leaf::try_handle_all(
      [&]() -> base::Result<void> {
        return validateAll(Backend.catalog(), std::move(changes));
      },
      [&](const base::Failure &failure, const resources::FieldError *field,
          const ResourceId *id) {
        writeError({failure, field ? *field : resources::FieldError{}}, error);
        if (!id)
          return;
        error.set_kind(std::string(resources::kindName(id->Kind)));
        error.set_name(id->Name);
      },
      [&] {
        writeFailure({ErrorType::Internal, "validation"}, error);
      });
  call->finish();
}

void ResourceService::State::get(const GetCall::Pointer &call) {
  auto &error = *call->Reply.mutable_error();
  if (!mayDo(*call, Right::Read, error))
    return call->finish();
  auto id = readOrReport<ResourceId>(error, [&] {
    return readResourceId(call->Request.kind(), call->Request.name());
  });
  if (!id)
    return call->finish();
  if (call->Request.from_store())
    return getStored(call, *id);
  const auto *record = Backend.catalog().find(*id);
  if (!record) {
    writeFailure(
        {ErrorType::NotFound, formatResourceId(*id) + " does not exist"},
        error);
    return call->finish();
  }
  writeResource(*id, record->Revision, record->ResourceSpec,
                *call->Reply.mutable_resource());
  addStatus(call, *id, record->Revision);
}

void ResourceService::State::getStored(const GetCall::Pointer &call,
                                       const ResourceId &id) {
  Backend.find(id, [this, call, calls = Calls, id](const FindReply &reply) {
    if (calls->Stopped)
      return;
    auto &error = *call->Reply.mutable_error();
    if (reply.Error)
      writeFailure(*reply.Error, error);
    else if (!reply.Found)
      writeFailure(
          {ErrorType::NotFound, formatResourceId(id) + " does not exist"},
          error);
    if (!error.type().empty())
      return call->finish();
    auto &resource = *call->Reply.mutable_resource();
    resource.set_kind(call->Request.kind());
    resource.set_name(call->Request.name());
    resource.set_version(reply.Found->Version);
    resource.set_mark(reply.Found->Mark);
    if (reply.Found->ResourceSpec)
      resource.set_spec(printSpec(*reply.Found->ResourceSpec));
    addStatus(call, id, reply.Found->Version);
  });
}

void ResourceService::State::addStatus(const GetCall::Pointer &call,
                                       const ResourceId &id,
                                       std::uint64_t version) {
  Backend.inForce(id, version, [call](const ResourceStatus &status) {
    writeStatus(status, *call->Reply.mutable_status());
    call->finish();
  });
}

void ResourceService::State::list(const ListCall::Pointer &call) const {
  auto &error = *call->Reply.mutable_error();
  if (!mayDo(*call, Right::Read, error))
    return call->finish();
  auto filter = readOrReport<WatchFilter>(
      error, [&] { return readFilter(call->Request.kind(), ""); });
  if (!filter)
    return call->finish();
  for (const auto &[id, record] : Backend.catalog().records()) {
    if (filter->matches(id))
      writeResource(id, record.Revision, record.ResourceSpec,
                    *call->Reply.add_resources());
  }
  call->finish();
}

void ResourceService::State::watch(const WatchCall::Pointer &call) {
  proto::WatchEvent refusal;
  auto &error = *refusal.mutable_error();
  std::optional<WatchFilter> filter;
  if (mayDo(*call, Right::Read, error))
    filter = readOrReport<WatchFilter>(error, [&] {
      return readFilter(call->Request.kind(), call->Request.name());
    });
  if (!filter) {
    call->send(std::move(refusal));
    return call->finish();
  }
  auto watch = std::make_shared<ResourceWatch>(
      Backend, *filter,
      [weak = std::weak_ptr(call)](const WatchUpdate &update) {
        if (auto open = weak.lock())
          open->send(makeWatchEvent(update));
      });
  Watches.insert(watch);
  call->onDone([this, calls = Calls, watch = std::weak_ptr(watch)] {
    if (!calls->Stopped)
      Watches.erase(watch.lock());
  });
  watch->start();
}

void ResourceService::State::timeline(const TimelineCall::Pointer &call) {
  if (!mayDo(*call, Right::Read, *call->Reply.mutable_error()))
    return call->finish();
  kernel::EventStamp since{call->Request.since_wall_us(),
                           call->Request.since_counter()};
  std::size_t limit = timelineLimit(call->Request.limit());
  auto finish = [this, call, calls = Calls, since, limit](TimelineReply reply) {
    if (calls->Stopped)
      return;
    auto local = localTimeline(*Log, since, limit);
    reply.Events.insert(reply.Events.end(), local.begin(), local.end());
    writeTimeline(mergeTimelines(std::move(reply.Events), limit), call->Reply);
    for (const auto &it : reply.Missing)
      call->Reply.add_missing(it);
    call->finish();
  };
  if (call->Request.local_only())
    return finish({});
  Backend.peerTimeline(since, limit, finish);
}

ResourceService::ResourceService(OperatorSettings settings,
                                 ResourceBackend &backend)
    : Impl(std::make_unique<State>(std::move(settings), backend)) {}

ResourceService::~ResourceService() { stop(); }

base::Result<void> ResourceService::start(kernel::Kernel &kernel) {
  BOOST_LEAF_AUTO(credentials, makeCredentials(Impl->Settings));
  Impl->Log = &kernel.log();
  auto calls = std::make_shared<ServerState>();
  calls->ClearText = Impl->Settings.ClearText;
  grpc::ServerBuilder builder;
  // Two processes that share a port by mistake must not both start.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.SetMaxReceiveMessageSize(MaxRequestBytes);
  builder.AddListeningPort(Impl->Settings.Listen, credentials, &Impl->Port);
  builder.RegisterService(&calls->Service);
  auto queue = builder.AddCompletionQueue();
  Impl->Server = builder.BuildAndStart();
  if (!Impl->Server || Impl->Port == 0) {
    queue->Shutdown();
    return base::fail(ErrorType::InvalidSettings,
                      "cannot listen on " + Impl->Settings.Listen +
                          " with the given certificates");
  }
  calls->Queue = queue.get();
  calls->Pump =
      std::make_unique<kernel::CompletionPump>(kernel.loop(), std::move(queue));
  Impl->Calls = std::move(calls);
  Impl->acceptCalls();
  return {};
}

void ResourceService::stop() {
  if (!Impl->Calls)
    return;
  Impl->Calls->Stopped = true;
  Impl->Watches.clear();
  // Open watches never end on their own; a deadline in the past cancels them.
  Impl->Server->Shutdown(std::chrono::system_clock::now());
  Impl->Calls->Pump.reset();
  Impl->Server.reset();
  Impl->Calls.reset();
}

int ResourceService::port() const { return Impl->Port; }

} // namespace baobabpin::operators
