// Shared readers of settings.
#include "daemon/settings_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace tamaracklatch {
namespace {

constexpr std::size_t kMaxNameLength = 64;  // characters
constexpr std::size_t kMaxControl = 16;     // endpoints of control VMs
constexpr std::uint64_t kLeastTimelineBytes = 4096;
constexpr std::uint64_t kMostTimelineBytes = 1ULL << 40U;
constexpr std::array<log_level, 5> kLogLevels{
    log_level::kTrace, log_level::kDebug, log_level::kInfo, log_level::kWarning,
    log_level::kError};

bool IsName(const std::string& text) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), allowed);
}

bool IsWildcard(const ip_address& address) {
  return address == ip_address() || address == MakeV4(0);
}

// Whether the two sockets claim the same port of the same address.
bool Collide(const listening_socket& left, const listening_socket& right) {
  if (left.kind != right.kind || left.where.port != right.where.port)
    return false;
  return left.where.address == right.where.address ||
         IsWildcard(left.where.address) || IsWildcard(right.where.address);
}

log_level ReadLogLevel(checked_json* reader) {
  const std::string text = reader->Text("log_level", "info");
  const auto found =
      std::find_if(kLogLevels.begin(), kLogLevels.end(),
                   [&](log_level level) { return ToString(level) == text; });
  if (found != kLogLevels.end()) return *found;
  reader->Fail(
      "log_level", result_code::kDocumentOutOfRange,
      fmt::format("\"{}\" is not trace, debug, info, warning or error", text));
  return log_level::kInfo;
}

// The key itself or the path of its file: one of the two.
void ReadLinkKey(checked_json* reader, process_settings* process) {
  process->link_key_file = reader->Text("link_key_file", "");
  const std::string digits = reader->Text("link_key", "");
  if (digits.empty() == process->link_key_file.empty()) {
    reader->Fail("link_key", result_code::kSettingsConflict,
                 "exactly one of \"link_key\" and \"link_key_file\" is needed");
    return;
  }
  if (digits.empty()) return;
  failure why;
  const auto key = ParseLinkKey(digits, &why);
  if (key) {
    process->link_key = *key;
  } else {
    reader->Fail("link_key", why.code, why.reason);
  }
}

}  // namespace

std::string ReadNameSetting(checked_json* reader, const std::string& key,
                            const std::optional<std::string>& fallback) {
  std::string name = reader->Text(key, fallback);
  if (reader->Has(key) && !IsName(name)) {
    reader->Fail(
        key, result_code::kDocumentOutOfRange,
        fmt::format("\"{}\" is not 1 to {} letters, digits, '-', '_' or '.'",
                    name, kMaxNameLength));
  }
  return name;
}

std::optional<endpoint> ReadEndpointSetting(checked_json* reader,
                                            const std::string& key,
                                            bool required) {
  const std::optional<std::string> fallback =
      required ? std::nullopt : std::optional<std::string>("");
  const std::string text = reader->Text(key, fallback);
  if (!reader->Has(key)) return std::nullopt;
  failure why;
  const auto where = ParseEndpoint(text, &why);
  if (!where) {
    reader->Fail(key, why.code, why.reason);
    return std::nullopt;
  }
  if (where->port == 0) {
    reader->Fail(key, result_code::kDocumentOutOfRange,
                 fmt::format("\"{}\": the port is 0", text));
    return std::nullopt;
  }
  return where;
}

endpoint ReadRequiredEndpoint(checked_json* reader, const std::string& key) {
  return ReadEndpointSetting(reader, key, true).value_or(endpoint());
}

std::optional<endpoint> ReadAnnouncedEndpoint(checked_json* reader,
                                              const std::string& key,
                                              bool required) {
  const auto where = ReadEndpointSetting(reader, key, required);
  if (where && IsWildcard(where->address)) {
    reader->Fail(key, result_code::kDocumentOutOfRange,
                 fmt::format("\"{}\": others are told this address, so it "
                             "can't be a wildcard",
                             ToString(*where)));
  }
  return where;
}

endpoint ReadAnnouncedEndpoint(checked_json* reader, const std::string& key) {
  return ReadAnnouncedEndpoint(reader, key, true).value_or(endpoint());
}

std::vector<endpoint> ReadControl(checked_json* reader) {
  std::vector<endpoint> result;
  const std::vector<std::string> texts = reader->Texts("control", true);
  if (texts.size() > kMaxControl) {
    reader->Fail("control", result_code::kDocumentTooLarge,
                 fmt::format("{} endpoints, at most {} are allowed",
                             texts.size(), kMaxControl));
    return result;
  }
  if (reader->Has("control") && texts.empty()) {
    reader->Fail("control", result_code::kDocumentMissingKey,
                 "names no endpoint");
  }
  for (std::size_t i = 0; i < texts.size(); ++i) {
    const std::string key = fmt::format("control[{}]", i);
    failure why;
    const auto where = ParseEndpoint(texts[i], &why);
    if (!where) {
      reader->Fail(key, why.code, why.reason);
      continue;
    }
    if (where->port == 0 || IsWildcard(where->address)) {
      reader->Fail(key, result_code::kDocumentOutOfRange,
                   fmt::format("\"{}\" is no place to connect to", texts[i]));
    }
    if (std::find(result.begin(), result.end(), *where) != result.end()) {
      reader->Fail(key, result_code::kDocumentDuplicate,
                   fmt::format("\"{}\" is named twice", texts[i]));
    }
    result.push_back(*where);
  }
  return result;
}

process_settings ReadProcess(checked_json* reader, bool keeps_files) {
  process_settings result;
  result.name = ReadNameSetting(reader, "name");
  result.vm = ReadNameSetting(reader, "vm");
  result.zone = ReadNameSetting(reader, "zone");
  result.region = ReadNameSetting(reader, "region", result.region);
  ReadLinkKey(reader, &result);
  if (keeps_files) {
    result.data_folder = reader->Text("data_folder");
    if (reader->Has("data_folder") && result.data_folder.empty()) {
      reader->Fail("data_folder", result_code::kDocumentOutOfRange,
                   "\"\" is not a path");
    }
  }
  result.timeline_file = reader->Text("timeline_file", "");
  result.timeline_file_bytes =
      reader->Number("timeline_file_bytes", kLeastTimelineBytes,
                     kMostTimelineBytes, result.timeline_file_bytes);
  result.level = ReadLogLevel(reader);
  return result;
}

void CheckSockets(checked_json* reader,
                  const std::vector<listening_socket>& sockets) {
  for (std::size_t i = 0; i < sockets.size(); ++i) {
    if (sockets[i].where.port == 0) continue;
    for (std::size_t j = 0; j < i; ++j) {
      if (!Collide(sockets[i], sockets[j])) continue;
      reader->Fail(sockets[i].key, result_code::kSettingsConflict,
                   fmt::format("\"{}\" is also the port of \"{}\"",
                               ToString(sockets[i].where), sockets[j].key));
    }
  }
}

}  // namespace tamaracklatch
