#include "baobabpin/control/HolderKeeper.h"

#include "baobabpin/control/GroupChanges.h"
#include "platform/Wire.h"

#include <algorithm>
#include <string>
#include <utility>

namespace baobabpin::control {
namespace {

using std::chrono::milliseconds;

/// A node that is not the first monitor waits this long before it acts.
constexpr milliseconds TakeOverDelay{1500};
/// The time between two checks of a group.
constexpr milliseconds CheckPeriod{1000};

cluster::RunSign signOf(const pooling::RunContact &contact) {
  switch (contact.Result) {
  case pooling::RunContact::Answer::Status:
  case pooling::RunContact::Answer::Busy:
    return cluster::RunSign::Alive;
  case pooling::RunContact::Answer::Absent:
    return cluster::RunSign::Absent;
  case pooling::RunContact::Answer::Nothing:
    break;
  }
  return cluster::RunSign::None;
}

} // namespace

struct HolderKeeper::Check {
  base::GroupName Group;
  int SyncReplicas = 0;
  cluster::Versioned<cluster::GroupRecord> Record;
  std::uint64_t Era = 0;
  /// The runs that were present at the beginning.
  std::vector<cluster::ServerRun> Present;
  /// The run of the primary.
  std::int64_t PrimaryStartedMs = 0;
  /// The end of the primary's log.
  base::LogPosition End;
  std::size_t Outstanding = 0;
  /// The holders without a registration, and those of them that have ended.
  std::vector<cluster::ServerRun> Missing;
  std::vector<cluster::ServerRun> Ended;
  /// The replicas that have received the log up to End.
  std::vector<cluster::ServerRun> CaughtUp;
};

void HolderKeeper::tick() {
  const auto *config = Cluster.configuration();
  if (!config || !Cluster.isStoreReachable())
    return;
  auto now = base::BootClock::now();
  for (const auto &[name, group] : config->Groups)
    updateGroup(group, now);
  writeDue();
}

void HolderKeeper::updateGroup(const cluster::GroupConfig &group,
                               base::BootTime now) {
  const auto &view = Cluster.view();
  auto it = view.Groups.find(group.Name);
  if (group.SyncReplicas <= 0 || it == view.Groups.end() ||
      it->second.Value.FailoverInProgress ||
      !cluster::isVerified(it->second.Value, view.Era)) {
    States.erase(group.Name);
    return;
  }
  const auto &known = it->second.Value.Holders;
  auto holders = known;
  if (known)
    holders = cluster::addPresentRuns(*known, Cluster.servers(), group.Name);
  bool isChanged = holders != known;
  bool needsCheck =
      !known ||
      !cluster::lostRuns(*holders, Cluster.servers(), group.Name).empty();
  if (!isChanged && !needsCheck) {
    States.erase(group.Name);
    return;
  }
  GroupState &state =
      States.try_emplace(group.Name, GroupState{now, now, {}}).first->second;
  bool isTurn =
      Cluster.isFirstMonitor() || now - state.NeededSince > TakeOverDelay;
  if (!isTurn || Due.contains(group.Name))
    return;
  if (isChanged) {
    cluster::GroupRecord record = it->second.Value;
    record.Holders = std::move(holders);
    setDue(group.Name, std::move(record));
    return;
  }
  if (state.Running || now < state.NextCheck)
    return;
  state.NextCheck = now + CheckPeriod;
  startCheck(group, it->second);
}

void HolderKeeper::startCheck(
    const cluster::GroupConfig &group,
    const cluster::Versioned<cluster::GroupRecord> &record) {
  auto primary = Cluster.servers().find(record.Value.Primary);
  if (primary == Cluster.servers().end())
    return;
  auto check = std::make_shared<Check>();
  check->Group = group.Name;
  check->SyncReplicas = group.SyncReplicas;
  check->Record = record;
  check->Era = Cluster.view().Era;
  check->Present = cluster::presentRuns(Cluster.servers(), group.Name);
  check->PrimaryStartedMs = primary->second.StartedMs;
  auto lost = cluster::lostRuns(
      record.Value.Holders.value_or(std::vector<cluster::ServerRun>{}),
      Cluster.servers(), group.Name);
  // A later run under the same ID replies at the address, and shows that the
  // earlier one has ended.
  for (const auto &run : lost) {
    bool isReplaced = Cluster.servers().contains(run.Id);
    (isReplaced ? check->Ended : check->Missing).push_back(run);
  }
  States[group.Name].Running = check;
  askMissing(check);
}

void HolderKeeper::askMissing(const CheckPtr &check) {
  check->Outstanding = check->Missing.size();
  if (check->Missing.empty())
    onMissingAsked(check);
  for (const auto &run : check->Missing) {
    Access.Contact(
        check->Group, run, StatusTimeout,
        [this, weak = std::weak_ptr<Check>(check),
         run](const pooling::RunContact &contact) {
          CheckPtr it = weak.lock();
          if (!it)
            return;
          auto &evidence = States[it->Group].Evidence[{run.Id, run.StartedMs}];
          cluster::noteSign(evidence, signOf(contact), base::BootClock::now());
          if (--it->Outstanding == 0)
            onMissingAsked(it);
        });
  }
}

void HolderKeeper::onMissingAsked(const CheckPtr &check) {
  auto now = base::BootClock::now();
  std::string kept;
  for (const auto &run : check->Missing) {
    const auto &evidence =
        States[check->Group].Evidence[{run.Id, run.StartedMs}];
    if (cluster::hasEnded(evidence, now))
      check->Ended.push_back(run);
    else
      kept += (kept.empty() ? "" : ",") + run.Id;
  }
  if (!kept.empty())
    Log.line("holders_missing").add("group", check->Group).add("kept", kept);
  // A list that is not known is established without a missing run.
  if (check->Record.Value.Holders && check->Ended.empty())
    abandon(check);
  else
    askPrimary(check);
}

void HolderKeeper::askPrimary(const CheckPtr &check) {
  Access.Query(
      check->Record.Value.Primary, platform::formatStatusQuery(), StatusTimeout,
      [this, weak = std::weak_ptr<Check>(check)](
          const std::optional<sql::Reply> &reply) {
        CheckPtr it = weak.lock();
        if (!it)
          return;
        auto status = statusOf(reply);
        bool leads =
            status && cluster::isLeading(*status, it->Record.Value.Term, true);
        if (!leads) {
          abandon(it);
          return;
        }
        it->End = status->Received;
        askReplicas(it);
      });
}

void HolderKeeper::abandon(const CheckPtr &check) {
  States[check->Group].Running.reset();
}

void HolderKeeper::askReplicas(const CheckPtr &check) {
  std::vector<cluster::ServerRun> replicas;
  for (const auto &it : check->Present) {
    if (it.Id != check->Record.Value.Primary)
      replicas.push_back(it);
  }
  check->Outstanding = replicas.size();
  if (replicas.empty())
    endCheck(check);
  for (const auto &replica : replicas) {
    Access.Query(replica.Id, platform::formatStatusQuery(), StatusTimeout,
                 [this, weak = std::weak_ptr<Check>(check),
                  replica](const std::optional<sql::Reply> &reply) {
                   CheckPtr it = weak.lock();
                   if (!it)
                     return;
                   auto status = statusOf(reply);
                   if (status && status->Received >= it->End)
                     it->CaughtUp.push_back(replica);
                   if (--it->Outstanding == 0)
                     endCheck(it);
                 });
  }
}

void HolderKeeper::endCheck(const CheckPtr &check) {
  States[check->Group].Running.reset();
  const auto &view = Cluster.view();
  auto known = view.Groups.find(check->Group);
  if (view.Era != check->Era || known == view.Groups.end() ||
      known->second.Revision != check->Record.Revision)
    return;
  // A replica that has gone in the meantime holds nothing that counts.
  auto gone =
      cluster::lostRuns(check->CaughtUp, Cluster.servers(), check->Group);
  auto remaining = check->CaughtUp.size() - gone.size();
  bool isEnough = std::cmp_greater_equal(remaining, check->SyncReplicas);
  Log.line("holders_checked")
      .add("group", check->Group)
      .add("end", platform::formatLogPosition(check->End))
      .add("replicas_caught_up", static_cast<std::int64_t>(remaining))
      .add("ended", static_cast<std::int64_t>(check->Ended.size()))
      .add("sync_replicas", check->SyncReplicas)
      .add("enough", isEnough ? "yes" : "no");
  if (!isEnough)
    return;
  cluster::GroupRecord record = known->second.Value;
  auto holders = record.Holders.value_or(check->Present);
  std::erase_if(holders, [&](const cluster::ServerRun &it) {
    return std::ranges::find(check->Ended, it) != check->Ended.end();
  });
  record.Holders = cluster::addPresentRuns(std::move(holders),
                                           Cluster.servers(), check->Group);
  if (record.PrimaryStartedMs == 0)
    record.PrimaryStartedMs = check->PrimaryStartedMs;
  setDue(check->Group, std::move(record));
}

void HolderKeeper::setDue(const base::GroupName &group,
                          cluster::GroupRecord record) {
  // A list without limit would not be safer than none.
  if (record.Holders && record.Holders->size() > cluster::MaxHolders)
    record.Holders.reset();
  auto revision = Cluster.view().Groups.at(group).Revision;
  Due[group] = {std::move(record), revision};
}

void HolderKeeper::writeDue() {
  if (Writing || Due.empty())
    return;
  GroupChanges changes;
  for (const auto &[group, it] : std::exchange(Due, {})) {
    auto known = Cluster.view().Groups.find(group);
    // The others are noted again.
    if (isFull(changes) || known == Cluster.view().Groups.end() ||
        known->second.Revision != it.Revision)
      continue;
    addGroup(changes, group, it.Value, it.Revision);
  }
  if (changes.Keys.empty())
    return;
  Writing = true;
  Cluster.change(changes.Keys,
                 [this, names = changes.Names](const store::StoreReply &reply) {
                   Writing = false;
                   Log.line("holders_recorded")
                       .add("groups", names)
                       .add("result", store::storeStatusName(reply.Status));
                 });
}

} // namespace baobabpin::control
