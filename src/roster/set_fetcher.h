// Fetches one document set in parts from the hubs that hold it: what leads to
// it from the set that the caller holds, where a hub knows that, else the
// whole.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "roster/roster_messages.h"
#include "tamaracklatch/roster/roster_member.h"

namespace tamaracklatch {

// A hub and the set that it holds.
struct set_source {
  endpoint hub;
  set_head head;
};

// Invariants: the parts in flight are all asked of the same source; a set is
// given to the caller only with the size and hash that its head says.
class set_fetcher {
 public:
  using sends = std::vector<roster_send>;

  // The hubs in touch; the highest set above version `held` is fetched, a lower
  // one given up.
  sends SetSources(const std::vector<set_source>& sources, std::uint64_t held,
                   time_point now);
  sends OnTick(time_point now);
  time_point next_wake() const;

  // A part came: `complete` gets the bytes of the whole set once its hash is
  // right. `held` is the caller's set.
  sends OnPart(const set_part& part, const document_set& held, time_point now,
               std::optional<std::string>* complete);

  // The set asked for; its version is 0 while there is none.
  const set_head& head() const { return head_; }
  // The set could not be used: it is not asked for again for a while.
  void Reject(time_point now);

 private:
  struct request {
    std::size_t part = 0;
    time_point sent;
    std::uint32_t tries = 1;
  };

  std::size_t parts() const;  // of the transfer; 1 while its size is unknown
  void Clear();
  void Restart(time_point now);
  void Ask(const request& what, sends* out) const;
  void AskMore(time_point now, sends* out);
  bool Fits(const set_part& part) const;
  bool IsWhole(const std::string& bytes) const;

  set_head head_;
  set_head given_;  // the last set completed; a base once the caller holds it
  bool wants_delta_ = false;    // from given_
  std::size_t size_ = 0;        // of the transfer, bytes; 0: unknown
  std::vector<endpoint> hubs_;  // that hold it
  std::size_t hub_ = 0;         // asked now
  std::string bytes_;
  std::vector<bool> received_;
  std::size_t missing_ = 0;  // parts
  std::size_t next_part_ = 0;
  std::vector<request> in_flight_;
  time_point not_before_;
};

}  // namespace tamaracklatch
