/// Commands that change resources: apply and delete.
///
/// A change whose answer was lost is read back by its mark from the platform's
/// store. It is sent again only while the version that it is based on is still
/// stored, and with the same mark, so that it takes effect at most once.
#pragma once

#include "baobabpin/ctl/Report.h"

namespace baobabpin::ctl {

/// Validates all files, then applies them in the order of their kinds; stops at
/// the first failure and says what was applied before it.
ExitCode runApply(Session &session);

ExitCode runDelete(Session &session);

} // namespace baobabpin::ctl
