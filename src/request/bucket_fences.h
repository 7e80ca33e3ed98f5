// Which buckets this daemon owns, and up to which minting time an earlier owner
// may have run their keys.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// Nobody else can have run the key.
struct fence_clear {};
// The bucket belongs to another daemon.
struct fence_elsewhere {};
// This earlier owner may still run keys of the bucket.
struct fence_pass {
  target_id owner;
};
// These earlier owners run no more keys of the bucket but may know this one.
struct fence_ask {
  std::vector<target_id> owners;
};
// An earlier owner that is gone may have run the key.
struct fence_unknown {};

using fence_verdict = std::variant<fence_clear, fence_elsewhere, fence_pass,
                                   fence_ask, fence_unknown>;

// Invariant: a bucket's fence never falls while this daemon owns it.
class bucket_fences {
 public:
  // `margin` is added to the time of a move: future margin and clock skew.
  explicit bucket_fences(duration margin) : margin_(margin) {}

  // As of revision `at` of the view.
  void Own(std::uint32_t bucket, revision at, std::vector<target_id> earlier,
           wall_time now);
  void Disown(std::uint32_t bucket);
  void Acknowledged(target_id owner, revision at, wall_time now);
  void Gone(target_id owner, wall_time now);

  fence_verdict Check(std::uint32_t bucket, wall_time minted) const;

  // Whether a key of the bucket may have run before this daemon owned it.
  bool MayPrecede(std::uint32_t bucket, wall_time minted) const;

 private:
  struct bucket_state {
    bool owned = false;
    revision since;  // of the view that gave the bucket to this daemon
    std::optional<wall_time> fence;
    std::vector<target_id> waiting;  // earlier owners, not yet acknowledged
    std::vector<target_id> asked;    // earlier owners that acknowledged
    bool some_gone = false;          // an earlier owner can't be asked
  };

  void Raise(bucket_state* bucket, wall_time now) const;

  duration margin_;
  std::map<std::uint32_t, bucket_state> buckets_;
};

}  // namespace tamaracklatch
