// Tests of members and hubs: the liveness of nodes, when changes are sent, and
// how much data they need.
#include <criterion/criterion.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "roster/roster_messages.h"
#include "roster/roster_simulation.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::roster_simulation;
using test::roster_simulation_settings;

constexpr time_point kStart(std::chrono::hours(1));

endpoint EndpointAt(std::uint32_t index) {
  return {MakeV4(0x0a000000 + index), 7000};
}

node_record MakeRecord(std::uint32_t index, std::uint64_t generation = 100) {
  node_record record;
  record.where = EndpointAt(index);
  record.generation = generation;
  record.sequence = 1;
  record.zone = "zone-a";
  record.service = "desk";
  record.condition = target_condition::kReady;
  return record;
}

// A node that announces itself to one hub, as a roster_member does.
class announcing_node {
 public:
  announcing_node(roster_hub* hub, node_record local_record,
                  time_point now = kStart)
      : record(std::move(local_record)), stamped(now), hub_(hub) {
    Announce(now);
    Announce(now);
  }

  // Sends an announcement; returns the updates in reply.
  std::vector<roster_update> Announce(time_point now) {
    roster_announce message;
    message.number = ++number;
    message.instance = instance;
    message.stamp = stamp;
    message.stamp_age = now - stamped;
    message.position = position;
    message.record = record;
    message.rules_revision = rules_revision;
    last = Encode(message);
    std::vector<roster_update> updates;
    for (const roster_send& sent : hub_->OnMessage(record.where, last, now)) {
      if (KindOf(sent.bytes) == roster_kind::kRules) {
        cr_expect(updates.empty(), "rules are sent before the update");
        ++rules_messages;
        continue;
      }
      updates.push_back(*DecodeUpdate(sent.bytes, nullptr));
      const roster_update& update = updates.back();
      instance = update.instance;
      stamp = update.stamp;
      stamped = now;
      if (!update.unverified) position = update.to;
    }
    return updates;
  }

  node_record record;
  std::string last;
  std::uint64_t number = 0;
  std::uint64_t instance = 0;
  std::uint64_t stamp = 0;
  std::uint64_t position = 0;
  std::uint64_t rules_revision = 0;  // to announce
  std::size_t rules_messages = 0;    // received
  time_point stamped;

 private:
  roster_hub* hub_;
};

std::size_t CountEntries(const std::vector<roster_update>& updates) {
  std::size_t count = 0;
  for (const roster_update& update : updates)
    count += DecodeEntries(update.entries, nullptr)->size();
  return count;
}

node_liveness LivenessAt(const roster_hub& hub, std::uint32_t index) {
  return hub.entries().at(EndpointAt(index)).liveness;
}

void TickUntil(roster_hub* hub, time_point end) {
  while (hub->next_wake() < end) hub->OnTick(hub->next_wake());
  hub->OnTick(end);
}

Test(roster_hub, an_announcement_counts_once_and_only_while_it_is_fresh) {
  roster_hub hub(roster_hub_settings(), 5, kStart);
  announcing_node node(&hub, MakeRecord(1));
  cr_expect(LivenessAt(hub, 1) == node_liveness::kAlive);
  // The same datagram, repeated.
  for (time_point now = kStart; now <= kStart + seconds(2);
       now += milliseconds(100)) {
    hub.OnTick(now);
    hub.OnMessage(node.record.where, node.last, now);
  }
  cr_expect(LivenessAt(hub, 1) == node_liveness::kSilent);
  // An announcement that was delayed for too long.
  const time_point now = kStart + seconds(2);
  node.stamped = now;
  node.Announce(now);
  cr_expect(LivenessAt(hub, 1) == node_liveness::kSilent);
  node.Announce(now);
  cr_expect(LivenessAt(hub, 1) == node_liveness::kAlive);
}

Test(roster_hub, an_earlier_start_receives_the_later_generation) {
  roster_hub hub(roster_hub_settings(), 5, kStart);
  announcing_node later(&hub, MakeRecord(1, 100));
  announcing_node earlier(&hub, MakeRecord(1, 99));
  const auto updates = earlier.Announce(kStart);
  cr_expect(updates.size() == 1 && updates[0].superseding_generation == 100);
  cr_expect(hub.entries().at(EndpointAt(1)).record.generation == 100);
}

Test(roster_hub, a_node_that_left_stays_gone) {
  roster_hub hub(roster_hub_settings(), 5, kStart);
  announcing_node node(&hub, MakeRecord(1));
  node.record.leaving = true;
  ++node.record.sequence;
  node.Announce(kStart);
  cr_expect(LivenessAt(hub, 1) == node_liveness::kGone);
  node.record.leaving = false;
  ++node.record.sequence;
  node.Announce(kStart);
  cr_expect(LivenessAt(hub, 1) == node_liveness::kGone);
  node.record.generation += 1;
  node.Announce(kStart);
  cr_expect(LivenessAt(hub, 1) == node_liveness::kAlive);
}

Test(roster_hub, a_stall_of_the_hub_makes_no_node_silent) {
  struct row {
    duration stop;
    bool is_known;
  };
  for (const row& each :
       {row{milliseconds(200), true}, row{milliseconds(1000), true},
        row{seconds(3), false}, row{seconds(300), false}}) {
    roster_hub hub(roster_hub_settings(), 5, kStart);
    announcing_node node(&hub, MakeRecord(1));
    TickUntil(&hub, kStart + milliseconds(800));
    const time_point now = kStart + milliseconds(800) + each.stop;
    hub.OnTick(now);
    cr_expect((hub.entries().count(EndpointAt(1)) != 0) == each.is_known);
    if (each.is_known) {
      cr_expect(LivenessAt(hub, 1) == node_liveness::kAlive);
      TickUntil(&hub, now + milliseconds(600));
      cr_expect(LivenessAt(hub, 1) == node_liveness::kSilent);
    }
  }
}

Test(roster_hub, changes_of_load_are_published_at_a_bounded_rate) {
  struct row {
    std::uint32_t step;  // in 1/256 of a slot, of one slot
    std::size_t most;
    std::size_t least;
    std::uint32_t service_time_step = 0;
    std::uint64_t outdated_step = 0;
  };
  // A change of the service time alone counts as a small change of load, one
  // of the replaced set does not.
  for (const row& each : {row{64, 21, 15}, row{1, 6, 4}, row{0, 0, 0},
                          row{0, 6, 4, 1}, row{0, 40, 39, 0, 1}}) {
    roster_hub hub(roster_hub_settings(), 5, kStart);
    announcing_node node(&hub, MakeRecord(1));
    announcing_node other(&hub, MakeRecord(2));
    other.Announce(kStart);
    std::size_t published = 0;
    // Ten seconds, four announcements a second.
    for (int i = 1; i <= 40; ++i) {
      const time_point now = kStart + i * milliseconds(250);
      TickUntil(&hub, now);
      node.record.load += each.step;
      node.record.service_time += each.service_time_step;
      node.record.outdated_set += each.outdated_step;
      const bool is_changed =
          each.step + each.service_time_step + each.outdated_step != 0;
      node.record.sequence += is_changed ? 1 : 0;
      node.Announce(now);
      published += CountEntries(other.Announce(now));
    }
    cr_expect(published <= each.most && published >= each.least,
              "steps of %u were published %zu times", each.step, published);
  }
}

Test(roster_hub, cold_time_decreases_at_the_hub) {
  roster_hub hub(roster_hub_settings(), 5, kStart);
  node_record record = MakeRecord(1);
  record.cold_remaining = seconds(3);
  announcing_node node(&hub, record);
  TickUntil(&hub, kStart + seconds(1));
  const time_point now = kStart + seconds(1);
  announcing_node other(&hub, MakeRecord(2), now);
  other.position = 0;
  const auto updates = other.Announce(now);
  const auto entries = DecodeEntries(updates.at(0).entries, nullptr);
  bool found = false;
  for (const update_entry& each : *entries) {
    if (each.record.where != EndpointAt(1)) continue;
    found = true;
    cr_expect(each.record.cold_remaining == seconds(2));
  }
  cr_expect(found);
}

Test(roster_hub, a_change_among_many_nodes_costs_one_entry) {
  constexpr std::uint32_t kNodes = 20000;
  roster_hub hub(roster_hub_settings(), 5, kStart);
  std::vector<announcing_node> nodes;
  nodes.reserve(kNodes);
  for (std::uint32_t i = 0; i < kNodes; ++i)
    nodes.emplace_back(&hub, MakeRecord(i));
  hub.OnTick(kStart + milliseconds(1));
  announcing_node reader(&hub, MakeRecord(kNodes));
  // The whole roster, in replies of bounded size.
  std::size_t entries = 0;
  std::size_t replies = 0;
  reader.position = 0;
  for (bool is_whole = false; !is_whole; ++replies) {
    const auto updates = reader.Announce(kStart + milliseconds(1));
    cr_assert(updates.size() <= 24);
    entries += CountEntries(updates);
    is_whole = updates.back().to == updates.back().newest;
    cr_expect(updates.back().announce_interval >= seconds(10));
  }
  cr_expect(entries == kNodes + 1, "%zu entries", entries);
  cr_expect(replies < 200, "%zu replies", replies);
  nodes[7].record.condition = target_condition::kDraining;
  ++nodes[7].record.sequence;
  nodes[7].Announce(kStart + milliseconds(2));
  cr_expect(CountEntries(reader.Announce(kStart + milliseconds(2))) == 1);
}

placement_rules MakeRules(std::uint64_t revision) {
  placement_rules rules;
  rules.revision = revision;
  if (revision != 0)
    rules.evacuated_zones = {"zone-" + std::to_string(revision)};
  return rules;
}

// Guards against rules that are sent without need, and against a hub that
// answers a forged or late announcement with a large datagram.
Test(roster_hub, only_fresh_announcements_of_a_lower_revision_get_the_rules) {
  struct row {
    std::uint64_t held;  // by the hub
    std::uint64_t announced;
    bool fresh;
    bool is_sent;
  };
  for (const row& each : {row{0, 0, true, false}, row{7, 0, true, true},
                          row{7, 6, true, true}, row{7, 7, true, false},
                          row{7, 9, true, false}, row{7, 0, false, false}}) {
    roster_hub hub(roster_hub_settings(), 5, kStart);
    hub.SetPlacementRules(MakeRules(each.held), kStart);
    hub.SetPlacementRules(MakeRules(each.held / 2), kStart);
    announcing_node node(&hub, MakeRecord(1));
    node.rules_messages = 0;
    node.rules_revision = each.announced;
    if (!each.fresh) node.stamp -= 1200000;  // 1.2 s
    const auto updates = node.Announce(kStart);
    cr_expect(updates.at(0).rules_revision == each.held);
    cr_expect((node.rules_messages == 1) == each.is_sent, "%d announced",
              static_cast<int>(each.announced));
  }
}

Test(roster_hub, changed_rules_are_pushed_once_to_nodes_that_lack_them) {
  roster_hub hub(roster_hub_settings(), 5, kStart);
  announcing_node behind(&hub, MakeRecord(1));
  announcing_node ahead(&hub, MakeRecord(2));
  ahead.rules_revision = 7;
  ahead.Announce(kStart);
  const auto push = [&](time_point now) {
    std::vector<endpoint> receivers;
    for (const roster_send& sent : hub.OnTick(now))
      if (KindOf(sent.bytes) == roster_kind::kRules)
        receivers.push_back(sent.to);
    return receivers;
  };
  hub.OnTick(kStart + milliseconds(20));
  hub.SetPlacementRules(MakeRules(7), kStart + milliseconds(20));
  cr_expect(push(kStart + milliseconds(40)) == std::vector{EndpointAt(1)});
  // The push of another change, before the node's next announcement.
  hub.SetDocuments(3, "set", true, kStart + milliseconds(40));
  cr_expect(push(kStart + milliseconds(60)).empty());
}

// A member, and hubs whose updates the test writes.
class scripted_member {
 public:
  explicit scripted_member(std::size_t hubs, bool wants_set = false)
      : member(Settings(hubs, wants_set), MakeRecord(1), kStart) {
    instances.assign(hubs, 0);
    for (std::size_t i = 0; i < hubs; ++i) instances[i] = 70 + i;
    numbers.resize(hubs);
    now = kStart;
    RecordAnnouncements(member.OnTick(now));
  }

  static roster_member_settings Settings(std::size_t hubs, bool wants_set) {
    roster_member_settings settings;
    for (std::size_t i = 0; i < hubs; ++i)
      settings.seeds.push_back(EndpointAt(100 + static_cast<std::uint32_t>(i)));
    settings.wants_set = wants_set;
    return settings;
  }

  void RecordAnnouncements(const roster_member::actions& actions) {
    for (const roster_action& action : actions) {
      if (std::holds_alternative<rules_received>(action)) reports += 'r';
      if (std::holds_alternative<set_received>(action)) reports += 's';
      const auto* sent = std::get_if<roster_send>(&action);
      if (sent == nullptr) continue;
      const auto message = DecodeAnnounce(sent->bytes, nullptr);
      if (!message) continue;
      ++announce_count;
      for (std::size_t i = 0; i < numbers.size(); ++i)
        if (sent->to == EndpointAt(100 + static_cast<std::uint32_t>(i))) {
          numbers[i] = message->number;
          announced_positions[i] = message->position;
        }
    }
  }

  // Advances the time; the hubs in `responding` reply without changes.
  void RunUntil(time_point end, const std::vector<std::size_t>& responding) {
    while (member.next_wake() < end) {
      now = member.next_wake();
      RecordAnnouncements(member.OnTick(now));
      for (const std::size_t hub : responding) SendEntries(hub, {}, 0);
    }
    now = end;
  }

  roster_update Update(std::size_t hub) const {
    roster_update update;
    update.instance = instances[hub];
    update.echo = numbers[hub];
    update.stamp = static_cast<std::uint64_t>(now.time_since_epoch().count());
    update.settled = true;
    return update;
  }

  // Sends an update from a hub; its newest position is `ahead` positions after
  // this update.
  void SendEntries(std::size_t hub, const std::vector<update_entry>& entries,
                   std::uint64_t ahead) {
    roster_update update = Update(hub);
    entry_writer writer;
    for (const update_entry& each : entries)
      writer.Add(each.record, each.liveness, duration(0));
    update.from = positions[hub];
    positions[hub] += entries.size();
    update.to = positions[hub];
    update.newest = update.to + ahead;
    update.entries = writer.Take();
    SendUpdate(hub, update);
  }

  void SendUpdate(std::size_t hub, const roster_update& update) {
    SendBytes(hub, Encode(update));
  }

  void SendBytes(std::size_t hub, const std::string& bytes) {
    RecordAnnouncements(member.OnMessage(
        EndpointAt(100 + static_cast<std::uint32_t>(hub)), bytes, now));
  }

  // A hub offers a set and rules, confirms both, and sends the set.
  void OfferSet(std::size_t hub, std::uint64_t version,
                std::uint64_t rules_revision) {
    document_set set;
    set.version = version;
    const std::string bytes = EncodeDocumentSet(set);
    roster_update update = Update(hub);
    update.documents = {version, bytes.size(),
                        HashBytes(bytes.data(), bytes.size())};
    update.rules_revision = rules_revision;
    update.confirmed =
        set_confirmation{version, milliseconds(10), rules_revision};
    SendUpdate(hub, update);
    SendBytes(hub, Encode(set_part{version, bytes.size(), 0, bytes}));
  }

  node_liveness LivenessOf(std::uint32_t index) const {
    return member.entries().at(EndpointAt(index)).liveness;
  }

  roster_member member;
  std::vector<std::uint64_t> instances;
  std::vector<std::uint64_t> numbers;  // of the last announcement
  std::map<std::size_t, std::uint64_t> positions;
  std::map<std::size_t, std::uint64_t> announced_positions;  // to the hubs
  std::size_t announce_count = 0;
  std::string reports;  // 'r' for rules received, 's' for a set, in order
  time_point now;
};

constexpr node_liveness kAlive = node_liveness::kAlive;
constexpr node_liveness kSilent = node_liveness::kSilent;

Test(roster_member, a_node_is_silent_only_if_all_synchronized_hubs_report_it) {
  struct row {
    const char* name;
    std::vector<node_liveness> reports;  // by each hub
    node_liveness result;
  };
  for (const row& each : {row{"all report it alive", {kAlive, kAlive}, kAlive},
                          row{"the second does", {kSilent, kAlive}, kAlive},
                          row{"the first does", {kAlive, kSilent}, kAlive},
                          row{"none does", {kSilent, kSilent}, kSilent},
                          row{"only one knows it, alive", {kAlive}, kAlive},
                          row{"the only one lost it", {kSilent}, kSilent}}) {
    scripted_member test(2);
    for (std::size_t hub = 0; hub < 2; ++hub) {
      std::vector<update_entry> entries;
      if (hub < each.reports.size())
        entries.push_back({MakeRecord(5), each.reports[hub]});
      test.SendEntries(hub, entries, 0);
    }
    cr_expect(test.LivenessOf(5) == each.result, "%s", each.name);
  }
}

Test(roster_member, a_regained_hub_counts_once_it_is_synchronized) {
  scripted_member test(2);
  test.SendEntries(0, {{MakeRecord(5), kAlive}}, 0);
  test.SendEntries(1, {{MakeRecord(5), kSilent}}, 0);
  cr_expect(test.LivenessOf(5) == kAlive);
  test.RunUntil(test.now + seconds(3), {1});
  cr_expect(test.LivenessOf(5) == kSilent,
            "the hub that reports it alive is lost");
  test.SendEntries(0, {{MakeRecord(6), kAlive}}, 1);
  cr_expect(test.LivenessOf(5) == kSilent, "its reports may be old");
  test.SendEntries(0, {{MakeRecord(7), kAlive}}, 0);
  cr_expect(test.LivenessOf(5) == kAlive);
}

Test(roster_member, the_last_state_stays_while_no_hub_responds) {
  scripted_member test(2);
  test.SendEntries(0, {{MakeRecord(5), kAlive}, {MakeRecord(6), kSilent}}, 0);
  cr_expect(test.member.IsSynchronized(test.now));
  test.RunUntil(test.now + seconds(30), {});
  cr_expect(!test.member.IsSynchronized(test.now));
  cr_expect(test.LivenessOf(5) == kAlive);
  cr_expect(test.LivenessOf(6) == kSilent);
}

Test(roster_member, absence_counts_at_a_settled_hub_only) {
  scripted_member test(1);
  test.SendEntries(0, {{MakeRecord(5), kAlive}}, 0);
  // The hub restarts without entries.
  test.instances[0] = 90;
  test.positions[0] = 0;
  test.RunUntil(test.now + milliseconds(300), {});
  roster_update update = test.Update(0);
  update.settled = false;
  test.SendUpdate(0, update);
  cr_expect(test.LivenessOf(5) == kAlive);
  test.SendUpdate(0, test.Update(0));
  cr_expect(test.LivenessOf(5) == kSilent);
}

Test(roster_member, a_delayed_update_changes_nothing) {
  scripted_member test(1);
  test.SendEntries(0, {{MakeRecord(5), kAlive}}, 0);
  roster_update late = test.Update(0);
  entry_writer writer;
  writer.Add(MakeRecord(6), kAlive, duration(0));
  late.from = 1;
  late.to = late.newest = 2;
  late.entries = writer.Take();
  test.RunUntil(test.now + seconds(2), {});
  test.SendUpdate(0, late);
  cr_expect(test.member.entries().count(EndpointAt(6)) == 0);
  cr_expect(!test.member.IsSynchronized(test.now));
}

Test(roster_member, urgent_changes_are_repeated_until_acknowledged) {
  struct row {
    bool acknowledged;
    std::size_t most;
    std::size_t least;
  };
  for (const row& each : {row{false, 5, 4}, row{true, 2, 1}}) {
    scripted_member test(1);
    test.SendEntries(0, {}, 0);
    test.RunUntil(test.now + milliseconds(30), {});
    test.announce_count = 0;
    node_record record = test.member.local_record();
    record.condition = target_condition::kDraining;
    test.RecordAnnouncements(test.member.SetLocalRecord(record, test.now));
    cr_expect(test.announce_count == 1, "at once");
    if (each.acknowledged) test.SendEntries(0, {}, 0);
    test.RunUntil(test.now + milliseconds(200), {});
    cr_expect(
        test.announce_count <= each.most && test.announce_count >= each.least,
        "announced %zu times", test.announce_count);
  }
}

Test(roster_member, changes_of_load_wait_for_the_next_announcement) {
  scripted_member test(1);
  test.SendEntries(0, {}, 0);
  const std::uint64_t sequence = test.member.local_record().sequence;
  node_record record = test.member.local_record();
  cr_expect(test.member.SetLocalRecord(record, test.now).empty());
  cr_expect(test.member.local_record().sequence == sequence);
  record.load = 80;
  cr_expect(test.member.SetLocalRecord(record, test.now).empty());
  cr_expect(test.member.local_record().sequence == sequence + 1);
  record.service_time = 40;
  cr_expect(test.member.SetLocalRecord(record, test.now).empty());
  cr_expect(test.member.local_record().sequence == sequence + 2);
  record.outdated_set = 3;
  cr_expect(!test.member.SetLocalRecord(record, test.now).empty());
  record.leaving = true;
  cr_expect(!test.member.SetLocalRecord(record, test.now).empty());
  record.leaving = false;
  test.member.SetLocalRecord(record, test.now);
  cr_expect(test.member.local_record().leaving, "leaving is final");
}

Test(roster_member, a_running_start_raises_its_generation) {
  scripted_member test(1);
  roster_update update = test.Update(0);
  update.superseding_generation = 5000;
  test.SendUpdate(0, update);
  const std::uint64_t raised = test.member.local_record().generation;
  cr_expect(raised > 5000);
  test.SendUpdate(0, update);
  cr_expect(test.member.local_record().generation == raised);
  // The record of this node from an earlier start.
  test.SendEntries(0, {{MakeRecord(1, raised + 9), kSilent}}, 0);
  cr_expect(test.member.local_record().generation > raised + 9);
}

Test(roster_member, a_hub_with_an_earlier_start_receives_the_later_generation) {
  scripted_member test(2);
  test.SendEntries(0, {{MakeRecord(5, 200), kAlive}}, 0);
  test.SendEntries(0, {{MakeRecord(5, 200), kSilent}}, 0);
  test.SendEntries(1, {{MakeRecord(5, 150), kAlive}}, 0);
  cr_expect(test.LivenessOf(5) == kSilent);
  std::size_t conflicts = 0;
  for (int i = 0; i < 4; ++i) {
    for (const roster_action& action :
         test.member.OnTick(test.member.next_wake())) {
      const auto* sent = std::get_if<roster_send>(&action);
      if (sent == nullptr) continue;
      const auto message = DecodeAnnounce(sent->bytes, nullptr);
      if (message->conflicts.empty()) continue;
      ++conflicts;
      cr_expect(sent->to == EndpointAt(101));
      cr_expect(message->conflicts[0].where == EndpointAt(5));
      cr_expect(message->conflicts[0].generation == 200);
    }
  }
  cr_expect(conflicts > 0);
}

// A report of an earlier start is not applied while a later one is held, and is
// requested again once that is evicted.
Test(roster_member, a_conflicting_start_is_held_once_the_later_one_is_evicted) {
  scripted_member test(2);
  test.SendEntries(0, {{MakeRecord(5, 200), kSilent}}, 0);
  test.SendEntries(1, {{MakeRecord(5, 150), kAlive}}, 0);
  cr_expect(test.member.entries().at(EndpointAt(5)).record.generation == 200);
  test.RunUntil(test.now + seconds(95), {0, 1});
  cr_expect(test.member.entries().count(EndpointAt(5)) == 0);
  cr_expect(test.announced_positions.at(0) == 1);
  cr_expect(test.announced_positions.at(1) == 0);
}

Test(roster_member, a_hub_that_evicted_entries_is_synchronized_anew) {
  scripted_member test(1);
  test.SendEntries(0, {{MakeRecord(5), kAlive}, {MakeRecord(6), kAlive}}, 0);
  // It evicted 6, which had become silent with its third change.
  roster_update update = test.Update(0);
  update.from = update.to = 2;
  update.newest = update.evicted = 3;
  test.SendUpdate(0, update);
  test.RunUntil(test.now + milliseconds(50), {});
  cr_expect(test.announced_positions.at(0) == 0);
  // Sent in two updates now; the first ends before the evicted position.
  test.positions[0] = 0;
  entry_writer writer;
  writer.Add(MakeRecord(5), kAlive, duration(0));
  update = test.Update(0);
  update.to = 1;
  update.newest = update.evicted = 3;
  update.entries = writer.Take();
  test.SendUpdate(0, update);
  update = test.Update(0);
  update.from = 1;
  update.to = update.newest = update.evicted = 3;
  test.SendUpdate(0, update);
  test.RunUntil(test.now + milliseconds(300), {});
  cr_expect(test.announced_positions.at(0) == 3);
  cr_expect(test.LivenessOf(5) == kAlive);
  cr_expect(test.LivenessOf(6) == kSilent);
}

Test(roster_member, an_update_from_before_a_hub_restart_is_ignored) {
  scripted_member test(1);
  test.RunUntil(test.now + milliseconds(300), {});
  roster_update late = test.Update(0);
  test.RunUntil(test.now + milliseconds(300), {});
  test.instances[0] = 90;
  test.SendEntries(0, {{MakeRecord(5), kSilent}}, 0);
  entry_writer writer;
  writer.Add(MakeRecord(5), kAlive, duration(0));
  late.to = late.newest = 1;
  late.entries = writer.Take();
  test.SendUpdate(0, late);
  cr_expect(test.LivenessOf(5) == kSilent);
}

Test(roster_member, a_confirmation_is_no_later_than_the_query) {
  struct row {
    duration total_delay;  // from the announcement to the update's arrival
    duration hub_delay;    // part of it that passed at the hub
    duration age;          // of the query
    std::uint64_t version;
    std::optional<duration> confirmed;  // after the announcement
  };
  const std::vector<row> rows = {
      {milliseconds(0), milliseconds(0), milliseconds(0), 0, milliseconds(0)},
      {milliseconds(900), milliseconds(0), milliseconds(50), 0,
       milliseconds(-50)},
      {milliseconds(900), milliseconds(600), milliseconds(50), 0,
       milliseconds(550)},
      {milliseconds(0), milliseconds(0), milliseconds(0), 1, std::nullopt},
  };
  for (const row& each : rows) {
    scripted_member test(1);
    roster_update update = test.Update(0);
    update.echo_age = each.hub_delay;
    update.confirmed = set_confirmation{each.version, each.age};
    test.now += each.total_delay;
    test.SendUpdate(0, update);
    cr_expect(test.member.confirmed().has_value() ==
              each.confirmed.has_value());
    if (each.confirmed)
      cr_expect(*test.member.confirmed() == kStart + *each.confirmed);
  }
}

// Guards against a target daemon that takes an opening by a replaced set for
// one by the newest: it fetches no sets, but receives their versions.
Test(roster_member, the_newest_accepted_set_is_known_without_a_fetch) {
  struct row {
    std::uint64_t held;       // by the hub
    std::uint64_t confirmed;  // by the quorum
    std::uint64_t version;    // known afterwards
    milliseconds as_of;       // after the announcement
  };
  scripted_member test(2);
  // In this order, each 100 ms after the one before.
  const std::vector<row> rows = {
      {3, 3, 3, milliseconds(-10)}, {4, 3, 4, milliseconds(-10)},
      {4, 4, 4, milliseconds(190)}, {3, 3, 4, milliseconds(190)},
      {4, 6, 6, milliseconds(390)},
  };
  cr_expect_eq(test.member.newest_accepted_set().version, 0U);
  for (const row& each : rows) {
    roster_update update = test.Update(0);
    update.echo_age = test.now - kStart;
    update.documents = {each.held, 10, 1};
    update.confirmed = set_confirmation{each.confirmed, milliseconds(10)};
    test.SendUpdate(0, update);
    const newest_set& newest = test.member.newest_accepted_set();
    cr_expect_eq(newest.version, each.version);
    cr_expect(newest.as_of == kStart + each.as_of, "held %lu", each.held);
    test.now += milliseconds(100);
  }
  cr_expect_eq(test.member.set().version, 0U);
}

// Guards against flows opened by a replaced set that are forgotten in a roll,
// since one of the hubs is of a release that doesn't know the field.
Test(roster_member, a_replaced_set_counts_whichever_hub_reports_it_first) {
  for (const std::size_t first : {std::size_t{0}, std::size_t{1}}) {
    scripted_member test(2);
    update_entry known{MakeRecord(5), kAlive};
    known.record.outdated_set = 7;
    update_entry left_out{MakeRecord(5), kAlive};
    test.SendEntries(first, {first == 0 ? known : left_out}, 0);
    test.SendEntries(1 - first, {first == 0 ? left_out : known}, 0);
    const roster_entry& entry = test.member.entries().at(EndpointAt(5));
    cr_expect_eq(entry.record.outdated_set, 7U, "first from hub %zu", first);
  }
}

Test(roster_member, a_confirmation_waits_for_its_set) {
  scripted_member test(1, true);
  document_set set;
  set.version = 4;
  set.services = {"desk"};
  const std::string bytes = EncodeDocumentSet(set);
  roster_update update = test.Update(0);
  update.documents = {4, bytes.size(), HashBytes(bytes.data(), bytes.size())};
  update.confirmed = set_confirmation{4, milliseconds(10)};
  test.SendUpdate(0, update);
  cr_expect(!test.member.confirmed());
  test.RecordAnnouncements(test.member.OnMessage(
      EndpointAt(100), Encode(set_part{4, bytes.size(), 0, bytes}), test.now));
  cr_expect(test.member.set().version == 4);
  cr_expect(test.member.confirmed() == kStart - milliseconds(10));
}

Test(roster_member, a_lower_revision_or_malformed_rules_change_nothing) {
  struct row {
    const char* name;
    std::size_t hub;
    std::string bytes;
    std::uint64_t malformed;
  };
  placement_rules invalid = MakeRules(9);
  invalid.evacuated_zones = {"b", "a"};
  const std::string newer = Encode(MakeRules(9));
  for (const row& each :
       {row{"a hub behind the log", 1, Encode(MakeRules(6)), 0},
        row{"the same revision, other zones", 1,
            Encode(placement_rules{7, {"other"}, {}}), 0},
        row{"not sorted", 0, Encode(invalid), 1},
        row{"cut short", 0, newer.substr(0, newer.size() - 1), 1},
        row{"empty", 0, newer.substr(0, 1), 1},
        row{"an unknown sender", 5, newer, 0}}) {
    scripted_member test(2);
    test.SendBytes(0, Encode(MakeRules(7)));
    test.SendBytes(each.hub, each.bytes);
    cr_expect(test.reports == "r", "%s", each.name);
    cr_expect(test.member.rules().evacuated_zones[0] == "zone-7", "%s",
              each.name);
    cr_expect(test.member.counters().malformed == each.malformed, "%s",
              each.name);
  }
}

// Guards against openings that are forwarded without the rules, against a set
// that is withheld for ever, and against a confirmation without the rules.
Test(roster_member, a_set_and_its_confirmation_wait_for_the_rules) {
  struct row {
    const char* name;
    std::uint64_t held;                 // rules before the set
    std::optional<std::uint64_t> sent;  // rules after it
    std::string reports;
  };
  for (const row& each : {row{"rules first", 7, std::nullopt, "rs"},
                          row{"rules after the set", 0, 7, "rs"},
                          row{"newer rules after the set", 3, 8, "rrs"},
                          row{"rules of a hub behind", 0, 6, "r"},
                          row{"no rules", 0, std::nullopt, ""}}) {
    scripted_member test(2, true);
    test.SendBytes(0, Encode(MakeRules(each.held)));
    test.OfferSet(0, 4, 7);
    if (each.sent) test.SendBytes(1, Encode(MakeRules(*each.sent)));
    cr_expect(test.reports == each.reports, "%s: %s", each.name,
              test.reports.c_str());
    const bool is_reported = each.reports.back() == 's';
    cr_expect(test.member.set().version == (is_reported ? 4U : 0U));
    cr_expect(test.member.confirmed().has_value() == is_reported, "%s",
              each.name);
    if (is_reported) continue;
    // The hub is lost; another one, without the set, responds.
    test.RunUntil(test.now + seconds(1), {1});
    cr_expect(test.member.set().version == 0, "%s", each.name);
    test.RunUntil(test.now + seconds(2), {1});
    cr_expect(test.member.set().version == 4, "%s", each.name);
    cr_expect(!test.member.confirmed(), "%s", each.name);
  }
}

// The set fetched next must be based on the withheld one, and replaces it.
Test(roster_member, a_newer_set_replaces_a_withheld_one) {
  scripted_member test(1, true);
  test.OfferSet(0, 4, 7);
  test.OfferSet(0, 6, 7);
  cr_expect(test.reports.empty());
  test.SendBytes(0, Encode(MakeRules(7)));
  cr_expect(test.reports == "rs" && test.member.set().version == 6);
  cr_expect(test.member.confirmed().has_value());
}

// Guards against rules that wait for the next announcement, and against a storm
// of announcements while rules don't arrive.
Test(roster_member, a_higher_revision_is_announced_at_once_but_not_repeated) {
  scripted_member test(1);
  test.SendEntries(0, {}, 0);
  test.RunUntil(test.now + milliseconds(100), {});
  test.announce_count = 0;
  roster_update update = test.Update(0);
  for (const std::uint64_t revision : {7, 7, 7, 8}) {
    update.rules_revision = revision;
    test.SendUpdate(0, update);
    test.RunUntil(test.now + milliseconds(30), {});
    cr_expect(test.announce_count == revision - 6, "%zu", test.announce_count);
  }
}

Test(roster_member, no_two_starts_raise_to_the_same_generation) {
  std::vector<std::uint64_t> raised;
  for (const std::uint64_t generation : {100, 101, 102}) {
    roster_member member(scripted_member::Settings(1, false),
                         MakeRecord(1, generation), kStart);
    member.OnTick(kStart);
    roster_update update;
    update.instance = 70;
    update.echo = generation + 1;
    update.superseding_generation = 5000;
    member.OnMessage(EndpointAt(100), Encode(update), kStart);
    raised.push_back(member.local_record().generation);
    cr_expect(raised.back() > 5000);
  }
  cr_expect(raised[0] != raised[1] && raised[1] != raised[2] &&
            raised[0] != raised[2]);
}

roster_simulation MakeSimulation(std::uint64_t seed = 3) {
  roster_simulation_settings settings;
  settings.seed = seed;
  return roster_simulation(settings);
}

Test(roster_simulation, changes_reach_all_nodes_quickly) {
  roster_simulation simulation = MakeSimulation();
  simulation.RunFor(seconds(4));
  simulation.PublishRules();
  simulation.Publish(3);
  simulation.RunFor(milliseconds(400));
  cr_expect(simulation.CheckConverged().empty(), "%s",
            simulation.CheckConverged().c_str());
  simulation.SetRecord(5, target_condition::kDraining, 7);
  simulation.RunFor(milliseconds(100));
  cr_expect(simulation.CheckConverged().empty(), "%s",
            simulation.CheckConverged().c_str());
}

// Also guards against a member that starts and reports the set first.
Test(roster_simulation, lost_rules_messages_are_repaired) {
  roster_simulation simulation = MakeSimulation();
  simulation.RunFor(seconds(4));
  simulation.LoseRules(true);
  simulation.PublishRules();
  simulation.RunFor(seconds(2));
  simulation.Publish(3);
  simulation.Kill(5);
  simulation.Start(5, "service-2", duration(0));
  simulation.RunFor(seconds(2));
  for (const std::size_t index : {4, 5}) {
    const roster_member& member = *simulation.NodeAt(index)->member;
    cr_expect(member.rules().revision == 0 && member.set().version == 0);
  }
  simulation.LoseRules(false);
  simulation.RunFor(milliseconds(400));
  cr_expect(simulation.CheckConverged().empty(), "%s",
            simulation.CheckConverged().c_str());
  cr_expect(simulation.violation().empty(), "%s",
            simulation.violation().c_str());
}

Test(roster_simulation, a_node_received_by_one_hub_is_alive_everywhere) {
  roster_simulation simulation = MakeSimulation();
  simulation.RunFor(seconds(4));
  for (const std::size_t control : {std::size_t{0}, std::size_t{1}}) {
    simulation.Cut(5, control, true);
    simulation.Cut(control, 5, true);
  }
  simulation.RunFor(seconds(20));
  cr_expect(simulation.CheckConverged().empty(), "%s",
            simulation.CheckConverged().c_str());
  simulation.Cut(5, 2, true);
  simulation.RunFor(seconds(3));
  cr_expect(!simulation.CheckConverged().empty());
}

Test(roster_simulation, nodes_stay_alive_while_control_vms_stop_or_start) {
  for (const bool restart : {false, true}) {
    roster_simulation simulation = MakeSimulation();
    simulation.RunFor(seconds(4));
    simulation.Kill(6);
    for (std::size_t i = 0; i < 3; ++i) {
      if (restart) {
        simulation.Kill(i);
        simulation.Start(i, "", duration(0));
      } else {
        simulation.Suspend(i);
      }
    }
    for (int step = 0; step < 60; ++step) {
      simulation.RunFor(milliseconds(100));
      if (step == 20 && !restart)
        for (std::size_t i = 0; i < 3; ++i) simulation.Resume(i);
      for (const auto& [where, entry] :
           simulation.NodeAt(4)->member->entries()) {
        if (where == simulation.NodeAt(6)->where) continue;
        cr_assert(entry.liveness == kAlive, "%s after %d ms",
                  ToString(where).c_str(), step * 100);
      }
    }
    cr_expect(simulation.CheckConverged().empty(), "%s",
              simulation.CheckConverged().c_str());
  }
}

// Only members know the earlier start, whose wall clock was ahead: all hubs
// restarted. The later start must get a higher generation nevertheless.
Test(roster_simulation, an_address_is_reused_with_an_earlier_wall_clock) {
  roster_simulation simulation = MakeSimulation();
  simulation.RunFor(seconds(4));
  for (std::size_t i = 0; i < 3; ++i) simulation.Kill(i);
  simulation.Kill(6);
  simulation.RunFor(milliseconds(100));
  simulation.Start(6, "another-service", -std::chrono::minutes(10));
  for (std::size_t i = 0; i < 3; ++i) simulation.Start(i, "", duration(0));
  simulation.RunFor(seconds(4));
  cr_expect(simulation.CheckConverged().empty(), "%s",
            simulation.CheckConverged().c_str());
  cr_expect(simulation.violation().empty(), "%s",
            simulation.violation().c_str());
}

}  // namespace
}  // namespace tamaracklatch
