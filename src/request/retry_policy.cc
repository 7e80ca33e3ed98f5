// The budget and the delays of retries.
#include "tamaracklatch/request/retry_policy.h"

#include <algorithm>
#include <cassert>

namespace tamaracklatch {

retry_policy::retry_policy(retry_settings settings) : settings_(settings) {
  assert(settings.budget >= 0.0 && settings.max_tries >= 1);
}

void retry_policy::OnFirstTry() {
  saved_ = std::min(saved_ + settings_.budget, settings_.saved_retries);
}

std::optional<duration> retry_policy::Retry(try_failure what, bool repeatable,
                                            std::uint32_t tries,
                                            duration retry_after,
                                            time_point deadline, time_point now,
                                            random_source* random) {
  assert(tries >= 1);
  if (what == try_failure::kMayHaveRun && !repeatable) return std::nullopt;
  if (tries >= settings_.max_tries || saved_ < 1.0) return std::nullopt;
  // The bound doubles with each try; the jitter takes any time up to it.
  duration bound = settings_.first_delay;
  for (std::uint32_t i = 1; i < tries; ++i) bound *= 2;
  bound = std::min(bound, settings_.longest_delay);
  std::uniform_int_distribution<duration::rep> jitter(1, bound.count());
  const duration delay = retry_after + duration(jitter(*random));
  if (now + delay >= deadline) return std::nullopt;
  saved_ -= 1.0;
  return delay;
}

}  // namespace tamaracklatch
