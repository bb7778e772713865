/// This node's view of the fleet and its databases: the catalog of declared
/// resources and the owner order of each database group. The view follows
/// changes of the configuration and of the fleet's members.
///
/// The owner order of a group lists the nodes that may run its statements. The
/// first one is the owner; the others take over if the nodes before them fail.
///
/// \code
///   auto &directory = kernel.find<Directory>("directory");
///   for (const auto &node : directory.ownersOf(group).Nodes)
///     if (auto endpoint = directory.peerEndpoint(node); !endpoint.empty())
///       ...
/// \endcode
#pragma once

#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/resources/ResourceCatalog.h"
#include "baobabpin/routing/GroupOwner.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace baobabpin::directory {

using routing::OwnerOrder;

class Directory : public kernel::Service {
public:
  Directory();
  ~Directory() override;

  std::string_view name() const override { return "directory"; }
  /// Needs the services "membership" and "configsync".
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;

  /// The declared resources as known to this node.
  const resources::ResourceCatalog &catalog() const;
  /// The ID of this node.
  const base::NodeId &self() const;

  /// Returns the owner order of \p group. Members that are dead, suspected or
  /// leaving are left out. The reference is valid until the members or the
  /// group change.
  const OwnerOrder &ownersOf(const base::GroupName &group) const;
  /// Whether this node considers itself the owner of \p group. Nodes with
  /// another view of the members may disagree.
  bool isOwner(const base::GroupName &group) const;
  /// Returns the gRPC endpoint of a member, or an empty string if \p node is
  /// not known.
  std::string peerEndpoint(const base::NodeId &node) const;

  /// Adds a callback that is called after each change of the catalog.
  void onCatalogChange(std::function<void()> callback);
  /// Adds a callback that is called after owner orders may have changed.
  /// Several changes within one iteration of the event loop lead to one call.
  void onOwnersChange(std::function<void()> callback);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::directory
