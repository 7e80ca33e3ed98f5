#include "tamaracklatch/daemon/daemons.h"
namespace tamaracklatch {
int RunControld(const controld_settings&) { return 1; }
}  // namespace tamaracklatch
