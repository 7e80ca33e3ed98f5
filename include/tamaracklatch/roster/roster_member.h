// The roster at a node; runs in every process. It announces this node's record
// to all known control VMs, merges what these hubs report about all other
// nodes, receives the newest placement rules, and fetches the newest document
// set. While no hub responds, the last state stays.
//
//   roster_member member(settings, local_record, now);
//   for (auto& action : member.OnTick(now)) Perform(action);  // at next_wake()
//   for (auto& action : member.OnMessage(from, bytes, now)) Perform(action);
//   for (auto& action : member.SetLocalRecord(record, now)) Perform(action);
//
// A node is alive if some synchronized hub receives its announcements, silent
// if none does. A hub is synchronized from when it has sent all changes up to
// its newest position until it stops responding.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "tamaracklatch/control/document_set.h"
#include "tamaracklatch/control/placement_rules.h"
#include "tamaracklatch/control/set_delta.h"
#include "tamaracklatch/core/event.h"
#include "tamaracklatch/core/fixed_histogram.h"
#include "tamaracklatch/roster/node_record.h"

namespace tamaracklatch {

class set_fetcher;
struct roster_update;
struct update_entry;

// Settings of a roster_member.
struct roster_member_settings {
  std::vector<endpoint> seeds;  // control VMs known from the configuration
  bool wants_set = false;       // whether to fetch document sets
  // Interval of announcements to a hub; a hub may request a longer one.
  duration announce_interval = std::chrono::milliseconds(250);
  // A hub that has not responded for this long, or for six of its announcement
  // intervals if that is longer, is lost: its reports no longer count.
  duration hub_timeout = std::chrono::milliseconds(1500);
  // A gone or silent node is evicted after this long; at least twice the
  // longest timeout of a hub.
  duration retention = std::chrono::seconds(90);
  // A confirmation older than this counts as lost; the next one is reported as
  // an event.
  duration confirmation_timeout = std::chrono::seconds(3);
};

// Send the bytes as one datagram.
struct roster_send {
  endpoint to;
  std::string bytes;
};

// The entry is new or changed; or was evicted, with liveness kGone.
struct roster_changed {
  roster_entry entry;
};

// Placement rules of a higher revision arrived.
struct rules_received {
  placement_rules rules;
};

// A higher document set has been fetched, and no hub that responds has newer
// placement rules than those received before.
struct set_received {
  document_set set;
  set_succession succession;  // from the set received before
};

// The highest version of an accepted document set that a hub reported. The
// control quorum confirmed that none above it had been accepted at `as_of`.
struct newest_set {
  std::uint64_t version = 0;  // 0: none
  time_point as_of;
};

// Record the event.
struct roster_report {
  event reported;
};

// What the process must do after a call of a roster_member, in the order given.
using roster_action = std::variant<roster_send, roster_changed, rules_received,
                                   set_received, roster_report>;

// Counted by a member, for /metrics.
struct roster_member_counters {
  std::uint64_t malformed = 0;  // datagrams that could not be decoded
  // Time from an urgent change of the local record until the first hub
  // acknowledges it.
  span_histogram announce_times;
  // Time from the first report of a newer set until it is applied.
  span_histogram fetch_times;
};

// Announces this node and tracks all others; used by every daemon. Not
// thread-safe. Invariants: neither the version of the set nor the revision of
// the placement rules ever decreases; only the newest record of an endpoint is
// kept.
class roster_member {
 public:
  using actions = std::vector<roster_action>;

  roster_member(const roster_member_settings& settings,
                const node_record& record, time_point now);
  ~roster_member();
  roster_member(roster_member&&) noexcept;
  roster_member& operator=(roster_member&&) noexcept;

  // To be called at next_wake(): announces, detects lost hubs, evicts nodes and
  // repeats requests for parts of a set.
  actions OnTick(time_point now);
  time_point next_wake() const;
  // To be called for each datagram for a member. Updates and parts from
  // endpoints that are no known control VM are ignored.
  actions OnMessage(const endpoint& from, std::string_view bytes,
                    time_point now);

  // Replaces the local record; the member maintains sequence and generation,
  // and `leaving` stays set once it was. A change of condition, service,
  // leaving, target_start, may_have_target or outdated_set is announced at
  // once, others with the next announcement.
  actions SetLocalRecord(const node_record& record, time_point now);
  const node_record& local_record() const { return local_record_; }

  // Adds seeds, as after a change of the configuration; none is removed.
  void AddSeeds(const std::vector<endpoint>& seeds);

  // Nodes by endpoint, with their liveness at this member.
  const std::map<endpoint, roster_entry>& entries() const { return entries_; }

  // The newest set applied; version 0 before the first.
  const document_set& set() const { return set_; }

  // The newest placement rules received; revision 0 before the first.
  const placement_rules& rules() const { return rules_; }

  // The latest time at which, as confirmed by the control quorum through a hub,
  // neither a set above set().version nor rules above rules().revision had been
  // accepted; empty before the first confirmation.
  std::optional<time_point> confirmed() const { return confirmed_; }

  // Of all hubs, also where `wants_set` is false.
  const newest_set& newest_accepted_set() const { return newest_set_; }

  // Whether some hub responds and has sent its whole roster, and a settled one
  // did so within the retention time.
  bool IsSynchronized(time_point now) const;

  // Number of hubs that respond and have sent their whole roster.
  std::size_t synchronized_hubs(time_point now) const;
  const roster_member_counters& counters() const { return counters_; }

 private:
  // A set of hubs as bits; further hubs, for which no bit is left, are not
  // used.
  using hub_mask = std::uint64_t;

  // No set above `version` and no rules above `rules_revision` had been
  // accepted when the quorum was queried.
  struct confirmation {
    std::uint64_t version = 0;
    std::uint64_t rules_revision = 0;
    time_point queried_at;
  };

  // The state of one control VM to which announcements are sent.
  struct hub_link {
    endpoint where;
    hub_mask bit = 0;
    bool is_seed = false;

    // From its latest update.
    std::uint64_t instance = 0;  // 0: no update yet
    std::uint64_t position = 0;  // up to which its changes are applied
    // Its newest position when the member started to synchronize with it.
    std::uint64_t initial_newest = 0;
    std::uint64_t stamp = 0;  // newest; time of its clock in microseconds
    time_point stamp_received;
    duration interval{0};  // between announcements to it
    std::uint64_t set_version = 0;
    std::uint64_t set_size = 0;  // bytes
    std::uint64_t set_hash = 0;
    std::uint64_t rules_revision = 0;  // of its placement rules
    std::optional<confirmation> confirmed;
    // It has run long enough to receive announcements of all nodes.
    bool settled = false;

    bool responds = false;  // an update arrived within its timeout
    // It has sent all changes up to its newest position since it was last lost.
    bool is_synchronized = false;
    time_point last_ran;         // latest time at which it is known to have run
    time_point last_ran_active;  // the same, in active time

    // Announcements.
    static constexpr std::size_t kSentHistory = 32;
    std::array<time_point, kSentHistory> sent{};  // by number, modulo
    std::uint64_t first_number = 0;    // lowest one sent by this start
    std::uint64_t number = 0;          // of the last one sent
    std::uint64_t highest_echo = 0;    // highest number that it returned
    std::uint64_t urgent_number = 0;   // first with the newest urgent change
    std::uint32_t urgent_repeats = 0;  // of that change, still to send
    std::uint32_t unanswered = 0;      // announcements since its last update
    time_point last_sent;
    time_point next;  // announcement
  };

  // Which hubs report the start in an entry as alive, and which do not.
  struct liveness_reports {
    hub_mask alive = 0;
    hub_mask silent = 0;
  };

  void DetectStall(time_point now);
  void AddLink(const endpoint& where, bool is_seed, time_point now);
  void DropLink(const endpoint& where, time_point now, actions* out);
  void UpdateLinks(time_point now, actions* out);
  void DiscardHubState(hub_link* link, time_point now, actions* out);
  duration HubTimeout(const hub_link& link) const;
  duration Retention() const;
  time_point ActiveTime(time_point now) const { return now - total_stall_; }
  duration AnnounceDelay(const hub_link& link) const;
  void Announce(hub_link* link, time_point now, actions* out);
  void AnnounceSoon(hub_link* link, time_point now, actions* out);
  void AnnounceDue(time_point now, actions* out);
  void CheckHubTimeouts(time_point now, actions* out);
  void OnUpdate(hub_link* link, const roster_update& update, time_point now,
                actions* out);
  void OnPart(const endpoint& from, std::string_view bytes, time_point now,
              actions* out);
  void OnRules(const endpoint& from, std::string_view bytes, actions* out);
  const document_set& fetched_set() const {
    return withheld_set_ ? *withheld_set_ : set_;
  }
  void Withhold(document_set set, set_succession succession);
  void ReleaseSet(time_point now, actions* out);
  void ApplyConfirmations(time_point now, actions* out);
  bool ApplyEntries(hub_link* link, const roster_update& update, time_point now,
                    actions* out);
  void ApplyEntry(hub_link* link, const update_entry& update, time_point now,
                  actions* out);
  void BeginStart(roster_entry* entry, const update_entry& update,
                  time_point now, actions* out);
  void RaiseGeneration(std::uint64_t held, time_point now, actions* out);
  void SetSynchronized(hub_link* link, bool is_synchronized);
  void ReevaluateLiveness(time_point now, actions* out);
  node_liveness EvaluateLiveness(const roster_entry& entry,
                                 const liveness_reports& reports) const;
  bool SetLiveness(roster_entry* entry, node_liveness liveness, time_point now,
                   actions* out);
  void EvictExpired(time_point now, actions* out);
  void ApplyConfirmation(const hub_link& link, time_point now, actions* out);
  void FetchNewestSet(time_point now, actions* out);
  void Report(event_id id, const node_record& record, const std::string& detail,
              actions* out) const;

  roster_member_settings settings_;
  node_record local_record_;
  time_point local_record_made_;  // cold_remaining counts from here
  std::map<endpoint, roster_entry> entries_;
  // The same keys as entries_.
  std::map<endpoint, liveness_reports> liveness_reports_;
  std::map<endpoint, hub_link> links_;
  hub_mask used_bits_ = 0;
  hub_mask synchronized_ = 0;  // hubs whose reports count
  // Of these, the hubs that have run long enough to receive announcements of
  // all nodes.
  hub_mask settled_ = 0;
  // When a settled, synchronized hub last sent an update.
  std::optional<time_point> settled_update_;
  // The hubs whose reports count have changed since the last evaluation.
  bool needs_reevaluation_ = false;
  bool controls_changed_ = false;  // UpdateLinks() is due
  // Hubs that report an earlier start of an endpoint as alive than the one in
  // its entry.
  std::map<endpoint, hub_mask> conflicts_;
  // Entries that became silent or gone, with the time of their eviction.
  std::deque<std::pair<time_point, endpoint>> pending_evictions_;
  time_point last_call_;  // of OnTick or OnMessage
  // Total time by which calls came late. A member that did not run cannot
  // receive updates, so this time does not count towards a hub's timeout:
  // active time is the time less this.
  duration total_stall_{0};
  placement_rules rules_;
  document_set set_;
  // A set above set_, fetched but not reported, as some responding hub has
  // newer rules than rules_.
  std::optional<document_set> withheld_set_;
  set_succession succession_;  // from set_ to withheld_set_
  std::optional<time_point> confirmed_;
  newest_set newest_set_;
  std::unique_ptr<set_fetcher> fetcher_;
  // When the local record changed in a way that no hub has acknowledged yet;
  // empty if all changes are acknowledged.
  std::optional<time_point> unacknowledged_since_;
  // When a hub first reported a set newer than the one held; empty if none did.
  std::optional<time_point> newer_set_since_;
  roster_member_counters counters_;
};

}  // namespace tamaracklatch
