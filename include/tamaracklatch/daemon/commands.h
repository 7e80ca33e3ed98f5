// The operator's command line, as the program `tamaracklatch` runs it.
#pragma once

#include <chrono>
#include <ostream>
#include <string>
#include <vector>

namespace tamaracklatch {

// The command line, read but not checked.
struct command_line {
  std::vector<std::string> arguments;  // the command and what follows it
  std::string control;                 // HTTP endpoints, separated by commas
  std::string token;                   // bearer token
  std::chrono::milliseconds timeout{10000};  // for the whole command
  bool wait = false;  // submit: until in force everywhere
};

// Runs one command. Returns the exit code: 0 done, 1 refused or outcome
// unknown, 2 wrong use.
int RunCommand(const command_line& line, const std::string& usage,
               std::ostream& out, std::ostream& errors);

}  // namespace tamaracklatch
