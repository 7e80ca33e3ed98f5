// Parsing and cross-checking of the programs' settings.
#include "tamaracklatch/daemon/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>

#include "daemon/settings_reader.h"

namespace tamaracklatch {
namespace {

constexpr std::size_t kMaxVoters = 7;
constexpr std::size_t kReadBytes = 4096;       // of a file at a time
constexpr std::size_t kLeastTokenLength = 16;  // characters
constexpr std::uint64_t kMaxCapacity = 4096;   // slots
constexpr std::uint64_t kLeastFlowCache = 1024;
constexpr std::uint64_t kMostFlowCache = 1ULL << 26U;
constexpr const char* kAnyService = "*";

bool IsSpace(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r'; }

// Value of a hexadecimal digit, -1 for another character.
int DigitValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

std::string_view Trimmed(std::string_view text) {
  while (!text.empty() && IsSpace(text.front())) text.remove_prefix(1);
  while (!text.empty() && IsSpace(text.back())) text.remove_suffix(1);
  return text;
}

void CheckVoters(checked_json* reader, const controld_settings& settings) {
  const auto& voters = settings.voters;
  if (voters.size() > kMaxVoters || voters.size() % 2 == 0) {
    reader->Fail("voters", result_code::kDocumentOutOfRange,
                 fmt::format("{} voters; an odd number up to {} is needed",
                             voters.size(), kMaxVoters));
  }
  for (std::size_t i = 0; i < voters.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      const bool same_port = voters[i].links == voters[j].links ||
                             voters[i].http == voters[j].http;
      if (voters[i].name != voters[j].name && !same_port) continue;
      reader->Fail(fmt::format("voters[{}]", i),
                   result_code::kDocumentDuplicate,
                   fmt::format("\"{}\" has the name or an endpoint of \"{}\"",
                               voters[i].name, voters[j].name));
    }
  }
  const auto self = std::find_if(voters.begin(), voters.end(),
                                 [&](const voter_settings& voter) {
                                   return voter.name == settings.process.name;
                                 });
  if (self == voters.end()) {
    reader->Fail("voters", result_code::kSettingsConflict,
                 fmt::format("\"{}\", the name of this process, is not a voter",
                             settings.process.name));
    return;
  }
  if (self->links.port != settings.listen_links.port) {
    reader->Fail("listen_links", result_code::kSettingsConflict,
                 fmt::format("port {} is not that of its voter, {}",
                             settings.listen_links.port, self->links.port));
  }
  if (self->http.port != settings.listen_http.port) {
    reader->Fail("listen_http", result_code::kSettingsConflict,
                 fmt::format("port {} is not that of its voter, {}",
                             settings.listen_http.port, self->http.port));
  }
}

void ReadVoters(checked_json* reader, controld_settings* settings) {
  for (checked_json& inner : reader->Objects("voters", true)) {
    voter_settings voter;
    voter.name = ReadNameSetting(&inner, "name");
    voter.links = ReadAnnouncedEndpoint(&inner, "links");
    voter.http = ReadAnnouncedEndpoint(&inner, "http");
    inner.Finish();
    settings->voters.push_back(voter);
  }
  if (reader->Has("voters")) CheckVoters(reader, *settings);
}

// Faults never quote a token.
void ReadOperators(checked_json* reader, controld_settings* settings) {
  for (checked_json& inner : reader->Objects("operators", true)) {
    operator_settings entry;
    entry.token = inner.Text("token");
    entry.services = inner.Texts("services", true);
    const bool named_twice =
        std::any_of(settings->operators.begin(), settings->operators.end(),
                    [&](const operator_settings& other) {
                      return other.token == entry.token;
                    });
    if (inner.Has("token") && entry.token.size() < kLeastTokenLength) {
      inner.Fail("token", result_code::kDocumentOutOfRange,
                 fmt::format("{} characters, at least {} are needed",
                             entry.token.size(), kLeastTokenLength));
    } else if (named_twice) {
      inner.Fail("token", result_code::kDocumentDuplicate,
                 "the token stands twice");
    }
    if (inner.Has("services") && entry.services.empty()) {
      inner.Fail("services", result_code::kDocumentMissingKey,
                 "names no service; \"*\" stands for all");
    }
    inner.Finish();
    settings->operators.push_back(entry);
  }
}

controld_settings ReadControld(checked_json* reader) {
  controld_settings result;
  result.process = ReadProcess(reader, true);
  result.listen_links = ReadRequiredEndpoint(reader, "listen_links");
  result.listen_http = ReadRequiredEndpoint(reader, "listen_http");
  ReadVoters(reader, &result);
  ReadOperators(reader, &result);
  CheckSockets(reader,
               {{"listen_links", socket_kind::kTcp, result.listen_links},
                {"listen_http", socket_kind::kTcp, result.listen_http}});
  return result;
}

balancerd_settings ReadBalancerd(checked_json* reader) {
  balancerd_settings result;
  result.process = ReadProcess(reader, false);
  result.listen_http = ReadRequiredEndpoint(reader, "listen_http");
  result.packets = ReadAnnouncedEndpoint(reader, "packets");
  result.listen_links = ReadAnnouncedEndpoint(reader, "listen_links", false);
  result.encapsulated = ReadEndpointSetting(reader, "encapsulated", false);
  result.control = ReadControl(reader);
  result.flow_cache_entries = static_cast<std::uint32_t>(
      reader->Number("flow_cache_entries", kLeastFlowCache, kMostFlowCache,
                     result.flow_cache_entries));
  CheckSockets(reader, {{"listen_http", socket_kind::kTcp, result.listen_http},
                        {"packets", socket_kind::kUdp, result.packets},
                        {"listen_links", socket_kind::kTcp,
                         result.listen_links.value_or(endpoint())},
                        {"encapsulated", socket_kind::kUdp,
                         result.encapsulated.value_or(endpoint())}});
  return result;
}

target_endpoints ReadTarget(checked_json* reader) {
  target_endpoints result;
  auto inner = reader->Object("target");
  if (!inner) {
    reader->Fail("target", result_code::kDocumentMissingKey, "is missing");
    return result;
  }
  result.udp = ReadEndpointSetting(&*inner, "udp", false);
  result.tcp = ReadEndpointSetting(&*inner, "tcp", false);
  result.http = ReadEndpointSetting(&*inner, "http", false);
  result.encapsulated = ReadEndpointSetting(&*inner, "encapsulated", false);
  const bool named = inner->Has("udp") || inner->Has("tcp") ||
                     inner->Has("http") || inner->Has("encapsulated");
  if (!named) {
    reader->Fail("target", result_code::kDocumentMissingKey,
                 "names none of udp, tcp, http and encapsulated");
  }
  inner->Finish();
  return result;
}

targetd_settings ReadTargetd(checked_json* reader) {
  targetd_settings result;
  result.process = ReadProcess(reader, false);
  result.service = ReadNameSetting(reader, "service");
  result.listen_http = ReadRequiredEndpoint(reader, "listen_http");
  result.packets = ReadAnnouncedEndpoint(reader, "packets");
  result.relay = ReadAnnouncedEndpoint(reader, "relay");
  result.requests = ReadAnnouncedEndpoint(reader, "requests");
  result.target = ReadTarget(reader);
  result.capacity = static_cast<std::uint32_t>(
      reader->Number("capacity", 1, kMaxCapacity, result.capacity));
  result.control = ReadControl(reader);
  // The target's own ports are in the list: a daemon that sent its work to
  // itself would loop.
  const target_endpoints& target = result.target;
  CheckSockets(
      reader,
      {{"listen_http", socket_kind::kTcp, result.listen_http},
       {"packets", socket_kind::kUdp, result.packets},
       {"relay", socket_kind::kTcp, result.relay},
       {"requests", socket_kind::kTcp, result.requests},
       {"target.udp", socket_kind::kUdp, target.udp.value_or(endpoint())},
       {"target.tcp", socket_kind::kTcp, target.tcp.value_or(endpoint())},
       {"target.http", socket_kind::kTcp, target.http.value_or(endpoint())},
       {"target.encapsulated", socket_kind::kUdp,
        target.encapsulated.value_or(endpoint())}});
  return result;
}

template <typename Settings>
std::optional<Settings> Parse(std::string_view text,
                              Settings (*read)(checked_json*),
                              std::vector<failure>* failures) {
  const std::size_t faults_before = failures->size();
  const auto json = ParseJsonWithComments(text, failures);
  if (!json) return std::nullopt;
  checked_json reader(*json, "", failures);
  Settings settings = read(&reader);
  reader.Finish();
  if (failures->size() != faults_before) return std::nullopt;
  return settings;
}

// Path of a file that the settings at `settings_path` name.
std::string BesideSettings(const std::string& settings_path,
                           const std::string& named) {
  const std::size_t slash = settings_path.rfind('/');
  if (named.front() == '/' || slash == std::string::npos) return named;
  return settings_path.substr(0, slash + 1) + named;
}

bool LoadLinkKey(const std::string& settings_path, process_settings* process,
                 std::vector<failure>* failures) {
  if (process->link_key_file.empty()) return true;
  const std::string path =
      BesideSettings(settings_path, process->link_key_file);
  failure why;
  const auto text = ReadFile(path, &why);
  const auto key = text ? ParseLinkKey(*text, &why) : std::nullopt;
  if (!key) {
    failures->push_back(
        {why.code, fmt::format("link_key_file: {}: {}", path, why.reason)});
    return false;
  }
  process->link_key = *key;
  return true;
}

template <typename Settings>
std::optional<Settings> Load(const std::string& path,
                             Settings (*read)(checked_json*),
                             std::vector<failure>* failures) {
  failure why;
  const auto text = ReadFile(path, &why);
  if (!text) {
    failures->push_back(why);
    return std::nullopt;
  }
  auto settings = Parse(*text, read, failures);
  if (!settings) return std::nullopt;
  if (!LoadLinkKey(path, &settings->process, failures)) return std::nullopt;
  return settings;
}

}  // namespace

std::string_view ToString(log_level level) {
  switch (level) {
    case log_level::kTrace:
      return "trace";
    case log_level::kDebug:
      return "debug";
    case log_level::kInfo:
      return "info";
    case log_level::kWarning:
      return "warning";
    case log_level::kError:
      return "error";
  }
  return "unknown";
}

bool operator_settings::MayChange(std::string_view service) const {
  return std::any_of(services.begin(), services.end(),
                     [&](const std::string& allowed) {
                       return allowed == kAnyService || allowed == service;
                     });
}

std::optional<link_key> ParseLinkKey(std::string_view text,
                                     failure* last_failure) {
  const std::string_view digits = Trimmed(text);
  link_key key{};
  const bool all_digits = std::all_of(
      digits.begin(), digits.end(), [](char c) { return DigitValue(c) >= 0; });
  // The reason says nothing of the key itself.
  if (digits.size() != 2 * kLinkKeyBytes || !all_digits) {
    SetFailure(
        last_failure, result_code::kSettingsKeyMalformed,
        fmt::format("the key has {} characters; {} hexadecimal digits, which "
                    "are {} bytes, are needed",
                    digits.size(), 2 * kLinkKeyBytes, kLinkKeyBytes));
    return std::nullopt;
  }
  for (std::size_t i = 0; i < kLinkKeyBytes; ++i) {
    key.at(i) = static_cast<std::uint8_t>(DigitValue(digits[2 * i]) * 16 +
                                          DigitValue(digits[2 * i + 1]));
  }
  return key;
}

std::optional<std::string> ReadFile(const std::string& path,
                                    failure* last_failure) {
  std::ifstream file(path, std::ios::binary);
  std::string text;
  std::array<char, kReadBytes> part{};
  while (text.size() <= kMaxSettingsBytes && file.good()) {
    file.read(part.data(), part.size());
    text.append(part.data(), static_cast<std::size_t>(file.gcount()));
  }
  if (!file.is_open() || file.bad()) {
    SetFailure(last_failure, result_code::kSettingsFileUnreadable,
               fmt::format("\"{}\" can't be read", path));
    return std::nullopt;
  }
  if (text.size() > kMaxSettingsBytes) {
    SetFailure(
        last_failure, result_code::kDocumentTooLarge,
        fmt::format("\"{}\" has more than {} bytes", path, kMaxSettingsBytes));
    return std::nullopt;
  }
  return text;
}

std::optional<controld_settings> ParseControldSettings(
    std::string_view text, std::vector<failure>* failures) {
  return Parse(text, &ReadControld, failures);
}

std::optional<balancerd_settings> ParseBalancerdSettings(
    std::string_view text, std::vector<failure>* failures) {
  return Parse(text, &ReadBalancerd, failures);
}

std::optional<targetd_settings> ParseTargetdSettings(
    std::string_view text, std::vector<failure>* failures) {
  return Parse(text, &ReadTargetd, failures);
}

std::optional<controld_settings> LoadControldSettings(
    const std::string& path, std::vector<failure>* failures) {
  return Load(path, &ReadControld, failures);
}

std::optional<balancerd_settings> LoadBalancerdSettings(
    const std::string& path, std::vector<failure>* failures) {
  return Load(path, &ReadBalancerd, failures);
}

std::optional<targetd_settings> LoadTargetdSettings(
    const std::string& path, std::vector<failure>* failures) {
  return Load(path, &ReadTargetd, failures);
}

}  // namespace tamaracklatch
