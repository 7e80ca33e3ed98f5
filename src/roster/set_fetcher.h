// Fetches one document set in parts from the hubs that hold it: as the delta
// from the set that the caller holds, where a hub has that delta, otherwise
// whole.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "roster/roster_messages.h"
#include "tamaracklatch/control/set_delta.h"
#include "tamaracklatch/roster/roster_member.h"

namespace tamaracklatch {

// A hub and the set that it holds.
struct set_source {
  endpoint hub;
  set_head head;
};

// A set that was fetched in full.
struct fetched_bytes {
  std::string bytes;          // as EncodeDocumentSet wrote them
  set_succession succession;  // from the set that the caller held
};

// Requests and assembles the parts of a set; used by roster_member. Invariants:
// all parts in flight are requested from the same hub; a set is returned to the
// caller only if its size and hash match its head.
class set_fetcher {
 public:
  using sends = std::vector<roster_send>;

  // Sets the hubs that respond. The highest set above `held_version` is
  // fetched; the transfer of a lower one is aborted.
  sends SetSources(const std::vector<set_source>& sources,
                   std::uint64_t held_version, time_point now);
  // To be called at next_wake(): repeats requests that were not answered.
  sends OnTick(time_point now);
  time_point next_wake() const;

  // To be called for each part received. `complete` is set to the whole set
  // once all parts are there and its hash matches. `held` is the set that the
  // caller holds.
  sends OnPart(const set_part& part, const document_set& held, time_point now,
               std::optional<fetched_bytes>* complete);

  // The set being fetched; its version is 0 while there is none.
  const set_head& head() const { return head_; }
  // To be called if the set could not be decoded: it is requested again, from
  // the next hub and whole, after a delay.
  void Reject(time_point now);

 private:
  struct request {
    std::size_t part = 0;
    time_point sent;
    std::uint32_t tries = 1;
  };

  // Number of parts of the transfer; 1 while its size is unknown.
  std::size_t part_count() const;
  void Clear();
  void Restart(time_point now);
  void SendRequest(const request& requested, sends* out) const;
  void RequestNextParts(time_point now, sends* out);
  bool IsExpected(const set_part& part) const;
  bool MatchesHead(const std::string& bytes) const;

  set_head head_;
  // The last set returned; base of a delta once the caller holds it.
  set_head completed_;
  bool wants_delta_ = false;    // from completed_
  std::size_t size_ = 0;        // of the transfer, bytes; 0: unknown
  std::vector<endpoint> hubs_;  // that hold the set
  std::size_t hub_ = 0;         // index of the one that requests go to
  std::string bytes_;
  std::vector<bool> received_;  // by part
  std::size_t missing_ = 0;     // parts
  // The version after which the parts show all accepted sets; 0: not known.
  std::uint64_t complete_since_ = 0;
  std::size_t next_part_ = 0;  // not requested yet
  std::vector<request> in_flight_;
  time_point not_before_;  // earliest time of the next request
};

}  // namespace tamaracklatch
