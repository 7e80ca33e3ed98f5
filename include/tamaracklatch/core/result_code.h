// Numbered result codes. A function that can fail returns std::optional and
// leaves the last reason in a `failure`. docs/RESULT_CODES.md explains every
// number; continuous integration checks that the two agree.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tamaracklatch {

// Each slice numbers its codes in a block of its own. A number is never used
// again for another meaning.
enum class result_code : std::uint16_t {
  kOk = 0,

  // core: 100 to 199
  kBadAddress = 100,
  kBadEndpoint = 101,
  kBadRange = 102,

  // document and settings: 200 to 299
  kDocumentSyntax = 200,
  kDocumentUnknownKey = 201,
  kDocumentMissingKey = 202,
  kDocumentWrongType = 203,
  kDocumentOutOfRange = 204,
  kDocumentDuplicate = 205,
  kDocumentTooLarge = 206,
  kSettingsFileUnreadable = 220,
  kSettingsConflict = 221,
  kSettingsKeyMalformed = 222,

  // transport: 300 to 399
  kFrameTooLarge = 300,
  kFrameMalformed = 301,
  kLinkUnauthenticated = 302,
  kLinkClosed = 303,
  kLinkVersion = 304,

  // consensus: 400 to 499
  kLogBroken = 400,
  kDiskFull = 401,
  kSyncFailed = 402,
  kSnapshotBroken = 403,
  kStorageUnreadable = 404,
  kCommandTooLarge = 405,
  kLogBusy = 406,
  kVoterChangePending = 407,
  kMemberUnknown = 408,
  kQuorumAtRisk = 409,
  kStorageStopped = 410,

  // control: 500 to 599
  kVersionConflict = 500,
  kVersionStale = 501,
  kVersionGap = 502,
  kOutcomeUnknown = 503,
  kNotLeader = 504,
  kUnauthorized = 505,
  kServiceUnknown = 506,
  kAddressTaken = 507,
  kTargetUnknown = 520,
  kSetInvalid = 530,
  kSetSuperseded = 531,
  kSetUnknown = 532,
  kZoneUnknown = 540,
  kRulesTooLarge = 541,
  kZoneOrderMalformed = 542,
  kProcessPaused = 543,
  kCommandMalformed = 508,
  kSnapshotMalformed = 509,
  kTooManyWaiting = 510,

  // distribution: 600 to 699
  kRevisionUnconfirmed = 600,

  // membership: 700 to 799
  kTargetNotEligible = 700,
  kTargetServiceUnknown = 701,
  kTargetSuperseded = 702,
  kLeaseTableFull = 703,

  // placement and flow: 800 to 899
  kEnvelopeTruncated = 800,
  kEnvelopeMalformed = 801,
  kEnvelopeVersion = 802,
  kEnvelopeUnauthentic = 803,
  kWrongService = 804,
  kWrongIncarnation = 805,
  kPacketTruncated = 806,
  kPacketMalformed = 807,
  kPacketUnsupported = 808,
  kAddressUnknown = 809,
  kNoOpenTarget = 810,
  kFlowUnknown = 811,
  kFlowTableFull = 812,
  kHopLimit = 813,
  kHoldLimit = 814,
  kViewUnconfirmed = 815,
  kHeldReportMalformed = 816,
  kFlowStuck = 820,
  kFlowIdle = 821,
  kFlowDrainLimit = 822,
  kFlowEnded = 823,
  kRouteUnknown = 830,
  kNoTarget = 831,
  kSearchEnded = 832,
  kNotThisTarget = 833,
  kSegmentMalformed = 834,
  kFlowLost = 835,
  kTargetDraining = 836,
  kTargetFull = 837,
  kOtherTargetChosen = 838,
  kZoneEvacuated = 839,
  kTargetCold = 840,

  // admission and request: 900 to 999
  kClassUnknown = 900,
  kQueueFull = 901,
  kCallerLimit = 902,
  kDeadlineUnmeetable = 903,
  kDeadlinePassed = 904,
  kDraining = 905,
  kKeyMalformed = 906,
  kKeyFromFuture = 907,
  kKeyReused = 908,
  kKeyMoving = 909,
  kAnswerForgotten = 910,
  kTargetShed = 911,
  kTargetUnreachable = 912,
  kAnswerBroken = 913,
  kTooManyResends = 914,
  kKeyClosed = 915,

  // timeline: 1000 to 1099
  kTimelineLineMalformed = 1000,
  kTimelineFileUnreadable = 1001,
  kTimelineBadFilter = 1002,

  // daemon: 1100 to 1199
  kUsage = 1100,
  kBindFailed = 1101,

  // roster: 1200 to 1299
  kRosterMessageMalformed = 1200,
  kHeartbeatMalformed = 1201,
  kHeartbeatStale = 1202,
  kHeartbeatForeign = 1203,
};

// The code's name as docs and answers write it: "version_conflict".
std::string_view ToString(result_code code);

// The last reason why something failed.
struct failure {
  result_code code = result_code::kOk;
  std::string reason;  // for a person; names the key and the value concerned
};

// Fills `last_failure`, if there is one.
void SetFailure(failure* last_failure, result_code code, std::string reason);

// "version_conflict (500): …", as logs and the command line print it.
std::string ToString(const failure& what);

}  // namespace tamaracklatch
