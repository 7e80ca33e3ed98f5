// The roster at a control VM: hears the announcements of all nodes, tells each
// what changed since what it knows, and gives out the document set in parts.
// Soft state: a hub that starts is told again by the announcements.
//
//   roster_hub hub(settings, seed, now);
//   for (auto& send : hub.OnMessage(from, bytes, now)) Send(send);
//   for (auto& send : hub.OnTick(now)) Send(send);             // at
//   next_wake() hub.SetDocuments(version, bytes);      // applied from the log
//   hub.OnQuorumConfirmed(version, asked);  // no higher one was accepted
//   before
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/core/event.h"
#include "tamaracklatch/roster/node_record.h"
#include "tamaracklatch/roster/roster_member.h"

namespace tamaracklatch {

struct roster_hub_settings {
  // A node that has not announced itself for this long is silent.
  duration silence = std::chrono::milliseconds(1100);
  // A node that is gone or silent is forgotten after this long.
  duration memory = std::chrono::seconds(60);
  // Changes of a node's load alone are told no more often than this.
  duration load_interval = std::chrono::milliseconds(500);
  // Collects changes that come together before they are pushed.
  duration push_delay = std::chrono::milliseconds(10);
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

 private:
  std::map<endpoint, roster_entry> entries_;
};

}  // namespace tamaracklatch
