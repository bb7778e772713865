#include "baobabpin/ctl/ChangeCommands.h"

#include "baobabpin/ctl/Manifest.h"
#include "baobabpin/ctl/ReadCommands.h"
#include "baobabpin/ctl/WatchCommand.h"
#include "baobabpin/operators/ResourceChange.h"
#include "baobabpin/resources/SpecCodec.h"

namespace baobabpin::ctl {
namespace {

using base::ErrorType;
using proto::Resources;

/// What the store holds of a resource.
struct StoredState {
  ExitCode Code = ExitCode::Ok;
  std::uint64_t Version = 0; ///< 0: no such resource.
  std::string Mark;
};

StoredState readStored(Session &session, const std::string &kind,
                       const std::string &name) {
  proto::GetRequest request;
  request.set_kind(kind);
  request.set_name(name);
  request.set_from_store(true);
  proto::GetReply reply;
  auto status = session.Client.callAny(&Resources::Stub::Get, request, reply);
  if (status.ok() &&
      reply.error().type() == base::errorName(ErrorType::NotFound))
    return {};
  if (ExitCode code = reportReply(session, status, reply); code != ExitCode::Ok)
    return {code, 0, ""};
  return {ExitCode::Ok, reply.resource().version(), reply.resource().mark()};
}

/// Reads until the store answers or the command's time is over.
StoredState readStoredPatiently(Session &session, const std::string &kind,
                                const std::string &name) {
  while (true) {
    StoredState stored = readStored(session, kind, name);
    bool isFinal = stored.Code != ExitCode::Unavailable &&
                   stored.Code != ExitCode::TimedOut;
    if (isFinal || !session.Client.pause())
      return stored;
  }
}

ExitCode reportUnresolved(Session &session, ExitCode code) {
  session.Err << "error: the answer was lost and could not be read back; the "
                 "change may have taken effect\n";
  return code;
}

struct AppliedResource {
  ExitCode Code = ExitCode::Ok;
  std::uint64_t Version = 0;
  bool Changed = false;
};

/// Whether the change must be sent again; otherwise \p result is its end.
bool resolveLostApply(Session &session, const proto::ApplyRequest &request,
                      AppliedResource &result) {
  const auto &resource = request.resource();
  StoredState stored =
      readStoredPatiently(session, resource.kind(), resource.name());
  result.Version = stored.Version;
  if (stored.Code != ExitCode::Ok) {
    result.Code = reportUnresolved(session, stored.Code);
    return false;
  }
  if (stored.Mark == request.mark()) {
    result.Changed = true;
    return false;
  }
  if (stored.Version == request.expected_version()) {
    if (session.Client.pause())
      return true;
    result.Code = reportUnresolved(session, ExitCode::TimedOut);
    return false;
  }
  session.Err << "error: conflict: the answer was lost and another operator "
                 "has stored version "
              << stored.Version << "\n";
  result.Code = ExitCode::Conflict;
  return false;
}

AppliedResource applyOne(Session &session, const Manifest &manifest,
                         std::uint64_t base) {
  proto::ApplyRequest request;
  auto &resource = *request.mutable_resource();
  resource.set_kind(std::string(resources::kindName(manifest.Id.Kind)));
  resource.set_name(manifest.Id.Name);
  resource.set_spec(resources::printSpec(manifest.ResourceSpec));
  request.set_expected_version(base);
  request.set_mark(operators::drawMark());
  AppliedResource result;
  do {
    proto::ApplyReply reply;
    auto status =
        session.Client.callOnce(&Resources::Stub::Apply, request, reply);
    bool isLost = NodeClient::isLost(status) ||
                  (status.ok() && reply.error().outcome_unknown());
    if (isLost)
      continue;
    result.Code = reportReply(session, status, reply);
    result.Version = reply.resource().version();
    result.Changed = reply.changed();
    return result;
  } while (resolveLostApply(session, request, result));
  return result;
}

/// The versions that the changes are based on; all are read before the first
/// change, so that a file based on an old version stops the whole command.
ExitCode readBases(Session &session, const std::vector<Manifest> &manifests,
                   std::vector<std::uint64_t> &bases) {
  for (const auto &it : manifests) {
    StoredState stored = readStored(
        session, std::string(resources::kindName(it.Id.Kind)), it.Id.Name);
    if (stored.Code != ExitCode::Ok)
      return stored.Code;
    auto expected = it.Version ? it.Version : session.Settings.ExpectedVersion;
    if (expected && *expected != stored.Version)
      return reportFailure(
          session.Err, {ErrorType::Conflict,
                        formatResourceId(it.Id) + ": version " +
                            std::to_string(*expected) + " expected, version " +
                            std::to_string(stored.Version) + " is stored"});
    bases.push_back(stored.Version);
  }
  return ExitCode::Ok;
}

void printApplied(Session &session, const Manifest &manifest,
                  std::uint64_t base, const AppliedResource &applied) {
  const char *what = !applied.Changed ? "unchanged"
                     : base == 0      ? "created"
                                      : "changed";
  if (session.Settings.JsonOutput) {
    session.Out << nlohmann::json{{"resource", formatResourceId(manifest.Id)},
                                  {"version", applied.Version},
                                  {"result", what}}
                       .dump()
                << "\n";
    return;
  }
  session.Out << formatResourceId(manifest.Id) << " " << what << ", version "
              << applied.Version << "\n";
}

} // namespace

ExitCode runApply(Session &session) {
  std::vector<Manifest> manifests;
  if (ExitCode code = loadValidated(session, manifests); code != ExitCode::Ok)
    return code;
  if (session.Settings.ExpectedVersion && manifests.size() != 1)
    return reportFailure(session.Err,
                         {ErrorType::BadRequest,
                          "--expected-version: accepted with one resource"});
  std::vector<std::uint64_t> bases;
  if (ExitCode code = readBases(session, manifests, bases);
      code != ExitCode::Ok)
    return code;
  std::vector<AwaitedVersion> awaited;
  for (std::size_t i = 0; i < manifests.size(); ++i) {
    AppliedResource applied = applyOne(session, manifests[i], bases[i]);
    if (applied.Code != ExitCode::Ok) {
      session.Err << "stopped at " << formatResourceId(manifests[i].Id) << "; "
                  << i << " of " << manifests.size()
                  << " resources were applied\n";
      return applied.Code;
    }
    printApplied(session, manifests[i], bases[i], applied);
    awaited.push_back({manifests[i].Id, applied.Version});
  }
  if (session.Settings.UntilInForce)
    return awaitInForce(session, awaited);
  return ExitCode::Ok;
}

ExitCode runDelete(Session &session) {
  const Options &options = session.Settings;
  StoredState stored = readStored(session, options.Kind, options.Name);
  if (stored.Code != ExitCode::Ok)
    return stored.Code;
  proto::DeleteRequest request;
  request.set_kind(options.Kind);
  request.set_name(options.Name);
  request.set_expected_version(
      options.ExpectedVersion.value_or(stored.Version));
  while (true) {
    proto::DeleteReply reply;
    auto status =
        session.Client.callOnce(&Resources::Stub::Delete, request, reply);
    bool isLost = NodeClient::isLost(status) ||
                  (status.ok() && reply.error().outcome_unknown());
    if (!isLost) {
      ExitCode code = reportReply(session, status, reply);
      if (code == ExitCode::Ok)
        session.Out << options.Kind << "/" << options.Name << " deleted\n";
      return code;
    }
    stored = readStoredPatiently(session, options.Kind, options.Name);
    if (stored.Code != ExitCode::Ok)
      return reportUnresolved(session, stored.Code);
    if (stored.Version == 0) {
      session.Out << options.Kind << "/" << options.Name << " deleted\n";
      return ExitCode::Ok;
    }
    if (!session.Client.pause())
      return reportUnresolved(session, ExitCode::TimedOut);
  }
}

} // namespace baobabpin::ctl
