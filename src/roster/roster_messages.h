// The messages between roster members and hubs. Each is one datagram: a kind
// byte, then MessagePack.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/control/document_set.h"
#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/roster/node_record.h"

namespace tamaracklatch {

// The first byte of a message; from 0xa0 to 0xa7 for hubs, from 0xa8 to 0xaf
// for members.
enum class roster_kind : std::uint8_t {
  kAnnounce = 0xa0,
  kFetch = 0xa1,
  kUpdate = 0xa8,
  kPart = 0xa9,
};

inline constexpr std::size_t kMaxRosterDatagram = 1200;  // bytes
inline constexpr std::size_t kMaxEntryBytes = 1050;      // in one update
inline constexpr std::size_t kMaxSetPart = 1100;         // bytes
inline constexpr std::size_t kMaxSetBytes = kMaxEncodedSetBytes;
inline constexpr std::size_t kMaxNodeName = 128;  // of a zone or service, bytes
inline constexpr std::size_t kMaxDisputes = 8;    // in one announcement
inline constexpr std::uint64_t kMaxGeneration = std::uint64_t{1} << 62U;

// A hub tells of an earlier start, the member holds a later one.
struct roster_dispute {
  endpoint where;
  std::uint64_t generation = 0;  // that the member holds
};

// Member to hub: the own record, and what the member knows of this hub.
struct roster_announce {
  std::uint64_t number = 0;    // rises with each announcement to the hub
  std::uint64_t instance = 0;  // of the hub, as last heard; 0: none
  std::uint64_t stamp = 0;     // newest that the hub gave
  duration stamp_age{0};       // since it arrived here
  std::uint64_t position = 0;  // up to which the member knows the roster
  node_record record;          // its cold_remaining counts from the sending
  std::vector<roster_dispute> disputes;
};

// Which document set a hub holds.
struct set_head {
  std::uint64_t version = 0;
  std::uint64_t size = 0;  // bytes
  std::uint64_t hash = 0;

  friend bool operator==(const set_head& left, const set_head& right) {
    return left.version == right.version && left.size == right.size &&
           left.hash == right.hash;
  }
};

// No set above `version` was accepted before the question that was asked `age`
// before the sending.
struct set_confirmation {
  std::uint64_t version = 0;
  duration age{0};
};

// Hub to member: the entries whose last change is after `from` and up to `to`.
struct roster_update {
  std::uint64_t instance = 0;
  std::uint64_t echo = 0;   // number of the announcement last heard
  duration echo_age{0};     // since it arrived at the hub
  std::uint64_t stamp = 0;  // the hub's clock, to be given back
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::uint64_t newest = 0;       // position at the hub
  std::uint64_t forgotten = 0;    // up to here, entries may be forgotten
  duration announce_interval{0};  // that the hub asks for
  bool settled = false;   // the hub runs long enough to have heard all nodes
  bool unproven = false;  // the announcement may be old: send another
  std::uint64_t superseded = 0;  // a later generation is held; 0: none
  set_head documents;
  std::optional<set_confirmation> confirmed;
  std::string entries;  // as entry_writer wrote them
};

// An entry in an update; cold_remaining counts from the sending.
struct told_entry {
  node_record record;
  node_liveness liveness = node_liveness::kAlive;
};

// Member to hub: asks for a part of a set, or of what leads to it from the set
// that the member holds.
struct set_fetch {
  std::uint64_t version = 0;
  std::uint64_t offset = 0;     // bytes
  std::uint64_t base = 0;       // version held; 0: the whole set is asked for
  std::uint64_t base_hash = 0;  // of the set held
};

struct set_part {
  std::uint64_t version = 0;
  std::uint64_t size = 0;    // of all parts together, bytes
  std::uint64_t offset = 0;  // bytes
  std::string bytes;
  std::uint64_t base = 0;  // from which the parts lead; 0: the whole set
};

std::optional<roster_kind> KindOf(std::string_view bytes);

std::string Encode(const roster_announce& message);
std::string Encode(const roster_update& message);
std::string Encode(const set_fetch& message);
std::string Encode(const set_part& message);

// On failure these return nothing; the code is kRosterMessageMalformed.
std::optional<roster_announce> DecodeAnnounce(std::string_view bytes,
                                              failure* last_failure);
std::optional<roster_update> DecodeUpdate(std::string_view bytes,
                                          failure* last_failure);
std::optional<set_fetch> DecodeFetch(std::string_view bytes,
                                     failure* last_failure);
std::optional<set_part> DecodePart(std::string_view bytes,
                                   failure* last_failure);
std::optional<std::vector<told_entry>> DecodeEntries(std::string_view bytes,
                                                     failure* last_failure);

// Collects entries for one update.
class entry_writer {
 public:
  // False, and nothing is added, where the update would be too large.
  bool Add(const node_record& record, node_liveness liveness, duration cold);
  bool empty() const { return count_ == 0; }
  // The entries added, as in roster_update; starts anew.
  std::string Take();

 private:
  std::string body_;
  std::size_t count_ = 0;
};

// What is left of the record's cold time.
duration ColdAt(const roster_entry& entry, time_point now);
// Moves `learned` on to `now`.
void Relearn(roster_entry* entry, time_point now);

}  // namespace tamaracklatch
