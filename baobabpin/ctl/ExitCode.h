/// Exit codes of baobabpinctl; stable, for scripts.
#pragma once

namespace baobabpin::ctl {

enum class ExitCode {
  Ok = 0,
  Failed = 1,
  Usage = 2,
  Conflict = 3, ///< Another operator was first, or must wait.
  /// check-config, which never reports Conflict, found warnings and no errors.
  WarningsOnly = 3,
  NotFound = 4,    ///< No such resource.
  Unavailable = 5, ///< No node, or not the platform's store, answered.
  TimedOut = 6,    ///< Not in force, or not answered, in time.
};

} // namespace baobabpin::ctl
