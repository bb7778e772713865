/// What this node knows of the fleet and its databases: the catalog of declared
/// resources and the owner order of each group, kept up to date from the
/// configuration and the member list.
///
/// \code
///   auto &directory = kernel.find<Directory>("directory");
///   for (const auto &node : directory.ownersOf(group))
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

  const resources::ResourceCatalog &catalog() const;
  const base::NodeId &self() const;

  /// Cached until the members or the group change. Members that are dead,
  /// suspect or leaving are left out.
  const OwnerOrder &ownersOf(const base::GroupName &group) const;
  /// Whether this node is the first owner of \p group in its own view.
  bool isOwner(const base::GroupName &group) const;
  /// gRPC endpoint of a member; empty when it is unknown.
  std::string peerEndpoint(const base::NodeId &node) const;

  /// Called after a change of the catalog.
  void onCatalogChange(std::function<void()> callback);
  /// Called after changes of owner orders; several changes of one iteration of
  /// the event loop give one call.
  void onOwnersChange(std::function<void()> callback);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::directory
