// The daemons as functions, so that each program is thin and another program
// may embed them.
#pragma once

#include "tamaracklatch/daemon/settings.h"

namespace tamaracklatch {

// Each runs until a signal asks it to stop. Returns the exit code of the
// process; 1 where it could not start, with the reason on standard error.
int RunControld(const controld_settings& settings);
int RunBalancerd(const balancerd_settings& settings);
int RunTargetd(const targetd_settings& settings);

}  // namespace tamaracklatch
