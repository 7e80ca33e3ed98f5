// The target daemon's side of a lease: announces the target to a relay of its
// zone, renews the lease, and switches to another relay if one does not answer.
//
//   announcer lease(settings, seed, now);
//   lease.SetRelays(contacts, now);      // relays of the zone, or control VMs
//   for (auto& send : lease.OnTick(now)) ...;          // at next_wake()
//   lease.OnAnswer(relay, answer, now);
//   if (lease.Holds(now)) ...;           // by this VM's clock
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
  duration renew_interval = std::chrono::seconds(3);         // after an answer
  duration retry_interval = std::chrono::milliseconds(500);  // without one
  std::uint32_t max_tries = 4;  // unanswered, before the next relay is tried
};

// Used by a target daemon for the lease of its one target. Intervals are
// randomized by a quarter in either direction.
class announcer {
 public:
  // A renewal to be sent to a relay.
  struct send {
    relay_contact relay;
    lease_renewal message;
  };

  announcer(const announcer_settings& settings, std::uint64_t seed,
            time_point now);

  // Replaces the relays that may be used, the preferred one first. Stays with
  // the current relay if it is among them and the preferred one has not
  // changed; otherwise announces to the preferred one at once.
  void SetRelays(const std::vector<relay_contact>& relays, time_point now);

  // Returns the renewal that is due, if any.
  std::vector<send> OnTick(time_point now);
  // Never, while there are no relays.
  time_point next_wake() const;

  // Takes an answer. Ignores answers of other relays than the current one and
  // those to an earlier renewal.
  void OnAnswer(const std::string& relay, const lease_answer& answer,
                time_point now);

  // The target accepts no new work from now on. Announced at once and never
  // withdrawn.
  void Drain(time_point now);

  // Whether the lease is still valid. Counted from the time at which the
  // renewal was sent, so that it ends here before it ends at the relay.
  bool Holds(time_point now) const { return lease_end_ && now < *lease_end_; }
  std::optional<time_point> lease_end() const { return lease_end_; }

  // Code and detail of the last answer; kOk unless it refused the lease.
  const failure& refusal() const { return refusal_; }
  const target_announcement& target() const { return settings_.target; }

 private:
  duration WithJitter(duration nominal);

  announcer_settings settings_;
  random_source random_;
  std::vector<relay_contact> relays_;
  std::size_t current_relay_ = 0;  // index into relays_, if there are any
  std::uint64_t number_ = 0;       // of the last renewal
  time_point sent_at_;             // of the last renewal
  std::uint32_t unanswered_count_ = 0;
  time_point next_send_;
  std::optional<time_point> lease_end_;
  failure refusal_;
};

}  // namespace tamaracklatch
