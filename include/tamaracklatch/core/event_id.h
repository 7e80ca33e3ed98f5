// Numbered events of the log and the time line. docs/EVENTS.md is their
// catalogue; continuous integration checks it.
#pragma once

#include <cstdint>
#include <string_view>

namespace tamaracklatch {

// Each slice numbers its events in a block of its own. A number is never used
// again for another meaning.
enum class event_id : std::uint16_t {
  // daemon: 1000 to 1099
  kProcessStarted = 1000,
  kProcessStopping = 1001,
  kProcessStopped = 1002,
  kAddressNotOpened = 1003,
  kSettingsReloaded = 1004,
  kSettingsRefused = 1005,
  kTimelineDropped = 1010,
  kLogLinesDropped = 1011,
  kProcessResumed = 1012,

  // transport: 1100 to 1199
  kLinkUp = 1100,
  kLinkDown = 1101,
  kLinkRefused = 1102,

  // consensus: 2000 to 2099
  kLeaderElected = 2000,
  kLeaderSteppedDown = 2001,
  kVotingStopped = 2002,
  kSnapshotTaken = 2003,
  kSnapshotInstalled = 2004,
  kLogTailRepaired = 2005,
  kVotersChanged = 2006,
  kClusterFounded = 2007,
  kClusterJoined = 2008,
  kMemberWaiting = 2009,
  kClusterMismatch = 2010,
  kVoterAdmitted = 2011,
  kVoterRetired = 2012,
  kStorageStalled = 2013,

  // control: 2100 to 2199
  kSubmissionAccepted = 2100,
  kSubmissionRefused = 2101,
  kInForceEverywhere = 2102,
  kNodeNotHeard = 2103,
  kSetAccepted = 2110,
  kSetRefused = 2111,
  kSetApplied = 2112,
  kZoneOrderAccepted = 2113,
  kZoneOrderRefused = 2114,

  // distribution: 2200 to 2299
  kRevisionApplied = 2200,
  kSnapshotApplied = 2201,
  kParentChanged = 2202,
  kStartConfirmed = 2203,

  // membership: 2300 to 2399
  kTargetJoined = 2300,
  kTargetDraining = 2301,
  kTargetLeft = 2302,
  kTargetRefused = 2303,
  kLossDoubted = 2304,
  kTargetEjected = 2320,
  kTargetRestored = 2321,

  // flow: 2400 to 2499
  kFlowOpened = 2400,
  kFlowClosed = 2401,
  kFlowRefused = 2402,
  kEnvelopeDropped = 2403,
  kOpeningPlaced = 2450,
  kOpeningPassed = 2451,
  kFlowClaimed = 2452,
  kClaimDropped = 2453,
  kSearchStarted = 2454,
  kSearchFailed = 2455,
  kSegmentReset = 2456,
  kFlowForgotten = 2457,

  // request: 2500 to 2599
  kRequestRefused = 2500,
  kAnswerDropped = 2501,
  kKeyOutcomeUnknown = 2502,
  kSlotsChanged = 2503,

  // roster: 2600 to 2699
  kNodeJoined = 2600,
  kNodeChanged = 2601,
  kNodeSilent = 2602,
  kNodeGone = 2603,
  kHubLost = 2604,
  kHubRegained = 2605,
  kReadinessChanged = 2606,
  kHeartbeatRefused = 2607,
  kTargetChanged = 2608,
  kViewConfirmed = 2609,
  kTargetProbed = 2610,
  kRulesApplied = 2611,

};

// The event's name as the catalogue writes it: "submission_accepted".
std::string_view ToString(event_id id);

}  // namespace tamaracklatch
