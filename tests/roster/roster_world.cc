// The faults, the network and the checks of the roster's world.
#include "roster/roster_world.h"

#include <algorithm>

#include "tamaracklatch/control/document_set.h"

namespace tamaracklatch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Shorter than in use, so that schedules forget as well.
constexpr duration kHubMemory = seconds(6);
constexpr duration kMemberMemory = seconds(9);
// A node may be shown as alive for this long after it ended: as long as the
// announcement may be old, and the hub's silence, grace and word may last.
constexpr duration kAliveBound = seconds(6);
constexpr duration kLogPause = milliseconds(100);

endpoint WhereOf(std::size_t place) {
  return {MakeV4(0x0a000001 + static_cast<std::uint32_t>(place)), 7000};
}

std::string Text(const node_record& record) {
  return ToString(record.where) + " " + std::to_string(record.generation) +
         "." + std::to_string(record.sequence) + " " +
         std::string(ToString(record.condition)) +
         (record.leaving ? " leaving" : "");
}

const char* Text(node_liveness liveness) {
  return liveness == node_liveness::kAlive
             ? "alive"
             : (liveness == node_liveness::kSilent ? "silent" : "gone");
}

}  // namespace

roster_world::roster_world(const world_settings& settings)
    : settings_(settings), random_(settings.seed), next_log_(now_) {
  accepted_.emplace_back(time_point(), 0);
  places_.resize(settings.controls + settings.others);
  for (std::size_t i = 0; i < places_.size(); ++i)
    Start(i, "service-" + std::to_string(i % 3), duration(0));
}

void roster_world::Say(const std::string& line) {
  if (settings_.trace)
    timeline_.push_back(
        std::to_string(now_.time_since_epoch().count() / 1000 - 3600000) +
        " ms " + line);
}

void roster_world::Break(const process& one, const std::string& what) {
  if (broken_.empty()) broken_ = ToString(one.where) + ": " + what;
  Say("BROKEN " + ToString(one.where) + ": " + what);
}

void roster_world::Start(std::size_t place, const std::string& service,
                         duration skew) {
  auto made = std::make_unique<process>();
  process* one = made.get();
  processes_.push_back(std::move(made));
  const process* before = places_[place];
  places_[place] = one;
  one->place = place;
  one->where = WhereOf(place);
  one->clock = UpTo(seconds(1000));
  node_record record;
  record.where = one->where;
  record.generation =
      static_cast<std::uint64_t>((now_ + skew).time_since_epoch().count());
  record.zone = "zone-" + std::to_string(place % 3);
  roster_member_settings member;
  for (std::size_t i = 0; i < settings_.controls; ++i)
    member.seeds.push_back(WhereOf(i));
  member.memory = kMemberMemory;
  if (place < settings_.controls) {
    one->role = node_role::kControl;
    roster_hub_settings hub;
    hub.memory = kHubMemory;
    one->hub = std::make_unique<roster_hub>(hub, random_() | 1U, Local(*one));
    if (before != nullptr) one->applied = before->applied;
    if (one->applied > 0)
      one->hub->SetDocuments(one->applied, sets_.at(one->applied), Local(*one));
  } else {
    one->role = place % 3 == 0 ? node_role::kBalancer : node_role::kTarget;
    record.service = service;
    record.condition = target_condition::kReady;
    record.target_start = record.generation / 1000;
  }
  one->service = record.service;
  record.role = one->role;
  member.wants_set = one->role != node_role::kControl;
  one->member = std::make_unique<roster_member>(member, record, Local(*one));
  Say("start " + Text(record));
  Tick(one);
}

void roster_world::Kill(std::size_t place) {
  process* one = places_[place];
  if (!one->runs) return;
  Say("end " + ToString(one->where));
  if (!one->is_stopped) one->lived = now_;
  one->runs = false;
  one->is_stopped = false;
  one->inbox.clear();
}

void roster_world::Freeze(std::size_t place) {
  process* one = places_[place];
  if (!one->runs || one->is_stopped) return;
  Say("stop " + ToString(one->where));
  one->is_stopped = true;
  one->lived = now_;
}

void roster_world::Thaw(std::size_t place) {
  process* one = places_[place];
  if (!one->runs || !one->is_stopped) return;
  Say("go on " + ToString(one->where));
  one->is_stopped = false;
  const bool tick_first = Happens(0.5);
  if (tick_first) Tick(one);
  auto inbox = std::move(one->inbox);
  one->inbox.clear();
  for (const auto& [from, bytes] : inbox) Deliver(one, from, bytes);
  if (!tick_first) Tick(one);
}

void roster_world::Leave(std::size_t place) {
  process* one = places_[place];
  if (!one->runs || one->is_stopped || one->ends) return;
  node_record record = one->member->own();
  record.leaving = true;
  if (record.condition == target_condition::kReady)
    record.condition = target_condition::kDraining;
  Say("leave " + Text(record));
  one->ends = now_ + UpTo(seconds(2));
  Perform(one, one->member->SetOwn(record, Local(*one)));
}

void roster_world::SetRecord(std::size_t place, target_condition condition,
                             std::uint32_t load) {
  process* one = places_[place];
  if (!one->runs || one->is_stopped) return;
  node_record record = one->member->own();
  record.condition = condition;
  record.load = load;
  Say("set " + Text(record));
  Perform(one, one->member->SetOwn(record, Local(*one)));
}

void roster_world::Cut(std::size_t from, std::size_t to, bool cut) {
  Say((cut ? "cut " : "join ") + std::to_string(from) + " " +
      std::to_string(to));
  if (cut) {
    cuts_.insert({from, to});
  } else {
    cuts_.erase({from, to});
  }
}

void roster_world::Publish(std::size_t names) {
  document_set set;
  set.version = accepted() + 1 + Draw(3);
  // Of four names in a row, one or so is new in each set.
  for (std::size_t i = 0; i < names; ++i)
    set.services.push_back("service-" + std::to_string((set.version + i) / 4) +
                           "-" + std::to_string(i));
  sets_[set.version] = EncodeDocumentSet(set);
  accepted_.emplace_back(now_, set.version);
  Say("accepted " + std::to_string(set.version));
}

std::uint64_t roster_world::AcceptedAt(time_point when) const {
  std::uint64_t version = 0;
  for (const auto& [at, each] : accepted_)
    if (at <= when) version = each;
  return version;
}

// Control VMs apply what was accepted, and learn from the quorum that it is
// all.
void roster_world::RunLog() {
  for (std::size_t i = 0; i < settings_.controls; ++i) {
    process* one = places_[i];
    if (!one->runs || one->is_stopped || Happens(0.3)) continue;
    if (one->applied < accepted()) {
      one->applied = accepted();
      one->hub->SetDocuments(one->applied, sets_.at(one->applied), Local(*one));
      Schedule(one);
    }
    const duration ago = UpTo(milliseconds(300));
    if (one->applied >= AcceptedAt(now_ - ago))
      one->hub->OnQuorumConfirmed(one->applied, Local(*one) - ago);
  }
}

void roster_world::RandomFault() {
  const std::size_t place = Draw(places_.size());
  process* one = places_[place];
  switch (Draw(13)) {
    case 0:
      Cut(place, Draw(places_.size()), true);
      break;
    case 1: {
      const std::size_t other = Draw(places_.size());
      Cut(place, other, true);
      Cut(other, place, true);
      break;
    }
    case 2:
    case 3:
      if (!cuts_.empty()) {
        auto cut = std::next(cuts_.begin(),
                             static_cast<std::ptrdiff_t>(Draw(cuts_.size())));
        Cut(cut->first, cut->second, false);
      }
      break;
    case 4:
      Freeze(place);
      break;
    case 5:
    case 6:
      for (std::size_t i = 0; i < places_.size(); ++i)
        if (places_[i]->is_stopped && Happens(0.5)) Thaw(i);
      break;
    case 7:
      // A crash; mostly with a start soon after.
      Kill(place);
      if (Happens(0.5))
        Start(place, one->service,
              Happens(0.2) ? -UpTo(seconds(30)) : duration(0));
      break;
    case 8:
      if (!one->runs)
        Start(place, "service-" + std::to_string(Draw(3)),
              Happens(0.5) ? -UpTo(seconds(30)) : UpTo(seconds(1)));
      break;
    case 9:
      if (Happens(0.4)) Leave(place);
      break;
    case 10:
      if (one->role == node_role::kTarget && !one->ends)
        SetRecord(place, static_cast<target_condition>(Draw(3)),
                  static_cast<std::uint32_t>(Draw(1000)));
      break;
    case 11:
      if (Happens(0.2)) {
        // Power is back at all control VMs at once.
        for (std::size_t i = 0; i < settings_.controls; ++i) {
          Kill(i);
          Start(i, "", duration(0));
        }
        break;
      }
      [[fallthrough]];
    default:
      Publish(Happens(0.2) ? 500 : Draw(10));
      break;
  }
}

void roster_world::RunFaults(duration span) {
  loss_ = Happens(0.5) ? 0.0 : 0.2;
  repeat_ = 0.05;
  late_ = Happens(0.5) ? 0.0 : 0.05;
  for (const time_point end = now_ + span; now_ < end;) {
    RandomFault();
    RunFor(UpTo(milliseconds(1500)));
    if (!broken_.empty()) return;
  }
}

void roster_world::Calm() {
  Say("calm");
  loss_ = repeat_ = late_ = 0.0;
  cuts_.clear();
  for (std::size_t i = 0; i < places_.size(); ++i) {
    Thaw(i);
    if (i < settings_.controls && !places_[i]->runs) Start(i, "", duration(0));
  }
}

void roster_world::RunFor(duration span) {
  const time_point end = now_ + span;
  while (now_ < end) {
    const time_point next = queue_.empty() ? end : queue_.top().at;
    const time_point until = std::min({end, next, next_log_});
    now_ = std::max(now_, until);
    if (now_ >= next_log_) {
      next_log_ = now_ + kLogPause;
      RunLog();
      for (std::size_t i = 0; i < places_.size(); ++i)
        if (places_[i]->ends && *places_[i]->ends <= now_) Kill(i);
    }
    while (!queue_.empty() && queue_.top().at <= now_) {
      const item one = queue_.top();
      queue_.pop();
      process* to = one.to;
      if (!to->runs) continue;
      if (one.bytes == nullptr) {
        if (to->wake == one.at) to->wake = time_point::max();
        if (!to->is_stopped) Tick(to);
      } else if (to->is_stopped) {
        if (to->inbox.size() < 300)
          to->inbox.emplace_back(one.from, *one.bytes);
      } else {
        Deliver(to, one.from, *one.bytes);
      }
    }
  }
}

void roster_world::Tick(process* one) {
  Perform(one, one->member->OnTick(Local(*one)));
  if (one->hub)
    for (const roster_send& sent : one->hub->OnTick(Local(*one)))
      Send(one, sent);
  Schedule(one);
}

void roster_world::Deliver(process* one, const endpoint& from,
                           const std::string& bytes) {
  if (IsForHub(bytes)) {
    if (one->hub)
      for (const roster_send& sent :
           one->hub->OnMessage(from, bytes, Local(*one)))
        Send(one, sent);
    Schedule(one);
    return;
  }
  Perform(one, one->member->OnMessage(from, bytes, Local(*one)));
}

void roster_world::Perform(process* one,
                           const roster_member::actions& actions) {
  starts_[{one->where, one->member->own().generation}] = one;
  for (const roster_action& action : actions) {
    if (const auto* sent = std::get_if<roster_send>(&action)) {
      Send(one, *sent);
    } else if (const auto* changed = std::get_if<roster_changed>(&action)) {
      CheckEntry(one, changed->entry);
    } else if (const auto* received = std::get_if<set_received>(&action)) {
      const document_set& set = received->set;
      if (set.version <= one->set_version)
        Break(*one, "the set's version fell");
      if (EncodeDocumentSet(set) != sets_[set.version])
        Break(*one, "the set is not the one accepted");
      one->set_version = set.version;
    }
  }
  CheckState(one);
  Schedule(one);
}

void roster_world::Schedule(process* one) {
  time_point wake = one->member->next_wake();
  if (one->hub) wake = std::min(wake, one->hub->next_wake());
  wake = std::max(wake - one->clock, now_ + duration(1));
  if (wake >= one->wake) return;
  one->wake = wake;
  queue_.push({wake, order_++, one, {}, nullptr});
}

void roster_world::Send(process* from, const roster_send& sent) {
  ++datagrams_;
  bytes_ += sent.bytes.size();
  if (sent.bytes.size() > 1200) Break(*from, "a datagram is too large");
  const auto found = std::find_if(
      places_.begin(), places_.end(),
      [&](const process* each) { return each && each->where == sent.to; });
  if (found == places_.end()) return;
  const std::size_t place = (*found)->place;
  if (cuts_.count({from->place, place}) != 0 || Happens(loss_)) return;
  const auto bytes = std::make_shared<const std::string>(sent.bytes);
  for (int copies = Happens(repeat_) ? 2 : 1; copies > 0; --copies) {
    duration delay = milliseconds(1) + UpTo(milliseconds(20));
    if (Happens(late_)) delay += UpTo(seconds(20));
    // Whoever has the address when it arrives gets it.
    queue_.push({now_ + delay, order_++, *found, from->where, bytes});
  }
}

void roster_world::CheckEntry(process* one, const roster_entry& entry) {
  const node_record& record = entry.record;
  Say("  " + ToString(one->where) + " sees " + Text(record) + " " +
      Text(entry.liveness));
  const auto start = starts_.find({record.where, record.generation});
  if (start == starts_.end()) {
    Break(*one, "a start that never was: " + Text(record));
    return;
  }
  const auto before = one->seen.find(record.where);
  const bool is_known = one->member->entries().count(record.where) != 0;
  if (before != one->seen.end()) {
    if (record.generation < before->second.record.generation)
      Break(*one, "an older start replaced a newer one: " + Text(record));
    if (record.generation == before->second.record.generation &&
        record.sequence < before->second.record.sequence)
      Break(*one, "an older record replaced a newer one: " + Text(record));
  }
  const std::pair<endpoint, std::uint64_t> key(record.where, record.generation);
  if (entry.liveness == node_liveness::kGone) {
    // One that was only silent for long may come back.
    if (record.leaving ||
        (is_known && one->member->entries().at(record.where).record.generation >
                         record.generation))
      one->gone.insert(key);
  } else if (one->gone.count(key) != 0) {
    Break(*one, "a start that is gone came back: " + Text(record));
  }
  const bool was_alive =
      before != one->seen.end() &&
      before->second.record.generation == record.generation &&
      before->second.liveness == node_liveness::kAlive;
  const process& truth = *start->second;
  if (entry.liveness == node_liveness::kAlive && !was_alive &&
      (!truth.runs || truth.is_stopped) && truth.lived + kAliveBound < now_)
    Break(*one, "a start that ended was shown as alive: " + Text(record));
  if (entry.liveness == node_liveness::kGone && !is_known) {
    one->seen.erase(record.where);
  } else {
    one->seen[record.where] = entry;
  }
}

void roster_world::CheckState(process* one) {
  const roster_member& member = *one->member;
  if (member.set().version < one->set_version)
    Break(*one, "the set's version fell");
  if (member.confirmed() == one->confirmed) return;
  if (one->confirmed && *member.confirmed() < *one->confirmed)
    Break(*one, "the confirmation fell back");
  one->confirmed = member.confirmed();
  if (AcceptedAt(*one->confirmed - one->clock) > member.set().version)
    Break(*one, "a set was accepted before the time confirmed");
}

std::string roster_world::CheckQuiet() const {
  for (const process* one : places_) {
    if (!one->runs) continue;
    const std::string who = ToString(one->where) + ": ";
    const roster_member& member = *one->member;
    if (!member.IsInTouch(Local(*one))) return who + "is not in touch";
    for (const process* other : places_) {
      const auto found = member.entries().find(other->where);
      const std::string whom = ToString(other->where);
      if (!other->runs) {
        if (found != member.entries().end() &&
            found->second.liveness == node_liveness::kAlive)
          return who + "sees as alive what ended: " + whom;
        continue;
      }
      if (found == member.entries().end()) return who + "does not know " + whom;
      const roster_entry& entry = found->second;
      const node_record& own = other->member->own();
      if (entry.record.generation != own.generation ||
          entry.record.sequence != own.sequence)
        return who + "has " + Text(entry.record) + " for " + Text(own);
      const node_liveness right =
          own.leaving ? node_liveness::kGone : node_liveness::kAlive;
      if (entry.liveness != right)
        return who + "sees " + whom + " as " + Text(entry.liveness);
    }
    if (one->role == node_role::kControl) continue;
    if (member.set().version != accepted())
      return who + "has set " + std::to_string(member.set().version);
    if (!member.confirmed() || Local(*one) - *member.confirmed() > seconds(2))
      return who + "has no late confirmation";
  }
  return "";
}

}  // namespace tamaracklatch::test
