// Owning flows: the buckets in which flows are held, told to the other target
// daemons of the service.
#include <cassert>

#include "flow/flow_owner_parts.h"
#include "flow/flow_table.h"
#include "tamaracklatch/flow/flow_owner.h"

namespace tamaracklatch {

// ---- reports ----

void flow_owner::ListOwnBuckets() {
  const placed_service* service = table_.Find(settings_.service);
  if (service == nullptr) return;
  const service_placement& placement = *service->current;
  const std::uint32_t buckets = placement.bucket_count();
  if (held_flows_.size() != buckets) CountAllFlows();
  own_buckets_.assign(buckets / kBitsPerWord, 0);
  for (std::uint32_t bucket = 0; bucket < buckets; ++bucket) {
    const bucket_candidates two = placement.CandidatesOf(bucket);
    for (const std::uint16_t index : {two.first, two.second}) {
      if (index == kNoTarget || placement.targets()[index].id != settings_.self)
        continue;
      own_buckets_[bucket / kBitsPerWord] |= std::uint64_t{1}
                                             << (bucket % kBitsPerWord);
    }
  }
}

// Looks at every flow; only when the number of buckets changes, which the
// number of targets does at a power of two.
void flow_owner::CountAllFlows() {
  const std::uint32_t buckets =
      table_.Find(settings_.service)->current->bucket_count();
  held_flows_.assign(buckets, 0);
  for (flow_slot slot = 0; slot < flows_->slots(); ++slot) {
    const flow_entry& entry = flows_->At(slot);
    if (entry.live) ++held_flows_[entry.hash & (buckets - 1)];
  }
}

void flow_owner::CountHeld(std::uint64_t hash, int change) {
  assert(!held_flows_.empty());
  const std::uint64_t bucket = hash & (held_flows_.size() - 1);
  std::uint32_t& count = held_flows_[bucket];
  const bool before = count != 0;
  count = static_cast<std::uint32_t>(static_cast<int>(count) + change);
  const bool ours =
      (own_buckets_[bucket / kBitsPerWord] >> (bucket % kBitsPerWord) & 1U) !=
      0;
  if (!ours && before != (count != 0)) report_due_ = true;
}

void flow_owner::EncodeReport() {
  held_buckets report;
  report.service = settings_.service;
  report.target = settings_.self;
  report.at = table_.at();
  report.sequence = ++report_count_;
  report.bucket_count = static_cast<std::uint32_t>(held_flows_.size());
  report.bits = own_buckets_;
  for (std::uint32_t bucket = 0; bucket < report.bucket_count; ++bucket) {
    if (held_flows_[bucket] != 0) report.Set(bucket);
  }
  table_.Apply(report);
  report_bytes_ = EncodeHeldBuckets(report);
}

void flow_owner::SendReportTo(const placed_target& peer,
                              std::vector<owner_action>* actions) {
  envelope what;
  what.kind = envelope_kind::kReport;
  what.service = settings_.service;
  what.at = table_.Find(settings_.service)->changed_at;
  what.origin = settings_.packets;
  what.target = peer.id;
  what.started = peer.started;
  what.payload = report_bytes_;
  ++counters_.reports;
  actions->push_back(send_envelope{peer.packets, what});
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

void flow_owner::OnReport(const envelope& what, time_point now,
                          std::vector<owner_action>* actions) {
  if (what.service != settings_.service) {
    Drop(result_code::kWrongService, what, actions);
    return;
  }
  const std::optional<held_buckets> report =
      DecodeHeldBuckets(what.payload, nullptr);
  if (!report || report->service != settings_.service) {
    Drop(result_code::kHeldReportMalformed, what, actions);
    return;
  }
  if (table_.Apply(*report) && !report_bytes_.empty()) {
    // A newcomer, which does not know ours yet.
    const placed_service* service = table_.Find(settings_.service);
    SendReportTo(*service->current->Find(report->target), actions);
  }
  if (what.at > table_.at()) Pull(what.at, now, actions);
  Retry(now, actions);
}

}  // namespace tamaracklatch
