#include "baobabpin/ctl/Options.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace baobabpin::ctl {
namespace {

using base::ErrorType;

constexpr double MaxTimeoutSeconds = 86'400;

constexpr std::array<std::pair<const char *, Command>, 9> CommandNames{
    std::pair{"apply", Command::Apply},
    std::pair{"get", Command::Get},
    std::pair{"list", Command::List},
    std::pair{"watch", Command::Watch},
    std::pair{"diff", Command::Diff},
    std::pair{"validate", Command::Validate},
    std::pair{"delete", Command::Delete},
    std::pair{"timeline", Command::Timeline},
    std::pair{"check-config", Command::CheckConfig}};

constexpr const char *CommandHelp = R"(
Commands:
  apply -f FILE|DIR...     create or change resources, after validating all
  get KIND NAME            print a resource and its status
  list [KIND]              print all resources
  watch [KIND [NAME]]      print resources and each change of them
  diff -f FILE|DIR...      print what apply would change
  validate -f FILE|DIR...  check resources without changing anything
  delete KIND NAME         delete a resource
  timeline                 print the events of all nodes
  check-config FILE        check a configuration of the platform before it is
                           sent; asks no node

Kinds: DatabaseGroup, SessionAdmission, StalenessAllowance, PlannedStop

Exit codes: 0 ok, 1 failed, 2 usage, 3 conflict, 4 not found, 5 unavailable,
6 timed out. check-config: 0 no findings, 1 errors, 2 usage, 3 warnings only
)";

cxxopts::Options describe() {
  cxxopts::Options options("baobabpinctl", "Operators' client of baobabpin.");
  options.custom_help("COMMAND [OPTION...]").positional_help("");
  auto text = [] { return cxxopts::value<std::string>(); };
  auto texts = [] { return cxxopts::value<std::vector<std::string>>(); };
  auto seconds = [] { return cxxopts::value<double>(); };
  options.add_options()                                                     //
      ("s,server", "Node to ask; repeat to try others", texts(), "IP:PORT") //
      ("ca", "Authority of the nodes", text(), "FILE")                      //
      ("cert", "Operator's certificate", text(), "FILE")                    //
      ("key", "Operator's key", text(), "FILE")                             //
      ("clear-text", "Connect without TLS")                                 //
      ("f,file", "Resources in JSON", texts(), "FILE|DIR")                  //
      ("o,output", "Output format", text(), "json|table|text")              //
      ("in-force", "Configuration to compare with", text(), "FILE")         //
      ("until-in-force", "Wait until every node has confirmed")             //
      ("timeout", "Limit of the command, default 30", seconds(), "SECONDS") //
      ("expected-version", "Fail unless this version is stored",
       cxxopts::value<std::uint64_t>(), "N")                              //
      ("html", "Write the time line as a page", text(), "FILE")           //
      ("since", "Age of the oldest event", seconds(), "SECONDS")          //
      ("limit", "Number of events", cxxopts::value<std::uint32_t>(), "N") //
      ("local", "Only the asked node's events")                           //
      ("h,help", "Print this help")("version", "Print the version")       //
      ("words", "", texts());
  options.parse_positional("words");
  return options;
}

base::leaf::error_id usage(std::string detail) {
  return base::fail(ErrorType::BadRequest, std::move(detail));
}

std::string textOf(const cxxopts::ParseResult &parsed, const char *name) {
  return parsed.count(name) ? parsed[name].as<std::string>() : std::string();
}

std::vector<std::string> textsOf(const cxxopts::ParseResult &parsed,
                                 const char *name) {
  if (!parsed.count(name))
    return {};
  return parsed[name].as<std::vector<std::string>>();
}

base::Result<std::chrono::milliseconds>
secondsOf(const cxxopts::ParseResult &parsed, const char *name) {
  auto seconds = parsed[name].as<double>();
  if (!std::isfinite(seconds) || seconds <= 0 || seconds > MaxTimeoutSeconds)
    return usage(std::string("--") + name +
                 ": accepted: more than 0 and at most 86400");
  return std::chrono::milliseconds(std::llround(seconds * 1'000));
}

base::Result<void> readWords(const std::vector<std::string> &words,
                             Options &options) {
  if (words.empty())
    return usage("no command given");
  const auto *found =
      std::find_if(CommandNames.begin(), CommandNames.end(),
                   [&](const auto &it) { return it.first == words[0]; });
  if (found == CommandNames.end())
    return usage("unknown command " + words[0]);
  options.Action = found->second;
  std::size_t least = 0;
  std::size_t most = 0;
  if (options.Action == Command::Get || options.Action == Command::Delete)
    least = most = 2;
  if (options.Action == Command::List)
    most = 1;
  if (options.Action == Command::Watch)
    most = 2;
  if (options.Action == Command::CheckConfig)
    least = most = 1;
  if (words.size() - 1 < least || words.size() - 1 > most)
    return usage(words[0] + ": wrong number of arguments");
  if (options.Action == Command::CheckConfig) {
    options.ConfigurationFile = words[1];
    return {};
  }
  options.Kind = words.size() > 1 ? words[1] : "";
  options.Name = words.size() > 2 ? words[2] : "";
  return {};
}

base::Result<void> readTransport(const cxxopts::ParseResult &parsed,
                                 Options &options) {
  options.Servers = textsOf(parsed, "server");
  options.CaFile = textOf(parsed, "ca");
  options.CertificateFile = textOf(parsed, "cert");
  options.KeyFile = textOf(parsed, "key");
  options.ClearText = parsed.count("clear-text") > 0;
  if (options.Servers.empty())
    return usage("no --server given");
  bool any = !options.CaFile.empty() || !options.CertificateFile.empty() ||
             !options.KeyFile.empty();
  bool all = !options.CaFile.empty() && !options.CertificateFile.empty() &&
             !options.KeyFile.empty();
  if (options.ClearText && any)
    return usage("--clear-text excludes --ca, --cert and --key");
  if (!options.ClearText && !all)
    return usage("--ca, --cert and --key, or --clear-text, are required");
  return {};
}

base::Result<void> readLimits(const cxxopts::ParseResult &parsed,
                              Options &options) {
  if (parsed.count("timeout")) {
    BOOST_LEAF_ASSIGN(options.Timeout, secondsOf(parsed, "timeout"));
    options.TimeoutStated = true;
  }
  if (parsed.count("since")) {
    BOOST_LEAF_ASSIGN(options.Since, secondsOf(parsed, "since"));
  }
  if (parsed.count("limit"))
    options.Limit = parsed["limit"].as<std::uint32_t>();
  if (parsed.count("expected-version"))
    options.ExpectedVersion = parsed["expected-version"].as<std::uint64_t>();
  return {};
}

base::Result<void> readOutput(const cxxopts::ParseResult &parsed,
                              Options &options) {
  std::string format = textOf(parsed, "output");
  std::string plain = options.Action == Command::CheckConfig ? "text" : "table";
  if (!format.empty() && format != "json" && format != plain)
    return usage("--output: accepted: json or " + plain);
  options.JsonOutput = format == "json";
  options.HtmlFile = textOf(parsed, "html");
  options.LocalOnly = parsed.count("local") > 0;
  options.UntilInForce = parsed.count("until-in-force") > 0;
  return {};
}

base::Result<void> checkFiles(const Options &options) {
  bool takesFiles = options.Action == Command::Apply ||
                    options.Action == Command::Diff ||
                    options.Action == Command::Validate;
  if (takesFiles && options.Files.empty())
    return usage("no --file given");
  if (!takesFiles && !options.Files.empty())
    return usage("--file: accepted with apply, diff and validate only");
  return {};
}

base::Result<Options> interpret(const cxxopts::ParseResult &parsed) {
  Options options;
  if (parsed.count("help"))
    return options;
  if (parsed.count("version")) {
    options.Action = Command::Version;
    return options;
  }
  BOOST_LEAF_CHECK(readWords(textsOf(parsed, "words"), options));
  options.Files = textsOf(parsed, "file");
  BOOST_LEAF_CHECK(checkFiles(options));
  options.InForceFile = textOf(parsed, "in-force");
  if (options.Action == Command::CheckConfig) {
    BOOST_LEAF_CHECK(readOutput(parsed, options));
    return options;
  }
  if (!options.InForceFile.empty())
    return usage("--in-force: accepted with check-config only");
  BOOST_LEAF_CHECK(readTransport(parsed, options));
  BOOST_LEAF_CHECK(readLimits(parsed, options));
  BOOST_LEAF_CHECK(readOutput(parsed, options));
  return options;
}

} // namespace

base::Result<Options> parseOptions(int argc, const char *const *argv) {
  try {
    return interpret(describe().parse(argc, argv));
  } catch (const cxxopts::exceptions::exception &error) {
    return usage(error.what());
  }
}

std::string helpText() { return describe().help() + CommandHelp; }

} // namespace baobabpin::ctl
