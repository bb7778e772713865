/// Helpers of this package's tests: a group of three servers and reports.
#pragma once

#include "baobabpin/replication/Confirmation.h"
#include "baobabpin/replication/Group.h"

#include <algorithm>

namespace baobabpin::replication::test {

using namespace std::chrono_literals;

struct Group {
  base::TimePoint Now{std::chrono::hours(1)};
  Random Rng{7};
  GroupState State;
  Actions Seen;

  Group() {
    GroupConfig config{
        .Group = "g",
        .Servers = {{"a", "zone-a"}, {"b", "zone-b"}, {"c", "zone-c"}},
        .Self = "node/1"};
    State = makeGroupState(config, Now);
  }

  void take(Actions actions) {
    Seen.insert(Seen.end(), actions.begin(), actions.end());
  }
  /// The server answers the outstanding status request, or one that is sent
  /// now, after 2 ms.
  void answer(const ServerReport &report) {
    auto sentAt = findServer(State, report.Server)->StatusSentAt;
    Now += 2ms;
    take(onReport(State, report, sentAt.value_or(Now - 2ms), Now, Rng));
  }
  void answerAfter(const ServerReport &report, base::Duration roundTrip) {
    take(onReport(State, report, Now - roundTrip, Now, Rng));
  }
  void tick(base::Duration step = 10ms) {
    Now += step;
    take(onTick(State, Now, Rng));
  }
  void grant(const base::ServerId &server, base::TermNumber term,
             base::LogPosition position, bool granted = true) {
    PrepareAnswer answer{.Server = server,
                         .Term = term,
                         .Granted = granted,
                         .PromisedTerm = granted ? term : term + 3,
                         .Position = position};
    take(onPrepareAnswer(State, answer, Now - 1ms, Now, Rng));
  }
  template <typename T> std::vector<T> all() const {
    std::vector<T> found;
    for (const auto &it : Seen) {
      if (const auto *action = std::get_if<T>(&it))
        found.push_back(*action);
    }
    return found;
  }
};

/// A server in \p term whose log ends at \p index of that term.
inline ServerReport report(const base::ServerId &server, base::TermNumber term,
                           base::LogIndex index,
                           const base::ServerId &primary = "a") {
  ServerReport it{.Server = server,
                  .Term = term,
                  .PromisedTerm = term,
                  .Position = {term, index},
                  .TermStarts = {{term, 1}},
                  .Primary = primary};
  if (server == primary)
    it.Role = ServerRole::Primary;
  else
    it.PrimaryContact = 5ms;
  return it;
}

/// All three servers answer in term 1; "a" leads.
inline void settle(Group &group, base::LogIndex index = 10) {
  group.tick(0ms);
  for (const auto *it : {"a", "b", "c"})
    group.answer(report(it, 1, index));
  group.Seen.clear();
}

/// Replicas answer every 50 ms, the primary does not.
inline void silencePrimary(Group &group, base::Duration length,
                           base::Duration contact) {
  for (base::Duration passed{}; passed < length; passed += 10ms) {
    group.tick();
    if (passed % 50ms != 0ms)
      continue;
    for (const auto *it : {"b", "c"}) {
      auto silent = report(it, 1, 10);
      silent.PrimaryContact = contact;
      silent.PromisedTerm = findServer(group.State, it)->Report->PromisedTerm;
      group.answer(silent);
    }
  }
}

} // namespace baobabpin::replication::test
