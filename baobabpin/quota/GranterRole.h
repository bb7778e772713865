/// Decides which nodes are granters of an organisation, and when a node may act
/// as one.
///
/// The two registered nodes that rank first for an organisation grant its
/// tokens. Nodes learn of changes of the list at different times, and a
/// partition may keep a node from learning of them at all. A node therefore
/// acts as a granter only while both hold:
///
///   - The store has confirmed its view within GranterLease, directly or
///     through peers. A confirmation by a quorum of nodes does not count,
///     because the store may have accepted changes that the quorum does not
///     know.
///   - It has ranked among the first two without interruption, in one run of
///     the process, for GranterDelay, which is more than twice the lease.
///
/// Then at most two nodes are granters at any time t. Each of them was
/// registered during all of [t - 2 x lease, t - lease], because each has seen
/// its own record before and after, and a node that finds itself retired
/// begins anew. Each knows the list as of a moment within that time, in which
/// it ranked among the first two while all the others were on the list too.
/// Three nodes cannot each be among the first two of the three.
///
/// The only registered node holds both shares. It must have been the only one
/// for GranterDelay, so by the same argument there is no other granter.
///
/// A node that takes the place of another begins more than GranterLease after
/// that node was replaced on the list. The tokens of the former granter have
/// expired by then.
///
/// A node that loses the store for less than GranterDelay keeps its role: a
/// node that joined meanwhile has not begun to grant. A node that restarts and
/// finds its earlier run on the list, not retired and among the first two,
/// begins at once with an empty bucket: no other node has taken its place, and
/// the bucket of the earlier run is gone with its process. Excepted is a node
/// that joined, granted and left again while this one was down; it may grant
/// for GranterLease after it left, if it is cut off.
///
/// A store that is restored from a copy some seconds old does not end a role. A
/// node that the copy has and that was off the list before begins anew, unless
/// it was off the list for less than GranterDelay; then no other node has taken
/// its place yet.
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/cluster/ClusterView.h"
#include "baobabpin/quota/TokenBucket.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobabpin::quota {

/// Outlasts an outage of the store of some seconds, in which no node can grant
/// more than before.
inline constexpr std::chrono::milliseconds GranterLease{6500};
/// Covers the difference of clocks, and the time between two updates of a
/// role.
inline constexpr std::chrono::milliseconds GranterMargin{200};
inline constexpr std::chrono::milliseconds GranterDelay =
    2 * GranterLease + GranterMargin;
/// The delay while the whole fleet starts for the first time. No node has
/// granted tokens before, and the list of nodes settles within this time.
inline constexpr std::chrono::milliseconds FirstStartDelay{3800};

/// The nodes that rank first for each organisation. A change of the list of
/// nodes costs only the comparisons with the nodes that changed, because there
/// may be thousands of nodes and a hundred organisations.
class GranterRanking {
public:
  struct Candidate {
    double Score = 0;
    std::string Node;

    auto operator<=>(const Candidate &) const = default;
  };

  /// \p capacities has the capacity of each node that may be a granter.
  void update(const std::vector<base::OrganisationName> &organisations,
              const std::map<std::string, int> &capacities);
  /// Returns the first nodes, up to RankedNodes of them, the first in rank
  /// first; empty for an unknown organisation.
  const std::vector<Candidate> &
  ranked(const base::OrganisationName &organisation) const;
  /// Returns whether \p node is a granter according to the list of nodes.
  bool isGranter(const base::OrganisationName &organisation,
                 const std::string &node) const;
  void setRankedNodes(std::size_t count) { RankedNodes = count; }

private:
  void rankAll(const base::OrganisationName &organisation,
               std::vector<Candidate> &ranked) const;

  std::size_t RankedNodes = Granters;
  std::map<std::string, int> Capacities;
  std::map<base::OrganisationName, std::vector<Candidate>> Ranked;
};

/// What a run of a node knows about the granters before it.
enum class RunStart {
  Ordinary,
  /// The whole fleet starts for the first time.
  FirstStart,
  /// An earlier run of the node was on the list, among the first two, when this
  /// run first read it.
  Resumed,
};

/// Returns how long a node waits after it has become eligible.
std::chrono::milliseconds granterDelay(RunStart start);

/// What a node knows about itself at one moment.
struct RoleSample {
  /// The node is registered, not retired, and ranks among the first.
  bool Eligible = false;
  std::uint64_t Incarnation = 0;
  int Capacity = 0;
  /// The last confirmation of the list of nodes by the store.
  base::BootTime ConfirmedAt{};
  RunStart Start = RunStart::Ordinary;
};

/// How long a node has been eligible as a granter.
struct GranterRole {
  std::optional<base::BootTime> EligibleSince;
  /// The time from EligibleSince until the node may grant.
  std::chrono::milliseconds Delay = GranterDelay;
  RoleSample Last;
};

/// Must be called whenever the list of nodes changes, and at least every
/// GranterMargin / 2.
void updateRole(GranterRole &role, const RoleSample &sample,
                base::BootTime now);
/// Returns whether the node may grant tokens at \p now. \p confirmedAt is the
/// last confirmation of the present list of nodes by the store.
bool isGranting(const GranterRole &role, base::BootTime confirmedAt,
                base::BootTime now);

} // namespace baobabpin::quota
