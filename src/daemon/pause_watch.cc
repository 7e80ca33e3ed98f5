// Gaps between the turns of the process.
#include "daemon/pause_watch.h"

namespace tamaracklatch {

void pause_watch::OnTurn(time_point now) {
  if (last_turn_ && now - *last_turn_ >= least_) resumed_ = now;
  last_turn_ = now;
}

bool pause_watch::IsRecent(time_point now) {
  OnTurn(now);
  return resumed_ && now - *resumed_ < recent_;
}

}  // namespace tamaracklatch
