/// Calls to the nodes' resource interface, with failover between nodes.
#pragma once

#include "baobabpin/ctl/Options.h"
#include "baobabpin/proto/operators.grpc.pb.h"

#include <grpcpp/client_context.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace baobabpin::ctl {

using WallTime = std::chrono::system_clock::time_point;

class NodeClient {
public:
  /// Fails with InvalidSettings when a certificate file cannot be read.
  static base::Result<std::unique_ptr<NodeClient>>
  connect(const Options &options);

  template <typename Request, typename Reply>
  using Method = grpc::Status (proto::Resources::Stub::*)(grpc::ClientContext *,
                                                          const Request &,
                                                          Reply *);

  /// Asks the current node once. After a lost answer the next call goes to the
  /// next node. For requests whose repetition needs a decision.
  template <typename Request, typename Reply>
  grpc::Status callOnce(Method<Request, Reply> method, const Request &request,
                        Reply &reply) {
    grpc::ClientContext context;
    context.set_deadline(attemptDeadline());
    reply.Clear();
    grpc::Status status = (stub().*method)(&context, request, &reply);
    if (isLost(status))
      next();
    return status;
  }

  /// Asks one node after the other until one answers. For requests that may be
  /// repeated.
  template <typename Request, typename Reply>
  grpc::Status callAny(Method<Request, Reply> method, const Request &request,
                       Reply &reply) {
    grpc::Status status;
    for (std::size_t i = 0; i < Stubs.size(); ++i) {
      status = callOnce(method, request, reply);
      if (!isLost(status) || isExpired())
        break;
    }
    return status;
  }

  /// Whether the node may not have received the request, or its answer is lost.
  static bool isLost(const grpc::Status &status);

  proto::Resources::Stub &stub() { return *Stubs[Current]; }
  const std::string &server() const { return Servers[Current]; }
  std::size_t serverCount() const { return Servers.size(); }
  void next() { Current = (Current + 1) % Stubs.size(); }

  /// When the whole command must end.
  WallTime deadline() const { return Deadline; }
  bool isExpired() const {
    return std::chrono::system_clock::now() >= Deadline;
  }
  /// Waits before the nodes are asked again; false when the time is over.
  bool pause() const;

private:
  WallTime attemptDeadline() const;

  std::vector<std::string> Servers;
  std::vector<std::unique_ptr<proto::Resources::Stub>> Stubs;
  std::size_t Current = 0;
  WallTime Deadline;
};

} // namespace baobabpin::ctl
