/// The group owner role of a node: takes statements for groups and runs them.
///
/// \code
///   auto &owner = kernel.find<OwnerService>("owner");
///   owner.submit(request, [](proto::ForwardReply reply) { ... });
/// \endcode
#pragma once

#include "baobabpin/http/HttpClient.h"
#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/owner/PendingRequest.h"

#include <memory>
#include <string>

namespace baobabpin::owner {

struct OwnerSettings {
  /// IP number that connections to upstream servers come from.
  std::string LocalAddress;
  bool Baseline = false;
  /// Name of the replica chooser; see routing::findChooser.
  std::string Chooser = "least_pending";
  std::uint64_t RandomSeed = 0;
  /// Keeps which planned handovers were made.
  http::Endpoint Store;
};

class OwnerService : public kernel::Service {
public:
  explicit OwnerService(OwnerSettings settings);
  ~OwnerService() override;

  std::string_view name() const override { return "owner"; }
  /// Needs the services "directory" and "membership".
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;

  /// Runs a statement for a group, whether or not this node considers itself
  /// the owner: the sender's view of the members may be the newer one.
  void submit(const proto::ForwardRequest &request, ReplyCallback reply);

  /// Refuses new work from now on; statements of open transactions go on.
  void drain();
  /// Requests and transactions that are not finished.
  std::size_t inFlight() const;
  /// Kind-specific status of a group for operators, as JSON; empty when this
  /// node does not run it.
  std::string describeGroup(const base::GroupName &group) const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::owner
