// The command `tamaracklatch explain`: the story of one flow or one document
// set across the logs of several processes, and what is missing in it.
#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/timeline/log_merge.h"

namespace tamaracklatch {

// Exactly one of a flow and a version is asked for.
struct explain_command {
  flow_selector flow;
  std::uint64_t version = 0;  // of a document set; 0: not asked for
  std::vector<std::string> files;
};

// Reads "--flow ADDRESS:PORT FILE...", "--flow=..." or "--version N FILE...".
// The flow may be given by 16 hexadecimal digits, as lines show it.
std::optional<explain_command> ReadExplainArguments(
    const std::vector<std::string>& arguments, failure* last_failure);

// Exit code: 0 done, 1 a file could not be read or nothing was found, 2 wrong
// use.
int RunExplain(const std::vector<std::string>& arguments, std::ostream& out,
               std::ostream& errors);

// The story of one flow for a person. `logs` has read all lines.
std::string TellFlow(const std::vector<log_entry>& entries,
                     const flow_selector& wanted, const log_merge& logs);

// The story of one document set for a person.
std::string TellSet(const std::vector<log_entry>& entries,
                    std::uint64_t version, const log_merge& logs);

}  // namespace tamaracklatch
