#include "baobabpin/ctl/CheckCommand.h"

#include "baobabpin/configcheck/ConfigCheck.h"
#include "platform/Documents.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

namespace baobabpin::ctl {
namespace {

using configcheck::Change;
using configcheck::ChangeKind;
using configcheck::CheckedConfiguration;
using configcheck::Finding;
using configcheck::Severity;

struct CheckResult {
  std::vector<Finding> Findings;
  std::vector<Change> Changes;

  std::size_t count(Severity level) const {
    return static_cast<std::size_t>(
        std::ranges::count(Findings, level, &Finding::Level));
  }
};

base::Result<std::string> readFile(const std::string &path) {
  std::error_code error;
  std::ifstream file(path, std::ios::binary);
  // Opening a directory succeeds, reading it does not.
  if (!file || std::filesystem::is_directory(path, error))
    return base::fail(base::ErrorType::BadRequest, path + ": cannot be read");
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::optional<CheckedConfiguration> parse(const std::string &document) {
  auto parsed = platform::parseConfiguration(document);
  if (!parsed)
    return std::nullopt;
  return CheckedConfiguration{*parsed,
                              platform::reportEntries(document).KeyIndices};
}

CheckResult check(const std::string &document,
                  const std::optional<CheckedConfiguration> &inForce) {
  CheckResult result;
  auto next = parse(document);
  if (!next) {
    result.Findings.push_back(
        {Severity::Error, "document",
         "not a configuration: JSON with Version, Routes and Services is "
         "required, and nodes ignore anything else"});
    return result;
  }
  for (const auto &it : platform::reportEntries(document).Problems)
    result.Findings.push_back({Severity::Error, it.Entry, it.Problem});
  std::ranges::copy(configcheck::checkConfiguration(*next),
                    std::back_inserter(result.Findings));
  if (inForce) {
    std::ranges::copy(configcheck::checkReplacement(*inForce, *next),
                      std::back_inserter(result.Findings));
    result.Changes = configcheck::listChanges(*inForce, *next);
  }
  std::ranges::stable_sort(result.Findings, {}, &Finding::Level);
  return result;
}

const char *nameOf(Severity it) {
  return it == Severity::Error ? "error" : "warning";
}

const char *nameOf(ChangeKind it) {
  switch (it) {
  case ChangeKind::Added:
    return "added";
  case ChangeKind::Removed:
    return "removed";
  case ChangeKind::Changed:
    break;
  }
  return "changed";
}

void printText(const CheckResult &result, bool compared, std::ostream &out) {
  for (const auto &it : result.Findings)
    out << nameOf(it.Level) << ": " << it.Where << ": " << it.Text << "\n";
  for (const auto &it : result.Changes)
    out << nameOf(it.Kind) << ": " << it.Where
        << (it.Text.empty() ? "" : ": " + it.Text) << "\n";
  out << "errors: " << result.count(Severity::Error)
      << ", warnings: " << result.count(Severity::Warning);
  if (compared)
    out << ", changes: " << result.Changes.size();
  out << "\n";
}

void printJson(const CheckResult &result, bool compared, std::ostream &out) {
  nlohmann::ordered_json root{{"errors", result.count(Severity::Error)},
                              {"warnings", result.count(Severity::Warning)},
                              {"findings", nlohmann::ordered_json::array()}};
  for (const auto &it : result.Findings)
    root["findings"].push_back({{"severity", nameOf(it.Level)},
                                {"where", it.Where},
                                {"text", it.Text}});
  if (compared) {
    root["changes"] = nlohmann::ordered_json::array();
    for (const auto &it : result.Changes)
      root["changes"].push_back(
          {{"kind", nameOf(it.Kind)}, {"where", it.Where}, {"text", it.Text}});
  }
  // Names in the document may not be valid UTF-8.
  out << root.dump(2, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace)
      << "\n";
}

} // namespace

base::Result<ExitCode> runCheckConfig(const Options &options,
                                      std::ostream &out) {
  BOOST_LEAF_AUTO(document, readFile(options.ConfigurationFile));
  std::optional<CheckedConfiguration> inForce;
  bool compared = !options.InForceFile.empty();
  if (compared) {
    BOOST_LEAF_AUTO(old, readFile(options.InForceFile));
    inForce = parse(old);
    if (!inForce)
      return base::fail(base::ErrorType::BadRequest,
                        options.InForceFile + ": not a configuration");
  }
  auto result = check(document, inForce);
  if (options.JsonOutput)
    printJson(result, compared, out);
  else
    printText(result, compared, out);
  if (result.count(Severity::Error) > 0)
    return ExitCode::Failed;
  return result.Findings.empty() ? ExitCode::Ok : ExitCode::WarningsOnly;
}

} // namespace baobabpin::ctl
