#include "baobabpin/control/LeadershipCheck.h"

#include "platform/Wire.h"

namespace baobabpin::control {
namespace {

using std::chrono::milliseconds;

/// A server that was just promoted registers with its new role within this
/// time, so that the doubt ends by itself.
constexpr milliseconds SettleTime{400};
/// A node that is not the first monitor waits this long before it asks.
constexpr milliseconds TakeOverDelay{1500};
/// The time between two checks of a group.
constexpr milliseconds CheckPeriod{1000};

} // namespace

bool LeadershipCheck::isInDoubt(const base::GroupName &group,
                                const cluster::PrimaryObservation &own) const {
  if (own.RefusedWrite)
    return true;
  const auto &record = Cluster.view().Groups.at(group).Value;
  auto primary = Cluster.servers().find(record.Primary);
  return primary != Cluster.servers().end() &&
         primary->second.Role == sql::ServerRole::Replica;
}

void LeadershipCheck::update(const base::GroupName &group,
                             const cluster::PrimaryObservation &own) {
  if (!isInDoubt(group, own)) {
    States.erase(group);
    return;
  }
  auto now = base::BootClock::now();
  State &state =
      States.try_emplace(group, State{now, now + SettleTime, {}}).first->second;
  bool isTurn =
      Cluster.isFirstMonitor() || now - state.DoubtSince > TakeOverDelay;
  if (!isTurn || !Cluster.canCoordinate() || state.AskedAtRevision ||
      now < state.NextCheck)
    return;
  state.NextCheck = now + CheckPeriod;
  ask(group);
}

void LeadershipCheck::ask(const base::GroupName &group) {
  const auto &record = Cluster.view().Groups.at(group);
  auto asked = std::make_shared<const std::uint64_t>(record.Revision);
  States[group].AskedAtRevision = asked;
  Access.Query(record.Value.Primary, platform::formatStatusQuery(),
               StatusTimeout,
               [this, group, weak = std::weak_ptr<const std::uint64_t>(asked)](
                   const std::optional<sql::Reply> &reply) {
                 auto revision = weak.lock();
                 if (!revision)
                   return;
                 States[group].AskedAtRevision.reset();
                 auto known = Cluster.view().Groups.find(group);
                 auto status = statusOf(reply);
                 if (!status || known == Cluster.view().Groups.end() ||
                     known->second.Revision != *revision)
                   return;
                 bool deposed = status->Role == sql::ServerRole::Replica;
                 Log.line("primary_role_checked")
                     .add("group", group)
                     .add("server", known->second.Value.Primary)
                     .add("role", deposed ? "replica" : "primary")
                     .add("term", static_cast<std::int64_t>(status->Term));
                 if (deposed)
                   OnDeposed(group);
               });
}

} // namespace baobabpin::control
