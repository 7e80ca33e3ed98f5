// Chooses the command and checks its arguments.
#include "tamaracklatch/daemon/commands.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <sstream>

#include "daemon/operator_commands.h"

namespace tamaracklatch {
namespace {

std::optional<std::vector<endpoint>> ReadEndpoints(const std::string& text,
                                                   std::ostream& errors) {
  std::vector<endpoint> result;
  std::stringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    failure why;
    const auto where = ParseEndpoint(part, &why);
    if (!where) {
      fmt::print(errors, "--control: {}\n", ToString(why));
      return std::nullopt;
    }
    result.push_back(*where);
  }
  return result;
}

int WrongUse(const std::string& usage, std::ostream& errors) {
  fmt::print(errors, "{}", usage);
  return kExitUsage;
}

}  // namespace

int RunCommand(const command_line& line, const std::string& usage,
               std::ostream& out, std::ostream& errors) {
  if (line.arguments.empty()) return WrongUse(usage, errors);
  const auto control = ReadEndpoints(line.control, errors);
  if (!control || control->empty()) return WrongUse(usage, errors);
  const operator_options options{*control, line.token, line.timeout, line.wait};
  const std::vector<std::string>& words = line.arguments;
  const std::string& command = words[0];
  if (command == "submit" && words.size() == 2)
    return RunSubmit(options, words[1], out, errors);
  if (command == "submit-set" && words.size() == 2)
    return RunSubmitSet(options, words[1], out, errors);
  if (command == "set" && words.size() == 1)
    return RunGet(options, "/v1/set", out, errors);
  if (command == "status" && words.size() == 1)
    return RunGet(options, "/v1/status", out, errors);
  if (command == "status" && words.size() == 2)
    return RunGet(options, "/v1/services/" + words[1], out, errors);
  if (command == "history" && words.size() == 2) {
    return RunGet(options, "/v1/services/" + words[1] + "/history", out,
                  errors);
  }
  if (command == "drain" && words.size() == 3)
    return RunDrain(options, words[1], words[2], out, errors);
  if (command == "voters" && words.size() == 1)
    return RunGet(options, "/v1/voters", out, errors);
  if (command == "voters" && words.size() == 3 &&
      (words[1] == "add" || words[1] == "remove"))
    return RunVoterChange(options, words[1], words[2], out, errors);
  return WrongUse(usage, errors);
}

}  // namespace tamaracklatch
