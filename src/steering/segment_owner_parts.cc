// Searches in parts: where the possible owners are more than one search visits,
// the daemon at which a search ends splits it, and answers the caller once all
// parts have ended without an owner.
#include <algorithm>

#include "steering/recent_flows.h"
#include "steering/search_collector.h"
#include "steering/target_directory.h"
#include "tamaracklatch/steering/segment_owner.h"

namespace tamaracklatch {
namespace {

// Daemons of a part on average. A part is as slow as its visits are many, and
// costs one message more than these.
constexpr std::size_t kMeanPart = kMaxSteeringVisits / 3;

}  // namespace

// Splits a search that could not visit all possible owners. False if a reset
// could not follow from it.
bool segment_owner::BeginParts(const steering_header& header,
                               const segment& received, time_point now,
                               std::vector<segment_action>* actions) {
  const bool may_reset = header.parts == 0 && header.confirmed &&
                         !header.uncertain && roster_confirmed_ &&
                         !received.tcp.rst;
  const std::size_t owners = targets_->ListOwners(header, now).size();
  const std::size_t parts = (owners + kMeanPart - 1) / kMeanPart;
  if (!may_reset || owners <= kMaxSteeringVisits || parts > kMaxSearchParts)
    return false;
  steering_header part = header;
  part.visit_count = 0;
  part.parts = static_cast<std::uint8_t>(parts);
  part.collector = settings_.self;
  std::uint64_t missing = 0;
  std::vector<target_index> first(parts, kNoTargetIndex);
  for (std::size_t at = 0; at < parts; ++at) {
    part.part = static_cast<std::uint8_t>(at);
    first[at] = targets_->NextInPart(part, settings_.self);
    if (first[at] != kNoTargetIndex) missing |= std::uint64_t{1} << at;
  }
  collected_search begun;
  begun.header = header;
  begun.key = received.key;
  begun.reset = codec_->BuildReset(received);
  begun.nodes = {node_};
  begun.possible_owners = header.possible_owners;
  if (!collector_->Begin(begun, missing, now)) return true;
  ++counters_.split_searches;
  for (std::size_t at = 0; at < parts; ++at) {
    if (first[at] == kNoTargetIndex) continue;
    part.part = static_cast<std::uint8_t>(at);
    Pass(first[at], part, received, actions);
  }
  return true;
}

// Passes the segment to the next daemon of its part, or sends the outcome to
// the collector.
void segment_owner::ContinuePart(steering_header header,
                                 const segment& received, bool is_sure,
                                 time_point now,
                                 std::vector<segment_action>* actions) {
  const bool visited = RecordVisit(&header, is_sure, now);
  const target_index next = targets_->NextInPart(header, settings_.self);
  if (visited && next != kNoTargetIndex &&
      header.visit_count < kMaxSteeringVisits) {
    ++counters_.searched;
    Pass(next, header, received, actions);
    return;
  }
  steering_header outcome = header;
  outcome.kind = steering_kind::kPartEnded;
  outcome.uncertain = header.uncertain || !visited || next != kNoTargetIndex;
  actions->push_back(send_notice{header.collector, outcome});
  Discard(result_code::kSearchEnded, actions);
}

void segment_owner::OnPartEnded(const steering_header& outcome, time_point now,
                                std::vector<segment_action>* actions) {
  const auto ended = collector_->Add(outcome, now);
  if (!ended) return;
  targets_->ListOwners(ended->header, now);
  const bool is_unowned = roster_confirmed_ && !ended->uncertain &&
                          ended->possible_owners <= ended->nodes.size() &&
                          targets_->AllAmong(ended->nodes);
  SendNotOwnerHint(steering_kind::kUnknown, ended->header, actions);
  if (!is_unowned) return;
  if (reported_endings_->Insert(ended->header.flow, now)) {
    ReportEvent(event_id::kSegmentReset, ended->header.flow, ended->key,
                result_code::kSearchEnded, "", "searched in parts");
  }
  counters_.reset.Add(result_code::kSearchEnded);
  actions->push_back(answer_caller{ended->key, ended->reset});
}

}  // namespace tamaracklatch
