/// The member list on the event loop: a UDP socket bound to the node's own IP
/// address, timers, event log and metrics.
///
/// \code
///   kernel.add(std::make_unique<MembershipService>(settings));
///   auto &members = kernel.find<MembershipService>("membership");
///   members.onChange([&](const MemberChange &it) { ... });
/// \endcode
#pragma once

#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/membership/MemberList.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace baobabpin::membership {

struct MembershipSettings {
  /// GossipEndpoint may have port 0; the system then chooses one. Incarnation
  /// and State are ignored.
  MemberRecord Self;
  /// Gossip endpoints of some nodes, to find the fleet.
  std::vector<std::string> Seeds;
  /// Shared by the fleet; signs every datagram. Must not be empty.
  std::string FleetSecret;
  MembershipTiming Timing = {};
};

/// Summary of a node's configuration.
struct ConfigDigest {
  std::uint64_t Revision = 0;
  std::uint64_t Hash = 0;

  bool operator==(const ConfigDigest &) const = default;
};

class MembershipService : public kernel::Service {
public:
  explicit MembershipService(MembershipSettings settings);
  ~MembershipService() override;

  std::string_view name() const override { return "membership"; }
  /// Fails with InvalidSettings when the address cannot be bound or the secret
  /// is empty.
  base::Result<void> start(kernel::Kernel &kernel) override;
  /// Tells some members that this process ends.
  void stop() override;

  /// This node's own record; the gossip endpoint is final after start().
  const MemberRecord &self() const;
  /// All other members, also suspect and dead ones, by node ID.
  const std::map<base::NodeId, MemberEntry> &members() const;
  /// Null for an unknown node; finds this node too.
  const MemberRecord *find(const base::NodeId &node) const;

  /// Calls \p callback after each change of a member or of this node's own
  /// record. Callbacks are never removed; they may not add others.
  void onChange(std::function<void(const MemberChange &)> callback);

  /// Declares this node unfit to own \p group for \p period (4.2: 10 s).
  void declareUnfit(const base::GroupName &group, base::Duration period);
  void withdrawUnfit(const base::GroupName &group);
  /// Tells the fleet that this node gets no new work.
  void declareLeaving();
  /// Recorded in later records; not a change that is spread on its own.
  void setAppliedRevision(std::uint64_t revision);
  /// For the forwarding layer: \p node did not answer in time.
  void reportUnresponsive(const base::NodeId &node);

  /// \p source gives the digest that every datagram carries.
  void setDigestSource(std::function<ConfigDigest()> source);
  /// Called for each datagram of a peer that carries a digest.
  void onDigest(
      std::function<void(const base::NodeId &, const ConfigDigest &)> callback);
  /// Sends the own digest to \p count random members at once.
  void sendConfigNotice(std::size_t count);
  /// Reports the applied revision to one node.
  void sendAppliedRevision(const base::NodeId &to);
  /// Called when a node reports the revision that it applied.
  void onAppliedRevision(
      std::function<void(const base::NodeId &, std::uint64_t)> callback);
  /// Tells members on \p host, unless they are leaving already, that the
  /// platform's list has their host leaving.
  void sendHostLeaving(const std::string &host);
  /// Called when a peer says that this node's host is leaving.
  void onHostLeaving(std::function<void()> callback);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::membership
