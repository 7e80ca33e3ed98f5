// What the replicated log drives on every member.
#pragma once

#include <string>
#include <string_view>

#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// A deterministic state machine: the same commands in the same order give the
// same state and the same snapshot bytes on every VM.
class replicated_state_machine {
 public:
  virtual ~replicated_state_machine() = default;

  // Applies the accepted command at `index`. Indexes rise; some are skipped,
  // since the log has entries of its own.
  virtual void Apply(revision index, std::string_view command) = 0;

  // The whole state, in canonical bytes.
  virtual std::string Snapshot() = 0;

  // Replaces the state by one that Snapshot() wrote. Bytes that are not a
  // snapshot leave the state as it was.
  virtual bool Restore(std::string_view snapshot, failure* last_failure) = 0;
};

}  // namespace tamaracklatch
