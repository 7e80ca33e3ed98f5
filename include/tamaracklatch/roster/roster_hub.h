// The roster at a control VM: receives the announcements of all nodes, sends
// each node the changes since the position that it acknowledged, sends the
// placement rules, and serves the document set, whole or as a delta, in parts.
// The state is soft: a hub that restarts rebuilds it from the announcements.
//
//   roster_hub hub(settings, instance, now);
//   for (auto& send : hub.OnMessage(from, bytes, now)) Send(send);
//   for (auto& send : hub.OnTick(now)) Send(send);  // at next_wake()
//   hub.SetPlacementRules(rules, now);              // applied from the log
//   hub.SetDocuments(version, bytes, true, now);    // the same
//   hub.OnQuorumConfirmed(version, rules_revision, queried_at);
//
// An announcement counts only if it returns a stamp that this hub issued
// recently, so an announcement that was delayed in the network, or queued while
// the hub was suspended, does not make a node alive again. A hub that was
// suspended for longer than `silence_timeout` discards its state, as after a
// restart.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/control/placement_rules.h"
#include "tamaracklatch/core/event.h"
#include "tamaracklatch/roster/node_record.h"
#include "tamaracklatch/roster/roster_member.h"
#include "tamaracklatch/roster/roster_message_kind.h"

namespace tamaracklatch {

class set_history;

// Settings of a roster_hub.
struct roster_hub_settings {
  // A node that has not announced itself for this long is silent. With many
  // nodes, which announce less often, the timeout is longer: 4.4 intervals.
  duration silence_timeout = std::chrono::milliseconds(1100);
  // A gone or silent node is evicted this long after the silence timeout; at
  // least twice that timeout.
  duration retention = std::chrono::seconds(60);
  // Minimum time between two published changes of a node that differ only in
  // load and cold time; longer with many nodes.
  duration load_interval = std::chrono::milliseconds(500);
  // Minimum time from a change until it is pushed, so that changes close
  // together are sent in one push; longer with many nodes.
  duration push_delay = std::chrono::milliseconds(10);
  // Time after a start in which nodes may announce themselves; until it has
  // passed, members do not take a missing node as silent.
  duration settling_time = std::chrono::milliseconds(550);
  // Announcements of further nodes are answered, but not stored.
  std::size_t max_nodes = 200000;
};

// Collects announcements and distributes the roster; runs at each control VM.
// Not thread-safe.
class roster_hub {
 public:
  using sends = std::vector<roster_send>;

  // `instance` is drawn at random at each start and not 0, so that positions
  // issued by an earlier start are recognized as invalid. `listener` receives
  // the hub's events; it may be null.
  roster_hub(const roster_hub_settings& settings, std::uint64_t instance,
             time_point now, event_listener* listener = nullptr);
  ~roster_hub();
  roster_hub(roster_hub&&) noexcept;
  roster_hub& operator=(roster_hub&&) noexcept;

  // To be called at next_wake(): expires nodes and pushes changes. The caller
  // sends the datagrams returned.
  sends OnTick(time_point now);
  time_point next_wake() const;
  // To be called for each datagram for a hub. The caller sends the datagrams
  // returned.
  sends OnMessage(const endpoint& from, std::string_view bytes, time_point now);

  // Sets the newest placement rules that the log applied; revisions not above
  // the held one are ignored. Rules that the log changed before a set are to be
  // set before it, so that no member uses the set without them.
  void SetPlacementRules(const placement_rules& rules, time_point now);

  // Sets the newest document set that the log applied, as EncodeDocumentSet
  // wrote it. Versions not above the held one are ignored. `is_next`: the log
  // accepted no set between the held one and this one.
  void SetDocuments(std::uint64_t version, std::string bytes, bool is_next,
                    time_point now);

  // The quorum, queried at `queried_at`, confirmed that this VM has applied all
  // sets and placement rules accepted before that time; the newest are
  // `version` and `rules_revision`. Ignored if not later than the last one.
  void OnQuorumConfirmed(std::uint64_t version, std::uint64_t rules_revision,
                         time_point queried_at);

  // Nodes by endpoint, with their liveness at this hub.
  const std::map<endpoint, roster_entry>& entries() const { return entries_; }

  // Number of datagrams that could not be decoded.
  std::uint64_t malformed() const { return malformed_; }

  // Time from a change at this hub until a node acknowledged it, measured for
  // the newest change that each announcement acknowledges.
  const span_histogram& propagation_times() const { return propagation_times_; }

 private:
  // The state of a node besides its entry.
  struct peer {
    roster_entry* entry = nullptr;
    std::uint64_t position = 0;      // of the last published change
    std::uint64_t last_number = 0;   // of the newest announcement
    time_point announced_at;         // when that arrived
    time_point announced_active;     // the same, in active time
    std::uint64_t acknowledged = 0;  // position up to which the node is current
    // Highest generation that some member reported in a conflict.
    std::uint64_t reported_generation = 0;
    std::uint64_t rules_revision = 0;  // that the node announced
    std::uint64_t published_sequence = 0;
    std::uint32_t published_load = 0;  // in 1/256 of a slot
    time_point published_at;
    bool is_overdue = false;  // on overdue_, else on announcing_
    std::list<peer*>::iterator list_place;
  };

  // The entries of one update: changes up to position `to`.
  struct chunk {
    std::uint64_t to = 0;
    std::string entries;
  };
  // By the position after which the first chunk starts.
  using chunk_cache = std::map<std::uint64_t, std::vector<chunk>>;

  struct confirmation {
    std::uint64_t version = 0;
    std::uint64_t rules_revision = 0;
    time_point queried_at;
  };

  void DetectStall(time_point now);
  void ResetState(time_point now);
  void Expire(time_point now);
  void AdjustInterval(time_point now);
  duration silence_timeout() const;
  duration retention() const;
  time_point ActiveTime(time_point now) const { return now - total_stall_; }
  duration load_interval() const;
  void OnAnnounce(const endpoint& from, std::string_view bytes, time_point now,
                  sends* out);
  void OnFetch(const endpoint& from, std::string_view bytes, sends* out);
  bool IsFresh(std::uint64_t instance, std::uint64_t stamp, duration age,
               time_point now) const;
  peer* AddPeer(const node_record& record, time_point now);
  void ApplyRecord(peer* node, const node_record& record, time_point now);
  void SetLiveness(peer* node, node_liveness liveness, time_point now);
  void RecordPropagation(std::uint64_t position, time_point now);
  void RecordAnnouncement(peer* node, time_point now);
  void PublishChange(peer* node, bool urgent, time_point now);
  void SchedulePush(time_point now);
  void Push(time_point now, sends* out);
  void SendRules(const endpoint& to, std::uint64_t held, sends* out) const;
  const std::vector<chunk>& ChunksAfter(std::uint64_t from,
                                        std::size_t max_datagrams,
                                        time_point now,
                                        chunk_cache* cache) const;
  void SendUpdate(const endpoint& to, std::uint64_t from, std::uint64_t echo,
                  duration echo_age, std::uint64_t superseding_generation,
                  std::size_t max_datagrams, time_point now, chunk_cache* cache,
                  sends* out) const;
  void Report(event_id id, const node_record& record) const;

  roster_hub_settings settings_;
  event_listener* listener_;
  std::uint64_t instance_;
  time_point started_;     // or when the state was last reset
  time_point last_call_;   // of OnTick or OnMessage
  time_point next_check_;  // for silent nodes
  // Total time by which calls came late. A hub that did not run cannot receive
  // announcements, so this time does not count towards a node's silence: active
  // time is the time less this.
  duration total_stall_{0};
  duration interval_;  // at which nodes are asked to announce
  // The longest interval at which some nodes may still announce.
  duration longest_interval_;
  time_point longest_interval_until_;  // after this it follows interval_
  std::uint64_t position_ = 0;         // of the newest change
  std::uint64_t evicted_ = 0;          // highest position of an evicted entry
  std::size_t alive_ = 0;              // nodes
  std::optional<time_point> push_at_;
  std::unique_ptr<set_history> documents_;
  std::uint64_t rules_revision_ = 0;
  std::string rules_message_;       // the rules, as sent; empty at revision 0
  bool is_rules_push_due_ = false;  // with the next push
  std::optional<confirmation> confirmed_;
  std::uint64_t malformed_ = 0;
  span_histogram propagation_times_;
  std::map<endpoint, roster_entry> entries_;
  std::map<endpoint, peer> peers_;  // the same keys as entries_
  std::map<std::uint64_t, peer*> by_position_;
  std::list<peer*> announcing_;  // least recently announced first
  std::list<peer*> overdue_;     // past the silence timeout; longest first
};

}  // namespace tamaracklatch
