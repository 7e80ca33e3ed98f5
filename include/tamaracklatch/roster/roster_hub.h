// The roster at a control VM: hears the announcements of all nodes, tells each
// what changed since what it knows, and gives out the document set, or what
// changed in it, in parts. Soft state: a hub that starts is told again by the
// announcements.
//
//   roster_hub hub(settings, seed, now);
//   for (auto& send : hub.OnMessage(from, bytes, now)) Send(send);
//   for (auto& send : hub.OnTick(now)) Send(send);  // at next_wake()
//   hub.SetDocuments(version, bytes, now);          // applied from the log
//   hub.OnQuorumConfirmed(version, asked);  // no higher one accepted before
//
// An announcement counts only if it gives back a stamp that this hub gave of
// late: one that was late in the network, or waited while the hub was stopped,
// brings nothing back. A hub that was stopped for longer than `silence` starts
// over, as after a restart.
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

#include "tamaracklatch/core/event.h"
#include "tamaracklatch/roster/node_record.h"
#include "tamaracklatch/roster/roster_member.h"
#include "tamaracklatch/roster/roster_message_kind.h"

namespace tamaracklatch {

class set_history;

struct roster_hub_settings {
  // A node that has not announced itself for this long is silent.
  duration silence = std::chrono::milliseconds(1100);
  // A node that is gone or silent is forgotten after this long.
  duration memory = std::chrono::seconds(60);
  // Changes of a node's load alone are told no more often than this.
  duration load_interval = std::chrono::milliseconds(500);
  // Collects changes that come together before they are pushed.
  duration push_delay = std::chrono::milliseconds(10);
  // After a start, nodes are given this long to announce themselves before
  // their absence means anything.
  duration settling = std::chrono::milliseconds(550);
  std::size_t max_nodes = 200000;
};

// Not safe for use by several threads.
class roster_hub {
 public:
  using sends = std::vector<roster_send>;

  // `instance` is drawn at random at each start, so that positions of an
  // earlier life mean nothing.
  roster_hub(const roster_hub_settings& settings, std::uint64_t instance,
             time_point now, event_listener* listener = nullptr);
  ~roster_hub();
  roster_hub(roster_hub&&) noexcept;
  roster_hub& operator=(roster_hub&&) noexcept;

  sends OnTick(time_point now);
  time_point next_wake() const;
  sends OnMessage(const endpoint& from, std::string_view bytes, time_point now);

  // The newest set that the log applied, as EncodeDocumentSet wrote it.
  // Versions below the held one are ignored.
  void SetDocuments(std::uint64_t version, std::string bytes, time_point now);

  // The quorum confirmed to a question asked at `asked` that this VM has
  // applied all that was accepted before.
  void OnQuorumConfirmed(std::uint64_t version, time_point asked);

  // Nodes by endpoint, with their liveness here.
  const std::map<endpoint, roster_entry>& entries() const { return entries_; }

  // Datagrams that could not be read.
  std::uint64_t malformed() const { return malformed_; }

  // From a change here until a node has said that it knows it, for the newest
  // change of each of its announcements.
  const span_histogram& in_view() const { return in_view_; }

 private:
  // What is known of a node besides its entry.
  struct peer {
    roster_entry* entry = nullptr;
    std::uint64_t position = 0;  // of the last change that is told
    std::uint64_t number = 0;    // of the newest announcement
    time_point heard;            // when that came
    time_point heard_run;        // the same, as run time
    std::uint64_t known = 0;     // position up to which the node knows
    std::uint64_t floor = 0;     // highest generation that some member holds
    std::uint64_t told_sequence = 0;
    std::uint32_t told_load = 0;
    time_point told_at;
    bool is_lost = false;  // on lost_, else on heard_
    std::list<peer*>::iterator place;
  };

  // The entries of one update.
  struct chunk {
    std::uint64_t to = 0;
    std::string entries;
  };
  using chunk_cache = std::map<std::uint64_t, std::vector<chunk>>;

  struct confirmation {
    std::uint64_t version = 0;
    time_point asked;
  };

  void Notice(time_point now);
  void StartOver(time_point now);
  void Expire(time_point now);
  void AdjustInterval(time_point now);
  duration silence() const;
  duration memory() const;
  time_point Run(time_point now) const { return now - held_up_; }
  duration load_interval() const;
  void OnAnnounce(const endpoint& from, std::string_view bytes, time_point now,
                  sends* out);
  void OnFetch(const endpoint& from, std::string_view bytes, sends* out);
  bool IsFresh(std::uint64_t instance, std::uint64_t stamp, duration age,
               time_point now) const;
  peer* AddPeer(const node_record& record, time_point now);
  void TakeRecord(peer* node, const node_record& record, time_point now);
  void SetLiveness(peer* node, node_liveness liveness, time_point now);
  void NoteInView(std::uint64_t position, time_point now);
  void MarkHeard(peer* node, time_point now);
  void Bump(peer* node, bool urgent, time_point now);
  void Push(time_point now, sends* out);
  const std::vector<chunk>& Chunks(std::uint64_t from, std::size_t most,
                                   time_point now, chunk_cache* cache) const;
  void SendUpdate(const endpoint& to, std::uint64_t from, std::uint64_t echo,
                  duration echo_age, std::uint64_t superseded, std::size_t most,
                  time_point now, chunk_cache* cache, sends* out) const;
  void Report(event_id id, const node_record& record) const;

  roster_hub_settings settings_;
  event_listener* listener_;
  std::uint64_t instance_;
  time_point started_;  // or started over
  time_point called_;   // last
  time_point tick_;     // when to look for silent nodes next
  // For how long calls came late. It does not count for anyone's silence: run
  // time is the time less this.
  duration held_up_{0};
  duration interval_;       // that nodes are asked to announce at
  duration held_interval_;  // that some may still announce at
  time_point held_until_;
  std::uint64_t position_ = 0;   // of the newest change
  std::uint64_t forgotten_ = 0;  // highest position of a forgotten entry
  std::size_t alive_ = 0;
  std::optional<time_point> push_at_;
  std::unique_ptr<set_history> documents_;
  std::optional<confirmation> confirmed_;
  std::uint64_t malformed_ = 0;
  span_histogram in_view_;
  std::map<endpoint, roster_entry> entries_;
  std::map<endpoint, peer> peers_;  // the same keys as entries_
  std::map<std::uint64_t, peer*> by_position_;
  std::list<peer*> heard_;  // the longest not heard first
  std::list<peer*> lost_;   // the longest silent first
};

}  // namespace tamaracklatch
