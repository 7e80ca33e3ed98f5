// Names of the result codes.
#include "tamaracklatch/core/result_code.h"

#include <fmt/format.h>

#include <utility>

namespace tamaracklatch {

std::string_view ToString(result_code code) {
  switch (code) {
    case result_code::kOk:
      return "ok";
    case result_code::kBadAddress:
      return "bad_address";
    case result_code::kBadEndpoint:
      return "bad_endpoint";
    case result_code::kBadRange:
      return "bad_range";
    case result_code::kDocumentSyntax:
      return "document_syntax";
    case result_code::kDocumentUnknownKey:
      return "document_unknown_key";
    case result_code::kDocumentMissingKey:
      return "document_missing_key";
    case result_code::kDocumentWrongType:
      return "document_wrong_type";
    case result_code::kDocumentOutOfRange:
      return "document_out_of_range";
    case result_code::kDocumentDuplicate:
      return "document_duplicate";
    case result_code::kDocumentTooLarge:
      return "document_too_large";
    case result_code::kSettingsFileUnreadable:
      return "settings_file_unreadable";
    case result_code::kFrameTooLarge:
      return "frame_too_large";
    case result_code::kFrameMalformed:
      return "frame_malformed";
    case result_code::kLinkUnauthenticated:
      return "link_unauthenticated";
    case result_code::kLinkClosed:
      return "link_closed";
    case result_code::kLinkVersion:
      return "link_version";
    case result_code::kLogBroken:
      return "log_broken";
    case result_code::kDiskFull:
      return "disk_full";
    case result_code::kSyncFailed:
      return "sync_failed";
    case result_code::kSnapshotBroken:
      return "snapshot_broken";
    case result_code::kStorageUnreadable:
      return "storage_unreadable";
    case result_code::kCommandTooLarge:
      return "command_too_large";
    case result_code::kLogBusy:
      return "log_busy";
    case result_code::kVoterChangePending:
      return "voter_change_pending";
    case result_code::kMemberUnknown:
      return "member_unknown";
    case result_code::kQuorumAtRisk:
      return "quorum_at_risk";
    case result_code::kStorageStopped:
      return "storage_stopped";
    case result_code::kVersionConflict:
      return "version_conflict";
    case result_code::kVersionStale:
      return "version_stale";
    case result_code::kVersionGap:
      return "version_gap";
    case result_code::kOutcomeUnknown:
      return "outcome_unknown";
    case result_code::kNotLeader:
      return "not_leader";
    case result_code::kUnauthorized:
      return "unauthorized";
    case result_code::kServiceUnknown:
      return "service_unknown";
    case result_code::kAddressTaken:
      return "address_taken";
    case result_code::kTargetNotEligible:
      return "target_not_eligible";
    case result_code::kTargetServiceUnknown:
      return "target_service_unknown";
    case result_code::kTargetSuperseded:
      return "target_superseded";
    case result_code::kUsage:
      return "usage";
    case result_code::kBindFailed:
      return "bind_failed";
  }
  return "unknown";
}

void SetFailure(failure* last_failure, result_code code, std::string reason) {
  if (last_failure == nullptr) return;
  last_failure->code = code;
  last_failure->reason = std::move(reason);
}

std::string ToString(const failure& what) {
  return fmt::format("{} ({}): {}", ToString(what.code),
                     static_cast<unsigned>(what.code), what.reason);
}

}  // namespace tamaracklatch
