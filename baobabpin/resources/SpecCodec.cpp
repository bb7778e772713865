#include "baobabpin/resources/SpecCodec.h"
#include "baobabpin/resources/FieldReader.h"
#include "baobabpin/resources/SpecJson.h"

#include <algorithm>

namespace baobabpin::resources {
namespace {

using internal::FieldReader;
using nlohmann::json;

constexpr std::size_t MaxNameLength = 128;
constexpr std::size_t MaxServers = 7;
constexpr std::size_t MaxClasses = 64;

bool isNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

/// Refuses the later of two elements of \p items with equal \p key.
template <typename Items, typename Key>
void refuseRepeats(FieldReader &reader, const std::string &array,
                   const std::string &field, const Items &items, Key key) {
  for (std::size_t i = 1; i < items.size(); ++i) {
    auto same = [&](const auto &it) { return key(it) == key(items[i]); };
    auto end = items.begin() + static_cast<std::ptrdiff_t>(i);
    if (std::none_of(items.begin(), end, same))
      continue;
    std::string path = array + "[" + std::to_string(i) + "].";
    reader.refuse(path.append(field), "repeats " + key(items[i]),
                  "a value unique in " + array);
  }
}

DatabaseGroup readGroup(FieldReader &reader) {
  DatabaseGroup group;
  group.Customer = reader.name("customer");
  group.Database = reader.name("database");
  reader.objects("servers", 1, MaxServers, [&](FieldReader &server) {
    ServerSpec spec;
    spec.Id = server.name("id");
    spec.Address = server.address("address");
    spec.Zone = server.name("availability_zone");
    group.Servers.push_back(std::move(spec));
  });
  refuseRepeats(reader, "servers", "id", group.Servers,
                [](const ServerSpec &it) { return it.Id; });
  refuseRepeats(reader, "servers", "address", group.Servers,
                [](const ServerSpec &it) { return it.Address; });
  group.Slots = reader.integer("slots", 1, 64);
  group.Connections = reader.integer("connections", 3, 10'000);
  return group;
}

SessionAdmission readAdmission(FieldReader &reader) {
  SessionAdmission admission;
  admission.Customer = reader.name("customer");
  admission.Database = reader.name("database");
  reader.objects("classes", 1, MaxClasses, [&](FieldReader &item) {
    AdmittedClass spec;
    spec.Name = item.name("name");
    spec.ClassPriority = item.choice<Priority>("priority", parsePriority,
                                               "urgent, high, normal or low");
    spec.Timeout =
        std::chrono::milliseconds(item.integer("timeout_ms", 10, 60'000));
    admission.Classes.push_back(std::move(spec));
  });
  refuseRepeats(reader, "classes", "name", admission.Classes,
                [](const AdmittedClass &it) { return it.Name; });
  admission.MaxSessions = reader.integer("max_sessions", 1, 1'000'000);
  return admission;
}

StalenessAllowance readAllowance(FieldReader &reader) {
  StalenessAllowance allowance;
  allowance.Customer = reader.name("customer");
  allowance.Database = reader.name("database");
  allowance.Class = reader.name("class");
  allowance.MaxAge =
      std::chrono::milliseconds(reader.integer("max_age_ms", 0, 3'600'000));
  return allowance;
}

PlannedStop readStop(FieldReader &reader) {
  PlannedStop stop;
  stop.TargetKind = reader.choice<StopTarget>("target_kind", parseStopTarget,
                                              "node, server or primary");
  stop.Target = reader.token("target");
  stop.Deadline = std::chrono::seconds(reader.integer("deadline_s", 1, 3'600));
  return stop;
}

Spec readSpec(ResourceKind kind, FieldReader &reader) {
  switch (kind) {
  case ResourceKind::DatabaseGroup:
    return readGroup(reader);
  case ResourceKind::SessionAdmission:
    return readAdmission(reader);
  case ResourceKind::StalenessAllowance:
    return readAllowance(reader);
  case ResourceKind::PlannedStop:
    return readStop(reader);
  }
  return {};
}

json toJson(const DatabaseGroup &group) {
  json servers = json::array();
  for (const auto &it : group.Servers) {
    servers.push_back({{"id", it.Id},
                       {"address", it.Address},
                       {"availability_zone", it.Zone}});
  }
  return {{"customer", group.Customer},
          {"database", group.Database},
          {"servers", std::move(servers)},
          {"slots", group.Slots},
          {"connections", group.Connections}};
}

json toJson(const SessionAdmission &admission) {
  json classes = json::array();
  for (const auto &it : admission.Classes) {
    classes.push_back({{"name", it.Name},
                       {"priority", priorityName(it.ClassPriority)},
                       {"timeout_ms", it.Timeout.count()}});
  }
  return {{"customer", admission.Customer},
          {"database", admission.Database},
          {"classes", std::move(classes)},
          {"max_sessions", admission.MaxSessions}};
}

json toJson(const StalenessAllowance &allowance) {
  return {{"customer", allowance.Customer},
          {"database", allowance.Database},
          {"class", allowance.Class},
          {"max_age_ms", allowance.MaxAge.count()}};
}

json toJson(const PlannedStop &stop) {
  return {{"target_kind", stopTargetName(stop.TargetKind)},
          {"target", stop.Target},
          {"deadline_s", stop.Deadline.count()}};
}

} // namespace

namespace internal {

json specToJson(const Spec &spec) {
  return std::visit([](const auto &it) { return toJson(it); }, spec);
}

base::Result<Spec> specFromJson(ResourceKind kind, const json &value) {
  std::optional<FieldError> error;
  FieldReader reader(value, "spec", error);
  Spec spec = readSpec(kind, reader);
  reader.finish();
  if (error)
    return failField(*error);
  return spec;
}

} // namespace internal

std::string formatFieldError(const FieldError &error) {
  return error.Path + ": " + error.Problem + "; accepted: " + error.Accepted;
}

base::leaf::error_id failField(FieldError error) {
  base::Failure failure{base::ErrorType::InvalidResource,
                        formatFieldError(error)};
  return base::leaf::new_error(std::move(failure), std::move(error));
}

base::Result<Spec> parseSpec(ResourceKind kind, std::string_view text) {
  if (text.size() > MaxValueBytes)
    return base::fail(base::ErrorType::RequestTooLarge,
                      "spec of " + std::to_string(text.size()) +
                          " bytes; accepted: at most 1000000");
  std::optional<FieldError> error;
  auto parsed = internal::parseStrict(text, "spec", error);
  if (!parsed)
    return failField(*error);
  return internal::specFromJson(kind, *parsed);
}

std::string printSpec(const Spec &spec) {
  return internal::specToJson(spec).dump();
}

std::string prettySpec(const Spec &spec) {
  return internal::specToJson(spec).dump(2);
}

bool isValidName(std::string_view name) {
  if (name.empty() || name.size() > MaxNameLength)
    return false;
  if (name[0] == '.' || name[0] == '-')
    return false;
  return std::all_of(name.begin(), name.end(), isNameCharacter);
}

base::Result<void> checkName(std::string_view name, const std::string &path) {
  if (!isValidName(name))
    return failField({path, "not a name",
                      "1 to 128 letters, digits, '.', '_' or '-', not "
                      "beginning with '.' or '-'"});
  return {};
}

} // namespace baobabpin::resources
