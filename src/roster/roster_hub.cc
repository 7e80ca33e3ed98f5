// Hearing nodes and telling them of each other.
#include "tamaracklatch/roster/roster_hub.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "roster/roster_messages.h"
#include "roster/set_history.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;

constexpr duration kShortestInterval = milliseconds(250);
constexpr duration kLongestInterval = std::chrono::seconds(60);
constexpr std::size_t kNodesAtShortestInterval = 500;
constexpr duration kIntervalPerNode = std::chrono::microseconds(500);
constexpr duration kPushDelayPerNode = std::chrono::microseconds(50);
constexpr duration kLoadIntervalPerNode = milliseconds(10);
// A change of load by less than this share of the slots is told later.
constexpr std::uint64_t kSmallLoadShare = 8;
constexpr int kSmallLoadFactor = 4;
// A call that comes later than due by more than this was held up.
constexpr duration kLate = milliseconds(100);
constexpr std::size_t kAnswerDatagrams = 24;
constexpr std::size_t kPushDatagrams = 4;

duration Silence(duration interval) { return interval * 44 / 10; }

// Whether records of one start differ in nothing but load and cold time.
bool IsLoadOnly(const node_record& left, const node_record& right) {
  return left.role == right.role && left.zone == right.zone &&
         left.leaving == right.leaving && left.operators == right.operators &&
         left.service == right.service && left.condition == right.condition &&
         left.slots == right.slots && left.target_start == right.target_start;
}

bool IsSmallLoadChange(const node_record& record, std::uint32_t told) {
  const std::uint64_t change =
      record.load > told ? record.load - told : told - record.load;
  return change * kSmallLoadShare < std::uint64_t{record.slots} * 256;
}

}  // namespace

roster_hub::roster_hub(const roster_hub_settings& settings,
                       std::uint64_t instance, time_point now,
                       event_listener* listener)
    : settings_(settings),
      listener_(listener),
      instance_(instance),
      started_(now),
      called_(now),
      tick_(now),
      interval_(kShortestInterval),
      held_interval_(kShortestInterval),
      documents_(std::make_unique<set_history>()) {
  assert(instance != 0);
  assert(settings.silence > duration(0));
}

roster_hub::~roster_hub() = default;
roster_hub::roster_hub(roster_hub&&) noexcept = default;
roster_hub& roster_hub::operator=(roster_hub&&) noexcept = default;

duration roster_hub::silence() const {
  return std::max(settings_.silence, held_interval_ > kShortestInterval
                                         ? Silence(held_interval_)
                                         : duration(0));
}

duration roster_hub::memory() const {
  return std::max(settings_.memory, 2 * silence());
}

duration roster_hub::load_interval() const {
  return std::max(settings_.load_interval,
                  kLoadIntervalPerNode * static_cast<std::int64_t>(alive_));
}

void roster_hub::Notice(time_point now) {
  const duration late = now - std::max(called_, next_wake());
  if (late > silence()) {
    StartOver(now);
  } else if (late > kLate) {
    held_up_ += late;
  }
  called_ = now;
}

void roster_hub::StartOver(time_point now) {
  instance_ =
      HashPair(instance_,
               static_cast<std::uint64_t>(now.time_since_epoch().count())) |
      1U;
  started_ = now;
  position_ = 0;
  forgotten_ = 0;
  alive_ = 0;
  push_at_.reset();
  heard_.clear();
  lost_.clear();
  by_position_.clear();
  peers_.clear();
  entries_.clear();
}

void roster_hub::AdjustInterval(time_point now) {
  interval_ = kShortestInterval;
  if (alive_ > kNodesAtShortestInterval) {
    interval_ = std::clamp(kIntervalPerNode * static_cast<std::int64_t>(alive_),
                           kShortestInterval, kLongestInterval);
  }
  if (interval_ >= held_interval_) {
    held_interval_ = interval_;
    held_until_ = now + 2 * held_interval_;
  } else if (now >= held_until_) {
    held_interval_ = interval_;
  }
}

void roster_hub::Expire(time_point now) {
  while (!heard_.empty() && heard_.front()->heard_run + silence() <= Run(now)) {
    peer* node = heard_.front();
    lost_.splice(lost_.end(), heard_, node->place);
    node->is_lost = true;
    if (node->entry->liveness == node_liveness::kAlive)
      SetLiveness(node, node_liveness::kSilent, now);
  }
  while (!lost_.empty() && lost_.front()->heard + silence() + memory() <= now) {
    peer* node = lost_.front();
    lost_.pop_front();
    by_position_.erase(node->position);
    forgotten_ = std::max(forgotten_, node->position);
    const endpoint where = node->entry->record.where;
    peers_.erase(where);
    entries_.erase(where);
  }
}

roster_hub::sends roster_hub::OnTick(time_point now) {
  sends out;
  Notice(now);
  tick_ = now + settings_.silence / 4;
  AdjustInterval(now);
  Expire(now);
  if (push_at_ && now >= *push_at_) Push(now, &out);
  return out;
}

time_point roster_hub::next_wake() const {
  return push_at_ ? std::min(tick_, *push_at_) : tick_;
}

roster_hub::sends roster_hub::OnMessage(const endpoint& from,
                                        std::string_view bytes,
                                        time_point now) {
  sends out;
  Notice(now);
  const std::optional<roster_kind> kind = KindOf(bytes);
  if (kind == roster_kind::kAnnounce) {
    OnAnnounce(from, bytes, now, &out);
  } else if (kind == roster_kind::kFetch) {
    OnFetch(from, bytes, &out);
  } else {
    ++malformed_;
  }
  return out;
}

bool roster_hub::IsFresh(std::uint64_t instance, std::uint64_t stamp,
                         duration age, time_point now) const {
  if (instance != instance_) return false;
  const auto clock = static_cast<std::uint64_t>(now.time_since_epoch().count());
  if (stamp == 0 || stamp > clock) return false;
  // How old the announcement is at most.
  const auto passed = duration(static_cast<std::int64_t>(clock - stamp));
  return passed - age <= settings_.silence;
}

void roster_hub::OnAnnounce(const endpoint& from, std::string_view bytes,
                            time_point now, sends* out) {
  const std::optional<roster_announce> message = DecodeAnnounce(bytes, nullptr);
  if (!message) {
    ++malformed_;
    return;
  }
  const node_record& record = message->record;
  if (!IsFresh(message->instance, message->stamp, message->stamp_age, now)) {
    const std::uint64_t position = message->instance == instance_
                                       ? std::min(message->position, position_)
                                       : 0;
    chunk_cache cache;
    SendUpdate(from, position, message->number, duration(0), 0, 0, now, &cache,
               out);
    return;
  }
  for (const roster_dispute& dispute : message->disputes) {
    const auto found = peers_.find(dispute.where);
    if (found != peers_.end())
      found->second.floor = std::max(found->second.floor, dispute.generation);
  }
  const std::uint64_t known =
      message->position <= position_ ? message->position : 0;
  const auto found = peers_.find(record.where);
  peer* node = found == peers_.end() ? nullptr : &found->second;
  std::uint64_t superseded = 0;
  if (node == nullptr) {
    if (peers_.size() < settings_.max_nodes) node = AddPeer(record, now);
  } else if (record.generation < node->entry->record.generation) {
    superseded = std::max(node->floor, node->entry->record.generation);
    node = nullptr;
  } else if (record.generation == node->entry->record.generation &&
             message->number <= node->number) {
    return;  // came twice, or was overtaken
  } else {
    TakeRecord(node, record, now);
  }
  if (node != nullptr) {
    node->number = message->number;
    if (known > node->known) NoteInView(known, now);
    node->known = known;
    MarkHeard(node, now);
    if (node->floor > record.generation) superseded = node->floor;
  }
  chunk_cache cache;
  SendUpdate(from, known, message->number, duration(0), superseded,
             kAnswerDatagrams, now, &cache, out);
}

roster_hub::peer* roster_hub::AddPeer(const node_record& record,
                                      time_point now) {
  roster_entry& entry = entries_[record.where];
  entry.record = record;
  entry.learned = now;
  entry.liveness =
      record.leaving ? node_liveness::kGone : node_liveness::kAlive;
  peer* node = &peers_[record.where];
  node->entry = &entry;
  node->heard = now;
  node->heard_run = Run(now);
  node->place = heard_.insert(heard_.end(), node);
  if (!record.leaving) {
    ++alive_;
    Report(event_id::kNodeJoined, record);
  }
  Bump(node, true, now);
  return node;
}

void roster_hub::TakeRecord(peer* node, const node_record& record,
                            time_point now) {
  roster_entry& entry = *node->entry;
  if (!record.IsNewerThan(entry.record)) return;
  const bool same = record.IsSameStart(entry.record);
  const bool leaving = record.leaving || (same && entry.record.leaving);
  const bool load_only = same && IsLoadOnly(entry.record, record);
  if (!same && entry.liveness != node_liveness::kGone)
    Report(event_id::kNodeGone, entry.record);
  entry.record = record;
  entry.record.leaving = leaving;
  entry.learned = now;
  if (!same) {
    node->number = 0;
    Report(event_id::kNodeJoined, record);
  }
  const node_liveness liveness =
      leaving ? node_liveness::kGone
              : (same ? entry.liveness : node_liveness::kAlive);
  if (liveness != entry.liveness) {
    SetLiveness(node, liveness, now);
  } else if (!load_only) {
    Bump(node, true, now);
  }
}

// The change may have been overtaken by a newer one of the same node.
void roster_hub::NoteInView(std::uint64_t position, time_point now) {
  const auto change = by_position_.find(position);
  if (change != by_position_.end()) in_view_.Add(now - change->second->told_at);
}

// Puts off small changes, and tells those put off earlier.
void roster_hub::MarkHeard(peer* node, time_point now) {
  node->heard = now;
  node->heard_run = Run(now);
  std::list<peer*>& list = node->is_lost ? lost_ : heard_;
  heard_.splice(heard_.end(), list, node->place);
  node->is_lost = false;
  const node_record& record = node->entry->record;
  if (node->entry->liveness == node_liveness::kSilent) {
    SetLiveness(node, node_liveness::kAlive, now);
  } else if (node->told_sequence != record.sequence) {
    const duration least = IsSmallLoadChange(record, node->told_load)
                               ? kSmallLoadFactor * load_interval()
                               : load_interval();
    if (now - node->told_at >= least) Bump(node, false, now);
  }
}

void roster_hub::SetLiveness(peer* node, node_liveness liveness,
                             time_point now) {
  roster_entry& entry = *node->entry;
  if (entry.liveness == node_liveness::kAlive) --alive_;
  if (liveness == node_liveness::kAlive) ++alive_;
  if (liveness == node_liveness::kSilent)
    Report(event_id::kNodeSilent, entry.record);
  if (liveness == node_liveness::kGone)
    Report(event_id::kNodeGone, entry.record);
  entry.liveness = liveness;
  Relearn(&entry, now);
  Bump(node, true, now);
}

void roster_hub::Bump(peer* node, bool urgent, time_point now) {
  if (node->position != 0) by_position_.erase(node->position);
  node->position = ++position_;
  by_position_.emplace_hint(by_position_.end(), node->position, node);
  node->told_sequence = node->entry->record.sequence;
  node->told_load = node->entry->record.load;
  node->told_at = now;
  if (!urgent || push_at_) return;
  push_at_ =
      now + std::max(settings_.push_delay,
                     kPushDelayPerNode * static_cast<std::int64_t>(alive_));
}

void roster_hub::Push(time_point now, sends* out) {
  push_at_.reset();
  chunk_cache cache;
  for (auto each = heard_.rbegin(); each != heard_.rend(); ++each) {
    const peer& node = **each;
    if (node.heard_run + silence() <= Run(now)) break;
    SendUpdate(node.entry->record.where, node.known, node.number,
               now - node.heard, 0, kPushDatagrams, now, &cache, out);
  }
}

const std::vector<roster_hub::chunk>& roster_hub::Chunks(
    std::uint64_t from, std::size_t most, time_point now,
    chunk_cache* cache) const {
  const auto [place, is_new] = cache->try_emplace(from);
  std::vector<chunk>& chunks = place->second;
  if (!is_new) return chunks;
  entry_writer writer;
  std::uint64_t to = from;
  for (auto next = by_position_.upper_bound(from); next != by_position_.end();
       ++next) {
    const roster_entry& entry = *next->second->entry;
    const duration cold = ColdAt(entry, now);
    if (!writer.Add(entry.record, entry.liveness, cold)) {
      chunks.push_back({to, writer.Take()});
      if (chunks.size() == most) return chunks;
      writer.Add(entry.record, entry.liveness, cold);
    }
    to = next->first;
  }
  chunks.push_back({position_, writer.Take()});
  return chunks;
}

// With `most` 0 the announcement was not proven to be fresh.
void roster_hub::SendUpdate(const endpoint& to, std::uint64_t from,
                            std::uint64_t echo, duration echo_age,
                            std::uint64_t superseded, std::size_t most,
                            time_point now, chunk_cache* cache,
                            sends* out) const {
  roster_update update;
  update.instance = instance_;
  update.echo = echo;
  update.echo_age = echo_age;
  update.stamp = static_cast<std::uint64_t>(now.time_since_epoch().count());
  update.newest = position_;
  update.forgotten = forgotten_;
  update.announce_interval = interval_;
  update.settled =
      now - started_ >= settings_.settling + (silence() - settings_.silence);
  update.unproven = most == 0;
  update.superseded = superseded;
  update.documents = documents_->head();
  if (confirmed_)
    update.confirmed =
        set_confirmation{confirmed_->version, now - confirmed_->asked};
  update.from = from;
  update.to = from;
  if (most == 0) {
    out->push_back({to, Encode(update)});
    return;
  }
  for (const chunk& next : Chunks(from, most, now, cache)) {
    update.to = next.to;
    update.entries = next.entries;
    out->push_back({to, Encode(update)});
    update.from = next.to;
  }
}

void roster_hub::OnFetch(const endpoint& from, std::string_view bytes,
                         sends* out) {
  const std::optional<set_fetch> message = DecodeFetch(bytes, nullptr);
  if (!message) {
    ++malformed_;
    return;
  }
  if (message->version != documents_->head().version) return;
  const std::string delta =
      message->base == 0
          ? std::string()
          : documents_->DeltaFrom(message->base, message->base_hash);
  const std::string_view whole =
      delta.empty() ? documents_->bytes() : std::string_view(delta);
  if (message->offset >= whole.size()) return;
  set_part part;
  part.version = message->version;
  part.size = whole.size();
  part.offset = message->offset;
  part.bytes = std::string(whole.substr(message->offset, kMaxSetPart));
  part.base = delta.empty() ? 0 : message->base;
  out->push_back({from, Encode(part)});
}

void roster_hub::SetDocuments(std::uint64_t version, std::string bytes,
                              time_point now) {
  if (version <= documents_->head().version) return;
  documents_->Add(version, std::move(bytes));
  if (!push_at_)
    push_at_ =
        now + std::max(settings_.push_delay,
                       kPushDelayPerNode * static_cast<std::int64_t>(alive_));
}

void roster_hub::OnQuorumConfirmed(std::uint64_t version, time_point asked) {
  if (!confirmed_ || asked > confirmed_->asked) confirmed_ = {version, asked};
}

void roster_hub::Report(event_id id, const node_record& record) const {
  if (listener_ == nullptr) return;
  event what;
  what.id = id;
  what.service = record.service;
  what.peer = ToString(record.where);
  what.detail = "generation " + std::to_string(record.generation) +
                ", sequence " + std::to_string(record.sequence) +
                ", at this control VM";
  listener_->OnEvent(what);
}

}  // namespace tamaracklatch
