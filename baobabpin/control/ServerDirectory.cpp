#include "baobabpin/control/ServerDirectory.h"

#include "baobabpin/control/PeerCalls.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace baobabpin::control {

ServerDirectory::ServerDirectory(kernel::LineLog &log)
    : Log(log), Digest(digestOf(Registrations)) {}

bool ServerDirectory::adopt(
    std::vector<cluster::ServerRegistration> registrations,
    base::BootTime confirmedAt, base::BootTime now) {
  if (confirmedAt <= ConfirmedAt)
    return false;
  restoreDraining(registrations, now);
  if (registrations != Registrations) {
    Registrations = std::move(registrations);
    Digest = digestOf(Registrations);
  }
  return confirm(confirmedAt, now);
}

void ServerDirectory::restoreDraining(
    std::vector<cluster::ServerRegistration> &registrations,
    base::BootTime now) {
  std::erase_if(DrainingRuns, [now](const auto &it) {
    return now - it.second.LastSeen > DrainMemory;
  });
  for (auto &it : registrations) {
    auto run = DrainingRuns.find(it.Id);
    if (run != DrainingRuns.end() && run->second.StartedMs == it.StartedMs &&
        !it.Draining) {
      it.Draining = true;
      Log.line("drain_kept").add("server", it.Id);
    }
    // Without the start of the run, a later one would be taken for it.
    if (it.Draining && it.StartedMs != 0)
      DrainingRuns[it.Id] = {it.StartedMs, now};
  }
}

bool ServerDirectory::confirm(base::BootTime confirmedAt, base::BootTime now) {
  if (confirmedAt <= ConfirmedAt)
    return false;
  ConfirmedAt = confirmedAt;
  return updateServers(now);
}

bool ServerDirectory::updateServers(base::BootTime now) {
  std::map<std::string_view, const cluster::ServerRegistration *> present;
  for (const auto &it : Registrations)
    present.emplace(it.Id, &it);
  bool changed = false;
  for (const auto &[id, it] : present) {
    auto [known, added] = Servers.emplace(it->Id, *it);
    if (!added && known->second == *it)
      continue;
    changed = true;
    if (added && it->Draining)
      FirstSeenDraining.insert(it->Id);
    if (!it->Draining)
      FirstSeenDraining.erase(it->Id);
    known->second = *it;
    Log.line("server_registered")
        .add("server", id)
        .add("group", it->Group)
        .add("address", http::formatEndpoint(it->Address))
        .add("zone", it->Zone)
        .add("role",
             it->Role == sql::ServerRole::Primary ? "primary" : "replica")
        .add("state", it->Draining ? "draining" : "ready");
  }
  for (const auto &[id, it] : Servers) {
    auto entry = present.find(id);
    if (entry != present.end() && !entry->second->Draining)
      LeavingSince.erase(id);
    else
      LeavingSince.emplace(id, now);
  }
  for (const auto &[id, since] : LeavingSince) {
    if (present.contains(id) || now - since < RemovalDelay ||
        !Servers.contains(id))
      continue;
    changed = true;
    Servers.erase(id);
    Log.line("server_gone").add("server", id).add("missing_ms", now - since);
  }
  std::erase_if(LeavingSince,
                [&](const auto &it) { return !Servers.contains(it.first); });
  std::erase_if(FirstSeenDraining,
                [&](const auto &it) { return !Servers.contains(it); });
  return changed;
}

std::optional<base::BootTime>
ServerDirectory::leavingSince(const base::ServerId &id) const {
  auto it = LeavingSince.find(id);
  return it == LeavingSince.end() ? std::nullopt : std::optional(it->second);
}

} // namespace baobabpin::control
