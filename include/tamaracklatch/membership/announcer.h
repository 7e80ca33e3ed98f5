// The target daemon's side of a lease: announces the target to a relay of its
// zone, renews, and goes to another relay when one does not answer.
//
//   announcer lease(settings, seed, now);
//   lease.SetRelays(contacts, now);      // relays of the zone, or control VMs
//   for (auto& send : lease.OnTick(now)) ...;          // at next_wake()
//   lease.OnAnswer(relay, answer, now);
//   if (lease.Holds(now)) ...;           // the lease runs on the own clock
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "tamaracklatch/core/random.h"
#include "tamaracklatch/distribution/relay_messages.h"
#include "tamaracklatch/membership/announcement.h"

namespace tamaracklatch {

struct announcer_settings {
  target_announcement target;
  duration renew_interval = std::chrono::seconds(3);
  duration retry_interval = std::chrono::milliseconds(500);
  std::uint32_t max_tries = 4;  // unanswered, before another relay is asked
};

class announcer {
 public:
  struct send {
    relay_contact relay;
    lease_renewal message;
  };

  announcer(const announcer_settings& settings, std::uint64_t seed,
            time_point now);

  // The relays that may be asked, the preferred one first. Keeps to the one in
  // use if it is among them and the preferred one has not changed.
  void SetRelays(const std::vector<relay_contact>& relays, time_point now);

  std::vector<send> OnTick(time_point now);
  time_point next_wake() const;

  void OnAnswer(const std::string& relay, const lease_answer& answer,
                time_point now);

  // The target takes no new work from now on; told at once, never taken back.
  void Drain(time_point now);

  // Whether the lease still runs, counted from before its last renewal.
  bool Holds(time_point now) const { return lease_end_ && now < *lease_end_; }
  std::optional<time_point> lease_end() const { return lease_end_; }

  // Why the last answer refused; kOk if it did not.
  const failure& refusal() const { return refusal_; }
  const target_announcement& target() const { return settings_.target; }

 private:
  duration Jittered(duration nominal);

  announcer_settings settings_;
  random_source random_;
  std::vector<relay_contact> relays_;
  std::size_t current_ = 0;  // index into relays_, if there are any
  std::uint64_t number_ = 0;
  time_point sent_;  // the renewal `number_`
  std::uint32_t unanswered_ = 0;
  time_point next_;
  std::optional<time_point> lease_end_;
  failure refusal_;
};

}  // namespace tamaracklatch
