/// Helpers for this package's tests: a fixture with a group of three servers,
/// and functions that make server reports.
#pragma once

#include "baobabpin/replication/Confirmation.h"
#include "baobabpin/replication/Group.h"

#include <algorithm>

namespace baobabpin::replication::test {

using namespace std::chrono_literals;

/// The state of a group of the servers "a", "b" and "c", a simulated clock and
/// all actions that were returned so far.
struct GroupFixture {
  base::TimePoint Now{std::chrono::hours(1)};
  Random Rng{7};
  GroupState State;
  Actions CollectedActions;

  GroupFixture() {
    GroupConfig config{
        .Group = "g",
        .Servers = {{"a", "zone-a"}, {"b", "zone-b"}, {"c", "zone-c"}},
        .Self = "node/1"};
    State = makeGroupState(config, Now);
  }

  void collect(Actions actions) {
    CollectedActions.insert(CollectedActions.end(), actions.begin(),
                            actions.end());
  }
  /// Lets the server answer, after 2 ms, the outstanding status request or else
  /// one that is sent now.
  void answer(const ServerReport &report) {
    auto sentAt = findServer(State, report.Server)->StatusSentAt;
    Now += 2ms;
    collect(onReport(State, report, sentAt.value_or(Now - 2ms), Now, Rng));
  }
  /// Delivers the answer to a status request that was sent \p roundTrip ago.
  void answerAfter(const ServerReport &report, base::Duration roundTrip) {
    collect(onReport(State, report, Now - roundTrip, Now, Rng));
  }
  void tick(base::Duration step = 10ms) {
    Now += step;
    collect(onTick(State, Now, Rng));
  }
  void grant(const base::ServerId &server, base::TermNumber term,
             base::LogPosition position, bool granted = true) {
    PrepareAnswer answer{.Server = server,
                         .Term = term,
                         .Granted = granted,
                         .PromisedTerm = granted ? term : term + 3,
                         .Position = position};
    collect(onPrepareAnswer(State, answer, Now - 1ms, Now, Rng));
  }
  template <typename T> std::vector<T> actionsOf() const {
    std::vector<T> found;
    for (const auto &it : CollectedActions) {
      if (const auto *action = std::get_if<T>(&it))
        found.push_back(*action);
    }
    return found;
  }
};

/// Makes the report of a server in \p term whose log ends at \p index of that
/// term.
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

/// Lets all three servers answer in term 1 with "a" as the primary.
inline void startWithPrimaryA(GroupFixture &group, base::LogIndex index = 10) {
  group.tick(0ms);
  for (const auto *it : {"a", "b", "c"})
    group.answer(report(it, 1, index));
  group.CollectedActions.clear();
}

/// Lets the replicas answer every 50 ms, with the given time since their last
/// contact with the primary, while the primary does not answer.
inline void advanceWithSilentPrimary(GroupFixture &group, base::Duration length,
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
