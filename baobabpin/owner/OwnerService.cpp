#include "baobabpin/owner/OwnerService.h"

#include "baobabpin/base/Hash.h"
#include "baobabpin/directory/Directory.h"
#include "baobabpin/membership/MembershipService.h"
#include "baobabpin/owner/GroupRunner.h"
#include "baobabpin/owner/HandoverClaims.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace baobabpin::owner {

using base::ErrorType;
using base::Outcome;
using directory::Directory;
using membership::MembershipService;
using namespace std::chrono_literals;

namespace {

constexpr auto TickPeriod = 10ms;
/// This node keeps the runner of a group that it no longer owns for this long
/// after the last request: nodes with an older view of the members may still
/// send requests here.
constexpr auto UnownedRunnerRetention = 5s;
/// A request makes this node act as the group's owner for this long, because
/// the node that forwarded it may have a newer view of the members.
constexpr auto ForwardedOwnershipPeriod = 2s;
/// Interval of the attempts to claim or complete a handover. Each attempt
/// calls the store once or twice.
constexpr auto HandoverCheckPeriod = 250ms;

} // namespace

struct OwnerService::State {
  explicit State(OwnerSettings settings) : Settings(std::move(settings)) {}

  OwnerSettings Settings;
  kernel::Kernel *Kernel = nullptr;
  Directory *Fleet = nullptr;
  MembershipService *Members = nullptr;
  kernel::Timer Ticker;
  std::map<base::GroupName, std::unique_ptr<GroupRunner>> Runners;
  /// Runners of replaced declarations, kept until the requests that they have
  /// sent are finished.
  std::vector<std::unique_ptr<GroupRunner>> Retired;
  std::optional<store::StoreClient> Store;
  std::optional<HandoverClaims> Claims;
  /// The declared handovers and the group of each.
  std::map<HandoverId, base::GroupName> Handovers;
  /// Handovers whose promotion this node has carried out. The store may not
  /// have recorded this yet; HandoverClaims::isFinished() tells whether it has.
  std::set<HandoverId> FinishedHandovers;
  base::TimePoint NextHandoverCheck;
  bool Draining = false;

  GroupRunner *runnerOf(const base::GroupName &group);
  void makeRunner(const base::GroupName &group,
                  const resources::DatabaseGroup &spec);
  void updateRunners();
  void replaceRunner(const base::GroupName &group,
                     const resources::DatabaseGroup *spec);
  void updateOwnership(const base::GroupName &group, GroupRunner &runner);
  void applyPlannedStops();
  void onHandoverDone(const base::GroupName &group);
  void advanceHandovers();
  void tick();
};

void OwnerService::State::makeRunner(const base::GroupName &group,
                                     const resources::DatabaseGroup &spec) {
  GroupSettings settings;
  settings.Group = group;
  settings.Self = Fleet->self();
  settings.LocalAddress = Settings.LocalAddress;
  settings.Baseline = Settings.Baseline;
  settings.Choose = routing::findChooser(Settings.Chooser);
  settings.RandomSeed =
      base::hash64(group, Settings.RandomSeed ^ base::hash64(Fleet->self()));
  settings.DeclareUnfit = [this, group](base::Duration period) {
    Members->declareUnfit(group, period);
  };
  settings.HandoverDone = [this, group] { onHandoverDone(group); };
  Runners[group] =
      std::make_unique<GroupRunner>(*Kernel, std::move(settings), spec);
  updateOwnership(group, *Runners[group]);
}

GroupRunner *OwnerService::State::runnerOf(const base::GroupName &group) {
  auto it = Runners.find(group);
  if (it != Runners.end())
    return it->second.get();
  const auto *spec = Fleet->catalog().findGroup(group);
  if (!spec)
    return nullptr;
  makeRunner(group, *spec);
  applyPlannedStops();
  return Runners[group].get();
}

void OwnerService::State::updateOwnership(const base::GroupName &group,
                                          GroupRunner &runner) {
  bool owner = !Draining && Fleet->isOwner(group);
  bool forwarded =
      Kernel->loop().now() - runner.lastRequestAt() < ForwardedOwnershipPeriod;
  runner.setActive(owner || forwarded);
  runner.setLastResort(owner && Fleet->ownersOf(group).AllUnfit);
}

void OwnerService::State::updateRunners() {
  auto now = Kernel->loop().now();
  for (const auto &group : Fleet->catalog().groupNames()) {
    if (!Draining && Fleet->isOwner(group))
      runnerOf(group);
  }
  for (auto it = Runners.begin(); it != Runners.end();) {
    const auto *spec = Fleet->catalog().findGroup(it->first);
    GroupRunner &runner = *it->second;
    if (!spec || !(*spec == runner.spec())) {
      base::GroupName group = it->first;
      replaceRunner(group, spec);
      it = Runners.upper_bound(group);
      continue;
    }
    bool unused = !Fleet->isOwner(it->first) && runner.inFlight() == 0 &&
                  now - runner.lastRequestAt() > UnownedRunnerRetention;
    if (unused) {
      it = Runners.erase(it);
      continue;
    }
    updateOwnership(it->first, runner);
    ++it;
  }
  applyPlannedStops();
}

void OwnerService::State::replaceRunner(const base::GroupName &group,
                                        const resources::DatabaseGroup *spec) {
  auto former = std::move(Runners.extract(group).mapped());
  auto unsent = former->retire();
  Retired.push_back(std::move(former));
  if (spec)
    makeRunner(group, *spec);
  for (const auto &it : unsent) {
    auto reply = std::exchange(it->Reply, nullptr);
    if (spec)
      Runners[group]->submit(it->Request, std::move(reply));
    else
      reply(makeReply(Outcome::NotRun, ErrorType::UnknownDatabase,
                      "the group was deleted before the request was sent"));
  }
}

void OwnerService::State::applyPlannedStops() {
  std::set<base::ServerId> servers;
  Handovers.clear();
  for (const auto &[name, stop] : Fleet->catalog().plannedStops()) {
    if (stop.TargetKind == resources::StopTarget::Server)
      servers.insert(stop.Target);
    if (stop.TargetKind != resources::StopTarget::Primary)
      continue;
    const auto *record =
        Fleet->catalog().find({resources::ResourceKind::PlannedStop, name});
    Handovers[{name, record->Revision}] = stop.Target;
  }
  Claims->keepOnly(Handovers);
  std::erase_if(FinishedHandovers,
                [&](const auto &it) { return !Handovers.contains(it); });
  for (auto &[group, runner] : Runners)
    runner->setPlannedStopServers(servers);
}

void OwnerService::State::onHandoverDone(const base::GroupName &group) {
  for (const auto &[id, target] : Handovers) {
    if (target == group && Claims->isStarted(id))
      FinishedHandovers.insert(id);
  }
}

void OwnerService::State::advanceHandovers() {
  for (const auto &[id, group] : Handovers) {
    if (FinishedHandovers.contains(id)) {
      Claims->complete(id, Fleet->self());
      continue;
    }
    if (Draining || !Fleet->isOwner(group) || !Runners.contains(group))
      continue;
    Claims->request(
        id, Fleet->self(),
        [this](const std::string &node) {
          const auto *member = Members->find(node);
          return member && member->State == membership::MemberState::Alive;
        },
        [this, group = group] {
          auto runner = Runners.find(group);
          if (runner != Runners.end())
            runner->second->startHandover();
        });
  }
}

void OwnerService::State::tick() {
  auto now = Kernel->loop().now();
  for (auto &[group, runner] : Runners)
    runner->tick(now);
  for (auto &it : Retired)
    it->tick(now);
  std::erase_if(Retired, [](const auto &it) { return it->inFlight() == 0; });
  if (now < NextHandoverCheck)
    return;
  NextHandoverCheck = now + HandoverCheckPeriod;
  advanceHandovers();
}

OwnerService::OwnerService(OwnerSettings settings)
    : Impl(std::make_unique<State>(std::move(settings))) {}

OwnerService::~OwnerService() = default;

base::Result<void> OwnerService::start(kernel::Kernel &kernel) {
  Impl->Kernel = &kernel;
  Impl->Fleet = &kernel.find<Directory>("directory");
  Impl->Members = &kernel.find<MembershipService>("membership");
  Impl->Store.emplace(kernel.loop(), kernel.metrics(), Impl->Settings.Store);
  Impl->Claims.emplace(*Impl->Store);
  if (!routing::findChooser(Impl->Settings.Chooser))
    return base::fail(ErrorType::InvalidSettings,
                      "unknown replica chooser " + Impl->Settings.Chooser);
  // The directory calls this from the event loop, never from within a runner's
  // callback, so it is safe to replace a runner here.
  Impl->Fleet->onOwnersChange([this] { Impl->updateRunners(); });
  Impl->updateRunners();
  Impl->Ticker = kernel.loop().runEvery(TickPeriod, [this] { Impl->tick(); });
  return {};
}

void OwnerService::stop() {
  Impl->Ticker.cancel();
  Impl->Runners.clear();
  Impl->Retired.clear();
  Impl->Store.reset();
}

void OwnerService::submit(const proto::ForwardRequest &request,
                          ReplyCallback reply) {
  bool inTransaction = !request.transaction().empty() &&
                       request.operation() != proto::ForwardRequest::BEGIN;
  if (Impl->Draining && !inTransaction) {
    reply(makeReply(Outcome::NotRun, ErrorType::Draining,
                    "the node is shutting down"));
    return;
  }
  for (const auto &it : Impl->Retired) {
    if (inTransaction && it->hasTransaction(request.transaction())) {
      it->submit(request, std::move(reply));
      return;
    }
  }
  GroupRunner *runner = Impl->runnerOf(request.group());
  if (!runner) {
    reply(makeReply(Outcome::NotRun, ErrorType::UnknownDatabase,
                    "no group " + request.group() + " is declared"));
    return;
  }
  Impl->updateOwnership(request.group(), *runner);
  runner->submit(request, std::move(reply));
}

void OwnerService::drain() {
  Impl->Draining = true;
  Impl->updateRunners();
}

std::size_t OwnerService::inFlight() const {
  std::size_t n = 0;
  for (const auto &[group, runner] : Impl->Runners)
    n += runner->inFlight();
  for (const auto &it : Impl->Retired)
    n += it->inFlight();
  return n;
}

std::string OwnerService::describeGroup(const base::GroupName &group) const {
  auto it = Impl->Runners.find(group);
  return it == Impl->Runners.end() ? std::string() : it->second->describe();
}

} // namespace baobabpin::owner
