/// The service by which a node owns database groups: it takes requests for a
/// group and runs them on the group's servers.
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
  /// Local IP address of the connections to upstream servers.
  std::string LocalAddress;
  /// See GroupSettings::Baseline.
  bool Baseline = false;
  /// Name of the replica chooser; see routing::findChooser.
  std::string Chooser = "least_pending";
  std::uint64_t RandomSeed = 0;
  /// The platform's store, which records the planned handovers.
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

  /// Runs a request for a group, even if this node does not consider itself the
  /// owner: the sender may have a newer view of the members.
  void submit(const proto::ForwardRequest &request, ReplyCallback reply);

  /// Refuses new requests from now on, except those of open transactions.
  void drain();
  /// Counts the unfinished requests and transactions.
  std::size_t inFlight() const;
  /// Returns the status of a group as JSON, for operators; empty when this node
  /// does not run the group.
  std::string describeGroup(const base::GroupName &group) const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::owner
