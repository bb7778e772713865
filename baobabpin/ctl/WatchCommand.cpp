#include "baobabpin/ctl/WatchCommand.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace baobabpin::ctl {
namespace {

using base::ErrorType;
using nlohmann::json;

/// One watch over reconnections.
class Watch {
public:
  Watch(Session &session, std::string kind, std::string name, bool untilInForce,
        std::uint64_t leastVersion)
      : Context(session), Kind(std::move(kind)), Name(std::move(name)),
        UntilInForce(untilInForce), LeastVersion(leastVersion) {}

  ExitCode run();

private:
  /// Reads one stream to its end; the result is empty when another node is to
  /// be asked.
  std::optional<ExitCode> follow();
  std::optional<ExitCode> onEvent(const proto::WatchEvent &event);
  std::optional<ExitCode> onSynced();
  void print(const proto::WatchEvent &event);
  bool isPrinted(const proto::WatchEvent &event);
  bool hasDeadline() const {
    return UntilInForce || Context.Settings.TimeoutStated;
  }
  ExitCode reportTimeout();

  Session &Context;
  std::string Kind;
  std::string Name;
  bool UntilInForce;
  std::uint64_t LeastVersion;
  /// Latest event of each resource, for all nodes asked so far.
  std::map<std::string, proto::WatchEvent> Latest;
  std::set<std::string> Pending;
  bool Synced = false;
  bool EverSynced = false;
  grpc::Status LastStatus;
};

ExitCode Watch::run() {
  std::size_t failures = 0;
  while (true) {
    std::size_t seen = Latest.size();
    if (auto code = follow())
      return *code;
    if (hasDeadline() && Context.Client.isExpired())
      return reportTimeout();
    if (!NodeClient::isLost(LastStatus) &&
        LastStatus.error_code() != grpc::StatusCode::RESOURCE_EXHAUSTED)
      return reportStatus(Context, LastStatus);
    Context.Client.next();
    failures = Synced || Latest.size() > seen ? 0 : failures + 1;
    bool isReachable = EverSynced && UntilInForce;
    if (failures >= Context.Client.serverCount() && !isReachable)
      return reportStatus(Context, LastStatus);
    if (!Context.Client.pause())
      return reportTimeout();
  }
}

std::optional<ExitCode> Watch::follow() {
  grpc::ClientContext call;
  if (hasDeadline())
    call.set_deadline(Context.Client.deadline());
  proto::WatchRequest request;
  request.set_kind(Kind);
  request.set_name(Name);
  Synced = false;
  Pending.clear();
  auto stream = Context.Client.stub().Watch(&call, request);
  proto::WatchEvent event;
  while (stream->Read(&event)) {
    auto code = onEvent(event);
    if (!code)
      continue;
    call.TryCancel();
    while (stream->Read(&event))
      continue;
    stream->Finish();
    return code;
  }
  LastStatus = stream->Finish();
  return std::nullopt;
}

std::optional<ExitCode> Watch::onEvent(const proto::WatchEvent &event) {
  if (!event.error().type().empty())
    return reportError(Context.Err, event.error());
  if (event.synced())
    return onSynced();
  std::string id = event.resource().kind() + "/" + event.resource().name();
  if (!isPrinted(event))
    print(event);
  bool isDone = event.deleted() || (event.status().in_force() &&
                                    event.resource().version() >= LeastVersion);
  if (isDone)
    Pending.erase(id);
  else
    Pending.insert(id);
  if (UntilInForce && Synced && Pending.empty())
    return ExitCode::Ok;
  return std::nullopt;
}

std::optional<ExitCode> Watch::onSynced() {
  Synced = true;
  EverSynced = true;
  if (!UntilInForce || !Pending.empty())
    return std::nullopt;
  bool isKnown = !Latest.empty();
  if (!isKnown && LeastVersion > 0)
    return std::nullopt; // The node has not learnt of the change yet.
  if (!isKnown && !Name.empty())
    return reportFailure(Context.Err, {ErrorType::NotFound,
                                       Kind + "/" + Name + " does not exist"});
  return ExitCode::Ok;
}

/// Nodes learn of a change at different times; the next node may still report
/// an older version.
bool Watch::isPrinted(const proto::WatchEvent &event) {
  std::string id = event.resource().kind() + "/" + event.resource().name();
  auto [latest, isNew] = Latest.try_emplace(id, event);
  if (isNew)
    return false;
  bool isOld = event.resource().version() < latest->second.resource().version();
  bool isSame = event.SerializeAsString() == latest->second.SerializeAsString();
  if (isOld || isSame)
    return true;
  latest->second = event;
  return false;
}

void Watch::print(const proto::WatchEvent &event) {
  if (Context.Settings.JsonOutput) {
    json value = resourceJson(event.resource());
    value["deleted"] = event.deleted();
    if (!event.deleted())
      value["status"] = statusJson(event.status());
    Context.Out << value.dump() << std::endl;
    return;
  }
  Context.Out << event.resource().kind() << "/" << event.resource().name()
              << " version " << event.resource().version() << " "
              << (event.deleted() ? "deleted" : describeStatus(event.status()))
              << std::endl;
}

ExitCode Watch::reportTimeout() {
  if (UntilInForce)
    Context.Err << "error: timed_out: not in force\n";
  for (const auto &[id, event] : Latest) {
    if (UntilInForce && Pending.contains(id))
      Context.Err << id << ": " << describeStatus(event.status()) << "\n";
  }
  // A watch that waits for nothing ends with its time as asked.
  return UntilInForce ? ExitCode::TimedOut : ExitCode::Ok;
}

} // namespace

ExitCode awaitInForce(Session &session,
                      const std::vector<AwaitedVersion> &awaited) {
  for (const auto &it : awaited) {
    Watch watch(session, std::string(resources::kindName(it.Id.Kind)),
                it.Id.Name, true, it.Version);
    if (ExitCode code = watch.run(); code != ExitCode::Ok)
      return code;
  }
  return ExitCode::Ok;
}

ExitCode runWatch(Session &session) {
  const Options &options = session.Settings;
  return Watch(session, options.Kind, options.Name, options.UntilInForce, 0)
      .run();
}

} // namespace baobabpin::ctl
