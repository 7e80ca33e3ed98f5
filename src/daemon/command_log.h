// The replicated log as its users in a control VM see it.
#pragma once

#include <functional>
#include <string>

#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// Called once with what became of a proposal or a read.
using consensus_reply = std::function<void(result_code code, revision index)>;

class command_log {
 public:
  virtual ~command_log() = default;

  // Asks the log to take a command.
  virtual void Propose(std::string command, consensus_reply reply) = 0;

  // Asks up to which revision this VM must have applied to know all that was
  // accepted before now.
  virtual void Read(consensus_reply reply) = 0;
};

}  // namespace tamaracklatch
