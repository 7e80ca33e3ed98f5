// flow_owner: reports of the buckets in which it has flows, sent to the other
// target daemons of the service.
#include <cassert>

#include "flow/flow_owner_parts.h"
#include "flow/flow_table.h"
#include "tamaracklatch/flow/flow_owner.h"

namespace tamaracklatch {

// ---- reports ----

void flow_owner::ListCandidateBuckets() {
  const placed_service* service = table_.Find(settings_.service);
  if (service == nullptr) return;
  const service_placement& placement = *service->current;
  const std::uint32_t buckets = placement.bucket_count();
  if (flows_by_bucket_.size() != buckets) RecountFlowsByBucket();
  candidate_buckets_.assign(buckets / kBitsPerWord, 0);
  for (std::uint32_t bucket = 0; bucket < buckets; ++bucket) {
    const bucket_candidates pair = placement.CandidatesOf(bucket);
    for (const std::uint16_t index : {pair.first, pair.second}) {
      if (index == kNoTarget || placement.targets()[index].id != settings_.self)
        continue;
      candidate_buckets_[bucket / kBitsPerWord] |= std::uint64_t{1}
                                                   << (bucket % kBitsPerWord);
    }
  }
}

// Visits every flow. Called only when the number of buckets changes, which
// happens when the number of targets crosses a power of two.
void flow_owner::RecountFlowsByBucket() {
  const std::uint32_t buckets =
      table_.Find(settings_.service)->current->bucket_count();
  flows_by_bucket_.assign(buckets, 0);
  for (flow_slot slot = 0; slot < flows_->slot_count(); ++slot) {
    const flow_entry& entry = flows_->At(slot);
    if (entry.live) ++flows_by_bucket_[entry.hash & (buckets - 1)];
  }
}

void flow_owner::AdjustBucketCount(std::uint64_t hash, int change) {
  assert(!flows_by_bucket_.empty());
  const std::uint64_t bucket = hash & (flows_by_bucket_.size() - 1);
  std::uint32_t& count = flows_by_bucket_[bucket];
  const bool before = count != 0;
  count = static_cast<std::uint32_t>(static_cast<int>(count) + change);
  const bool ours =
      (candidate_buckets_[bucket / kBitsPerWord] >> (bucket % kBitsPerWord) &
       1U) != 0;
  if (!ours && before != (count != 0)) report_due_ = true;
}

void flow_owner::EncodeReport() {
  held_buckets report;
  report.service = settings_.service;
  report.target = settings_.self;
  report.at = table_.at();
  report.sequence = ++report_count_;
  report.bucket_count = static_cast<std::uint32_t>(flows_by_bucket_.size());
  report.bits = candidate_buckets_;
  for (std::uint32_t bucket = 0; bucket < report.bucket_count; ++bucket) {
    if (flows_by_bucket_[bucket] != 0) report.Set(bucket);
  }
  table_.Apply(report);
  report_bytes_ = EncodeHeldBuckets(report);
}

void flow_owner::SendReportTo(const placed_target& peer,
                              std::vector<owner_action>* actions) {
  envelope message;
  message.kind = envelope_kind::kReport;
  message.service = settings_.service;
  message.at = table_.Find(settings_.service)->changed_at;
  message.origin = settings_.packets;
  message.target = peer.id;
  message.started = peer.started;
  message.payload = report_bytes_;
  ++counters_.reports;
  actions->push_back(send_envelope{peer.packets, message});
}

void flow_owner::SendReport(time_point now,
                            std::vector<owner_action>* actions) {
  report_due_ = false;
  reported_at_ = now;
  const placed_service* service = table_.Find(settings_.service);
  if (service == nullptr) return;
  EncodeReport();
  for (const placed_target& peer : service->current->targets()) {
    if (peer.id != settings_.self) SendReportTo(peer, actions);
  }
}

void flow_owner::OnReport(const envelope& message, time_point now,
                          std::vector<owner_action>* actions) {
  if (message.service != settings_.service) {
    DropPacket(result_code::kWrongService, message, actions);
    return;
  }
  const std::optional<held_buckets> report =
      DecodeHeldBuckets(message.payload, nullptr);
  if (!report || report->service != settings_.service) {
    DropPacket(result_code::kHeldReportMalformed, message, actions);
    return;
  }
  if (table_.Apply(*report) && !report_bytes_.empty()) {
    // The first report of a new target, which does not have this one's yet.
    const placed_service* service = table_.Find(settings_.service);
    SendReportTo(*service->current->Find(report->target), actions);
  }
  if (message.at > table_.at()) RequestView(message.at, now, actions);
  RetryHeldPackets(now, actions);
}

}  // namespace tamaracklatch
