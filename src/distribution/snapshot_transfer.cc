// Sending and receiving of snapshots in parts.
#include "tamaracklatch/distribution/snapshot_transfer.h"

#include <cassert>
#include <utility>

#include "tamaracklatch/control/view_codec.h"

namespace tamaracklatch {
namespace {

// Adds the records of `view` after the part's position until the part is full.
class record_filler {
 public:
  record_filler(const cluster_view& view, std::optional<service_id> service,
                std::size_t max_bytes, snapshot_part* part)
      : view_(view), service_(service), max_bytes_(max_bytes), part_(part) {}

  void Fill() {
    if (!part_->position.services_done && !FillServices()) return;
    part_->position.services_done = true;
    part_->is_last = FillTargets();
  }

 private:
  // Returns whether all services were added.
  bool FillServices() {
    auto next = view_.services.upper_bound(part_->position.last_service);
    for (; next != view_.services.end(); ++next) {
      if (size_ >= max_bytes_) return false;
      part_->position.last_service = next->first;
      if (service_ && next->first != *service_) continue;
      Add(service_put{next->second});
    }
    return true;
  }

  bool FillTargets() {
    auto next = view_.targets.upper_bound(part_->position.last_target);
    for (; next != view_.targets.end(); ++next) {
      if (size_ >= max_bytes_) return false;
      part_->position.last_target = next->first;
      if (service_ && next->second.service != *service_) continue;
      Add(target_put{next->second});
    }
    return true;
  }

  void Add(const view_change& change) {
    part_->records.push_back(EncodeChange(change));
    size_ += part_->records.back().size();
  }

  const cluster_view& view_;
  std::optional<service_id> service_;
  std::size_t max_bytes_;
  snapshot_part* part_;
  std::size_t size_ = 0;
};

bool ApplyEncoded(const std::string& bytes, cluster_view* view) {
  auto change = DecodeChange(bytes);
  if (!change) return false;
  // cluster_view::Apply accepts only rising revisions, so each change is
  // applied from 0 to 1; snapshot_reader sets the revision after the whole
  // part.
  view->at = revision{0};
  view->Apply({revision{1}, {std::move(*change)}});
  return true;
}

}  // namespace

snapshot_part NextSnapshotPart(const cluster_view& view, const change_log& log,
                               std::optional<service_id> service,
                               const snapshot_position& from,
                               std::size_t max_bytes) {
  snapshot_part part;
  part.from = from;
  part.position = from;
  const bool continues =
      from.at.value != 0 && from.at >= log.floor() && from.at <= log.newest();
  if (!continues) {
    part.restarts = true;
    part.position = snapshot_position{};
  } else {
    auto missed = log.Read(from.at, service, max_bytes);
    part.catch_up = std::move(missed.revisions);
    if (missed.to < log.newest()) {
      part.position.at = missed.to;
      return part;
    }
  }
  part.position.at = log.newest();
  record_filler(view, service, max_bytes, &part).Fill();
  return part;
}

void snapshot_reader::Reset() {
  position_ = snapshot_position{};
  view_ = cluster_view{};
  done_ = false;
}

bool snapshot_reader::OnPart(const snapshot_part& part) {
  if (done_ || !(part.from == position_)) return true;
  if (part.restarts) Reset();
  for (const encoded_revision& entry : part.catch_up) {
    for (const encoded_change& change : entry.changes) {
      if (ApplyEncoded(change.bytes, &view_)) continue;
      Reset();
      return false;
    }
  }
  for (const std::string& record : part.records) {
    if (ApplyEncoded(record, &view_)) continue;
    Reset();
    return false;
  }
  position_ = part.position;
  view_.at = part.position.at;
  done_ = part.is_last;
  return true;
}

cluster_view snapshot_reader::TakeView() {
  assert(done_);
  cluster_view taken = std::move(view_);
  Reset();
  return taken;
}

}  // namespace tamaracklatch
