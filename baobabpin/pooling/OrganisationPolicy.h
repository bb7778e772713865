/// The rules by which organisations share the connections to one server.
///
/// A connection that was opened for one organisation serves no other, and
/// opening one occupies a slot of the server. Load pattern: tens of
/// organisations, one of which may send many times its usual, share a few tens
/// of connections. The connections of a quiet organisation make room for those
/// of a busy one, but a busy one does not keep a quiet one from being served.
///
/// \code
///   if (auto turn = chooseToServe(waiting, uses))
///     ... grant the idle connection of that organisation ...
/// \endcode
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/base/Identifiers.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace baobabpin::pooling {

/// The connections of one organisation to a server, and its waiting work.
struct OrganisationUse {
  int Idle = 0;
  int Busy = 0;
  int Opening = 0;
  int Waiting = 0;
  /// See FairTurns.
  double Turn = 0;

  int held() const { return Idle + Busy + Opening; }
};

/// Weighted fair queueing. The turn of an organisation grows with each request
/// that is served, the faster the smaller its share is, and the lowest turn is
/// served first. An organisation that had no work does not save up turns.
struct FairTurns {
  /// The turn of the latest request that was served.
  double Present = 0;
  std::map<base::OrganisationName, double> Next;
};

double turnOf(const FairTurns &turns,
              const base::OrganisationName &organisation);

/// Records that a request of an organisation with this share was served.
void recordTurn(FairTurns &turns, const base::OrganisationName &organisation,
                double share);

using OrganisationUses = std::map<base::OrganisationName, OrganisationUse>;

/// Waiting work, as far as it matters for the order of service. Lists of it are
/// sorted by priority, lowest number first, then by deadline.
struct WaitingWork {
  base::OrganisationName Organisation;
  int Priority = 0;
  /// The limits of the pool allow it to run now.
  bool MayStart = true;
  /// It may use a connection of any organisation.
  bool AnyOrganisation = false;
  /// It can no longer meet its target latency. Within one organisation and
  /// priority it is served after work that still can.
  bool Late = false;
};

/// Returns the index of the work to serve next: of those that may start and
/// whose organisation has an idle connection, the highest priority first, then
/// the organisation with the lowest turn, then work that is not late.
std::optional<std::size_t>
chooseToServe(const std::vector<WaitingWork> &waiting,
              const OrganisationUses &uses);

/// Returns the number of requests that are served before one of
/// \p organisation with this priority, which joins the queue at \p position.
std::size_t countAhead(const std::vector<WaitingWork> &waiting,
                       const base::OrganisationName &organisation, int priority,
                       std::size_t position);

/// Returns the organisation for which the next connection is opened, or nothing
/// if no waiting work needs one: the highest priority first, then the
/// organisation that holds the fewest connections. Work that may not start yet
/// counts only if its organisation holds no connection.
std::optional<base::OrganisationName>
chooseToOpenFor(const std::vector<WaitingWork> &waiting,
                const OrganisationUses &uses);

/// An idle connection that could be closed in favour of waiting work.
struct IdleConnection {
  base::OrganisationName Organisation;
  base::BootTime IdleSince{};
};

/// Returns the index of the connection to close so that one can be opened for
/// \p organisation, or nothing. Connections of organisations with waiting work
/// are kept.
std::optional<std::size_t>
chooseToClose(const std::vector<IdleConnection> &idle,
              const OrganisationUses &uses,
              const base::OrganisationName &organisation);

/// Whether an idle connection of another organisation may be closed in favour
/// of \p organisation when \p maximum connections are open. An organisation
/// without any may always have the first one. The others leave the reserve of
/// openLimitFor() to these.
bool mayReplace(const OrganisationUses &uses,
                const base::OrganisationName &organisation, int maximum);

/// Whether a connection of \p holder is closed when its work is done, although
/// \p holder may have more, because work of \p waiting cannot get the first
/// connection of that organisation otherwise.
bool mustYield(const OrganisationUses &uses,
               const base::OrganisationName &holder,
               const base::OrganisationName &waiting);

/// Returns how many connections may be open before one more is opened for an
/// organisation that holds \p held of them. The last ones are reserved for
/// organisations that hold none.
int openLimitFor(int maximum, const base::OrganisationName &organisation,
                 int held);

} // namespace baobabpin::pooling
