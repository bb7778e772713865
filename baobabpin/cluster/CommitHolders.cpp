#include "baobabpin/cluster/CommitHolders.h"

#include <algorithm>
#include <tuple>

namespace baobabpin::cluster {
namespace {

bool isSameRun(const ServerRun &it, const ServerRun &other) {
  return it.Id == other.Id && it.StartedMs == other.StartedMs;
}

bool isPresent(const ServerRun &run, const ServerMap &servers) {
  auto it = servers.find(run.Id);
  return it != servers.end() && it->second.StartedMs == run.StartedMs;
}

/// Whether a present server has the log of \p run, which has drained until its
/// end.
bool hasHeir(const ServerRun &run, const ServerMap &servers,
             const base::GroupName &group) {
  return run.Draining && !isPresent(run, servers) &&
         std::ranges::any_of(servers, [&](const auto &entry) {
           const auto &[id, it] = entry;
           return id != run.Id && it.Group == group &&
                  it.Address == run.Address;
         });
}

/// Adds \p run, or what it says about a run that is known.
void addRun(std::vector<ServerRun> &runs, const ServerRun &run) {
  auto it = std::ranges::find_if(
      runs, [&](const auto &known) { return isSameRun(known, run); });
  if (it == runs.end()) {
    runs.push_back(run);
    return;
  }
  it->Address = run.Address;
  it->Draining = it->Draining || run.Draining;
}

void sortRuns(std::vector<ServerRun> &runs) {
  std::ranges::sort(runs, {}, [](const ServerRun &it) {
    return std::tuple(it.Id, it.StartedMs);
  });
}

} // namespace

std::vector<ServerRun> presentRuns(const ServerMap &servers,
                                   const base::GroupName &group) {
  std::vector<ServerRun> runs;
  for (const auto &[id, it] : servers) {
    if (it.Group == group)
      runs.push_back({id, it.StartedMs, it.Address, it.Draining});
  }
  return runs;
}

std::vector<ServerRun> addPresentRuns(std::vector<ServerRun> holders,
                                      const ServerMap &servers,
                                      const base::GroupName &group) {
  for (const auto &run : presentRuns(servers, group))
    addRun(holders, run);
  std::erase_if(holders, [&](const ServerRun &it) {
    return hasHeir(it, servers, group);
  });
  sortRuns(holders);
  return holders;
}

std::vector<ServerRun> lostRuns(const std::vector<ServerRun> &holders,
                                const ServerMap &servers,
                                const base::GroupName &group) {
  std::vector<ServerRun> lost;
  for (const auto &it : holders) {
    if (!isPresent(it, servers) && !hasHeir(it, servers, group))
      lost.push_back(it);
  }
  return lost;
}

std::vector<ServerRun> unheardRuns(const GroupRecord &record,
                                   const ServerMap &servers,
                                   const base::GroupName &group,
                                   const std::set<base::ServerId> &heard) {
  auto runs = addPresentRuns(record.Holders.value_or(std::vector<ServerRun>{}),
                             servers, group);
  std::erase_if(runs, [&](const ServerRun &it) {
    bool isPrimary = it.Id == record.Primary &&
                     maybeSameRun(it.StartedMs, record.PrimaryStartedMs);
    return isPrimary || (isPresent(it, servers) && heard.contains(it.Id));
  });
  return runs;
}

void noteSign(RunEvidence &evidence, RunSign sign, base::BootTime now) {
  if (sign == RunSign::Alive) {
    evidence = {};
    return;
  }
  evidence.Absences = sign == RunSign::Absent ? evidence.Absences + 1 : 0;
  if (!evidence.NoSignSince)
    evidence.NoSignSince = now;
}

bool hasEnded(const RunEvidence &evidence, base::BootTime now) {
  return evidence.Absences >= AbsencesNeeded ||
         (evidence.NoSignSince && now - *evidence.NoSignSince >= NoSignLimit);
}

bool mergeHolders(GroupRecord &record, const GroupRecord &other) {
  if (!other.Holders || record.Holders == other.Holders)
    return false;
  auto before = record.Holders;
  if (!record.Holders)
    record.Holders.emplace();
  for (const auto &it : *other.Holders)
    addRun(*record.Holders, it);
  sortRuns(*record.Holders);
  return record.Holders != before;
}

} // namespace baobabpin::cluster
