// The times of a graceful stop.
#include "daemon/graceful_stop.h"

#include <algorithm>

namespace tamaracklatch {

graceful_stop::graceful_stop(const graceful_stop_settings& settings)
    : settings_(settings) {}

void graceful_stop::Begin(time_point now) {
  if (!begun_) begun_ = now;
}

void graceful_stop::OnArrival(time_point now) { last_arrival_ = now; }

void graceful_stop::OnWorkEnded(time_point now) {
  if (begun_ && !work_ended_) work_ended_ = now;
}

bool graceful_stop::IsDone(time_point now) const {
  if (!begun_) return false;
  if (now - *begun_ >= settings_.limit) return true;
  if (work_ended_) return now - *work_ended_ >= settings_.farewell;
  return settings_.quiet &&
         now - std::max(*begun_, last_arrival_) >= *settings_.quiet;
}

}  // namespace tamaracklatch
