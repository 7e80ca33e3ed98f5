// The decision logic of a target daemon, which handles every segment of its
// target in both directions: it tracks the flows that the target owns, decides
// which openings the target accepts, and passes other segments to the daemons
// of possible owners. It does no I/O: each call appends actions, which the
// daemon performs in their order.
//
//   segment_owner owner(settings, &codec, now);
//   owner.OnSteered(header, segment, now, &actions);  // from another node
//   owner.OnTargetSegment(segment, now, &actions);    // from the target
//   owner.SetTargetStatus(status, now);               // each change
//   owner.UpdateTarget(entry, now);                   // each roster change
//   owner.Tick(now, &actions);                        // several times a second
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tamaracklatch/control/placement_rules.h"
#include "tamaracklatch/core/event.h"
#include "tamaracklatch/roster/node_record.h"
#include "tamaracklatch/steering/segment.h"
#include "tamaracklatch/steering/steering_counters.h"
#include "tamaracklatch/steering/steering_header.h"

namespace tamaracklatch {

class cold_admission;
class delivery_cache;
class outdated_openings;
class owned_flows;
class owner_registry;
class passed_openings;
class recent_flows;
class search_collector;
class target_directory;
struct owned_flow;

struct segment_owner_settings {
  endpoint self;                 // this daemon's endpoint in the roster
  std::uint64_t generation = 0;  // of this daemon's node record
  std::string service;
  zone_name zone;
  // Open flows, above which openings are passed on. The flow table has room for
  // twice as many, including flows that were dropped or ended.
  std::size_t max_flows = 8192;
  // A flow that is older than this and briefly idle, or idle for this long, is
  // removed from the flow table.
  duration max_flow_age = std::chrono::seconds(60);
};

// The last reported status of the target. Set by the daemon with each report,
// when reports stop, and with each change of the load.
struct target_status {
  target_condition condition = target_condition::kUnreported;
  std::uint32_t slots = 1;            // requests that it runs at a time
  std::uint32_t max_connections = 0;  // 0: no limit reported
  time_point cold_until;              // it runs slowly until then
  std::uint64_t target_start = 0;     // as in node_record
  // This daemon was running when the target started, so the flow table has all
  // flows of the target.
  bool saw_target_start = false;
  // When the target last reported; only a report of the target changes it. A
  // report that may have waited to be read does not count.
  time_point reported_at;
};

// Deliver the bytes to the target.
struct deliver_segment {
  std::string bytes;
};

// Send the segment, preceded by the header, to another target daemon.
struct pass_segment {
  endpoint to;
  steering_header header;
  std::string bytes;
};

// Send the bytes to the caller of the key: a segment from the target,
// unchanged, or a reset built by the codec.
struct answer_caller {
  flow_key key;
  std::string bytes;
};

// Send the header alone: a hint to a balancer, or a registration to another
// target daemon.
struct send_notice {
  endpoint to;
  steering_header header;  // of any kind but kSegment
};

// Drop the segment and count the reason.
struct discard_segment {
  result_code reason = result_code::kOk;
};

using segment_action =
    std::variant<deliver_segment, pass_segment, answer_caller, send_notice,
                 discard_segment>;

// Tracks the flows of one target. Used by the target daemon from one thread.
class segment_owner {
 public:
  // `codec` and `listener` must outlive the owner; `listener` may be null.
  // `now` is the start of the daemon.
  segment_owner(const segment_owner_settings& settings,
                const segment_codec* codec, time_point now,
                event_listener* listener = nullptr);
  ~segment_owner();

  // A segment received from a balancer or another target daemon.
  void OnSteered(const steering_header& header, const segment& received,
                 time_point now, std::vector<segment_action>* actions);
  // A header alone, received from another target daemon: kRegistration or
  // kPartEnded; others are ignored.
  void OnNotice(const steering_header& header, time_point now,
                std::vector<segment_action>* actions);
  // A segment received from the target: its answer, or a returned delivery.
  void OnTargetSegment(const segment& received, time_point now,
                       std::vector<segment_action>* actions);

  // The generation of this daemon's record, which the roster may raise.
  void SetGeneration(std::uint64_t generation);
  // The target's status, with each change. A new `target_start` marks the flows
  // of the earlier start as suspect.
  void SetTargetStatus(const target_status& status, time_point now);
  // Nothing listened at the target's address after this daemon had begun to
  // receive its segments, so a target that starts later has no flows that the
  // daemon does not know.
  void OnNoListener() { found_no_listener_ = true; }
  // A roster entry that was added or has changed; other roles are ignored.
  void UpdateTarget(const roster_entry& entry, time_point now);
  // Replaces the placement rules, unless their revision is not higher. While
  // they list this daemon's zone, no opening is delivered to the target; while
  // the target is cold, no more of them than the limit of its service.
  void SetPlacementRules(const placement_rules& rules);
  // The idle timeout in the current document set; 0: none.
  void SetIdleTimeout(duration limit) { idle_timeout_ = limit; }
  // Whether a hub updated this node's roster within the time in which a joined
  // target must be known to all nodes. Without it no search ends with a reset.
  void SetRosterConfirmed(bool confirmed) { roster_confirmed_ = confirmed; }

  // A document set of that version had been accepted, and none above it at
  // `as_of`.
  void SetAcceptedSet(std::uint64_t version, time_point as_of);

  // Updates the load, removes expired flows and appends the registrations that
  // are due. Call several times a second.
  void Tick(time_point now, std::vector<segment_action>* actions);

  // The smoothed load of the target in 1/256 of a slot, for its node record.
  std::uint32_t load() const;
  // Estimated service time of the target, for its node record; changes by less
  // than an eighth are left out.
  std::uint32_t service_time() const;
  // For its node record, as node_record::outdated_set. To be announced at once,
  // so that it reaches the balancers before a search for such a flow can end.
  std::uint64_t OutdatedSet(time_point now);
  // Flows that are pending or claimed.
  std::size_t flow_count() const;
  const segment_owner_counters& counters() const { return counters_; }

 private:
  using actions = std::vector<segment_action>;

  void OnOpening(const steering_header& header, const segment& received,
                 time_point now, actions* out);
  void EvaluateClaim(const steering_header& header, const segment& received,
                     owned_flow* flow, time_point now);
  void OnReturned(const segment& received, time_point now, actions* out);
  void PassOpening(steering_header header, const segment& received,
                   result_code reason, bool is_sure, time_point now,
                   actions* out);
  bool PassIfOverloaded(const steering_header& header, const segment& received,
                        time_point now, actions* out);
  void Search(steering_header header, const segment& received, bool is_sure,
              time_point now, actions* out);
  void EndSearch(const steering_header& header, const segment& received,
                 result_code reason, time_point now, actions* out);
  bool IsConfirmedUnowned(const steering_header& header) const;
  std::uint32_t FindRegisteredOwner(const steering_header& header,
                                    time_point now) const;
  void RegisterNewFlow(owned_flow* flow, time_point now, actions* out);
  void RegisterFlow(owned_flow* flow, time_point now, actions* out);
  void RegisterDueFlows(time_point now, actions* out);
  bool BeginParts(const steering_header& header, const segment& received,
                  time_point now, actions* out);
  void ContinuePart(steering_header header, const segment& received,
                    bool is_sure, time_point now, actions* out);
  void OnPartEnded(const steering_header& outcome, time_point now,
                   actions* out);
  bool RecordVisit(steering_header* header, bool is_sure, time_point now);
  std::uint32_t ChooseLeastLoaded(const steering_header& header);
  bool IsEvacuated() const;
  bool IsAtColdLimit(time_point now) const;
  result_code CheckAdmission(time_point now) const;

  void Deliver(const steering_header& header, const segment& received,
               owned_flow* flow, time_point now, actions* out);
  void Pass(std::uint32_t target, const steering_header& header,
            const segment& received, actions* out);
  // Whether the flow's target is the one that reported last or an earlier one.
  bool HasReportedSince(const owned_flow& flow) const;
  void SendOwnerHint(const steering_header& header, owned_flow* flow,
                     actions* out);
  void SendNotOwnerHint(steering_kind kind, const steering_header& header,
                        actions* out);
  void Reset(const segment& received, result_code reason, actions* out);
  void Discard(result_code reason, actions* out);
  void RemoveFlow(const owned_flow& flow, result_code reason);
  bool IsForeignReset(const segment& received, const owned_flow* flow,
                      time_point now) const;
  bool IsFlowTableIncomplete(time_point now) const {
    return now < flow_table_incomplete_until_;
  }
  void ReportEvent(event_id id, std::uint64_t flow, const flow_key& key,
                   result_code code, const std::string& peer,
                   std::string_view detail) const;

  segment_owner_settings settings_;
  const segment_codec* codec_;
  event_listener* listener_;
  service_digest service_;  // of settings_.service
  std::uint64_t node_;      // NodeTag of this daemon's current generation
  target_status status_;
  std::uint64_t target_start_ = 0;  // the last reported start, or 0
  time_point started_;
  // Until then other nodes may still have the earlier report that this daemon
  // has no target.
  time_point absence_known_until_;
  // Until then the target may hold flows that the flow table does not have.
  time_point flow_table_incomplete_until_;
  bool found_no_listener_ = false;  // OnNoListener was called
  duration idle_timeout_{0};
  bool roster_confirmed_ = false;
  std::unique_ptr<target_directory> targets_;
  std::unique_ptr<owned_flows> flows_;
  std::unique_ptr<cold_admission> cold_admission_;
  std::unique_ptr<delivery_cache> deliveries_;
  std::unique_ptr<outdated_openings> outdated_openings_;
  std::unique_ptr<owner_registry> registry_;
  std::unique_ptr<search_collector> collector_;
  std::unique_ptr<recent_flows> reported_searches_;  // kSearchStarted
  std::unique_ptr<recent_flows> reported_endings_;   // failed searches, resets
  // Flows whose first copy of the opening was passed on and may be refused by
  // another daemon. No later copy is accepted here, since a reset for the first
  // copy could reach the caller of an open flow.
  std::unique_ptr<passed_openings> passed_openings_;
  time_point registrations_checked_;  // last RegisterDueFlows
  time_point last_sweep_;
  std::vector<std::uint32_t> ranked_;  // buffer of Rank
  segment_owner_counters counters_;
};

}  // namespace tamaracklatch
