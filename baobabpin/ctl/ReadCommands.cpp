#include "baobabpin/ctl/ReadCommands.h"

#include "baobabpin/ctl/TimelineView.h"
#include "baobabpin/operators/Timeline.h"
#include "baobabpin/resources/SpecCodec.h"
#include "baobabpin/resources/SpecDiff.h"

#include <fstream>

namespace baobabpin::ctl {
namespace {

using base::ErrorType;
using nlohmann::json;
using proto::Resources;
using resources::ResourceId;

ExitCode loadManifests(Session &session, std::vector<Manifest> &manifests) {
  return base::handleFailure(
      [&]() -> base::Result<ExitCode> {
        BOOST_LEAF_ASSIGN(manifests, readManifests(session.Settings.Files));
        return ExitCode::Ok;
      },
      [&](const base::Failure &failure) {
        return reportFailure(session.Err, failure);
      });
}

proto::GetRequest getRequest(const ResourceId &id) {
  proto::GetRequest request;
  request.set_kind(std::string(resources::kindName(id.Kind)));
  request.set_name(id.Name);
  return request;
}

/// The spec that a node has; empty when the resource does not exist.
ExitCode readPresent(Session &session, const ResourceId &id,
                     std::optional<resources::Spec> &spec) {
  proto::GetReply reply;
  auto status =
      session.Client.callAny(&Resources::Stub::Get, getRequest(id), reply);
  if (status.ok() &&
      reply.error().type() == base::errorName(ErrorType::NotFound))
    return ExitCode::Ok;
  if (ExitCode code = reportReply(session, status, reply); code != ExitCode::Ok)
    return code;
  return base::handleFailure(
      [&]() -> base::Result<ExitCode> {
        BOOST_LEAF_ASSIGN(
            spec, resources::parseSpec(id.Kind, reply.resource().spec()));
        return ExitCode::Ok;
      },
      [&](const base::Failure &failure) {
        return reportFailure(session.Err, failure);
      });
}

void printDiff(Session &session, const ResourceId &id,
               const std::vector<resources::FieldChange> &changes) {
  if (session.Settings.JsonOutput) {
    json list = json::array();
    for (const auto &it : changes)
      list.push_back(
          {{"path", it.Path}, {"before", it.Before}, {"after", it.After}});
    session.Out
        << json{{"resource", formatResourceId(id)}, {"changes", list}}.dump()
        << "\n";
    return;
  }
  if (!changes.empty())
    session.Out << formatResourceId(id) << "\n";
  for (const auto &it : changes) {
    if (!it.Before.empty())
      session.Out << "- " << it.Path << ": " << it.Before << "\n";
    if (!it.After.empty())
      session.Out << "+ " << it.Path << ": " << it.After << "\n";
  }
}

ExitCode writePage(Session &session, const TimelineSource &source) {
  std::ofstream file(session.Settings.HtmlFile);
  file << renderTimelineHtml(source);
  file.close();
  if (!file)
    return reportFailure(
        session.Err,
        {ErrorType::BadRequest, "cannot write " + session.Settings.HtmlFile});
  session.Out << "wrote " << source.Events.size() << " events to "
              << session.Settings.HtmlFile << "\n";
  return ExitCode::Ok;
}

proto::TimelineRequest timelineRequest(const Options &options) {
  proto::TimelineRequest request;
  request.set_limit(options.Limit);
  request.set_local_only(options.LocalOnly);
  if (options.Since.count() > 0) {
    auto since = std::chrono::system_clock::now() - options.Since;
    request.set_since_wall_us(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            since.time_since_epoch())
            .count()));
  }
  return request;
}

} // namespace

ExitCode loadValidated(Session &session, std::vector<Manifest> &manifests) {
  if (ExitCode code = loadManifests(session, manifests); code != ExitCode::Ok)
    return code;
  proto::ValidateRequest request;
  for (const auto &it : manifests) {
    auto &resource = *request.add_resources();
    resource.set_kind(std::string(resources::kindName(it.Id.Kind)));
    resource.set_name(it.Id.Name);
    resource.set_spec(resources::printSpec(it.ResourceSpec));
  }
  proto::ValidateReply reply;
  auto status =
      session.Client.callAny(&Resources::Stub::Validate, request, reply);
  return reportReply(session, status, reply);
}

ExitCode runValidate(Session &session) {
  std::vector<Manifest> manifests;
  ExitCode code = loadValidated(session, manifests);
  if (code == ExitCode::Ok)
    session.Out << manifests.size() << " resources are valid\n";
  return code;
}

ExitCode runGet(Session &session) {
  proto::GetRequest request;
  request.set_kind(session.Settings.Kind);
  request.set_name(session.Settings.Name);
  proto::GetReply reply;
  auto status = session.Client.callAny(&Resources::Stub::Get, request, reply);
  if (ExitCode code = reportReply(session, status, reply); code != ExitCode::Ok)
    return code;
  json value = resourceJson(reply.resource());
  if (session.Settings.JsonOutput) {
    value["status"] = statusJson(reply.status());
    session.Out << value.dump(2) << "\n";
    return ExitCode::Ok;
  }
  printTable(
      session.Out,
      {{"resource", reply.resource().kind() + "/" + reply.resource().name()},
       {"version", std::to_string(reply.resource().version())},
       {"status", describeStatus(reply.status())},
       {"detail", reply.status().detail()}});
  session.Out << value["spec"].dump(2) << "\n";
  return ExitCode::Ok;
}

ExitCode runList(Session &session) {
  proto::ListRequest request;
  request.set_kind(session.Settings.Kind);
  proto::ListReply reply;
  auto status = session.Client.callAny(&Resources::Stub::List, request, reply);
  if (ExitCode code = reportReply(session, status, reply); code != ExitCode::Ok)
    return code;
  if (session.Settings.JsonOutput) {
    json list = json::array();
    for (const auto &it : reply.resources())
      list.push_back(resourceJson(it));
    session.Out << list.dump(2) << "\n";
    return ExitCode::Ok;
  }
  std::vector<Row> rows{{"KIND", "NAME", "VERSION"}};
  for (const auto &it : reply.resources())
    rows.push_back({it.kind(), it.name(), std::to_string(it.version())});
  printTable(session.Out, rows);
  return ExitCode::Ok;
}

ExitCode runDiff(Session &session) {
  std::vector<Manifest> manifests;
  if (ExitCode code = loadManifests(session, manifests); code != ExitCode::Ok)
    return code;
  for (const auto &it : manifests) {
    std::optional<resources::Spec> present;
    if (ExitCode code = readPresent(session, it.Id, present);
        code != ExitCode::Ok)
      return code;
    printDiff(session, it.Id,
              resources::canonicalDiff(present, it.ResourceSpec));
  }
  return ExitCode::Ok;
}

ExitCode runTimeline(Session &session) {
  proto::TimelineReply reply;
  auto status = session.Client.callAny(
      &Resources::Stub::Timeline, timelineRequest(session.Settings), reply);
  if (ExitCode code = reportReply(session, status, reply); code != ExitCode::Ok)
    return code;
  TimelineSource source{operators::readTimeline(reply),
                        {reply.missing().begin(), reply.missing().end()}};
  if (!session.Settings.HtmlFile.empty())
    return writePage(session, source);
  session.Out << (session.Settings.JsonOutput ? renderTimelineJson(source)
                                              : renderTimelineText(source));
  return ExitCode::Ok;
}

} // namespace baobabpin::ctl
