// The decisions of a target daemon that sees every segment of its target in
// both directions: which flows are the target's own, which openings it takes,
// where other segments go.
//
//   segment_owner owner(settings, &codec, now);
//   owner.OnSteered(header, segment, now, &actions);      // from the fabric
//   owner.OnTargetSegment(segment, now, &actions);        // from the target
//   owner.SetTarget(status, now);                         // heartbeats
//   owner.UpdateTarget(entry);                            // of the roster
//   owner.Tick(now, &actions);
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tamaracklatch/core/event.h"
#include "tamaracklatch/roster/node_record.h"
#include "tamaracklatch/steering/segment.h"
#include "tamaracklatch/steering/steering_counters.h"
#include "tamaracklatch/steering/steering_header.h"

namespace tamaracklatch {

class delivery_memory;
class owned_flows;
class recent_flows;
class target_directory;
struct owned_flow;

struct segment_owner_settings {
  endpoint self;
  std::uint64_t generation = 0;  // of the own record
  std::string service;
  zone_name zone;
  std::size_t max_flows = 8192;
  // A flow older than this, or idle for this long, is forgotten.
  duration max_flow_age = std::chrono::seconds(60);
};

// What the target said of itself last.
struct target_status {
  target_condition condition = target_condition::kUnreported;
  std::uint32_t slots = 1;
  std::uint32_t max_connections = 0;  // 0: not known
  time_point cold_until;
  std::uint64_t target_start = 0;  // as in node_record
  // This daemon ran before the target started: it saw all of its flows.
  bool saw_target_start = false;
};

// Hand the bytes to the target.
struct deliver_segment {
  std::string bytes;
};

// Send the segment on to another target daemon.
struct pass_segment {
  endpoint to;
  steering_header header;
  std::string bytes;
};

// Send the target's bytes to the caller of the key, unchanged; or a reset of
// the own.
struct answer_caller {
  flow_key key;
  std::string bytes;
};

// Tell the balancer.
struct tell_balancer {
  endpoint to;
  steering_header header;  // kOwner, kUnknown or kRefused
};

struct discard_segment {
  result_code why = result_code::kOk;
};

using segment_action =
    std::variant<deliver_segment, pass_segment, answer_caller, tell_balancer,
                 discard_segment>;

class segment_owner {
 public:
  // `codec` and `listener` outlive the owner.
  segment_owner(const segment_owner_settings& settings,
                const segment_codec* codec, time_point now,
                event_listener* listener = nullptr);
  ~segment_owner();

  void OnSteered(const steering_header& header, const segment& what,
                 time_point now, std::vector<segment_action>* actions);
  void OnTargetSegment(const segment& what, time_point now,
                       std::vector<segment_action>* actions);

  // The roster has raised the generation of the own record.
  void SetGeneration(std::uint64_t generation);
  void SetTarget(const target_status& status, time_point now);
  void UpdateTarget(const roster_entry& entry, time_point now);
  // The bound of the document set in force; 0: none.
  void SetIdleTimeout(duration limit) { idle_timeout_ = limit; }
  // Whether the own roster was heard from a hub within the bound after which
  // a target that joined must be known. Without it no search ends in a reset.
  void SetConfirmed(bool confirmed) { confirmed_ = confirmed; }

  void Tick(time_point now, std::vector<segment_action>* actions);

  // For the own record, in 1/256 of a slot, smoothed.
  std::uint32_t load() const;
  // Flows that are open or may become so.
  std::size_t flow_count() const;
  const segment_owner_counters& counters() const { return counters_; }

 private:
  using actions = std::vector<segment_action>;

  void OnOpening(const steering_header& header, const segment& what,
                 time_point now, actions* out);
  void JudgeClaim(const steering_header& header, const segment& what,
                  owned_flow* flow, time_point now);
  void OnReturned(const segment& what, time_point now, actions* out);
  void PassOpening(steering_header header, const segment& what, result_code why,
                   bool is_sure, time_point now, actions* out);
  bool PassWhileBusy(const steering_header& header, const segment& what,
                     time_point now, actions* out);
  void Search(steering_header header, const segment& what, bool is_sure,
              time_point now, actions* out);
  void EndSearch(const steering_header& header, const segment& what,
                 result_code why, time_point now, actions* out);
  bool IsNowhereOpen(const steering_header& header) const;
  bool Visit(steering_header* header, bool is_sure, time_point now);
  std::uint32_t LeastLoaded(const steering_header& header);
  result_code WhyNot(time_point now) const;

  void Deliver(const steering_header& header, const segment& what,
               owned_flow* flow, time_point now, actions* out);
  void Pass(std::uint32_t target, const steering_header& header,
            const segment& what, actions* out);
  void TellOwner(const steering_header& header, owned_flow* flow, actions* out);
  void TellNotHere(steering_kind kind, const steering_header& header,
                   actions* out);
  void Reset(const segment& what, result_code why, actions* out);
  void Discard(result_code why, actions* out);
  void Forget(const owned_flow& flow, result_code why);
  bool IsBlind(time_point now) const { return now < blind_until_; }
  void Tell(event_id id, std::uint64_t flow, const flow_key& key,
            result_code code, const std::string& peer,
            std::string_view detail) const;

  segment_owner_settings settings_;
  const segment_codec* codec_;
  event_listener* listener_;
  std::uint32_t service_;  // ServiceTag
  std::uint32_t node_;     // NodeTag of this start
  target_status status_;
  std::uint64_t target_start_ = 0;  // the last that was told, or 0
  time_point target_told_;          // when the target was reported last
  time_point started_;
  // Until then other nodes may still hear that no target is here.
  time_point absent_until_;
  // Until then the target may hold flows that are unknown here.
  time_point blind_until_;
  duration idle_timeout_{0};
  bool confirmed_ = false;
  std::unique_ptr<target_directory> targets_;
  std::unique_ptr<owned_flows> flows_;
  std::unique_ptr<delivery_memory> deliveries_;
  std::unique_ptr<recent_flows> searched_;  // told of
  std::unique_ptr<recent_flows> ended_;     // searches that ended, told of
  // Flows whose opening was passed on and may be refused by another: no copy
  // of it is taken here.
  std::unique_ptr<recent_flows> passed_;
  time_point swept_;
  std::vector<std::uint32_t> ranked_;  // scratch
  segment_owner_counters counters_;
};

}  // namespace tamaracklatch
