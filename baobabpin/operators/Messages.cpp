#include "baobabpin/operators/Messages.h"

namespace baobabpin::operators {

using base::ErrorType;
using resources::ResourceId;

base::Result<ResourceId> readResourceId(const std::string &kind,
                                        const std::string &name) {
  auto parsed = resources::parseKind(kind);
  if (!parsed)
    return base::leaf::new_error(
        base::Failure{ErrorType::UnknownKind, "unknown kind " + kind},
        resources::FieldError{"kind", "unknown kind",
                              "DatabaseGroup, SessionAdmission, "
                              "StalenessAllowance or PlannedStop"});
  BOOST_LEAF_CHECK(resources::checkName(name, "name"));
  return ResourceId{*parsed, name};
}

base::Result<ChangeRequest> readApply(const proto::ApplyRequest &message) {
  const auto &resource = message.resource();
  ChangeRequest request;
  BOOST_LEAF_ASSIGN(request.Id,
                    readResourceId(resource.kind(), resource.name()));
  BOOST_LEAF_ASSIGN(request.NewSpec,
                    resources::parseSpec(request.Id.Kind, resource.spec()));
  request.ExpectedVersion = message.expected_version();
  request.AnyVersion = message.any_version();
  request.DryRun = message.dry_run();
  request.Mark = message.mark().empty() ? drawMark() : message.mark();
  BOOST_LEAF_CHECK(resources::checkName(request.Mark, "mark"));
  return request;
}

base::Result<ChangeRequest> readDelete(const proto::DeleteRequest &message) {
  ChangeRequest request;
  BOOST_LEAF_ASSIGN(request.Id, readResourceId(message.kind(), message.name()));
  request.ExpectedVersion = message.expected_version();
  request.AnyVersion = message.any_version();
  return request;
}

base::Result<WatchFilter> readFilter(const std::string &kind,
                                     const std::string &name) {
  WatchFilter filter;
  if (!kind.empty()) {
    BOOST_LEAF_AUTO(id, readResourceId(kind, name.empty() ? "any" : name));
    filter.Kind = id.Kind;
  }
  if (!name.empty())
    BOOST_LEAF_CHECK(resources::checkName(name, "name"));
  filter.Name = name;
  return filter;
}

void writeFailure(const base::Failure &failure, proto::OperatorError &message) {
  message.set_type(std::string(base::errorName(failure.Type)));
  message.set_message(failure.Detail);
}

void writeError(const ChangeError &error, proto::OperatorError &message) {
  writeFailure(error.Reason, message);
  message.set_field(error.Field.Path);
  message.set_accepted(error.Field.Accepted);
  message.set_current_version(error.CurrentVersion);
  message.set_outcome_unknown(error.OutcomeUnknown);
}

void writeResource(const ResourceId &id, std::uint64_t version,
                   const resources::Spec &spec, proto::Resource &message) {
  message.set_kind(std::string(resources::kindName(id.Kind)));
  message.set_name(id.Name);
  message.set_version(version);
  message.set_spec(resources::printSpec(spec));
}

void writeStatus(const ResourceStatus &status, proto::ResourceStatus &message) {
  message.set_in_force(status.InForce);
  message.set_confirmed_nodes(status.ConfirmedNodes);
  message.set_detail(status.Detail);
  for (const auto &it : status.Unconfirmed) {
    auto &node = *message.add_unconfirmed();
    node.set_node(it.Node);
    node.set_availability_zone(it.Zone);
    node.set_reason(it.Reason);
  }
}

proto::WatchEvent makeWatchEvent(const WatchUpdate &update) {
  proto::WatchEvent event;
  event.set_synced(update.Synced);
  if (update.Synced)
    return event;
  auto &resource = *event.mutable_resource();
  resource.set_kind(std::string(resources::kindName(update.Id.Kind)));
  resource.set_name(update.Id.Name);
  resource.set_version(update.Version);
  event.set_deleted(update.Deleted);
  if (update.ResourceSpec)
    resource.set_spec(resources::printSpec(*update.ResourceSpec));
  writeStatus(update.Status, *event.mutable_status());
  return event;
}

} // namespace baobabpin::operators
