// Announcing the own record, and believing what hubs tell of others.
#include "tamaracklatch/roster/roster_member.h"

#include <algorithm>
#include <cassert>

#include "roster/roster_messages.h"
#include "roster/set_fetcher.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;

// An urgent change is announced again this often, this far apart.
constexpr std::uint32_t kRepeats = 3;
constexpr duration kRepeatPause = milliseconds(60);
// Between announcements to one hub, however much there is to ask.
constexpr duration kLeastPause = milliseconds(20);
// Longer than the datagrams of one answer need to arrive.
constexpr duration kAnswerPause = milliseconds(10);
// A hub that does not answer is asked less often after so many tries.
constexpr std::uint32_t kFastTries = 10;
constexpr int kSlowFactor = 4;
// A hub may ask for longer pauses, up to this.
constexpr duration kLongestInterval = std::chrono::seconds(60);
constexpr int kSilenceIntervals = 6;
// A call that comes later than due by more than this was held up.
constexpr duration kLate = milliseconds(100);
constexpr std::uint64_t kRaiseSpan = 1000000;  // microseconds
constexpr duration kSameCold = milliseconds(100);

duration Apart(duration left, duration right) {
  return left > right ? left - right : right - left;
}

bool IsUrgent(const node_record& from, const node_record& to) {
  return from.condition != to.condition || from.service != to.service ||
         from.leaving != to.leaving || from.target_start != to.target_start;
}

}  // namespace

roster_member::roster_member(const roster_member_settings& settings,
                             const node_record& own, time_point now)
    : settings_(settings),
      own_(own),
      own_made_(now),
      called_(now),
      fetcher_(std::make_unique<set_fetcher>()) {
  assert(own.where.port != 0);
  assert(own.generation != 0 && own.generation < kMaxGeneration / 2);
  assert(own.zone.size() <= kMaxNodeName);
  assert(own.service.size() <= kMaxNodeName);
  if (own_.sequence == 0) own_.sequence = 1;
  for (const endpoint& seed : settings.seeds) AddLink(seed, true, now);
  if (own.role == node_role::kControl) AddLink(own.where, true, now);
}

roster_member::~roster_member() = default;
roster_member::roster_member(roster_member&&) noexcept = default;
roster_member& roster_member::operator=(roster_member&&) noexcept = default;

void roster_member::AddSeeds(const std::vector<endpoint>& seeds) {
  for (const endpoint& seed : seeds) AddLink(seed, true, called_);
}

void roster_member::AddLink(const endpoint& where, bool is_seed,
                            time_point now) {
  const auto found = links_.find(where);
  if (found != links_.end()) {
    found->second.is_seed |= is_seed;
    return;
  }
  const hub_mask free = ~used_bits_;
  if (free == 0 || where.port == 0) return;
  hub_link& link = links_[where];
  link.where = where;
  link.bit = free & (~free + 1);
  used_bits_ |= link.bit;
  link.is_seed = is_seed;
  link.interval = settings_.announce_interval;
  // No number of an earlier start at the same endpoint comes again.
  link.first_number = own_.generation + 1;
  link.number = own_.generation;

  link.next = now;
}

void roster_member::DropLink(const endpoint& where, time_point now,
                             actions* out) {
  const auto found = links_.find(where);
  if (found == links_.end() || found->second.is_seed) return;
  hub_link& link = found->second;
  if (link.answers) {
    node_record record;
    record.where = where;
    Report(event_id::kHubLost, record, "it left", out);
  }
  ForgetClaims(&link, now, out);
  used_bits_ &= ~link.bit;
  links_.erase(found);
}

// Everything that the hub told counts no more.
void roster_member::ForgetClaims(hub_link* link, time_point now, actions* out) {
  SetWhole(link, false);
  link->instance = 0;
  link->position = 0;
  link->base = 0;
  link->stamp = 0;
  link->settled = false;
  link->set_version = 0;
  link->confirmed.reset();
  for (auto& [where, said] : claims_) {
    said.alive &= ~link->bit;
    said.silent &= ~link->bit;
  }
  for (auto each = disputes_.begin(); each != disputes_.end();) {
    each->second &= ~link->bit;
    each = each->second == 0 ? disputes_.erase(each) : std::next(each);
  }
  reconsider_ = true;
  Reconsider(now, out);
}

void roster_member::SetWhole(hub_link* link, bool whole) {
  const hub_mask bit = link->bit;
  const hub_mask settled = whole && link->settled ? bit : 0;
  link->is_whole = whole;
  if (((whole_ & bit) != 0) == whole && (settled_ & bit) == settled) return;
  whole_ = (whole_ & ~bit) | (whole ? bit : 0);
  settled_ = (settled_ & ~bit) | settled;

  reconsider_ = true;
}

duration roster_member::Silence(const hub_link& link) const {
  return std::max(settings_.hub_silence, kSilenceIntervals * link.interval);
}

duration roster_member::Memory() const {
  duration longest = settings_.memory;
  for (const auto& [where, link] : links_)
    longest = std::max(longest, 2 * Silence(link));
  return longest;
}

// Up to a tenth shorter than the interval, by the hash of both ends.
duration roster_member::Pause(const hub_link& link) const {
  const auto hash =
      HashPair(HashBytes(own_.where.address.bytes.data(),
                         own_.where.address.bytes.size(), own_.where.port),
               link.number);
  duration nominal = link.interval;
  if (!link.answers && link.unanswered >= kFastTries) nominal *= kSlowFactor;
  const auto range = static_cast<std::uint64_t>(nominal.count() / 10 + 1);
  return nominal - duration(static_cast<std::int64_t>(hash % range));
}

void roster_member::Announce(hub_link* link, time_point now, actions* out) {
  roster_announce message;
  message.number = ++link->number;
  link->sent[message.number % hub_link::kKept] = now;
  message.instance = link->instance;
  message.stamp = link->stamp;
  message.stamp_age = now - link->stamped;
  message.position = link->position;
  message.record = own_;
  message.record.cold_remaining =
      std::max(own_.cold_remaining - (now - own_made_), duration(0));
  for (const auto& [where, hubs] : disputes_) {
    if (message.disputes.size() == kMaxDisputes) break;
    if ((hubs & link->bit) != 0)
      message.disputes.push_back({where, entries_.at(where).record.generation});
  }
  ++link->unanswered;
  link->last_sent = now;
  link->next = now + Pause(*link);
  if (link->repeats > 0) {
    --link->repeats;
    link->next = std::min(link->next, now + kRepeatPause);
  }
  out->push_back(roster_send{link->where, Encode(message)});
}

void roster_member::AnnounceSoon(hub_link* link, time_point now, actions* out) {
  if (now >= link->last_sent + kLeastPause) {
    Announce(link, now, out);
  } else {
    link->next = std::min(link->next, link->last_sent + kLeastPause);
  }
}

void roster_member::AnnounceDue(time_point now, actions* out) {
  // Those that are due soon go along, so that the process wakes less often.
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

roster_member::actions roster_member::SetOwn(const node_record& record,
                                             time_point now) {
  assert(record.where == own_.where);
  assert(record.zone.size() <= kMaxNodeName);
  assert(record.service.size() <= kMaxNodeName);
  actions out;
  node_record next = record;
  next.generation = own_.generation;
  next.sequence = own_.sequence;
  next.leaving = record.leaving || own_.leaving;
  const duration cold_left =
      std::max(own_.cold_remaining - (now - own_made_), duration(0));
  const bool urgent = IsUrgent(own_, next);
  const bool is_same = !urgent && next.role == own_.role &&
                       next.zone == own_.zone &&
                       next.operators == own_.operators &&
                       next.slots == own_.slots && next.load == own_.load &&
                       Apart(next.cold_remaining, cold_left) <= kSameCold;
  if (is_same) return out;
  ++next.sequence;
  own_ = next;
  own_made_ = now;
  if (!urgent) return out;
  unannounced_ = now;
  for (auto& [where, link] : links_) {
    link.repeats = kRepeats + 1;
    link.awaited = link.number + 1;
    Announce(&link, now, &out);
  }
  return out;
}

void roster_member::RaiseGeneration(std::uint64_t held, time_point now,
                                    actions* out) {
  if (held <= own_.generation || held >= kMaxGeneration - kRaiseSpan) return;
  // Only a process that lives can hear this: its start is the newer one. By
  // how much it is raised differs between starts, so that no two get the same.
  own_.generation =
      held + 1 + HashPair(own_.generation, own_.sequence) % kRaiseSpan;
  own_.cold_remaining =
      std::max(own_.cold_remaining - (now - own_made_), duration(0));
  own_made_ = now;
  for (auto& [where, link] : links_) {
    link.repeats = kRepeats + 1;
    link.awaited = link.number + 1;
    Announce(&link, now, out);
  }
}

void roster_member::Notice(time_point now) {
  const duration late = now - std::max(called_, next_wake());
  if (late > kLate) held_up_ += late;
  called_ = now;
}

roster_member::actions roster_member::OnTick(time_point now) {
  actions out;
  Notice(now);
  CheckLinks(now, &out);
  AnnounceDue(now, &out);
  ForgetOld(now, &out);
  for (roster_send& send : fetcher_->OnTick(now))
    out.emplace_back(std::move(send));
  FollowControls(now, &out);
  Reconsider(now, &out);
  return out;
}

time_point roster_member::next_wake() const {
  time_point wake = fetcher_->next_wake();
  for (const auto& [where, link] : links_) wake = std::min(wake, link.next);
  if (!fading_.empty()) wake = std::min(wake, fading_.front().first);
  return wake;
}

void roster_member::CheckLinks(time_point now, actions* out) {
  bool changed = false;
  for (auto& [where, link] : links_) {
    if (link.answers && link.heard_run + Silence(link) <= Run(now)) {
      link.answers = false;
      SetWhole(&link, false);
      changed = true;
      node_record record;
      record.where = where;
      Report(event_id::kHubLost, record, "", out);
    }
    // Its last word is forgotten as entries are.
    if (!link.answers && link.instance != 0 && link.heard + Memory() <= now)
      ForgetClaims(&link, now, out);
  }
  if (changed) Fetch(now, out);
}

roster_member::actions roster_member::OnMessage(const endpoint& from,
                                                std::string_view bytes,
                                                time_point now) {
  actions out;
  Notice(now);
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
  } else {
    ++counters_.malformed;
  }
  FollowControls(now, &out);
  Reconsider(now, &out);
  return out;
}

void roster_member::OnUpdate(hub_link* link, const roster_update& update,
                             time_point now, actions* out) {
  if (update.echo < link->first_number || update.echo > link->number ||
      link->number - update.echo >= hub_link::kKept)
    return;
  // The hub sent this no earlier than `sent`.
  const time_point sent = std::min(
      link->sent[update.echo % hub_link::kKept] + update.echo_age, now);
  if (sent + settings_.hub_silence <= now) return;
  if (update.instance != link->instance) {
    if (link->instance != 0 && update.echo <= link->echoed) return;
    if (link->instance != 0) ForgetClaims(link, now, out);
    link->instance = update.instance;
  }
  if (link->position != 0 &&
      std::max(link->position, link->base) < update.forgotten) {
    // What it has forgotten since, we still have as it was.
    ForgetClaims(link, now, out);
    link->instance = update.instance;
  }
  if (link->position == 0) link->base = update.newest;
  if (update.stamp >= link->stamp) {
    link->stamp = update.stamp;
    link->stamped = now;
    link->interval = std::min(
        std::max(update.announce_interval, settings_.announce_interval),
        kLongestInterval);
  }
  link->echoed = std::max(link->echoed, update.echo);
  link->heard = std::max(link->heard, sent);
  link->heard_run = std::max(link->heard_run, Run(sent));
  link->unanswered = 0;
  link->settled |= update.settled;
  if (!update.unproven && update.echo >= link->awaited) {
    link->repeats = 0;
    if (unannounced_) counters_.announced.Add(now - *unannounced_);
    unannounced_.reset();
  }
  const bool is_regained = !link->answers;
  if (is_regained) {
    link->answers = true;
    node_record record;
    record.where = link->where;
    Report(event_id::kHubRegained, record, "", out);
  }
  RaiseGeneration(update.superseded, now, out);

  const bool is_behind = update.from > link->position;
  if (!is_behind && update.to > link->position) {
    if (!ApplyEntries(link, update, now, out)) {
      ++counters_.malformed;
      return;
    }
    link->position = update.to;
  }
  if (link->position >= update.newest) {
    SetWhole(link, true);
    if (link->settled) settled_heard_ = link->heard;
  } else if (!update.unproven) {
    link->next =
        std::min(link->next, std::max(now, link->last_sent) + kAnswerPause);
  }
  if (update.unproven) AnnounceSoon(link, now, out);

  if (update.confirmed) {
    const time_point asked = sent - update.confirmed->age;
    if (!link->confirmed || link->confirmed->second < asked)
      link->confirmed = {update.confirmed->version, asked};
    ConfirmFrom(*link, now, out);
  }
  if (update.documents.version > link->set_version) {
    link->set_version = update.documents.version;
    link->set_size = update.documents.size;
    link->set_hash = update.documents.hash;
    if (link->set_version > set_.version && !told_of_set_) told_of_set_ = now;
    Fetch(now, out);
  } else if (is_regained) {
    Fetch(now, out);
  }
}

bool roster_member::ApplyEntries(hub_link* link, const roster_update& update,
                                 time_point now, actions* out) {
  const auto entries = DecodeEntries(update.entries, nullptr);
  if (!entries) return false;
  for (const told_entry& told : *entries) ApplyEntry(link, told, now, out);
  return true;
}

void roster_member::ApplyEntry(hub_link* link, const told_entry& told,
                               time_point now, actions* out) {
  const node_record& record = told.record;
  if (record.where == own_.where) RaiseGeneration(record.generation, now, out);
  const auto [place, is_new] = entries_.try_emplace(record.where);
  roster_entry& entry = place->second;
  claims& said = claims_[record.where];
  if (!is_new && record.generation < entry.record.generation) {
    said.alive &= ~link->bit;
    said.silent &= ~link->bit;
    if (told.liveness == node_liveness::kAlive)
      disputes_[record.where] |= link->bit;
    SetLiveness(&entry, Judge(entry, said), now, out);
    return;
  }
  const auto dispute = disputes_.find(record.where);
  if (dispute != disputes_.end()) {
    dispute->second &= ~link->bit;
    if (dispute->second == 0) disputes_.erase(dispute);
  }
  bool changed = is_new;
  if (is_new) {
    StartEntry(&entry, told, now, out);
  } else if (record.generation > entry.record.generation) {
    if (entry.liveness != node_liveness::kGone) {
      entry.liveness = node_liveness::kGone;
      Relearn(&entry, now);
      Report(event_id::kNodeGone, entry.record, "a later start", out);
      out->push_back(roster_changed{entry});
    }
    said = claims();
    StartEntry(&entry, told, now, out);
    changed = true;
  } else if (record.sequence > entry.record.sequence) {
    const bool leaving = record.leaving || entry.record.leaving;
    const bool is_news = record.condition != entry.record.condition ||
                         record.service != entry.record.service;
    entry.record = record;
    entry.record.leaving = leaving;
    entry.learned = now;
    if (is_news) Report(event_id::kNodeChanged, entry.record, "", out);
    changed = true;
  }
  said.alive &= ~link->bit;
  said.silent &= ~link->bit;
  (told.liveness == node_liveness::kAlive ? said.alive : said.silent) |=
      link->bit;
  if (!SetLiveness(&entry, Judge(entry, said), now, out) && changed)
    out->push_back(roster_changed{entry});
  if (changed && (record.role == node_role::kControl ||
                  links_.find(record.where) != links_.end()))
    controls_changed_ = true;
}

void roster_member::StartEntry(roster_entry* entry, const told_entry& told,
                               time_point now, actions* out) {
  entry->record = told.record;
  entry->learned = now;
  entry->liveness = told.record.leaving ? node_liveness::kGone : told.liveness;
  if (!told.record.leaving) Report(event_id::kNodeJoined, told.record, "", out);
  if (entry->liveness != node_liveness::kAlive)
    fading_.emplace_back(now + Memory(), told.record.where);
}

node_liveness roster_member::Judge(const roster_entry& entry,
                                   const claims& said) const {
  if (entry.record.leaving) return node_liveness::kGone;
  if ((said.alive & whole_) != 0) return node_liveness::kAlive;
  if ((said.silent & whole_) != 0) return node_liveness::kSilent;
  // A hub out of touch may hear it still.
  if (said.alive != 0) return entry.liveness;
  return settled_ != 0 ? node_liveness::kSilent : entry.liveness;
}

bool roster_member::SetLiveness(roster_entry* entry, node_liveness liveness,
                                time_point now, actions* out) {
  if (entry->liveness == liveness) return false;
  const bool was_silent = entry->liveness == node_liveness::kSilent;
  entry->liveness = liveness;
  Relearn(entry, now);
  if (liveness == node_liveness::kAlive) {
    if (was_silent)
      Report(event_id::kNodeChanged, entry->record, "heard again", out);
  } else {
    fading_.emplace_back(now + Memory(), entry->record.where);
    Report(liveness == node_liveness::kSilent ? event_id::kNodeSilent
                                              : event_id::kNodeGone,
           entry->record, "", out);
  }
  out->push_back(roster_changed{*entry});
  if (entry->record.role == node_role::kControl) controls_changed_ = true;
  return true;
}

void roster_member::Reconsider(time_point now, actions* out) {
  if (!reconsider_) return;
  reconsider_ = false;
  for (auto& [where, entry] : entries_)
    SetLiveness(&entry, Judge(entry, claims_.at(where)), now, out);
}

void roster_member::ForgetOld(time_point now, actions* out) {
  while (!fading_.empty() && fading_.front().first <= now) {
    const endpoint where = fading_.front().second;
    fading_.pop_front();
    const auto found = entries_.find(where);
    if (found == entries_.end()) continue;
    roster_entry& entry = found->second;
    if (entry.liveness == node_liveness::kAlive) continue;
    if (entry.learned + Memory() > now) {
      fading_.emplace_back(now + Memory(), where);
      continue;
    }
    const auto dispute = disputes_.find(where);
    if (dispute != disputes_.end()) {
      // What was not believed of these hubs must be told again.
      for (auto& [unused, link] : links_) {
        if ((dispute->second & link.bit) == 0) continue;
        link.position = 0;
        SetWhole(&link, false);
      }
      disputes_.erase(dispute);
    }
    if (entry.liveness != node_liveness::kGone) {
      entry.liveness = node_liveness::kGone;
      Report(event_id::kNodeGone, entry.record, "not heard for long", out);
    }
    if (links_.find(where) != links_.end()) controls_changed_ = true;
    out->push_back(roster_changed{entry});
    claims_.erase(where);
    entries_.erase(found);
  }
}

// Announces to the control VMs that the roster has.
void roster_member::FollowControls(time_point now, actions* out) {
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

void roster_member::ConfirmFrom(const hub_link& link, time_point now,
                                actions* out) {
  if (!link.confirmed || link.confirmed->first > set_.version) return;
  const time_point asked = link.confirmed->second;
  if (confirmed_ && asked <= *confirmed_) return;
  const bool was_lost =
      !confirmed_ || now - *confirmed_ > settings_.confirmation_lapse;
  confirmed_ = asked;
  if (!was_lost || now - asked > settings_.confirmation_lapse) return;
  event what;
  what.id = event_id::kViewConfirmed;
  what.peer = ToString(link.where);
  what.detail = "version " + std::to_string(set_.version);
  out->push_back(roster_report{what});
}

void roster_member::Fetch(time_point now, actions* out) {
  if (!settings_.wants_set) return;
  std::vector<set_source> sources;
  for (const auto& [where, link] : links_)
    if (link.answers && link.set_version > set_.version)
      sources.push_back(
          {where, {link.set_version, link.set_size, link.set_hash}});
  for (roster_send& send : fetcher_->SetSources(sources, set_.version, now))
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
  std::optional<std::string> complete;
  for (roster_send& send : fetcher_->OnPart(*part, set_, now, &complete))
    out->emplace_back(std::move(send));
  if (!complete) return;
  std::optional<document_set> set = DecodeDocumentSet(*complete);
  if (!set || set->version != fetcher_->head().version) {
    ++counters_.malformed;
    fetcher_->Reject(now);
    return;
  }
  assert(set->version > set_.version);
  set_ = std::move(*set);
  if (told_of_set_) counters_.fetched.Add(now - *told_of_set_);
  told_of_set_.reset();
  out->push_back(set_received{set_});
  for (const auto& [where, link] : links_) ConfirmFrom(link, now, out);
  Fetch(now, out);
}

bool roster_member::IsInTouch(time_point now) const {
  if (!settled_heard_ || *settled_heard_ + Memory() <= now) return false;
  return std::any_of(links_.begin(), links_.end(), [&](const auto& each) {
    const hub_link& link = each.second;
    return link.is_whole && link.heard + Silence(link) > now;
  });
}

std::size_t roster_member::hubs_in_touch(time_point now) const {
  const auto count =
      std::count_if(links_.begin(), links_.end(), [&](const auto& each) {
        const hub_link& link = each.second;
        return link.is_whole && link.heard + Silence(link) > now;
      });
  return static_cast<std::size_t>(count);
}

void roster_member::Report(event_id id, const node_record& record,
                           const std::string& detail, actions* out) const {
  event what;
  what.id = id;
  what.service = record.service;
  what.peer = ToString(record.where);
  if (record.generation != 0)
    what.detail = "generation " + std::to_string(record.generation) +
                  ", sequence " + std::to_string(record.sequence) + ", " +
                  std::string(ToString(record.condition));
  if (!detail.empty()) {
    if (!what.detail.empty()) what.detail += ", ";
    what.detail += detail;
  }
  out->push_back(roster_report{what});
}

}  // namespace tamaracklatch
