#include "baobabpin/resources/Kinds.h"

namespace baobabpin::resources {
namespace {

constexpr std::array<std::string_view, 4> KindNames{
    "DatabaseGroup", "SessionAdmission", "StalenessAllowance", "PlannedStop"};
constexpr std::array<std::string_view, 4> PriorityNames{"urgent", "high",
                                                        "normal", "low"};
constexpr std::array<std::string_view, 3> StopTargetNames{"node", "server",
                                                          "primary"};

template <typename Enum, typename Names>
std::optional<Enum> findName(const Names &names, std::string_view name) {
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name)
      return static_cast<Enum>(i);
  }
  return std::nullopt;
}

} // namespace

std::string_view kindName(ResourceKind kind) {
  return KindNames[static_cast<std::size_t>(kind)];
}

std::optional<ResourceKind> parseKind(std::string_view name) {
  return findName<ResourceKind>(KindNames, name);
}

std::string_view priorityName(Priority priority) {
  return PriorityNames[static_cast<std::size_t>(priority)];
}

std::optional<Priority> parsePriority(std::string_view name) {
  return findName<Priority>(PriorityNames, name);
}

std::string_view stopTargetName(StopTarget target) {
  return StopTargetNames[static_cast<std::size_t>(target)];
}

std::optional<StopTarget> parseStopTarget(std::string_view name) {
  return findName<StopTarget>(StopTargetNames, name);
}

std::string formatResourceId(const ResourceId &id) {
  return std::string(kindName(id.Kind)) + "/" + id.Name;
}

} // namespace baobabpin::resources
