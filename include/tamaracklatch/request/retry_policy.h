// When a request that was proven not to have run is tried again.
#pragma once

#include <cstdint>
#include <optional>

#include "tamaracklatch/core/random.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

struct retry_settings {
  double budget = 0.1;          // retries for each first try, at most
  double saved_retries = 10.0;  // budget that may be saved up, in retries
  std::uint32_t max_tries = 3;  // of one request, the first among them
  duration first_delay = std::chrono::milliseconds(50);
  duration longest_delay = std::chrono::seconds(2);
};

// What is known about a try that failed.
enum class try_failure : std::uint8_t {
  kProvenNotRun,  // refused before its dispatch, or never sent
  kMayHaveRun,    // sent, and no whole answer came
};

// Invariant: at any time there were at most `budget` times the first tries
// retries.
class retry_policy {
 public:
  explicit retry_policy(retry_settings settings);

  // A first try of a request begins.
  void OnFirstTry();

  // A request's try number `tries` (from 1) failed. Returns the delay before
  // the next try, or nothing where it must not be tried again: it may have run
  // and is not repeatable, the budget is spent, or `deadline` comes first.
  // `retry_after` is the target's wish, zero where it has none.
  std::optional<duration> Retry(try_failure what, bool repeatable,
                                std::uint32_t tries, duration retry_after,
                                time_point deadline, time_point now,
                                random_source* random);

 private:
  retry_settings settings_;
  double saved_ = 0.0;  // retries that may be made now
};

}  // namespace tamaracklatch
