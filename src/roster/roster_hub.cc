// Receives announcements, tracks the liveness of nodes, and sends updates.
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

// The interval at which nodes are asked to announce grows with the number of
// alive nodes above kNodesAtMinInterval, which bounds the rate of announcements
// at the hub.
constexpr duration kMinAnnounceInterval = milliseconds(250);
constexpr duration kMaxAnnounceInterval = std::chrono::seconds(60);
constexpr std::size_t kNodesAtMinInterval = 500;
constexpr duration kAnnounceIntervalPerNode = std::chrono::microseconds(500);
// Per alive node; settings give the minimum of both.
constexpr duration kPushDelayPerNode = std::chrono::microseconds(50);
constexpr duration kLoadIntervalPerNode = milliseconds(10);
// A change of load by less than 1/kSmallLoadDivisor of the slots is published
// only after kSmallLoadDelayFactor times the load interval.
constexpr std::uint64_t kSmallLoadDivisor = 8;
constexpr int kSmallLoadDelayFactor = 4;
// A call that comes later than due by more than this counts as a stall.
constexpr duration kStallThreshold = milliseconds(100);
// Datagrams of one update: in reply to an announcement, and pushed.
constexpr std::size_t kMaxReplyDatagrams = 24;
constexpr std::size_t kMaxPushDatagrams = 4;

// The silence timeout, 4.4 intervals, of nodes that announce at `interval`.
duration SilenceTimeout(duration interval) { return interval * 44 / 10; }

// Whether records of the same start differ only in load, cold time and service
// time.
bool IsLoadOnly(const node_record& left, const node_record& right) {
  return left.role == right.role && left.zone == right.zone &&
         left.leaving == right.leaving && left.operators == right.operators &&
         left.service == right.service && left.condition == right.condition &&
         left.slots == right.slots && left.target_start == right.target_start &&
         left.may_have_target == right.may_have_target &&
         left.outdated_set == right.outdated_set;
}

bool IsSmallLoadChange(const node_record& record, std::uint32_t published) {
  const std::uint64_t change = record.load > published
                                   ? record.load - published
                                   : published - record.load;
  return change * kSmallLoadDivisor < std::uint64_t{record.slots} * 256;
}

}  // namespace

roster_hub::roster_hub(const roster_hub_settings& settings,
                       std::uint64_t instance, time_point now,
                       event_listener* listener)
    : settings_(settings),
      listener_(listener),
      instance_(instance),
      started_(now),
      last_call_(now),
      next_check_(now),
      interval_(kMinAnnounceInterval),
      longest_interval_(kMinAnnounceInterval),
      documents_(std::make_unique<set_history>()) {
  assert(instance != 0);
  assert(settings.silence_timeout > duration(0));
}

roster_hub::~roster_hub() = default;
roster_hub::roster_hub(roster_hub&&) noexcept = default;
roster_hub& roster_hub::operator=(roster_hub&&) noexcept = default;

duration roster_hub::silence_timeout() const {
  return std::max(settings_.silence_timeout,
                  longest_interval_ > kMinAnnounceInterval
                      ? SilenceTimeout(longest_interval_)
                      : duration(0));
}

duration roster_hub::retention() const {
  return std::max(settings_.retention, 2 * silence_timeout());
}

duration roster_hub::load_interval() const {
  return std::max(settings_.load_interval,
                  kLoadIntervalPerNode * static_cast<std::int64_t>(alive_));
}

// Called first by OnTick and OnMessage. A call that comes late by more than the
// silence timeout resets the hub; a shorter stall is not counted as silence of
// the nodes.
void roster_hub::DetectStall(time_point now) {
  const duration delay = now - std::max(last_call_, next_wake());
  if (delay > silence_timeout()) {
    ResetState(now);
  } else if (delay > kStallThreshold) {
    total_stall_ += delay;
  }
  last_call_ = now;
}

// Discards the roster, under a new instance so that members start over as well.
// The document set, the placement rules and their confirmation stay.
void roster_hub::ResetState(time_point now) {
  instance_ =
      HashPair(instance_,
               static_cast<std::uint64_t>(now.time_since_epoch().count())) |
      1U;
  started_ = now;
  position_ = 0;
  evicted_ = 0;
  alive_ = 0;
  push_at_.reset();
  is_rules_push_due_ = false;  // nodes that announce themselves get the rules
  announcing_.clear();
  overdue_.clear();
  by_position_.clear();
  peers_.clear();
  entries_.clear();
}

// Called at each tick. The longest interval follows a lower interval only after
// a delay, because nodes may still announce at the former one until then.
void roster_hub::AdjustInterval(time_point now) {
  interval_ = kMinAnnounceInterval;
  if (alive_ > kNodesAtMinInterval) {
    interval_ =
        std::clamp(kAnnounceIntervalPerNode * static_cast<std::int64_t>(alive_),
                   kMinAnnounceInterval, kMaxAnnounceInterval);
  }
  if (interval_ >= longest_interval_) {
    longest_interval_ = interval_;
    longest_interval_until_ = now + 2 * longest_interval_;
  } else if (now >= longest_interval_until_) {
    longest_interval_ = interval_;
  }
}

// Called at each tick. Marks nodes past the silence timeout as silent, and
// evicts those past the retention time.
void roster_hub::Expire(time_point now) {
  while (!announcing_.empty() &&
         announcing_.front()->announced_active + silence_timeout() <=
             ActiveTime(now)) {
    peer* node = announcing_.front();
    overdue_.splice(overdue_.end(), announcing_, node->list_place);
    node->is_overdue = true;
    if (node->entry->liveness == node_liveness::kAlive)
      SetLiveness(node, node_liveness::kSilent, now);
  }
  while (!overdue_.empty() &&
         overdue_.front()->announced_at + silence_timeout() + retention() <=
             now) {
    peer* node = overdue_.front();
    overdue_.pop_front();
    by_position_.erase(node->position);
    evicted_ = std::max(evicted_, node->position);
    const endpoint where = node->entry->record.where;
    peers_.erase(where);
    entries_.erase(where);
  }
}

roster_hub::sends roster_hub::OnTick(time_point now) {
  sends out;
  DetectStall(now);
  next_check_ = now + settings_.silence_timeout / 4;
  AdjustInterval(now);
  Expire(now);
  if (push_at_ && now >= *push_at_) Push(now, &out);
  return out;
}

time_point roster_hub::next_wake() const {
  return push_at_ ? std::min(next_check_, *push_at_) : next_check_;
}

roster_hub::sends roster_hub::OnMessage(const endpoint& from,
                                        std::string_view bytes,
                                        time_point now) {
  sends out;
  DetectStall(now);
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

// Whether an announcement with this instance and stamp, which its sender held
// for `age`, is of this hub's instance and no older than the silence timeout of
// the settings.
bool roster_hub::IsFresh(std::uint64_t instance, std::uint64_t stamp,
                         duration age, time_point now) const {
  if (instance != instance_) return false;
  const auto clock = static_cast<std::uint64_t>(now.time_since_epoch().count());
  if (stamp == 0 || stamp > clock) return false;
  // Since the stamp was issued; less `age`, the maximum age of the
  // announcement.
  const auto passed = duration(static_cast<std::int64_t>(clock - stamp));
  return passed - age <= settings_.silence_timeout;
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
  for (const generation_conflict& conflict : message->conflicts) {
    const auto found = peers_.find(conflict.where);
    if (found != peers_.end())
      found->second.reported_generation =
          std::max(found->second.reported_generation, conflict.generation);
  }
  const std::uint64_t acknowledged =
      message->position <= position_ ? message->position : 0;
  const auto found = peers_.find(record.where);
  peer* node = found == peers_.end() ? nullptr : &found->second;
  std::uint64_t superseding_generation = 0;
  if (node == nullptr) {
    if (peers_.size() < settings_.max_nodes) node = AddPeer(record, now);
  } else if (record.generation < node->entry->record.generation) {
    superseding_generation =
        std::max(node->reported_generation, node->entry->record.generation);
    node = nullptr;
  } else if (record.generation == node->entry->record.generation &&
             message->number <= node->last_number) {
    return;  // duplicated or reordered
  } else {
    ApplyRecord(node, record, now);
  }
  if (node != nullptr) {
    node->last_number = message->number;
    if (acknowledged > node->acknowledged) RecordPropagation(acknowledged, now);
    node->acknowledged = acknowledged;
    node->rules_revision = message->rules_revision;
    RecordAnnouncement(node, now);
    if (node->reported_generation > record.generation)
      superseding_generation = node->reported_generation;
  }
  SendRules(from, message->rules_revision, out);
  chunk_cache cache;
  SendUpdate(from, acknowledged, message->number, duration(0),
             superseding_generation, kMaxReplyDatagrams, now, &cache, out);
}

roster_hub::peer* roster_hub::AddPeer(const node_record& record,
                                      time_point now) {
  roster_entry& entry = entries_[record.where];
  entry.record = record;
  entry.changed_at = now;
  entry.liveness =
      record.leaving ? node_liveness::kGone : node_liveness::kAlive;
  peer* node = &peers_[record.where];
  node->entry = &entry;
  node->announced_at = now;
  node->announced_active = ActiveTime(now);
  node->list_place = announcing_.insert(announcing_.end(), node);
  if (!record.leaving) {
    ++alive_;
    Report(event_id::kNodeJoined, record);
  }
  PublishChange(node, true, now);
  return node;
}

void roster_hub::ApplyRecord(peer* node, const node_record& record,
                             time_point now) {
  roster_entry& entry = *node->entry;
  if (!record.IsNewerThan(entry.record)) return;
  const bool is_same_start = record.IsSameStart(entry.record);
  const bool leaving =
      record.leaving || (is_same_start && entry.record.leaving);
  const bool is_load_only = is_same_start && IsLoadOnly(entry.record, record);
  if (!is_same_start && entry.liveness != node_liveness::kGone)
    Report(event_id::kNodeGone, entry.record);
  entry.record = record;
  entry.record.leaving = leaving;
  entry.changed_at = now;
  if (!is_same_start) {
    node->last_number = 0;
    Report(event_id::kNodeJoined, record);
  }
  const node_liveness liveness =
      leaving ? node_liveness::kGone
              : (is_same_start ? entry.liveness : node_liveness::kAlive);
  if (liveness != entry.liveness) {
    SetLiveness(node, liveness, now);
  } else if (!is_load_only) {
    PublishChange(node, true, now);
  }
}

// Finds nothing if a newer change of the same node replaced the change at
// `position`; its propagation time is then not measured.
void roster_hub::RecordPropagation(std::uint64_t position, time_point now) {
  const auto change = by_position_.find(position);
  if (change != by_position_.end())
    propagation_times_.Add(now - change->second->published_at);
}

// Called for each valid announcement. Changes of load alone are published only
// after a minimum time, those deferred earlier as well.
void roster_hub::RecordAnnouncement(peer* node, time_point now) {
  node->announced_at = now;
  node->announced_active = ActiveTime(now);
  std::list<peer*>& list = node->is_overdue ? overdue_ : announcing_;
  announcing_.splice(announcing_.end(), list, node->list_place);
  node->is_overdue = false;
  const node_record& record = node->entry->record;
  if (node->entry->liveness == node_liveness::kSilent) {
    SetLiveness(node, node_liveness::kAlive, now);
  } else if (node->published_sequence != record.sequence) {
    const duration min_pause = IsSmallLoadChange(record, node->published_load)
                                   ? kSmallLoadDelayFactor * load_interval()
                                   : load_interval();
    if (now - node->published_at >= min_pause) PublishChange(node, false, now);
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
  SetChangedAt(&entry, now);
  PublishChange(node, true, now);
}

// Gives the node's entry the next position, so that it is part of the next
// update to each node. An urgent change also schedules a push to all announcing
// nodes.
void roster_hub::PublishChange(peer* node, bool urgent, time_point now) {
  if (node->position != 0) by_position_.erase(node->position);
  node->position = ++position_;
  by_position_.emplace_hint(by_position_.end(), node->position, node);
  node->published_sequence = node->entry->record.sequence;
  node->published_load = node->entry->record.load;
  node->published_at = now;
  if (urgent) SchedulePush(now);
}

void roster_hub::SchedulePush(time_point now) {
  if (push_at_) return;
  push_at_ =
      now + std::max(settings_.push_delay,
                     kPushDelayPerNode * static_cast<std::int64_t>(alive_));
}

void roster_hub::Push(time_point now, sends* out) {
  push_at_.reset();
  const bool with_rules = std::exchange(is_rules_push_due_, false);
  chunk_cache cache;
  for (auto each = announcing_.rbegin(); each != announcing_.rend(); ++each) {
    const peer& node = **each;
    if (node.announced_active + silence_timeout() <= ActiveTime(now)) break;
    const endpoint& where = node.entry->record.where;
    if (with_rules) SendRules(where, node.rules_revision, out);
    SendUpdate(where, node.acknowledged, node.last_number,
               now - node.announced_at, 0, kMaxPushDatagrams, now, &cache, out);
  }
}

// Sends the rules to a node that holds revision `held`, if that is lower. To be
// called before the update that reports the revision: a member that receives
// the update first announces itself again.
void roster_hub::SendRules(const endpoint& to, std::uint64_t held,
                           sends* out) const {
  if (held < rules_revision_) out->push_back({to, rules_message_});
}

// The changes after position `from`, encoded in at most `max_datagrams` chunks;
// any others are sent after the node's next announcement. The cache serves all
// nodes at the same position.
const std::vector<roster_hub::chunk>& roster_hub::ChunksAfter(
    std::uint64_t from, std::size_t max_datagrams, time_point now,
    chunk_cache* cache) const {
  const auto [cached, is_new] = cache->try_emplace(from);
  std::vector<chunk>& chunks = cached->second;
  if (!is_new) return chunks;
  entry_writer writer;
  std::uint64_t to = from;
  for (auto next = by_position_.upper_bound(from); next != by_position_.end();
       ++next) {
    const roster_entry& entry = *next->second->entry;
    const duration cold = ColdRemainingAt(entry, now);
    if (!writer.Add(entry.record, entry.liveness, cold)) {
      chunks.push_back({to, writer.Take()});
      if (chunks.size() == max_datagrams) return chunks;
      writer.Add(entry.record, entry.liveness, cold);
    }
    to = next->first;
  }
  chunks.push_back({position_, writer.Take()});
  return chunks;
}

// With `max_datagrams` 0, the announcement was not verified to be fresh; the
// update then has no entries and requests another announcement.
void roster_hub::SendUpdate(const endpoint& to, std::uint64_t from,
                            std::uint64_t echo, duration echo_age,
                            std::uint64_t superseding_generation,
                            std::size_t max_datagrams, time_point now,
                            chunk_cache* cache, sends* out) const {
  roster_update update;
  update.instance = instance_;
  update.echo = echo;
  update.echo_age = echo_age;
  update.stamp = static_cast<std::uint64_t>(now.time_since_epoch().count());
  update.newest = position_;
  update.evicted = evicted_;
  update.announce_interval = interval_;
  update.settled =
      now - started_ >=
      settings_.settling_time + (silence_timeout() - settings_.silence_timeout);
  update.unverified = max_datagrams == 0;
  update.superseding_generation = superseding_generation;
  update.documents = documents_->head();
  if (confirmed_)
    update.confirmed =
        set_confirmation{confirmed_->version, now - confirmed_->queried_at,
                         confirmed_->rules_revision};
  update.rules_revision = rules_revision_;
  update.from = from;
  update.to = from;
  if (max_datagrams == 0) {
    out->push_back({to, Encode(update)});
    return;
  }
  for (const chunk& next : ChunksAfter(from, max_datagrams, now, cache)) {
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
  const std::string_view content =
      delta.empty() ? documents_->bytes() : std::string_view(delta);
  if (message->offset >= content.size()) return;
  set_part part;
  part.version = message->version;
  part.size = content.size();
  part.offset = message->offset;
  part.bytes = std::string(content.substr(message->offset, kMaxSetPart));
  part.base = delta.empty() ? 0 : message->base;
  part.complete_since = documents_->CompleteSince(part.base);
  out->push_back({from, Encode(part)});
}

void roster_hub::SetPlacementRules(const placement_rules& rules,
                                   time_point now) {
  if (rules.revision <= rules_revision_) return;
  rules_revision_ = rules.revision;
  rules_message_ = Encode(rules);
  assert(rules_message_.size() <= kMaxEncodedRulesBytes + 1);
  is_rules_push_due_ = true;
  SchedulePush(now);
}

void roster_hub::SetDocuments(std::uint64_t version, std::string bytes,
                              bool is_next, time_point now) {
  if (version <= documents_->head().version) return;
  documents_->Add(version, std::move(bytes), is_next);
  SchedulePush(now);
}

void roster_hub::OnQuorumConfirmed(std::uint64_t version,
                                   std::uint64_t rules_revision,
                                   time_point queried_at) {
  if (!confirmed_ || queried_at > confirmed_->queried_at)
    confirmed_ = {version, rules_revision, queried_at};
}

void roster_hub::Report(event_id id, const node_record& record) const {
  if (listener_ == nullptr) return;
  event reported;
  reported.id = id;
  reported.service = record.service;
  reported.peer = ToString(record.where);
  reported.detail = "generation " + std::to_string(record.generation) +
                    ", sequence " + std::to_string(record.sequence) +
                    ", at this control VM";
  listener_->OnEvent(reported);
}

}  // namespace tamaracklatch
