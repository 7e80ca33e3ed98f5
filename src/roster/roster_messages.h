// The messages between roster members and hubs. Each message is one datagram: a
// kind byte, then MessagePack. Positions number the changes of a hub's roster,
// from 1; they are valid only together with the hub's instance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/control/document_set.h"
#include "tamaracklatch/control/placement_rules.h"
#include "tamaracklatch/core/abbreviated_name.h"
#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/roster/node_record.h"

namespace tamaracklatch {

// The first byte of a message: 0xa0 to 0xa7 for hubs, 0xa8 to 0xaf for members.
enum class roster_kind : std::uint8_t {
  kAnnounce = 0xa0,
  kFetch = 0xa1,
  kUpdate = 0xa8,
  kPart = 0xa9,
  kRules = 0xaa,
};

inline constexpr std::size_t kMaxRosterDatagram = 1200;  // bytes
// Of all entries in one update, bytes. The other elements take up to 159 bytes
// of the datagram.
inline constexpr std::size_t kMaxEntryBytes = 1040;
inline constexpr std::size_t kMaxSetPart = 1100;  // bytes
inline constexpr std::size_t kMaxSetBytes = kMaxEncodedSetBytes;
// Of an abbreviated zone or service, bytes.
inline constexpr std::size_t kMaxNodeName = kMaxAbbreviatedName;
inline constexpr std::size_t kMaxConflicts = 8;  // in one announcement
inline constexpr std::uint64_t kMaxGeneration = std::uint64_t{1} << 62U;

// Reported by a member to a hub whose roster has an earlier start of a node
// than the one that the member holds.
struct generation_conflict {
  endpoint where;
  std::uint64_t generation = 0;  // that the member holds
};

// Member to hub: the member's own record, and its state of this hub's roster.
struct roster_announce {
  std::uint64_t number = 0;    // increases with each announcement to the hub
  std::uint64_t instance = 0;  // of the hub, as in its last update; 0: none
  std::uint64_t stamp = 0;     // newest that the hub issued; 0: none
  duration stamp_age{0};       // since it arrived at the member
  std::uint64_t position = 0;  // up to which the member has the hub's changes
  node_record record;          // cold_remaining counts from when this is sent
  std::vector<generation_conflict> conflicts;
  std::uint64_t rules_revision = 0;  // of the placement rules held; 0: none
};

// Identifies the document set that a hub holds.
struct set_head {
  std::uint64_t version = 0;
  std::uint64_t size = 0;  // bytes
  std::uint64_t hash = 0;

  friend bool operator==(const set_head& left, const set_head& right) {
    return left.version == right.version && left.size == right.size &&
           left.hash == right.hash;
  }
};

// No set above `version` and no placement rules above `rules_revision` had been
// accepted when the quorum was queried.
struct set_confirmation {
  std::uint64_t version = 0;
  duration age{0};  // from that query until this is sent
  std::uint64_t rules_revision = 0;
};

// Hub to member: the entries whose last change is after position `from` and up
// to position `to`.
struct roster_update {
  std::uint64_t instance = 0;  // of the hub; not 0
  std::uint64_t echo = 0;      // number of the announcement last received
  duration echo_age{0};        // since it arrived at the hub
  // Time of the hub's clock in microseconds; returned in announcements.
  std::uint64_t stamp = 0;
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::uint64_t newest = 0;       // position at the hub
  std::uint64_t evicted = 0;      // highest position of an evicted entry
  duration announce_interval{0};  // that the hub requests
  // The hub has run long enough to receive announcements of all nodes.
  bool settled = false;
  // The announcement may be old: the member must send another one.
  bool unverified = false;
  // A later generation of the member is known; 0: none.
  std::uint64_t superseding_generation = 0;
  set_head documents;
  std::optional<set_confirmation> confirmed;
  std::string entries;               // as entry_writer wrote them
  std::uint64_t rules_revision = 0;  // of the placement rules held; 0: none
};

// An entry in an update; cold_remaining counts from when it is sent.
struct update_entry {
  node_record record;
  node_liveness liveness = node_liveness::kAlive;
};

// Member to hub: requests a part of a set, or of the delta to it from the set
// that the member holds.
struct set_fetch {
  std::uint64_t version = 0;
  std::uint64_t offset = 0;     // bytes
  std::uint64_t base = 0;       // version held; 0: requests the whole set
  std::uint64_t base_hash = 0;  // of the set held
};

// Hub to member: a part of a set, or of the delta to it.
struct set_part {
  std::uint64_t version = 0;
  std::uint64_t size = 0;    // of all parts together, bytes
  std::uint64_t offset = 0;  // bytes
  std::string bytes;
  std::uint64_t base = 0;  // version that the delta starts from; 0: no delta
  // The version after which the set or delta shows all sets that were accepted;
  // 0: not known, as by earlier releases.
  std::uint64_t complete_since = 0;
};

// The kind of a message by its first byte; empty if it is no known kind.
std::optional<roster_kind> KindOf(std::string_view bytes);

std::string Encode(const roster_announce& message);
std::string Encode(const roster_update& message);
std::string Encode(const set_fetch& message);
std::string Encode(const set_part& message);
// Hub to member: the hub's placement rules.
std::string Encode(const placement_rules& message);

// The decoders return an empty optional on failure; the code is then
// kRosterMessageMalformed.
std::optional<roster_announce> DecodeAnnounce(std::string_view bytes,
                                              failure* last_failure);
std::optional<roster_update> DecodeUpdate(std::string_view bytes,
                                          failure* last_failure);
std::optional<set_fetch> DecodeFetch(std::string_view bytes,
                                     failure* last_failure);
std::optional<set_part> DecodePart(std::string_view bytes,
                                   failure* last_failure);
std::optional<placement_rules> DecodeRules(std::string_view bytes,
                                           failure* last_failure);
std::optional<std::vector<update_entry>> DecodeEntries(std::string_view bytes,
                                                       failure* last_failure);

// Collects entries for one update.
class entry_writer {
 public:
  // Returns false, and adds nothing, if the entries would exceed
  // kMaxEntryBytes.
  bool Add(const node_record& record, node_liveness liveness, duration cold);
  bool empty() const { return count_ == 0; }
  // Returns the entries added, as in roster_update, and clears the writer.
  std::string Take();

 private:
  std::string body_;
  std::size_t count_ = 0;  // entries in body_
};

// The part of the record's cold time that remains at `now`; 0 once it is over.
duration ColdRemainingAt(const roster_entry& entry, time_point now);
// Sets `changed_at` to `now`, and reduces cold_remaining accordingly.
void SetChangedAt(roster_entry* entry, time_point now);

}  // namespace tamaracklatch
