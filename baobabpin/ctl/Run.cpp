#include "baobabpin/ctl/Run.h"

#include "baobabpin/ctl/ChangeCommands.h"
#include "baobabpin/ctl/CheckCommand.h"
#include "baobabpin/ctl/Options.h"
#include "baobabpin/ctl/ReadCommands.h"
#include "baobabpin/ctl/WatchCommand.h"

namespace baobabpin::ctl {
namespace {

ExitCode dispatch(Session &session) {
  switch (session.Settings.Action) {
  case Command::Apply:
    return runApply(session);
  case Command::Get:
    return runGet(session);
  case Command::List:
    return runList(session);
  case Command::Watch:
    return runWatch(session);
  case Command::Diff:
    return runDiff(session);
  case Command::Validate:
    return runValidate(session);
  case Command::Delete:
    return runDelete(session);
  case Command::Timeline:
    return runTimeline(session);
  case Command::CheckConfig:
  case Command::Help:
  case Command::Version:
    break;
  }
  return ExitCode::Ok;
}

base::Result<ExitCode> runCommand(int argc, const char *const *argv,
                                  std::ostream &out, std::ostream &err) {
  BOOST_LEAF_AUTO(options, parseOptions(argc, argv));
  if (options.Action == Command::Help) {
    out << helpText();
    return ExitCode::Ok;
  }
  if (options.Action == Command::Version) {
    out << "baobabpinctl " << BAOBABPIN_VERSION << "\n";
    return ExitCode::Ok;
  }
  if (options.Action == Command::CheckConfig)
    return runCheckConfig(options, out);
  BOOST_LEAF_AUTO(client, NodeClient::connect(options));
  Session session{options, *client, out, err};
  return dispatch(session);
}

} // namespace

ExitCode run(int argc, const char *const *argv, std::ostream &out,
             std::ostream &err) {
  return base::handleFailure([&] { return runCommand(argc, argv, out, err); },
                             [&](const base::Failure &failure) {
                               ExitCode code = reportFailure(err, failure);
                               if (code == ExitCode::Usage)
                                 err << "see baobabpinctl --help\n";
                               return code;
                             });
}

} // namespace baobabpin::ctl
