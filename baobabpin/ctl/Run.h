/// The whole program, apart from main().
#pragma once

#include "baobabpin/ctl/ExitCode.h"

#include <ostream>

namespace baobabpin::ctl {

ExitCode run(int argc, const char *const *argv, std::ostream &out,
             std::ostream &err);

} // namespace baobabpin::ctl
