#include "baobabpin/quota/QuotaService.h"

#include <algorithm>
#include <utility>

namespace baobabpin::quota {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickPeriod{50};
/// A granter that does not reply within this time counts as silent. A call to
/// another zone takes a few milliseconds.
constexpr milliseconds CallTimeout{250};
constexpr milliseconds SilentRetryPeriod{1000};
/// A node that does not grant, because it has not been a granter for long
/// enough or has lost contact with the store, is asked again after this time.
constexpr milliseconds NotGrantingRetryPeriod{250};
/// The number of organisations with a counter of their own.
constexpr std::size_t MaxNamedInMetrics = 16;
constexpr int HttpOk = 200;
constexpr int HttpBadRequest = 400;

} // namespace

QuotaService::QuotaService(platform::HostSettings settings,
                           kernel::LineLog &log)
    : Settings(std::move(settings)), Allowed{Settings.Quota.Window,
                                             Settings.Quota.Overage,
                                             Settings.Quota.Slack},
      Validity(tokenValidity(Allowed)), Log(log) {
  Ranking.setRankedNodes(std::max(Granters, fallbackNodes(Allowed)));
}

base::Result<void> QuotaService::start(kernel::Kernel &kernel) {
  Kernel = &kernel;
  Cluster = &kernel.find<control::ClusterService>("cluster");
  Cluster->servePeerCalls(
      QuotaPath, [this](const http::HttpRequest &call,
                        const http::ResponderPtr &responder) {
        if (auto request = decodeQuotaRequest(call.Body))
          responder->json(HttpOk, encode(grantTokens(*request)));
        else
          responder->json(HttpBadRequest, "{}");
      });
  Cluster->subscribe([this] { onClusterChanged(); });
  StartedAt = base::BootClock::now();
  return {};
}

void QuotaService::stop() {
  Ticker.cancel();
  Alive.reset();
  Organisations.clear();
}

void QuotaService::onClusterChanged() {
  noteEarlierRun();
  const auto *config = Cluster->configuration();
  if (!config || !Alive)
    return;
  bool limitsChanged = config->Version != ConfigVersion;
  if (limitsChanged)
    adoptLimits(*config);
  if (Organisations.empty())
    return;
  if (limitsChanged)
    Capacities.clear();
  adoptNodes();
  updateRoles();
}

void QuotaService::adoptLimits(const cluster::Configuration &config) {
  bool first = std::exchange(ConfigVersion, config.Version) == 0;
  std::map<base::OrganisationName, cluster::RateLimit> limits;
  if (config.Organisations) {
    for (const auto &[name, it] : *config.Organisations) {
      if (it.Limit)
        limits.emplace(name, *it.Limit);
    }
  }
  removeUnlimited(limits);
  for (const auto &[name, limit] : limits) {
    auto [it, isNew] = Organisations.try_emplace(name);
    if (isNew) {
      it->second.Resumes = first && FoundEarlierRun;
      it->second.Fallback = startFallback(Allowed, base::BootClock::now());
    }
    adoptLimit(name, it->second, limit);
  }
  if (Organisations.empty()) {
    Ticker.cancel();
    Capacities.clear();
    Ranking = {};
    Ranking.setRankedNodes(std::max(Granters, fallbackNodes(Allowed)));
  } else if (!Ticker.isActive()) {
    Ticker = Kernel->loop().runEvery(TickPeriod, [this] { tick(); });
  }
}

void QuotaService::adoptLimit(const base::OrganisationName &name, Limited &it,
                              const cluster::RateLimit &limit) {
  if (it.Limit == limit)
    return;
  if (limit.Rate < it.Limit.Rate || limit.Burst < it.Limit.Burst)
    Log.line("quota_lowered")
        .add("organisation", name)
        .add("rate_per_s", static_cast<std::int64_t>(limit.Rate))
        .add("burst", static_cast<std::int64_t>(limit.Burst))
        .add("rate_before", static_cast<std::int64_t>(it.Limit.Rate))
        .add("burst_before", static_cast<std::int64_t>(it.Limit.Burst));
  auto now = base::BootClock::now();
  if (it.Bucket)
    refill(*it.Bucket, it.BucketShare, now);
  it.Limit = limit;
  it.Share = shareOf(limit, Allowed);
  it.BucketShare = grantableShare(it, now);
  // updateRole() makes a new bucket when the node grants again.
  if (it.BucketShare.Rate <= 0)
    it.Bucket.reset();
  else if (it.Bucket)
    refill(*it.Bucket, it.BucketShare, now);
  // What the granters said holds for the earlier limit.
  for (auto &state : it.States)
    state.EmptyUntil = {};
}

void QuotaService::removeUnlimited(
    const std::map<base::OrganisationName, cluster::RateLimit> &limits) {
  for (auto it = Organisations.begin(); it != Organisations.end();) {
    if (limits.contains(it->first)) {
      ++it;
      continue;
    }
    // The sessions of an organisation that was removed cancel their waiters
    // when they check their access, which they do before this runs.
    Kernel->loop().post([waiters = std::move(it->second.Waiters)] {
      for (const auto &waiter : waiters) {
        if (auto done = std::exchange(waiter->OnDone, nullptr))
          done({.Granted = true, .Spent = {}, .RefusalText = {}});
      }
    });
    Refusals.erase(it->first);
    it = Organisations.erase(it);
  }
}

void QuotaService::adoptNodes() {
  std::map<std::string, int> capacities;
  for (const auto &[name, it] : Cluster->view().Nodes) {
    if (!it.Value.Retired)
      capacities.emplace(name, it.Value.Capacity);
  }
  if (capacities == Capacities)
    return;
  Capacities = std::move(capacities);
  std::vector<base::OrganisationName> names;
  names.reserve(Organisations.size());
  for (const auto &[name, it] : Organisations)
    names.push_back(name);
  Ranking.update(names, Capacities);
  for (auto &[name, it] : Organisations) {
    std::vector<std::string> granters;
    for (const auto &candidate : Ranking.ranked(name)) {
      if (granters.size() < Granters)
        granters.push_back(candidate.Node);
    }
    if (granters == it.Granters)
      continue;
    it.Granters = std::move(granters);
    it.States = {};
    for (std::size_t n = 0; n < it.Granters.size(); ++n)
      it.States[n].Silent = SilentUntil.contains(it.Granters[n]);
  }
  std::erase_if(SilentUntil, [this](const auto &it) {
    return !Capacities.contains(it.first);
  });
}

void QuotaService::noteEarlierRun() {
  const auto &view = Cluster->view();
  if (ListRead || view.Nodes.empty())
    return;
  ListRead = true;
  auto record = view.Nodes.find(Cluster->self().Node);
  FoundEarlierRun =
      record != view.Nodes.end() && !record->second.Value.Retired &&
      record->second.Value.Incarnation != Cluster->self().Incarnation;
}

RunStart QuotaService::runStart(const Limited &it, base::BootTime now) const {
  if (it.Resumes)
    return RunStart::Resumed;
  bool first = Settings.FirstStart && now - StartedAt < FirstStartDelay;
  return first ? RunStart::FirstStart : RunStart::Ordinary;
}

void QuotaService::updateRoles() {
  for (auto &[name, it] : Organisations)
    updateRole(name, it);
}

void QuotaService::updateRole(const base::OrganisationName &name, Limited &it) {
  const auto &view = Cluster->view();
  const auto &self = Cluster->self();
  auto now = base::BootClock::now();
  RoleSample sample;
  if (auto record = view.Nodes.find(self.Node); record != view.Nodes.end()) {
    sample.Incarnation = record->second.Value.Incarnation;
    sample.Capacity = record->second.Value.Capacity;
    sample.Eligible = !record->second.Value.Retired &&
                      sample.Incarnation == self.Incarnation &&
                      Ranking.isGranter(name, self.Node);
  }
  it.Resumes = it.Resumes && Ranking.isGranter(name, self.Node);
  sample.Start = runStart(it, now);
  sample.ConfirmedAt = view.StoreConfirmedAt;
  quota::updateRole(it.Role, sample, now);
  sample.Eligible = sample.Eligible && Capacities.size() == 1;
  quota::updateRole(it.OnlyNode, sample, now);
  if (it.Role.EligibleSince)
    it.Resumes = false;
  if (it.Bucket)
    refill(*it.Bucket, it.BucketShare, now);
  it.BucketShare = grantableShare(it, now);
  bool grants = it.BucketShare.Rate > 0;
  if (grants == it.Bucket.has_value())
    return;
  if (grants)
    it.Bucket = emptyBucket(it.BucketShare, now);
  else
    it.Bucket.reset();
  Log.line(grants ? "quota_granter" : "quota_granter_ended")
      .add("organisation", name)
      .add("view_age_ms", now - view.StoreConfirmedAt);
}

GranterShare QuotaService::grantableShare(const Limited &it,
                                          base::BootTime now) const {
  auto confirmedAt = Cluster->view().StoreConfirmedAt;
  if (!isGranting(it.Role, confirmedAt, now))
    return {};
  GranterShare share = it.Share;
  if (isGranting(it.OnlyNode, confirmedAt, now)) {
    share.Rate *= Granters;
    share.Capacity *= Granters;
  }
  return share;
}

void QuotaService::tick() {
  updateRoles();
  auto now = base::BootClock::now();
  for (auto &[granter, until] : SilentUntil) {
    if (now < until)
      continue;
    until = now + SilentRetryPeriod;
    callTo(granter);
  }
  for (auto &[name, it] : Organisations) {
    for (auto surplus = takeSurplus(it.Tokens, Validity, now);
         surplus.Tokens > 0; surplus = takeSurplus(it.Tokens, Validity, now))
      callTo(surplus.Granter).Request.Wanted[name].Returned += surplus.Tokens;
  }
}

std::optional<Admission> QuotaService::admit(const AdmissionWaiterPtr &waiter) {
  const auto &name = waiter->Organisation;
  auto found = Organisations.find(name);
  if (found == Organisations.end())
    return Admission{.Granted = true, .Spent = {}, .RefusalText = {}};
  auto &it = found->second;
  auto now = base::BootClock::now();
  noteDemand(it.Tokens, now);
  if (it.Waiters.empty()) {
    if (auto token = spendToken(it.Tokens, now)) {
      ask(name, it);
      return Admission{true, std::move(token), {}};
    }
  }
  waiter->JoinedAt = now;
  it.Waiters.push_back(waiter);
  ask(name, it);
  if (it.IsAsking)
    return std::nullopt;
  it.Waiters.pop_back();
  return refuse(name, it);
}

void QuotaService::giveBack(const base::OrganisationName &organisation,
                            const Token &token) {
  auto found = Organisations.find(organisation);
  if (found == Organisations.end())
    return;
  unspendToken(found->second.Tokens, token, base::BootClock::now());
  if (!found->second.Waiters.empty())
    serveWaiters(organisation, found->second);
}

void QuotaService::ask(const base::OrganisationName &name, Limited &it) {
  if (it.IsAsking)
    return;
  auto now = base::BootClock::now();
  int wanted = tokensWanted(it.Tokens, static_cast<int>(it.Waiters.size()),
                            Validity, now);
  if (wanted == 0)
    return;
  auto index = chooseGranter(it.States, it.Granters.size(), it.LastAsked, now);
  if (!index)
    return;
  it.LastAsked = *index;
  it.IsAsking = true;
  auto &call = callTo(it.Granters[*index]);
  auto &request = call.Request.Wanted[name];
  request.Tokens = wanted;
  request.Substitute =
      std::ranges::any_of(it.States, [](const auto &s) { return s.Silent; });
  call.Asking.insert(name);
}

QuotaService::PendingCall &QuotaService::callTo(const std::string &granter) {
  auto &call = Pending[granter];
  call.Request.Node = Settings.Node;
  // What is asked for within one iteration of the event loop goes into one
  // call.
  if (!std::exchange(SendPosted, true))
    Kernel->loop().post([this, alive = std::weak_ptr(Alive)] {
      if (alive.lock())
        sendCalls();
    });
  return call;
}

void QuotaService::sendCalls() {
  SendPosted = false;
  auto calls = std::exchange(Pending, {});
  for (const auto &[granter, call] : calls)
    sendCall(granter, call);
}

void QuotaService::sendCall(const std::string &granter,
                            const PendingCall &call) {
  auto sentAt = base::BootClock::now();
  if (granter == Settings.Node) {
    onReply(granter, call, sentAt, grantTokens(call.Request));
    return;
  }
  auto endpoint = endpointOf(granter);
  if (!endpoint) {
    onReply(granter, call, sentAt, std::nullopt);
    return;
  }
  ++Calls;
  Cluster->caller().call(
      *endpoint, QuotaPath, encode(call.Request), CallTimeout,
      [this, alive = std::weak_ptr(Alive), granter, call,
       sentAt](const std::optional<std::string> &body) {
        if (!alive.lock())
          return;
        onReply(granter, call, sentAt,
                body ? decodeQuotaReply(*body) : std::nullopt);
      });
}

std::optional<http::Endpoint>
QuotaService::endpointOf(const std::string &node) const {
  const auto &nodes = Cluster->view().Nodes;
  auto it = nodes.find(node);
  return it == nodes.end() ? std::nullopt
                           : std::optional(it->second.Value.Peer);
}

void QuotaService::onReply(const std::string &granter, const PendingCall &call,
                           base::BootTime sentAt,
                           const std::optional<QuotaReply> &reply) {
  setSilent(granter, !reply);
  for (const auto &name : call.Asking) {
    auto found = Organisations.find(name);
    if (found == Organisations.end())
      continue;
    auto &it = found->second;
    it.IsAsking = false;
    if (reply) {
      auto grant = reply->Granted.find(name);
      noteGranted(it, granter,
                  grant == reply->Granted.end() ? nullptr : &grant->second,
                  sentAt);
    }
    for (const auto &waiter : it.Waiters) {
      if (waiter->JoinedAt <= sentAt)
        ++waiter->Attempts;
    }
    serveWaiters(name, it);
  }
}

void QuotaService::noteGranted(Limited &it, const std::string &granter,
                               const TokenGrant *grant, base::BootTime sentAt) {
  auto now = base::BootClock::now();
  if (grant)
    addTokens(
        it.Tokens,
        {grant->Tokens,
         sentAt + std::min<std::chrono::nanoseconds>(grant->Valid, Validity),
         granter},
        now);
  auto at = std::ranges::find(it.Granters, granter);
  if (at == it.Granters.end())
    return;
  auto &state = it.States[static_cast<std::size_t>(at - it.Granters.begin())];
  state.NotGrantingUntil =
      grant ? base::BootTime{} : now + NotGrantingRetryPeriod;
  if (grant && grant->Retry.count() > 0)
    state.EmptyUntil = now + grant->Retry;
}

void QuotaService::setSilent(const std::string &granter, bool silent) {
  bool wasSilent = SilentUntil.contains(granter);
  if (silent)
    SilentUntil[granter] = base::BootClock::now() + SilentRetryPeriod;
  else
    SilentUntil.erase(granter);
  if (silent == wasSilent)
    return;
  Log.line(silent ? "quota_granter_silent" : "quota_granter_replies")
      .add("granter", granter);
  for (auto &[name, it] : Organisations) {
    for (std::size_t n = 0; n < it.Granters.size(); ++n) {
      if (it.Granters[n] == granter)
        it.States[n].Silent = silent;
    }
  }
}

void QuotaService::serveWaiters(const base::OrganisationName &name,
                                Limited &it) {
  // A callback may end its session, but does not change the list of
  // organisations.
  auto now = base::BootClock::now();
  std::vector<std::pair<AdmissionWaiterPtr, Admission>> done;
  std::erase_if(it.Waiters, [](const auto &w) { return !w->OnDone; });
  while (!it.Waiters.empty()) {
    auto token = spendToken(it.Tokens, now);
    if (!token)
      break;
    done.emplace_back(it.Waiters.front(), Admission{true, token, {}});
    it.Waiters.pop_front();
  }
  ask(name, it);
  std::deque<AdmissionWaiterPtr> waiting;
  for (const auto &waiter : std::exchange(it.Waiters, {})) {
    if (it.IsAsking && waiter->Attempts < Granters)
      waiting.push_back(waiter);
    else
      done.emplace_back(waiter, refuse(name, it));
  }
  it.Waiters = std::move(waiting);
  for (const auto &[waiter, admission] : done) {
    if (auto callback = std::exchange(waiter->OnDone, nullptr))
      callback(admission);
    else if (admission.Spent)
      giveBack(name, *admission.Spent);
  }
}

Admission QuotaService::refuse(const base::OrganisationName &name,
                               Limited &it) {
  auto now = base::BootClock::now();
  auto refusal = refusalOf(it.States, it.Granters.size(), now);
  if (!refusal.LimitReached) {
    const auto &ranked = Ranking.ranked(name);
    auto self = std::ranges::find(ranked, Settings.Node,
                                  &GranterRanking::Candidate::Node);
    auto rank = static_cast<std::size_t>(self - ranked.begin());
    if (self != ranked.end() && spendFallback(it.Fallback, rank, Allowed, now))
      return {.Granted = true, .Spent = {}, .RefusalText = {}};
  }
  countRefusal(name, refusal.LimitReached ? "rate_limit" : "unavailable");
  return {.Granted = false, .Spent = {}, .RefusalText = refusalText(refusal)};
}

void QuotaService::countRefusal(const base::OrganisationName &name,
                                const char *reason) {
  auto count = ++Refusals[name];
  if (!NamedInMetrics.contains(name) &&
      NamedInMetrics.size() < MaxNamedInMetrics) {
    auto more = std::ranges::count_if(
        Refusals, [&](const auto &it) { return it.second > count; });
    if (static_cast<std::size_t>(more) < MaxNamedInMetrics)
      NamedInMetrics.insert(name);
  }
  Kernel->metrics()
      .counter(
          "baobabpin_quota_refusals_total",
          "Operations refused because of the limit of an organisation.",
          {{"organisation", NamedInMetrics.contains(name) ? name : "(others)"},
           {"reason", reason}})
      .Increment();
}

QuotaReply QuotaService::grantTokens(const QuotaRequest &request) {
  QuotaReply reply;
  auto now = base::BootClock::now();
  for (const auto &[name, wanted] : request.Wanted) {
    auto found = Organisations.find(name);
    if (found == Organisations.end())
      continue;
    auto &it = found->second;
    // The view may have become too old since the last update of the role.
    updateRole(name, it);
    if (!it.Bucket)
      continue;
    if (wanted.Returned > 0)
      quota::giveBack(*it.Bucket, it.BucketShare, wanted.Returned, now);
    auto &granted = reply.Granted[name];
    granted.Tokens = grant(*it.Bucket, it.BucketShare, wanted.Tokens, now);
    granted.Valid = std::chrono::floor<milliseconds>(Validity);
    if (granted.Tokens < wanted.Tokens)
      granted.Retry = std::chrono::ceil<milliseconds>(
          retryDelay(*it.Bucket, it.BucketShare, now));
  }
  return reply;
}

} // namespace baobabpin::quota
