// Names of the events.
#include "tamaracklatch/core/event_id.h"

namespace tamaracklatch {

std::string_view ToString(event_id id) {
  switch (id) {
    case event_id::kProcessStarted:
      return "process_started";
    case event_id::kProcessStopping:
      return "process_stopping";
    case event_id::kProcessStopped:
      return "process_stopped";
    case event_id::kAddressNotOpened:
      return "address_not_opened";
    case event_id::kTimelineDropped:
      return "timeline_dropped";
    case event_id::kLinkUp:
      return "link_up";
    case event_id::kLinkDown:
      return "link_down";
    case event_id::kLinkRefused:
      return "link_refused";
    case event_id::kLeaderElected:
      return "leader_elected";
    case event_id::kLeaderSteppedDown:
      return "leader_stepped_down";
    case event_id::kVotingStopped:
      return "voting_stopped";
    case event_id::kSnapshotTaken:
      return "snapshot_taken";
    case event_id::kSnapshotInstalled:
      return "snapshot_installed";
    case event_id::kLogTailRepaired:
      return "log_tail_repaired";
    case event_id::kVotersChanged:
      return "voters_changed";
    case event_id::kClusterFounded:
      return "cluster_founded";
    case event_id::kClusterJoined:
      return "cluster_joined";
    case event_id::kMemberWaiting:
      return "member_waiting";
    case event_id::kClusterMismatch:
      return "cluster_mismatch";
    case event_id::kSubmissionAccepted:
      return "submission_accepted";
    case event_id::kSubmissionRefused:
      return "submission_refused";
    case event_id::kInForceEverywhere:
      return "in_force_everywhere";
    case event_id::kNodeNotHeard:
      return "node_not_heard";
    case event_id::kRevisionApplied:
      return "revision_applied";
    case event_id::kSnapshotApplied:
      return "snapshot_applied";
    case event_id::kParentChanged:
      return "parent_changed";
    case event_id::kStartConfirmed:
      return "start_confirmed";
    case event_id::kTargetJoined:
      return "target_joined";
    case event_id::kTargetDraining:
      return "target_draining";
    case event_id::kTargetLeft:
      return "target_left";
    case event_id::kTargetRefused:
      return "target_refused";
    case event_id::kLossDoubted:
      return "loss_doubted";
    case event_id::kFlowOpened:
      return "flow_opened";
    case event_id::kFlowClosed:
      return "flow_closed";
    case event_id::kFlowRefused:
      return "flow_refused";
    case event_id::kEnvelopeDropped:
      return "envelope_dropped";
    case event_id::kRequestRefused:
      return "request_refused";
    case event_id::kAnswerDropped:
      return "answer_dropped";
    case event_id::kKeyOutcomeUnknown:
      return "key_outcome_unknown";
    case event_id::kSlotsChanged:
      return "slots_changed";
    case event_id::kTargetEjected:
      return "target_ejected";
    case event_id::kTargetRestored:
      return "target_restored";
  }
  return "unknown";
}

}  // namespace tamaracklatch
