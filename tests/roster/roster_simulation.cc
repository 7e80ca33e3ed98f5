// The faults, the network and the checks of the roster simulation.
#include "roster/roster_simulation.h"

#include <algorithm>

#include "roster/roster_messages.h"
#include "tamaracklatch/control/document_set.h"

namespace tamaracklatch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Shorter than the defaults, so that entries are evicted within a schedule.
constexpr duration kHubRetention = seconds(6);
constexpr duration kMemberRetention = seconds(9);
// A member may show a node as alive for this long after it ended: the sum of
// the age that an announcement may have, the hub's silence timeout with the
// stalls that it does not count, and the time for which a hub's last reports
// count.
constexpr duration kAliveBound = seconds(6);
// The longest delay of a datagram that is not delayed by a fault.
constexpr duration kUsualDelay = milliseconds(21);
constexpr duration kLogInterval = milliseconds(100);

endpoint EndpointOf(std::size_t index) {
  return {MakeV4(0x0a000001 + static_cast<std::uint32_t>(index)), 7000};
}

std::string Describe(const node_record& record) {
  return ToString(record.where) + " " + std::to_string(record.generation) +
         "." + std::to_string(record.sequence) + " " +
         std::string(ToString(record.condition)) +
         (record.leaving ? " leaving" : "");
}

const char* Describe(node_liveness liveness) {
  return liveness == node_liveness::kAlive
             ? "alive"
             : (liveness == node_liveness::kSilent ? "silent" : "gone");
}

}  // namespace

roster_simulation::roster_simulation(const roster_simulation_settings& settings)
    : settings_(settings), random_(settings.seed), next_log_(now_) {
  accepted_.emplace_back(time_point(), 0);
  accepted_rules_.emplace_back(time_point(), placement_rules());
  nodes_.resize(settings.controls + settings.other_nodes);
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    Start(i, "service-" + std::to_string(i % 3), duration(0));
}

void roster_simulation::Trace(const std::string& line) {
  if (settings_.trace)
    trace_lines_.push_back(
        std::to_string(now_.time_since_epoch().count() / 1000 - 3600000) +
        " ms " + line);
}

void roster_simulation::ReportViolation(const process& node,
                                        const std::string& message) {
  if (violation_.empty()) violation_ = ToString(node.where) + ": " + message;
  Trace("VIOLATION " + ToString(node.where) + ": " + message);
}

void roster_simulation::Start(std::size_t index, const std::string& service,
                              duration skew) {
  auto owned = std::make_unique<process>();
  process* node = owned.get();
  processes_.push_back(std::move(owned));
  const process* before = nodes_[index];
  nodes_[index] = node;
  node->index = index;
  node->where = EndpointOf(index);
  node->clock_offset = RandomUpTo(seconds(1000));
  node_record record;
  record.where = node->where;
  record.generation =
      static_cast<std::uint64_t>((now_ + skew).time_since_epoch().count());
  record.zone = "zone-" + std::to_string(index % 3);
  roster_member_settings member;
  for (std::size_t i = 0; i < settings_.controls; ++i)
    member.seeds.push_back(EndpointOf(i));
  member.retention = kMemberRetention;
  if (index < settings_.controls) {
    node->role = node_role::kControl;
    roster_hub_settings hub;
    hub.retention = kHubRetention;
    node->hub =
        std::make_unique<roster_hub>(hub, random_() | 1U, LocalTime(*node));
    // Half of the hubs that start are behind the log until its next run.
    if (before != nullptr && before->applied_version > 0 && Chance(0.5))
      ApplyLog(node);
  } else {
    node->role = index % 3 == 0 ? node_role::kBalancer : node_role::kTarget;
    record.service = service;
    record.condition = target_condition::kReady;
    record.target_start = record.generation / 1000;
  }
  node->service = record.service;
  record.role = node->role;
  member.wants_set = node->role != node_role::kControl;
  node->member =
      std::make_unique<roster_member>(member, record, LocalTime(*node));
  Trace("start " + Describe(record));
  Tick(node);
}

void roster_simulation::Kill(std::size_t index) {
  process* node = nodes_[index];
  if (!node->runs) return;
  Trace("end " + ToString(node->where));
  if (!node->is_suspended) node->last_ran = now_;
  node->runs = false;
  node->is_suspended = false;
  node->inbox.clear();
}

void roster_simulation::Suspend(std::size_t index) {
  process* node = nodes_[index];
  if (!node->runs || node->is_suspended) return;
  Trace("suspend " + ToString(node->where));
  node->is_suspended = true;
  node->last_ran = now_;
}

void roster_simulation::Resume(std::size_t index) {
  process* node = nodes_[index];
  if (!node->runs || !node->is_suspended) return;
  Trace("go on " + ToString(node->where));
  node->is_suspended = false;
  const bool tick_first = Chance(0.5);
  if (tick_first) Tick(node);
  auto inbox = std::move(node->inbox);
  node->inbox.clear();
  for (const auto& [from, bytes] : inbox) {
    RecordRulesReport(node, from, bytes, duration::max());
    Deliver(node, from, bytes);
  }
  if (!tick_first) Tick(node);
}

void roster_simulation::Leave(std::size_t index) {
  process* node = nodes_[index];
  if (!node->runs || node->is_suspended || node->ends_at) return;
  node_record record = node->member->local_record();
  record.leaving = true;
  if (record.condition == target_condition::kReady)
    record.condition = target_condition::kDraining;
  Trace("leave " + Describe(record));
  node->ends_at = now_ + RandomUpTo(seconds(2));
  Perform(node, node->member->SetLocalRecord(record, LocalTime(*node)));
}

void roster_simulation::SetRecord(std::size_t index, target_condition condition,
                                  std::uint32_t load) {
  process* node = nodes_[index];
  if (!node->runs || node->is_suspended) return;
  node_record record = node->member->local_record();
  record.condition = condition;
  record.load = load;
  Trace("set " + Describe(record));
  Perform(node, node->member->SetLocalRecord(record, LocalTime(*node)));
}

void roster_simulation::Cut(std::size_t from, std::size_t to, bool cut) {
  Trace((cut ? "cut " : "restore ") + std::to_string(from) + " " +
        std::to_string(to));
  if (cut) {
    cuts_.insert({from, to});
  } else {
    cuts_.erase({from, to});
  }
}

void roster_simulation::Publish(std::size_t names) {
  document_set set;
  set.version = accepted() + 1 + RandomBelow(3);
  // About one in four names is new in each set.
  for (std::size_t i = 0; i < names; ++i)
    set.services.push_back("service-" + std::to_string((set.version + i) / 4) +
                           "-" + std::to_string(i));
  const endpoint where{MakeV4(0xc6120001U), 443};
  if (names > 0)
    set.routes.push_back({"route", where, {{set.services.back(), 1}}});
  sets_[set.version] = EncodeDocumentSet(set);
  accepted_.emplace_back(now_, set.version);
  Trace("accepted " + std::to_string(set.version));
}

std::uint64_t roster_simulation::AcceptedAt(time_point when) const {
  std::uint64_t version = 0;
  for (const auto& [at, each] : accepted_)
    if (at <= when) version = each;
  return version;
}

std::uint64_t roster_simulation::RulesAt(time_point when) const {
  std::uint64_t revision = 0;
  for (const auto& [at, rules] : accepted_rules_)
    if (at <= when) revision = rules.revision;
  return revision;
}

void roster_simulation::PublishRules() {
  placement_rules rules;
  rules.revision = accepted_rules().revision + 1 + RandomBelow(3);
  for (std::size_t i = 0; i < 3; ++i)
    if (Chance(0.3))
      rules.evacuated_zones.push_back("zone-" + std::to_string(i));
  Trace("accepted rules " + std::to_string(rules.revision));
  accepted_rules_.emplace_back(now_, std::move(rules));
}

// The rules first, as the log's reader does. Entries are applied one by one, or
// a snapshot replaces several.
void roster_simulation::ApplyLog(process* node) {
  node->applied_rules = accepted_rules().revision;
  node->hub->SetPlacementRules(accepted_rules(), LocalTime(*node));
  if (accepted() == 0) return;
  const bool restores_snapshot = Chance(0.3);
  for (auto each = sets_.upper_bound(node->applied_version);
       each != sets_.end(); ++each) {
    if (restores_snapshot && each->first != accepted()) continue;
    node->hub->SetDocuments(each->first, each->second, !restores_snapshot,
                            LocalTime(*node));
  }
  node->applied_version = accepted();
}

// Control VMs apply the accepted sets and rules, and the quorum confirms that
// there are no others.
void roster_simulation::RunLog() {
  for (std::size_t i = 0; i < settings_.controls; ++i) {
    process* node = nodes_[i];
    if (!node->runs || node->is_suspended || Chance(0.3)) continue;
    ApplyLog(node);
    Schedule(node);
    const duration ago = RandomUpTo(milliseconds(300));
    if (node->applied_version >= AcceptedAt(now_ - ago))
      node->hub->OnQuorumConfirmed(node->applied_version, node->applied_rules,
                                   LocalTime(*node) - ago);
  }
}

void roster_simulation::RandomFault() {
  const std::size_t index = RandomBelow(nodes_.size());
  process* node = nodes_[index];
  switch (RandomBelow(14)) {
    case 0:
      Cut(index, RandomBelow(nodes_.size()), true);
      break;
    case 1: {
      const std::size_t other = RandomBelow(nodes_.size());
      Cut(index, other, true);
      Cut(other, index, true);
      break;
    }
    case 2:
    case 3:
      if (!cuts_.empty()) {
        auto cut =
            std::next(cuts_.begin(),
                      static_cast<std::ptrdiff_t>(RandomBelow(cuts_.size())));
        Cut(cut->first, cut->second, false);
      }
      break;
    case 4:
      Suspend(index);
      break;
    case 5:
    case 6:
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i]->is_suspended && Chance(0.5)) Resume(i);
      break;
    case 7:
      // A crash; in half of the cases the process restarts at once.
      Kill(index);
      if (Chance(0.5))
        Start(index, node->service,
              Chance(0.2) ? -RandomUpTo(seconds(30)) : duration(0));
      break;
    case 8:
      if (!node->runs)
        Start(index, "service-" + std::to_string(RandomBelow(3)),
              Chance(0.5) ? -RandomUpTo(seconds(30)) : RandomUpTo(seconds(1)));
      break;
    case 9:
      if (Chance(0.4)) Leave(index);
      break;
    case 10:
      if (node->role == node_role::kTarget && !node->ends_at)
        SetRecord(index, static_cast<target_condition>(RandomBelow(3)),
                  static_cast<std::uint32_t>(RandomBelow(1000)));
      break;
    case 11:
      PublishRules();
      break;
    case 12:
      if (Chance(0.2)) {
        // All control VMs restart at once, as after a power failure.
        for (std::size_t i = 0; i < settings_.controls; ++i) {
          Kill(i);
          Start(i, "", duration(0));
        }
        break;
      }
      [[fallthrough]];
    default:
      Publish(Chance(0.2) ? 500 : RandomBelow(10));
      break;
  }
}

void roster_simulation::RunFaults(duration length) {
  loss_probability_ = Chance(0.5) ? 0.0 : 0.2;
  repeat_probability_ = 0.05;
  long_delay_probability_ = Chance(0.5) ? 0.0 : 0.05;
  for (const time_point end = now_ + length; now_ < end;) {
    RandomFault();
    RunFor(RandomUpTo(milliseconds(1500)));
    if (!violation_.empty()) return;
  }
}

void roster_simulation::EndFaults() {
  Trace("faults end");
  loss_probability_ = repeat_probability_ = long_delay_probability_ = 0.0;
  cuts_.clear();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Resume(i);
    if (i < settings_.controls && !nodes_[i]->runs) Start(i, "", duration(0));
  }
}

void roster_simulation::RunFor(duration length) {
  const time_point end = now_ + length;
  while (now_ < end) {
    const time_point next = queue_.empty() ? end : queue_.top().at;
    const time_point until = std::min({end, next, next_log_});
    now_ = std::max(now_, until);
    if (now_ >= next_log_) {
      next_log_ = now_ + kLogInterval;
      RunLog();
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i]->ends_at && *nodes_[i]->ends_at <= now_) Kill(i);
    }
    while (!queue_.empty() && queue_.top().at <= now_) {
      const queued_event next_event = queue_.top();
      queue_.pop();
      process* to = next_event.to;
      if (!to->runs) continue;
      if (next_event.bytes == nullptr) {
        if (to->wake_at == next_event.at) to->wake_at = time_point::max();
        if (!to->is_suspended) Tick(to);
      } else if (to->is_suspended) {
        if (to->inbox.size() < 300)
          to->inbox.emplace_back(next_event.from, *next_event.bytes);
      } else {
        RecordRulesReport(to, next_event.from, *next_event.bytes,
                          now_ - next_event.sent);
        Deliver(to, next_event.from, *next_event.bytes);
      }
    }
  }
}

void roster_simulation::Tick(process* node) {
  Perform(node, node->member->OnTick(LocalTime(*node)));
  if (node->hub)
    for (const roster_send& sent : node->hub->OnTick(LocalTime(*node)))
      Send(node, sent);
  Schedule(node);
}

void roster_simulation::Deliver(process* node, const endpoint& from,
                                const std::string& bytes) {
  if (IsForHub(bytes)) {
    if (node->hub)
      for (const roster_send& sent :
           node->hub->OnMessage(from, bytes, LocalTime(*node)))
        Send(node, sent);
    Schedule(node);
    return;
  }
  Perform(node, node->member->OnMessage(from, bytes, LocalTime(*node)));
}

void roster_simulation::Perform(process* node,
                                const roster_member::actions& actions) {
  starts_[{node->where, node->member->local_record().generation}] = node;
  for (const roster_action& action : actions) {
    if (const auto* sent = std::get_if<roster_send>(&action)) {
      Send(node, *sent);
    } else if (const auto* changed = std::get_if<roster_changed>(&action)) {
      CheckEntry(node, changed->entry);
    } else if (const auto* received = std::get_if<set_received>(&action)) {
      CheckSet(node, received->set);
      CheckSuccession(node, *received);
    } else if (const auto* rules = std::get_if<rules_received>(&action)) {
      CheckRules(node, rules->rules);
    }
  }
  CheckState(node);
  Schedule(node);
}

void roster_simulation::Schedule(process* node) {
  time_point wake_at = node->member->next_wake();
  if (node->hub) wake_at = std::min(wake_at, node->hub->next_wake());
  wake_at = std::max(wake_at - node->clock_offset, now_ + duration(1));
  if (wake_at >= node->wake_at) return;
  node->wake_at = wake_at;
  queue_.push({wake_at, now_, order_++, node, {}, nullptr});
}

void roster_simulation::Send(process* from, const roster_send& sent) {
  ++datagrams_;
  bytes_ += sent.bytes.size();
  if (sent.bytes.size() > 1200)
    ReportViolation(*from, "a datagram is too large");
  const auto found = std::find_if(
      nodes_.begin(), nodes_.end(),
      [&](const process* each) { return each && each->where == sent.to; });
  if (found == nodes_.end()) return;
  const std::size_t index = (*found)->index;
  if (cuts_.count({from->index, index}) != 0 || Chance(loss_probability_))
    return;
  if (loses_rules_ && KindOf(sent.bytes) == roster_kind::kRules) return;
  const auto bytes = std::make_shared<const std::string>(sent.bytes);
  for (int copies = Chance(repeat_probability_) ? 2 : 1; copies > 0; --copies) {
    duration delay = milliseconds(1) + RandomUpTo(milliseconds(20));
    if (Chance(long_delay_probability_)) delay += RandomUpTo(seconds(20));
    // It reaches the start that has the address now, if that still runs then.
    queue_.push({now_ + delay, now_, order_++, *found, from->where, bytes});
  }
}

void roster_simulation::CheckEntry(process* node, const roster_entry& entry) {
  const node_record& record = entry.record;
  Trace("  " + ToString(node->where) + " sees " + Describe(record) + " " +
        Describe(entry.liveness));
  const auto start = starts_.find({record.where, record.generation});
  if (start == starts_.end()) {
    ReportViolation(*node, "an unknown start: " + Describe(record));
    return;
  }
  const auto before = node->entries_seen.find(record.where);
  const bool is_known = node->member->entries().count(record.where) != 0;
  if (before != node->entries_seen.end()) {
    if (record.generation < before->second.record.generation)
      ReportViolation(
          *node, "an older start replaced a newer one: " + Describe(record));
    if (record.generation == before->second.record.generation &&
        record.sequence < before->second.record.sequence)
      ReportViolation(
          *node, "an older record replaced a newer one: " + Describe(record));
  }
  const std::pair<endpoint, std::uint64_t> key(record.where, record.generation);
  if (entry.liveness == node_liveness::kGone) {
    // One that was evicted while it was silent may return.
    if (record.leaving ||
        (is_known &&
         node->member->entries().at(record.where).record.generation >
             record.generation))
      node->gone_starts.insert(key);
  } else if (node->gone_starts.count(key) != 0) {
    ReportViolation(
        *node, "a start that is gone is present again: " + Describe(record));
  }
  const bool was_alive =
      before != node->entries_seen.end() &&
      before->second.record.generation == record.generation &&
      before->second.liveness == node_liveness::kAlive;
  const process& actual = *start->second;
  if (entry.liveness == node_liveness::kAlive && !was_alive &&
      (!actual.runs || actual.is_suspended) &&
      actual.last_ran + kAliveBound < now_)
    ReportViolation(
        *node, "a start that ended was shown as alive: " + Describe(record));
  if (entry.liveness == node_liveness::kGone && !is_known) {
    node->entries_seen.erase(record.where);
  } else {
    node->entries_seen[record.where] = entry;
  }
}

void roster_simulation::CheckRules(process* node,
                                   const placement_rules& rules) {
  Trace("  " + ToString(node->where) + " has rules " +
        std::to_string(rules.revision));
  if (rules.revision <= node->rules_revision)
    ReportViolation(*node, "the rules' revision decreased");
  const auto accepted = std::find_if(
      accepted_rules_.begin(), accepted_rules_.end(),
      [&](const auto& each) { return each.second.revision == rules.revision; });
  if (accepted == accepted_rules_.end() ||
      EncodePlacementRules(accepted->second) != EncodePlacementRules(rules))
    ReportViolation(*node, "the rules are not the accepted ones");
  node->rules_revision = rules.revision;
}

// Records what an update to the member of `node` reports. An update counts if
// it arrived without a fault and replies to a verified announcement, as the
// member cannot take such an update for an old one.
void roster_simulation::RecordRulesReport(process* node, const endpoint& from,
                                          const std::string& bytes,
                                          duration delay) {
  const auto update = DecodeUpdate(bytes, nullptr);
  if (!update) return;
  process::rules_report& report = node->rules_reports[from];
  if (report.instance != update->instance) report = {update->instance, 0, {}};
  if (update->unverified || delay > kUsualDelay) return;
  report.revision = std::max(report.revision, update->rules_revision);
  report.at = now_;
}

// A set may be reported without the rules accepted before it only if no hub
// that the member heard less than a second ago, which is less than a hub's
// timeout, has newer rules.
void roster_simulation::CheckSet(process* node, const document_set& set) {
  if (set.version <= node->set_version)
    ReportViolation(*node, "the set's version decreased");
  if (EncodeDocumentSet(set) != sets_[set.version])
    ReportViolation(*node, "the set is not the accepted one");
  node->set_version = set.version;
  const auto accepted = std::find_if(
      accepted_.begin(), accepted_.end(),
      [&](const auto& each) { return each.second == set.version; });
  if (node->rules_revision >= RulesAt(accepted->first)) return;
  for (const auto& [hub, report] : node->rules_reports)
    if (report.revision > node->rules_revision && report.at + seconds(1) > now_)
      ReportViolation(
          *node, "a set was reported before the rules of " + ToString(hub));
}

// Unless sets may be missing, the succession lists the services of every set
// accepted in between.
void roster_simulation::CheckSuccession(process* node,
                                        const set_received& received) {
  const auto services_of = [](const std::vector<set_route>& routes) {
    std::set<std::string> services;
    for (const set_route& route : routes)
      services.insert(route.shares.front().service);
    return services;
  };
  std::set<std::string> told =
      services_of(received.succession.intermediate_routes);
  told.merge(services_of(received.set.routes));
  told.merge(services_of(node->routes));
  const std::uint64_t held =
      std::exchange(node->routes_version, received.set.version);
  node->routes = received.set.routes;
  if (received.succession.may_skip_sets) return;
  if (held == 0) ReportViolation(*node, "no set is missing before the first");
  for (const auto& [version, bytes] : sets_) {
    if (version <= held || version >= received.set.version) continue;
    for (const std::string& each :
         services_of(DecodeDocumentSet(bytes)->routes))
      if (told.count(each) == 0)
        ReportViolation(*node, "a service of set " + std::to_string(version) +
                                   " was not told");
  }
}

void roster_simulation::CheckState(process* node) {
  const roster_member& member = *node->member;
  if (member.rules().revision != node->rules_revision)
    ReportViolation(*node, "the rules changed without a report");
  if (member.set().version < node->set_version)
    ReportViolation(*node, "the set's version decreased");
  if (member.confirmed() == node->confirmed) return;
  if (node->confirmed && *member.confirmed() < *node->confirmed)
    ReportViolation(*node, "the time of the confirmation decreased");
  node->confirmed = member.confirmed();
  if (AcceptedAt(*node->confirmed - node->clock_offset) > member.set().version)
    ReportViolation(*node,
                    "a newer set was accepted before the time confirmed");
  if (RulesAt(*node->confirmed - node->clock_offset) > member.rules().revision)
    ReportViolation(*node,
                    "newer rules were accepted before the time confirmed");
}

std::string roster_simulation::CheckConverged() const {
  for (const process* node : nodes_) {
    if (!node->runs) continue;
    const std::string who = ToString(node->where) + ": ";
    const roster_member& member = *node->member;
    if (!member.IsSynchronized(LocalTime(*node)))
      return who + "is not synchronized";
    for (const process* other : nodes_) {
      const auto found = member.entries().find(other->where);
      const std::string whom = ToString(other->where);
      if (!other->runs) {
        if (found != member.entries().end() &&
            found->second.liveness == node_liveness::kAlive)
          return who + "shows an ended node as alive: " + whom;
        continue;
      }
      if (found == member.entries().end()) return who + "does not know " + whom;
      const roster_entry& entry = found->second;
      const node_record& local_record = other->member->local_record();
      if (entry.record.generation != local_record.generation ||
          entry.record.sequence != local_record.sequence)
        return who + "has " + Describe(entry.record) + " for " +
               Describe(local_record);
      const node_liveness right =
          local_record.leaving ? node_liveness::kGone : node_liveness::kAlive;
      if (entry.liveness != right)
        return who + "sees " + whom + " as " + Describe(entry.liveness);
    }
    if (member.rules().revision != accepted_rules().revision)
      return who + "has rules " + std::to_string(member.rules().revision);
    if (node->role == node_role::kControl) continue;
    if (member.set().version != accepted())
      return who + "has set " + std::to_string(member.set().version);
    if (!member.confirmed() ||
        LocalTime(*node) - *member.confirmed() > seconds(2))
      return who + "has no recent confirmation";
  }
  return "";
}

}  // namespace tamaracklatch::test
