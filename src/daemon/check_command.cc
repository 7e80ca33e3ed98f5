// Telling what a file is, and checking it.
#include "tamaracklatch/daemon/check_command.h"

#include <fmt/format.h>

#include <optional>

#include "core/checked_json.h"
#include "tamaracklatch/control/document_set_text.h"
#include "tamaracklatch/daemon/settings.h"
#include "tamaracklatch/document/service_document.h"

namespace tamaracklatch {
namespace {

constexpr int kAllGood = 0;
constexpr int kFaultFound = 1;
constexpr int kWrongUse = 2;

enum class file_kind : std::uint8_t {
  kDocument,
  kDocumentSet,
  kControld,
  kBalancerd,
  kTargetd,
};

// The kind by the keys that only one kind has. A file of settings has a name;
// a document has none.
file_kind KindOf(const nlohmann::json& json) {
  if (!json.is_object()) return file_kind::kDocument;
  const auto any = [&](std::initializer_list<const char*> keys) {
    for (const char* key : keys) {
      if (json.contains(key)) return true;
    }
    return false;
  };
  if (any({kSetRoutesKey})) return file_kind::kDocumentSet;
  if (any({"addresses", "version", "classes"})) return file_kind::kDocument;
  if (any({"voters", "operators"})) return file_kind::kControld;
  if (any({"target", "capacity", "requests"})) return file_kind::kTargetd;
  if (any({"packets", "control", "flow_cache_entries"}))
    return file_kind::kBalancerd;
  return any({"name", "vm", "zone"}) ? file_kind::kControld
                                     : file_kind::kDocument;
}

// What the file holds, for a person; nothing where it has faults.
std::optional<std::string> Describe(const std::string& path,
                                    const std::string& text, file_kind kind,
                                    std::vector<failure>* failures) {
  switch (kind) {
    case file_kind::kDocument:
      if (const auto document = ParseDocument(text, failures)) {
        return fmt::format("document of {}, version {}, hash {:016x}",
                           document->service, document->version,
                           DocumentHash(*document));
      }
      break;
    case file_kind::kDocumentSet:
      if (const auto set = ParseDocumentSet(text, failures)) {
        return fmt::format("document set, version {}, {} routes, {} services",
                           set->version, set->routes.size(),
                           set->services.size());
      }
      break;
    case file_kind::kControld:
      if (const auto settings = LoadControldSettings(path, failures)) {
        return fmt::format("settings of control daemon {}, {} voters",
                           settings->process.name, settings->voters.size());
      }
      break;
    case file_kind::kBalancerd:
      if (const auto settings = LoadBalancerdSettings(path, failures))
        return fmt::format("settings of balancer {}", settings->process.name);
      break;
    case file_kind::kTargetd:
      if (const auto settings = LoadTargetdSettings(path, failures)) {
        return fmt::format("settings of target daemon {} of {}",
                           settings->process.name, settings->service);
      }
      break;
  }
  return std::nullopt;
}

std::optional<std::string> CheckFile(const std::string& path,
                                     std::vector<failure>* failures) {
  failure why;
  const auto text = ReadFile(path, &why);
  if (!text) {
    failures->push_back(why);
    return std::nullopt;
  }
  const auto json = ParseJsonWithComments(*text, failures);
  if (!json) return std::nullopt;
  return Describe(path, *text, KindOf(*json), failures);
}

}  // namespace

int RunCheck(const std::vector<std::string>& files, std::ostream& out,
             std::ostream& errors) {
  if (files.empty()) {
    errors << ToString(
                  failure{result_code::kUsage, "check needs at least one FILE"})
           << '\n';
    return kWrongUse;
  }
  bool all_good = true;
  for (const std::string& path : files) {
    std::vector<failure> failures;
    const auto description = CheckFile(path, &failures);
    if (description) out << path << ": good: " << *description << '\n';
    for (const failure& fault : failures)
      errors << path << ": " << ToString(fault) << '\n';
    all_good = all_good && description.has_value();
  }
  return all_good ? kAllGood : kFaultFound;
}

}  // namespace tamaracklatch
