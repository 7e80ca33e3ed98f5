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
    case result_code::kSettingsConflict:
      return "settings_conflict";
    case result_code::kSettingsKeyMalformed:
      return "settings_key_malformed";
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
    case result_code::kTargetUnknown:
      return "target_unknown";
    case result_code::kCommandMalformed:
      return "command_malformed";
    case result_code::kSnapshotMalformed:
      return "snapshot_malformed";
    case result_code::kTooManyWaiting:
      return "too_many_waiting";
    case result_code::kRevisionUnconfirmed:
      return "revision_unconfirmed";
    case result_code::kTargetNotEligible:
      return "target_not_eligible";
    case result_code::kTargetServiceUnknown:
      return "target_service_unknown";
    case result_code::kTargetSuperseded:
      return "target_superseded";
    case result_code::kLeaseTableFull:
      return "lease_table_full";
    case result_code::kEnvelopeTruncated:
      return "envelope_truncated";
    case result_code::kEnvelopeMalformed:
      return "envelope_malformed";
    case result_code::kEnvelopeVersion:
      return "envelope_version";
    case result_code::kEnvelopeUnauthentic:
      return "envelope_unauthentic";
    case result_code::kWrongService:
      return "wrong_service";
    case result_code::kWrongIncarnation:
      return "wrong_incarnation";
    case result_code::kPacketTruncated:
      return "packet_truncated";
    case result_code::kPacketMalformed:
      return "packet_malformed";
    case result_code::kPacketUnsupported:
      return "packet_unsupported";
    case result_code::kAddressUnknown:
      return "address_unknown";
    case result_code::kNoOpenTarget:
      return "no_open_target";
    case result_code::kFlowUnknown:
      return "flow_unknown";
    case result_code::kFlowTableFull:
      return "flow_table_full";
    case result_code::kHopLimit:
      return "hop_limit";
    case result_code::kHoldLimit:
      return "hold_limit";
    case result_code::kViewUnconfirmed:
      return "view_unconfirmed";
    case result_code::kHeldReportMalformed:
      return "held_report_malformed";
    case result_code::kFlowStuck:
      return "flow_stuck";
    case result_code::kFlowIdle:
      return "flow_idle";
    case result_code::kFlowDrainLimit:
      return "flow_drain_limit";
    case result_code::kFlowEnded:
      return "flow_ended";
    case result_code::kTimelineLineMalformed:
      return "timeline_line_malformed";
    case result_code::kTimelineFileUnreadable:
      return "timeline_file_unreadable";
    case result_code::kTimelineBadFilter:
      return "timeline_bad_filter";
    case result_code::kClassUnknown:
      return "class_unknown";
    case result_code::kQueueFull:
      return "queue_full";
    case result_code::kCallerLimit:
      return "caller_limit";
    case result_code::kDeadlineUnmeetable:
      return "deadline_unmeetable";
    case result_code::kDeadlinePassed:
      return "deadline_passed";
    case result_code::kDraining:
      return "draining";
    case result_code::kKeyMalformed:
      return "key_malformed";
    case result_code::kKeyFromFuture:
      return "key_from_future";
    case result_code::kKeyReused:
      return "key_reused";
    case result_code::kKeyMoving:
      return "key_moving";
    case result_code::kAnswerForgotten:
      return "answer_forgotten";
    case result_code::kTargetShed:
      return "target_shed";
    case result_code::kTargetUnreachable:
      return "target_unreachable";
    case result_code::kAnswerBroken:
      return "answer_broken";
    case result_code::kTooManyResends:
      return "too_many_resends";
    case result_code::kKeyClosed:
      return "key_closed";
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
