// Reading of the command's arguments and files.
#include "tamaracklatch/timeline/explain.h"

#include <fmt/format.h>

#include <charconv>

#include "timeline/input_files.h"
#include "timeline/json_fields.h"

namespace tamaracklatch {
namespace {

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kWrongUse = 2;
constexpr std::size_t kHashDigits = 16;

bool ReadFlow(const std::string& text, flow_selector* flow,
              failure* last_failure) {
  if (text.size() == kHashDigits) flow->flow = ParseHex(text);
  if (!flow->flow) flow->caller = ParseEndpoint(text, nullptr);
  if (flow->flow || flow->caller) return true;
  SetFailure(last_failure, result_code::kTimelineBadFilter,
             fmt::format("flow: \"{}\" is neither ADDRESS:PORT nor 16 "
                         "hexadecimal digits",
                         text));
  return false;
}

bool ReadVersion(const std::string& text, std::uint64_t* version,
                 failure* last_failure) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, *version);
  if (error == std::errc() && stop == end && *version != 0) return true;
  SetFailure(last_failure, result_code::kTimelineBadFilter,
             fmt::format("version: \"{}\" is not a number above 0", text));
  return false;
}

// The value of an option at `at`, given as "--name=value" or as two words.
std::optional<std::string> ValueOf(const std::vector<std::string>& arguments,
                                   const std::string& name, std::size_t* at) {
  const std::string& word = arguments[*at];
  if (word == name && *at + 1 < arguments.size()) return arguments[++*at];
  if (word.rfind(name + "=", 0) == 0) return word.substr(name.size() + 1);
  return std::nullopt;
}

std::string SayNothingFound(const log_merge& logs) {
  std::string text = "no line was found in the logs of";
  for (const auto& [process, span] : logs.processes()) text += " " + process;
  return text + (logs.processes().empty() ? " any process\n" : "\n");
}

}  // namespace

std::optional<explain_command> ReadExplainArguments(
    const std::vector<std::string>& arguments, failure* last_failure) {
  explain_command command;
  std::size_t asked = 0;
  for (std::size_t at = 0; at < arguments.size(); ++at) {
    if (const auto flow = ValueOf(arguments, "--flow", &at)) {
      if (!ReadFlow(*flow, &command.flow, last_failure)) return std::nullopt;
      ++asked;
    } else if (const auto version = ValueOf(arguments, "--version", &at)) {
      if (!ReadVersion(*version, &command.version, last_failure))
        return std::nullopt;
      ++asked;
    } else {
      command.files.push_back(arguments[at]);
    }
  }
  if (asked == 1 && !command.files.empty() &&
      command.files.front().rfind("--", 0) != 0) {
    return command;
  }
  SetFailure(last_failure, result_code::kUsage,
             "explain needs --flow ADDRESS:PORT or --version N, and at least "
             "one LOG");
  return std::nullopt;
}

int RunExplain(const std::vector<std::string>& arguments, std::ostream& out,
               std::ostream& errors) {
  failure why;
  const auto command = ReadExplainArguments(arguments, &why);
  if (!command) {
    errors << ToString(why) << '\n';
    return kWrongUse;
  }
  log_merge logs(command->flow);
  const auto read = [&](std::istream& file) { logs.Read(file); };
  if (!ReadInputFiles(command->files, read, errors)) return kFailed;
  SayMalformed(logs.malformed(), errors);
  const std::vector<log_entry> entries = logs.Finish();
  const std::string text = command->version != 0
                               ? TellSet(entries, command->version, logs)
                               : TellFlow(entries, command->flow, logs);
  if (text.empty()) {
    errors << SayNothingFound(logs);
    return kFailed;
  }
  out << text;
  return kDone;
}

}  // namespace tamaracklatch
