// Announces the local record, and merges the reports of hubs about other nodes.
#include "tamaracklatch/roster/roster_member.h"

#include <algorithm>
#include <cassert>

#include "roster/roster_messages.h"
#include "roster/set_fetcher.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;

// Repeated announcements of an urgent change: their number and interval.
constexpr std::uint32_t kUrgentRepeats = 3;
constexpr duration kUrgentRepeatInterval = milliseconds(60);
// Minimum time between announcements to one hub, whatever the reason.
constexpr duration kMinAnnouncePause = milliseconds(20);
// Wait for the rest of a reply before the next announcement; longer than the
// datagrams of one reply need to arrive.
constexpr duration kReplyWait = milliseconds(10);
// After this many unanswered announcements, the interval to a hub is multiplied
// by the factor below.
constexpr std::uint32_t kTriesBeforeBackoff = 10;
constexpr int kBackoffFactor = 4;
// Upper bound of the interval that a hub may request.
constexpr duration kMaxAnnounceInterval = std::chrono::seconds(60);
// A hub is lost after this many announcement intervals without an update, if
// that is longer than hub_timeout.
constexpr int kHubTimeoutIntervals = 6;
// A call that comes later than due by more than this counts as a stall.
constexpr duration kStallThreshold = milliseconds(100);
// A raised generation exceeds the known one by up to this, microseconds.
constexpr std::uint64_t kGenerationRaiseRange = 1000000;
// A smaller difference of cold_remaining is no change of the record.
constexpr duration kColdTimeTolerance = milliseconds(100);

duration Difference(duration left, duration right) {
  return left > right ? left - right : right - left;
}

bool IsUrgent(const node_record& from, const node_record& to) {
  return from.condition != to.condition || from.service != to.service ||
         from.leaving != to.leaving || from.target_start != to.target_start ||
         from.may_have_target != to.may_have_target ||
         from.outdated_set != to.outdated_set;
}

}  // namespace

roster_member::roster_member(const roster_member_settings& settings,
                             const node_record& record, time_point now)
    : settings_(settings),
      local_record_(record),
      local_record_made_(now),
      last_call_(now),
      fetcher_(std::make_unique<set_fetcher>()) {
  assert(record.where.port != 0);
  assert(record.generation != 0 && record.generation < kMaxGeneration / 2);
  assert(record.zone.size() <= kMaxNodeName);
  assert(record.service.size() <= kMaxNodeName);
  if (local_record_.sequence == 0) local_record_.sequence = 1;
  for (const endpoint& seed : settings.seeds) AddLink(seed, true, now);
  if (record.role == node_role::kControl) AddLink(record.where, true, now);
}

roster_member::~roster_member() = default;
roster_member::roster_member(roster_member&&) noexcept = default;
roster_member& roster_member::operator=(roster_member&&) noexcept = default;

void roster_member::AddSeeds(const std::vector<endpoint>& seeds) {
  for (const endpoint& seed : seeds) AddLink(seed, true, last_call_);
}

// A hub for which no bit is left is not used.
void roster_member::AddLink(const endpoint& where, bool is_seed,
                            time_point now) {
  const auto found = links_.find(where);
  if (found != links_.end()) {
    found->second.is_seed |= is_seed;
    return;
  }
  const hub_mask free_bits = ~used_bits_;
  if (free_bits == 0 || where.port == 0) return;
  hub_link& link = links_[where];
  link.where = where;
  link.bit = free_bits & (~free_bits + 1);
  used_bits_ |= link.bit;
  link.is_seed = is_seed;
  link.interval = settings_.announce_interval;
  // Starting from the generation, no number of an earlier start at the same
  // endpoint is used again.
  link.first_number = local_record_.generation + 1;
  link.number = local_record_.generation;

  link.next = now;
}

void roster_member::DropLink(const endpoint& where, time_point now,
                             actions* out) {
  const auto found = links_.find(where);
  if (found == links_.end() || found->second.is_seed) return;
  hub_link& link = found->second;
  if (link.responds) {
    node_record record;
    record.where = where;
    Report(event_id::kHubLost, record, "it left the roster", out);
  }
  DiscardHubState(&link, now, out);
  used_bits_ &= ~link.bit;
  links_.erase(found);
}

// Called when a hub is dropped, was lost for the retention time, restarted or
// evicted entries that are still held here: none of its reports count any more,
// and it is synchronized anew.
void roster_member::DiscardHubState(hub_link* link, time_point now,
                                    actions* out) {
  SetSynchronized(link, false);
  link->instance = 0;
  link->position = 0;
  link->initial_newest = 0;
  link->stamp = 0;
  link->settled = false;
  link->set_version = 0;
  link->rules_revision = 0;
  link->confirmed.reset();
  for (auto& [where, reports] : liveness_reports_) {
    reports.alive &= ~link->bit;
    reports.silent &= ~link->bit;
  }
  for (auto each = conflicts_.begin(); each != conflicts_.end();) {
    each->second &= ~link->bit;
    each = each->second == 0 ? conflicts_.erase(each) : std::next(each);
  }
  needs_reevaluation_ = true;
  ReevaluateLiveness(now, out);
}

void roster_member::SetSynchronized(hub_link* link, bool is_synchronized) {
  const hub_mask bit = link->bit;
  const hub_mask settled = is_synchronized && link->settled ? bit : 0;
  link->is_synchronized = is_synchronized;
  if (((synchronized_ & bit) != 0) == is_synchronized &&
      (settled_ & bit) == settled)
    return;
  synchronized_ = (synchronized_ & ~bit) | (is_synchronized ? bit : 0);
  settled_ = (settled_ & ~bit) | settled;

  needs_reevaluation_ = true;
}

duration roster_member::HubTimeout(const hub_link& link) const {
  return std::max(settings_.hub_timeout, kHubTimeoutIntervals * link.interval);
}

duration roster_member::Retention() const {
  duration longest = settings_.retention;
  for (const auto& [where, link] : links_)
    longest = std::max(longest, 2 * HubTimeout(link));
  return longest;
}

// The time until the next announcement: the interval less up to a tenth of it,
// by a hash of this node's endpoint and the announcement's number, so that
// nodes do not announce in step.
duration roster_member::AnnounceDelay(const hub_link& link) const {
  const auto hash = HashPair(HashBytes(local_record_.where.address.bytes.data(),
                                       local_record_.where.address.bytes.size(),
                                       local_record_.where.port),
                             link.number);
  duration nominal = link.interval;
  if (!link.responds && link.unanswered >= kTriesBeforeBackoff)
    nominal *= kBackoffFactor;
  const auto range = static_cast<std::uint64_t>(nominal.count() / 10 + 1);
  return nominal - duration(static_cast<std::int64_t>(hash % range));
}

void roster_member::Announce(hub_link* link, time_point now, actions* out) {
  roster_announce message;
  message.number = ++link->number;
  link->sent[message.number % hub_link::kSentHistory] = now;
  message.instance = link->instance;
  message.stamp = link->stamp;
  message.stamp_age = now - link->stamp_received;
  message.position = link->position;
  message.rules_revision = rules_.revision;
  message.record = local_record_;
  message.record.cold_remaining = std::max(
      local_record_.cold_remaining - (now - local_record_made_), duration(0));
  for (const auto& [where, hubs] : conflicts_) {
    if (message.conflicts.size() == kMaxConflicts) break;
    if ((hubs & link->bit) != 0)
      message.conflicts.push_back(
          {where, entries_.at(where).record.generation});
  }
  ++link->unanswered;
  link->last_sent = now;
  link->next = now + AnnounceDelay(*link);
  if (link->urgent_repeats > 0) {
    --link->urgent_repeats;
    link->next = std::min(link->next, now + kUrgentRepeatInterval);
  }
  out->push_back(roster_send{link->where, Encode(message)});
}

// Announces now, or as soon as the minimum pause since the last announcement is
// over.
void roster_member::AnnounceSoon(hub_link* link, time_point now, actions* out) {
  if (now >= link->last_sent + kMinAnnouncePause) {
    Announce(link, now, out);
  } else {
    link->next = std::min(link->next, link->last_sent + kMinAnnouncePause);
  }
}

void roster_member::AnnounceDue(time_point now, actions* out) {
  // Announcements due soon are sent together, so that the process wakes up less
  // often.
  for (auto& [where, link] : links_) {
    if (link.next > now) continue;
    for (auto& [unused, each] : links_)
      if (each.next <= now + each.interval / 8 &&
          each.last_sent + each.interval / 2 <= now)
        each.next = now;
    break;
  }
  for (auto& [where, link] : links_)
    if (link.next <= now) Announce(&link, now, out);
}

roster_member::actions roster_member::SetLocalRecord(const node_record& record,
                                                     time_point now) {
  assert(record.where == local_record_.where);
  assert(record.zone.size() <= kMaxNodeName);
  assert(record.service.size() <= kMaxNodeName);
  actions out;
  node_record next = record;
  next.generation = local_record_.generation;
  next.sequence = local_record_.sequence;
  next.leaving = record.leaving || local_record_.leaving;
  const duration cold_left = std::max(
      local_record_.cold_remaining - (now - local_record_made_), duration(0));
  const bool urgent = IsUrgent(local_record_, next);
  const bool is_unchanged =
      !urgent && next.role == local_record_.role &&
      next.zone == local_record_.zone &&
      next.operators == local_record_.operators &&
      next.slots == local_record_.slots && next.load == local_record_.load &&
      next.service_time == local_record_.service_time &&
      Difference(next.cold_remaining, cold_left) <= kColdTimeTolerance;
  if (is_unchanged) return out;
  ++next.sequence;
  local_record_ = next;
  local_record_made_ = now;
  if (!urgent) return out;
  unacknowledged_since_ = now;
  for (auto& [where, link] : links_) {
    link.urgent_repeats = kUrgentRepeats + 1;
    link.urgent_number = link.number + 1;
    Announce(&link, now, &out);
  }
  return out;
}

// Called when a hub reports that it holds generation `held` of this node. If
// the local one is lower, as when the wall clock is behind that of an earlier
// start, it is raised above `held` and announced at once.
void roster_member::RaiseGeneration(std::uint64_t held, time_point now,
                                    actions* out) {
  if (held <= local_record_.generation ||
      held >= kMaxGeneration - kGenerationRaiseRange)
    return;
  // Only a running process can receive this, so its start is the newer one. The
  // increment differs between starts, so that no two get the same generation.
  local_record_.generation =
      held + 1 +
      HashPair(local_record_.generation, local_record_.sequence) %
          kGenerationRaiseRange;
  local_record_.cold_remaining = std::max(
      local_record_.cold_remaining - (now - local_record_made_), duration(0));
  local_record_made_ = now;
  for (auto& [where, link] : links_) {
    link.urgent_repeats = kUrgentRepeats + 1;
    link.urgent_number = link.number + 1;
    Announce(&link, now, out);
  }
}

// Called first by OnTick and OnMessage.
void roster_member::DetectStall(time_point now) {
  const duration delay = now - std::max(last_call_, next_wake());
  if (delay > kStallThreshold) total_stall_ += delay;
  last_call_ = now;
}

roster_member::actions roster_member::OnTick(time_point now) {
  actions out;
  DetectStall(now);
  CheckHubTimeouts(now, &out);
  AnnounceDue(now, &out);
  EvictExpired(now, &out);
  for (roster_send& send : fetcher_->OnTick(now))
    out.emplace_back(std::move(send));
  UpdateLinks(now, &out);
  ReevaluateLiveness(now, &out);
  ReleaseSet(now, &out);
  return out;
}

time_point roster_member::next_wake() const {
  time_point wake = fetcher_->next_wake();
  for (const auto& [where, link] : links_) wake = std::min(wake, link.next);
  if (!pending_evictions_.empty())
    wake = std::min(wake, pending_evictions_.front().first);
  return wake;
}

void roster_member::CheckHubTimeouts(time_point now, actions* out) {
  bool changed = false;
  for (auto& [where, link] : links_) {
    if (link.responds &&
        link.last_ran_active + HubTimeout(link) <= ActiveTime(now)) {
      link.responds = false;
      SetSynchronized(&link, false);
      changed = true;
      node_record record;
      record.where = where;
      Report(event_id::kHubLost, record, "", out);
    }
    // The last reports of a lost hub are discarded after the same time as
    // entries.
    if (!link.responds && link.instance != 0 &&
        link.last_ran + Retention() <= now)
      DiscardHubState(&link, now, out);
  }
  if (changed) FetchNewestSet(now, out);
}

roster_member::actions roster_member::OnMessage(const endpoint& from,
                                                std::string_view bytes,
                                                time_point now) {
  actions out;
  DetectStall(now);
  const std::optional<roster_kind> kind = KindOf(bytes);
  if (kind == roster_kind::kUpdate) {
    const std::optional<roster_update> update = DecodeUpdate(bytes, nullptr);
    const auto link = links_.find(from);
    if (!update) {
      ++counters_.malformed;
    } else if (link != links_.end()) {
      OnUpdate(&link->second, *update, now, &out);
    }
  } else if (kind == roster_kind::kPart) {
    OnPart(from, bytes, now, &out);
  } else if (kind == roster_kind::kRules) {
    OnRules(from, bytes, &out);
    ApplyConfirmations(now, &out);
  } else {
    ++counters_.malformed;
  }
  UpdateLinks(now, &out);
  ReevaluateLiveness(now, &out);
  ReleaseSet(now, &out);
  return out;
}

// Ignores an update that does not echo one of the last kSentHistory
// announcements to the hub, that may be older than hub_timeout, or that is from
// before the hub restarted.
void roster_member::OnUpdate(hub_link* link, const roster_update& update,
                             time_point now, actions* out) {
  if (update.echo < link->first_number || update.echo > link->number ||
      link->number - update.echo >= hub_link::kSentHistory)
    return;
  // The hub sent this update no earlier than `sent`.
  const time_point sent = std::min(
      link->sent[update.echo % hub_link::kSentHistory] + update.echo_age, now);
  if (sent + settings_.hub_timeout <= now) return;
  if (update.instance != link->instance) {
    if (link->instance != 0 && update.echo <= link->highest_echo) return;
    if (link->instance != 0) DiscardHubState(link, now, out);
    link->instance = update.instance;
  }
  if (link->position != 0 &&
      std::max(link->position, link->initial_newest) < update.evicted) {
    // The hub has evicted entries since the last update that was applied; they
    // are still held here in their old state.
    DiscardHubState(link, now, out);
    link->instance = update.instance;
  }
  if (link->position == 0) link->initial_newest = update.newest;
  if (update.stamp >= link->stamp) {
    link->stamp = update.stamp;
    link->stamp_received = now;
    link->interval = std::min(
        std::max(update.announce_interval, settings_.announce_interval),
        kMaxAnnounceInterval);
  }
  link->highest_echo = std::max(link->highest_echo, update.echo);
  link->last_ran = std::max(link->last_ran, sent);
  link->last_ran_active = std::max(link->last_ran_active, ActiveTime(sent));
  link->unanswered = 0;
  link->settled |= update.settled;
  if (!update.unverified && update.echo >= link->urgent_number) {
    link->urgent_repeats = 0;
    if (unacknowledged_since_)
      counters_.announce_times.Add(now - *unacknowledged_since_);
    unacknowledged_since_.reset();
  }
  const bool is_regained = !link->responds;
  if (is_regained) {
    link->responds = true;
    node_record record;
    record.where = link->where;
    Report(event_id::kHubRegained, record, "", out);
  }
  RaiseGeneration(update.superseding_generation, now, out);

  const bool has_gap = update.from > link->position;
  if (!has_gap && update.to > link->position) {
    if (!ApplyEntries(link, update, now, out)) {
      ++counters_.malformed;
      return;
    }
    link->position = update.to;
  }
  if (link->position >= update.newest) {
    SetSynchronized(link, true);
    if (link->settled) settled_update_ = link->last_ran;
  } else if (!update.unverified) {
    link->next =
        std::min(link->next, std::max(now, link->last_sent) + kReplyWait);
  }
  // The rules come with the reply to the next announcement. Once for each
  // revision, so that lost replies don't raise the rate of announcements.
  const bool is_behind = update.rules_revision > rules_.revision &&
                         update.rules_revision > link->rules_revision;
  link->rules_revision = std::max(link->rules_revision, update.rules_revision);
  if (update.unverified || is_behind) AnnounceSoon(link, now, out);

  newest_set_.version = std::max(newest_set_.version, update.documents.version);
  if (update.confirmed) {
    const time_point queried_at = sent - update.confirmed->age;
    if (update.confirmed->version >= newest_set_.version) {
      newest_set_.version = update.confirmed->version;
      newest_set_.as_of = std::max(newest_set_.as_of, queried_at);
    }
    if (!link->confirmed || link->confirmed->queried_at < queried_at)
      link->confirmed = {update.confirmed->version,
                         update.confirmed->rules_revision, queried_at};
    ApplyConfirmation(*link, now, out);
  }
  if (update.documents.version > link->set_version) {
    link->set_version = update.documents.version;
    link->set_size = update.documents.size;
    link->set_hash = update.documents.hash;
    if (link->set_version > set_.version && !newer_set_since_)
      newer_set_since_ = now;
    FetchNewestSet(now, out);
  } else if (is_regained) {
    FetchNewestSet(now, out);
  }
}

bool roster_member::ApplyEntries(hub_link* link, const roster_update& update,
                                 time_point now, actions* out) {
  const auto entries = DecodeEntries(update.entries, nullptr);
  if (!entries) return false;
  for (const update_entry& each : *entries) ApplyEntry(link, each, now, out);
  return true;
}

// Merges a reported entry. A report of an earlier start than the one held is
// not applied, but recorded as a conflict that the next announcement reports
// back.
void roster_member::ApplyEntry(hub_link* link, const update_entry& update,
                               time_point now, actions* out) {
  const node_record& record = update.record;
  if (record.where == local_record_.where)
    RaiseGeneration(record.generation, now, out);
  const auto [inserted, is_new] = entries_.try_emplace(record.where);
  roster_entry& entry = inserted->second;
  liveness_reports& reports = liveness_reports_[record.where];
  if (!is_new && record.generation < entry.record.generation) {
    reports.alive &= ~link->bit;
    reports.silent &= ~link->bit;
    if (update.liveness == node_liveness::kAlive)
      conflicts_[record.where] |= link->bit;
    SetLiveness(&entry, EvaluateLiveness(entry, reports), now, out);
    return;
  }
  const auto conflict = conflicts_.find(record.where);
  if (conflict != conflicts_.end()) {
    conflict->second &= ~link->bit;
    if (conflict->second == 0) conflicts_.erase(conflict);
  }
  bool changed = is_new;
  if (is_new) {
    BeginStart(&entry, update, now, out);
  } else if (record.generation > entry.record.generation) {
    if (entry.liveness != node_liveness::kGone) {
      entry.liveness = node_liveness::kGone;
      SetChangedAt(&entry, now);
      Report(event_id::kNodeGone, entry.record, "replaced by a later start",
             out);
      out->push_back(roster_changed{entry});
    }
    reports = liveness_reports();
    BeginStart(&entry, update, now, out);
    changed = true;
  } else if (record.sequence > entry.record.sequence) {
    const bool leaving = record.leaving || entry.record.leaving;
    const bool is_status_change = record.condition != entry.record.condition ||
                                  record.service != entry.record.service;
    entry.record = record;
    entry.record.leaving = leaving;
    entry.changed_at = now;
    if (is_status_change) Report(event_id::kNodeChanged, entry.record, "", out);
    changed = true;
  } else if (record.sequence == entry.record.sequence &&
             entry.record.outdated_set == 0 && record.outdated_set != 0) {
    // A hub of an earlier release leaves it out.
    entry.record.outdated_set = record.outdated_set;
    changed = true;
  }
  reports.alive &= ~link->bit;
  reports.silent &= ~link->bit;
  (update.liveness == node_liveness::kAlive ? reports.alive : reports.silent) |=
      link->bit;
  if (!SetLiveness(&entry, EvaluateLiveness(entry, reports), now, out) &&
      changed)
    out->push_back(roster_changed{entry});
  if (changed && (record.role == node_role::kControl ||
                  links_.find(record.where) != links_.end()))
    controls_changed_ = true;
}

// Fills an entry that is new, or whose node started again.
void roster_member::BeginStart(roster_entry* entry, const update_entry& update,
                               time_point now, actions* out) {
  entry->record = update.record;
  entry->changed_at = now;
  entry->liveness =
      update.record.leaving ? node_liveness::kGone : update.liveness;
  if (!update.record.leaving)
    Report(event_id::kNodeJoined, update.record, "", out);
  if (entry->liveness != node_liveness::kAlive)
    pending_evictions_.emplace_back(now + Retention(), update.record.where);
}

// One synchronized hub that reports the node as alive is enough. Without a
// report of a synchronized hub, the state stays while another hub's last report
// is alive; otherwise a settled hub, which would know the node if it were
// alive, makes it silent.
node_liveness roster_member::EvaluateLiveness(
    const roster_entry& entry, const liveness_reports& reports) const {
  if (entry.record.leaving) return node_liveness::kGone;
  if ((reports.alive & synchronized_) != 0) return node_liveness::kAlive;
  if ((reports.silent & synchronized_) != 0) return node_liveness::kSilent;
  // A hub that is not synchronized may still receive its announcements.
  if (reports.alive != 0) return entry.liveness;
  return settled_ != 0 ? node_liveness::kSilent : entry.liveness;
}

bool roster_member::SetLiveness(roster_entry* entry, node_liveness liveness,
                                time_point now, actions* out) {
  if (entry->liveness == liveness) return false;
  const bool was_silent = entry->liveness == node_liveness::kSilent;
  entry->liveness = liveness;
  SetChangedAt(entry, now);
  if (liveness == node_liveness::kAlive) {
    if (was_silent)
      Report(event_id::kNodeChanged, entry->record,
             "announcements received again", out);
  } else {
    pending_evictions_.emplace_back(now + Retention(), entry->record.where);
    Report(liveness == node_liveness::kSilent ? event_id::kNodeSilent
                                              : event_id::kNodeGone,
           entry->record, "", out);
  }
  out->push_back(roster_changed{*entry});
  if (entry->record.role == node_role::kControl) controls_changed_ = true;
  return true;
}

// Called after each input; does nothing unless the set of hubs whose reports
// count has changed.
void roster_member::ReevaluateLiveness(time_point now, actions* out) {
  if (!needs_reevaluation_) return;
  needs_reevaluation_ = false;
  for (auto& [where, entry] : entries_)
    SetLiveness(&entry, EvaluateLiveness(entry, liveness_reports_.at(where)),
                now, out);
}

// Evicts entries that have been silent or gone for the retention time.
void roster_member::EvictExpired(time_point now, actions* out) {
  while (!pending_evictions_.empty() &&
         pending_evictions_.front().first <= now) {
    const endpoint where = pending_evictions_.front().second;
    pending_evictions_.pop_front();
    const auto found = entries_.find(where);
    if (found == entries_.end()) continue;
    roster_entry& entry = found->second;
    if (entry.liveness == node_liveness::kAlive) continue;
    if (entry.changed_at + Retention() > now) {
      pending_evictions_.emplace_back(now + Retention(), where);
      continue;
    }
    const auto conflict = conflicts_.find(where);
    if (conflict != conflicts_.end()) {
      // The reports of these hubs were not applied: request their entries anew.
      for (auto& [unused, link] : links_) {
        if ((conflict->second & link.bit) == 0) continue;
        link.position = 0;
        SetSynchronized(&link, false);
      }
      conflicts_.erase(conflict);
    }
    if (entry.liveness != node_liveness::kGone) {
      entry.liveness = node_liveness::kGone;
      Report(event_id::kNodeGone, entry.record,
             "evicted as no announcements were received", out);
    }
    if (links_.find(where) != links_.end()) controls_changed_ = true;
    out->push_back(roster_changed{entry});
    liveness_reports_.erase(where);
    entries_.erase(found);
  }
}

// Called after changes of control VMs in the roster: announcements go to the
// seeds and to all control VMs that the roster has and that are not gone.
void roster_member::UpdateLinks(time_point now, actions* out) {
  if (!controls_changed_) return;
  controls_changed_ = false;
  const auto is_control = [&](const endpoint& where) {
    const auto found = entries_.find(where);
    return found != entries_.end() &&
           found->second.record.role == node_role::kControl &&
           found->second.liveness != node_liveness::kGone;
  };
  std::vector<endpoint> dropped;
  for (const auto& [where, link] : links_)
    if (!link.is_seed && !is_control(where)) dropped.push_back(where);
  for (const endpoint& where : dropped) DropLink(where, now, out);
  for (const auto& [where, entry] : entries_)
    if (is_control(where)) AddLink(where, false, now);
}

// A confirmation by a hub counts only once the set and the rules that it
// confirms are held.
void roster_member::ApplyConfirmation(const hub_link& link, time_point now,
                                      actions* out) {
  if (!link.confirmed || link.confirmed->version > set_.version ||
      link.confirmed->rules_revision > rules_.revision)
    return;
  const time_point queried_at = link.confirmed->queried_at;
  if (confirmed_ && queried_at <= *confirmed_) return;
  const bool was_lost =
      !confirmed_ || now - *confirmed_ > settings_.confirmation_timeout;
  confirmed_ = queried_at;
  if (!was_lost || now - queried_at > settings_.confirmation_timeout) return;
  event reported;
  reported.id = event_id::kViewConfirmed;
  reported.peer = ToString(link.where);
  reported.detail = "version " + std::to_string(set_.version) +
                    ", rules revision " + std::to_string(rules_.revision);
  out->push_back(roster_report{reported});
}

void roster_member::ApplyConfirmations(time_point now, actions* out) {
  for (const auto& [where, link] : links_) ApplyConfirmation(link, now, out);
}

// Rules of a known hub are applied whatever their age, since a lower revision
// never replaces a higher one.
void roster_member::OnRules(const endpoint& from, std::string_view bytes,
                            actions* out) {
  std::optional<placement_rules> rules = DecodeRules(bytes, nullptr);
  if (!rules) {
    ++counters_.malformed;
    return;
  }
  if (links_.find(from) == links_.end() || rules->revision <= rules_.revision)
    return;
  rules_ = std::move(*rules);
  out->push_back(rules_received{rules_});
  event reported;
  reported.id = event_id::kRulesApplied;
  reported.peer = ToString(from);
  reported.detail = "revision " + std::to_string(rules_.revision) + ", " +
                    std::to_string(rules_.evacuated_zones.size()) +
                    " evacuated zones, " +
                    std::to_string(rules_.cold_limits.size()) + " cold limits";
  out->push_back(roster_report{reported});
}

// The set withheld until now becomes one in between.
void roster_member::Withhold(document_set set, set_succession succession) {
  std::vector<set_route>& routes = succession_.intermediate_routes;
  if (withheld_set_)
    routes.insert(routes.end(), withheld_set_->routes.begin(),
                  withheld_set_->routes.end());
  routes.insert(routes.end(), succession.intermediate_routes.begin(),
                succession.intermediate_routes.end());
  succession_.may_skip_sets |= succession.may_skip_sets;
  withheld_set_ = std::move(set);
}

// Called after each input. Reports the withheld set once no hub that responds
// has newer rules; hubs that were lost before they sent theirs don't count, so
// that the set is not withheld for ever.
void roster_member::ReleaseSet(time_point now, actions* out) {
  if (!withheld_set_) return;
  const bool has_newer_rules =
      std::any_of(links_.begin(), links_.end(), [&](const auto& each) {
        const hub_link& link = each.second;
        return link.responds && link.rules_revision > rules_.revision;
      });
  if (has_newer_rules) return;
  set_ = std::move(*withheld_set_);
  withheld_set_.reset();
  if (newer_set_since_) counters_.fetch_times.Add(now - *newer_set_since_);
  newer_set_since_.reset();
  out->push_back(set_received{set_, std::move(succession_)});
  succession_ = set_succession();
  ApplyConfirmations(now, out);
}

// Called when the responding hubs or their sets change.
void roster_member::FetchNewestSet(time_point now, actions* out) {
  if (!settings_.wants_set) return;
  std::vector<set_source> sources;
  for (const auto& [where, link] : links_)
    if (link.responds && link.set_version > fetched_set().version)
      sources.push_back(
          {where, {link.set_version, link.set_size, link.set_hash}});
  for (roster_send& send :
       fetcher_->SetSources(sources, fetched_set().version, now))
    out->emplace_back(std::move(send));
}

void roster_member::OnPart(const endpoint& from, std::string_view bytes,
                           time_point now, actions* out) {
  const std::optional<set_part> part = DecodePart(bytes, nullptr);
  if (!part) {
    ++counters_.malformed;
    return;
  }
  if (links_.find(from) == links_.end()) return;
  std::optional<fetched_bytes> complete;
  for (roster_send& send :
       fetcher_->OnPart(*part, fetched_set(), now, &complete))
    out->emplace_back(std::move(send));
  if (!complete) return;
  std::optional<document_set> set = DecodeDocumentSet(complete->bytes);
  if (!set || set->version != fetcher_->head().version) {
    ++counters_.malformed;
    fetcher_->Reject(now);
    return;
  }
  assert(set->version > fetched_set().version);
  Withhold(std::move(*set), std::move(complete->succession));
  ReleaseSet(now, out);
  FetchNewestSet(now, out);
}

bool roster_member::IsSynchronized(time_point now) const {
  if (!settled_update_ || *settled_update_ + Retention() <= now) return false;
  return std::any_of(links_.begin(), links_.end(), [&](const auto& each) {
    const hub_link& link = each.second;
    return link.is_synchronized && link.last_ran + HubTimeout(link) > now;
  });
}

std::size_t roster_member::synchronized_hubs(time_point now) const {
  const auto count =
      std::count_if(links_.begin(), links_.end(), [&](const auto& each) {
        const hub_link& link = each.second;
        return link.is_synchronized && link.last_ran + HubTimeout(link) > now;
      });
  return static_cast<std::size_t>(count);
}

void roster_member::Report(event_id id, const node_record& record,
                           const std::string& detail, actions* out) const {
  event reported;
  reported.id = id;
  reported.service = record.service;
  reported.peer = ToString(record.where);
  if (record.generation != 0)
    reported.detail = "generation " + std::to_string(record.generation) +
                      ", sequence " + std::to_string(record.sequence) + ", " +
                      std::string(ToString(record.condition));
  if (!detail.empty()) {
    if (!reported.detail.empty()) reported.detail += ", ";
    reported.detail += detail;
  }
  out->push_back(roster_report{reported});
}

}  // namespace tamaracklatch
