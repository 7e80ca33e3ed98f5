// The interface of the state machine that the replicated log drives.
#pragma once

#include <string>
#include <string_view>

#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// A deterministic state machine: the same commands in the same order produce
// the same state and the same snapshot bytes on every VM. consensus_runner
// calls it on every member.
class replicated_state_machine {
 public:
  virtual ~replicated_state_machine() = default;

  // Applies the committed command at `index`. Indexes increase but have gaps,
  // because the log also holds entries that are not commands.
  virtual void Apply(revision index, std::string_view command) = 0;

  // Returns the whole state in a canonical encoding: equal states give equal
  // bytes.
  virtual std::string Snapshot() = 0;

  // Replaces the state by one that Snapshot() returned. For bytes that are not
  // a snapshot, leaves the state unchanged and returns false.
  virtual bool Restore(std::string_view snapshot, failure* last_failure) = 0;
};

}  // namespace tamaracklatch
