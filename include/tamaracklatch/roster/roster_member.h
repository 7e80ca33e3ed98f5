// A node's part in the roster; it runs in every process. It announces its own
// record to all control VMs that it knows, keeps what these hubs tell of all
// others, and fetches the newest document set. No hub: the last state stays.
//
//   roster_member member(settings, own_record, now);
//   for (auto& action : member.OnTick(now)) Perform(action);   // at
//   next_wake() for (auto& action : member.OnMessage(from, bytes, now))
//   Perform(action); member.SetOwn(record, now);   // announced at once where
//   it matters
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tamaracklatch/control/document_set.h"
#include "tamaracklatch/core/event.h"
#include "tamaracklatch/roster/node_record.h"

namespace tamaracklatch {

struct roster_member_settings {
  std::vector<endpoint> seeds;  // of control VMs, as the settings give them
  bool wants_set = false;       // fetches document sets
  duration announce_interval = std::chrono::milliseconds(250);
  // A hub that has not answered for this long tells nothing any more.
  duration hub_silence = std::chrono::milliseconds(1500);
  // A node that is gone or silent is forgotten after this long.
  duration memory = std::chrono::seconds(90);
};

// Send the bytes as one datagram.
struct roster_send {
  endpoint to;
  std::string bytes;
};

// The entry is new or changed; or was forgotten, with liveness kGone.
struct roster_changed {
  roster_entry entry;
};

// A higher document set has been fetched.
struct set_received {
  document_set set;
};

struct roster_report {
  event what;
};

using roster_action =
    std::variant<roster_send, roster_changed, set_received, roster_report>;

// Invariants: the version of the set never falls; of one endpoint only the
// newest record is kept.
class roster_member {
 public:
  using actions = std::vector<roster_action>;

  roster_member(const roster_member_settings& settings, const node_record& own,
                time_point now);

  actions OnTick(time_point now);
  time_point next_wake() const;
  actions OnMessage(const endpoint& from, std::string_view bytes,
                    time_point now);

  // The own record; sequence and generation are kept by the member. A change of
  // condition, service or leaving is announced at once, others with the next
  // announcement.
  actions SetOwn(const node_record& record, time_point now);
  const node_record& own() const { return own_; }

  // Adds seeds, as after a change of the settings; none is taken away.
  void AddSeeds(const std::vector<endpoint>& seeds);

  const std::map<endpoint, roster_entry>& entries() const { return entries_; }

  // The newest set applied; version 0 before the first.
  const document_set& set() const { return set_; }

  // When the control quorum last confirmed, as a hub told, that no set above
  // set().version was accepted before; nothing if never.
  std::optional<time_point> confirmed() const { return confirmed_; }

  // Whether some hub answers, and has told its whole roster.
  bool IsInTouch(time_point now) const;

 private:
  node_record own_;
  std::map<endpoint, roster_entry> entries_;
  document_set set_;
  std::optional<time_point> confirmed_;
};

}  // namespace tamaracklatch
