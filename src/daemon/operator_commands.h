// The operator's commands that talk to the control VMs: submit, submit-set,
// set, status, history, drain, voters.
#pragma once

#include <chrono>
#include <ostream>
#include <string>
#include <vector>

#include "tamaracklatch/core/endpoint.h"

namespace tamaracklatch {

// Exit codes of the command line.
inline constexpr int kExitDone = 0;
inline constexpr int kExitRefused =
    1;  // the system refused, or the outcome is unknown
inline constexpr int kExitUsage = 2;  // the command line or a document is wrong

// How the commands reach the system.
struct operator_options {
  std::vector<endpoint>
      control;        // HTTP endpoints of the control VMs, tried in turn
  std::string token;  // bearer token
  std::chrono::milliseconds timeout{10000};  // over all tries of one command
  bool wait = false;  // submit: return only when in force everywhere
};

// Submits the document at `path`. The same document may be submitted again
// after any failure.
int RunSubmit(const operator_options& options, const std::string& path,
              std::ostream& out, std::ostream& errors);

// Submits the document set at `path`, which replaces the one before. The same
// set may be submitted again after any failure.
int RunSubmitSet(const operator_options& options, const std::string& path,
                 std::ostream& out, std::ostream& errors);

// Prints the answer of GET `path`, such as "/v1/status", "/v1/services/NAME" or
// "/v1/services/NAME/history".
int RunGet(const operator_options& options, const std::string& path,
           std::ostream& out, std::ostream& errors);

// Drains every target on a VM for one service.
int RunDrain(const operator_options& options, const std::string& service,
             const std::string& vm, std::ostream& out, std::ostream& errors);

// Adds or removes a control VM from those that vote; `verb` is "add" or
// "remove".
int RunVoterChange(const operator_options& options, const std::string& verb,
                   const std::string& name, std::ostream& out,
                   std::ostream& errors);

}  // namespace tamaracklatch
