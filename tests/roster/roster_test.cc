// Tests of members and hubs: who is alive, what is told when, and how much.
#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include "roster/roster_messages.h"
#include "roster/roster_world.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::roster_world;
using test::world_settings;

constexpr time_point kStart(std::chrono::hours(1));

endpoint Where(std::uint32_t index) {
  return {MakeV4(0x0a000000 + index), 7000};
}

node_record Record(std::uint32_t index, std::uint64_t generation = 100) {
  node_record record;
  record.where = Where(index);
  record.generation = generation;
  record.sequence = 1;
  record.zone = "zone-a";
  record.service = "desk";
  record.condition = target_condition::kReady;
  return record;
}

// A node that announces itself to one hub, as a member does.
class caller {
 public:
  caller(roster_hub* hub, node_record own, time_point now = kStart)
      : record(std::move(own)), stamped(now), hub_(hub) {
    Announce(now);
    Announce(now);
  }

  // The updates that come back.
  std::vector<roster_update> Announce(time_point now) {
    roster_announce message;
    message.number = ++number;
    message.instance = instance;
    message.stamp = stamp;
    message.stamp_age = now - stamped;
    message.position = position;
    message.record = record;
    last = Encode(message);
    std::vector<roster_update> updates;
    for (const roster_send& sent : hub_->OnMessage(record.where, last, now)) {
      updates.push_back(*DecodeUpdate(sent.bytes, nullptr));
      const roster_update& update = updates.back();
      instance = update.instance;
      stamp = update.stamp;
      stamped = now;
      if (!update.unproven) position = update.to;
    }
    return updates;
  }

  node_record record;
  std::string last;
  std::uint64_t number = 0;
  std::uint64_t instance = 0;
  std::uint64_t stamp = 0;
  std::uint64_t position = 0;
  time_point stamped;

 private:
  roster_hub* hub_;
};

std::size_t Entries(const std::vector<roster_update>& updates) {
  std::size_t count = 0;
  for (const roster_update& update : updates)
    count += DecodeEntries(update.entries, nullptr)->size();
  return count;
}

node_liveness LivenessAt(const roster_hub& hub, std::uint32_t index) {
  return hub.entries().at(Where(index)).liveness;
}

void TickUntil(roster_hub* hub, time_point end) {
  while (hub->next_wake() < end) hub->OnTick(hub->next_wake());
  hub->OnTick(end);
}

Test(roster_hub, an_announcement_counts_once_and_only_while_it_is_fresh) {
  roster_hub hub(roster_hub_settings(), 5, kStart);
  caller node(&hub, Record(1));
  cr_expect(LivenessAt(hub, 1) == node_liveness::kAlive);
  // The same datagram again and again.
  for (time_point now = kStart; now <= kStart + seconds(2);
       now += milliseconds(100)) {
    hub.OnTick(now);
    hub.OnMessage(node.record.where, node.last, now);
  }
  cr_expect(LivenessAt(hub, 1) == node_liveness::kSilent);
  // One that was on its way for too long.
  const time_point now = kStart + seconds(2);
  node.stamped = now;
  node.Announce(now);
  cr_expect(LivenessAt(hub, 1) == node_liveness::kSilent);
  node.Announce(now);
  cr_expect(LivenessAt(hub, 1) == node_liveness::kAlive);
}

Test(roster_hub, an_earlier_start_is_told_the_later_one) {
  roster_hub hub(roster_hub_settings(), 5, kStart);
  caller later(&hub, Record(1, 100));
  caller earlier(&hub, Record(1, 99));
  const auto updates = earlier.Announce(kStart);
  cr_expect(updates.size() == 1 && updates[0].superseded == 100);
  cr_expect(hub.entries().at(Where(1)).record.generation == 100);
}

Test(roster_hub, who_left_stays_gone) {
  roster_hub hub(roster_hub_settings(), 5, kStart);
  caller node(&hub, Record(1));
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

Test(roster_hub, time_in_which_it_was_held_up_makes_nobody_silent) {
  struct row {
    duration stop;
    bool is_known;
  };
  for (const row& each :
       {row{milliseconds(200), true}, row{milliseconds(1000), true},
        row{seconds(3), false}, row{seconds(300), false}}) {
    roster_hub hub(roster_hub_settings(), 5, kStart);
    caller node(&hub, Record(1));
    TickUntil(&hub, kStart + milliseconds(800));
    const time_point now = kStart + milliseconds(800) + each.stop;
    hub.OnTick(now);
    cr_expect((hub.entries().count(Where(1)) != 0) == each.is_known);
    if (each.is_known) {
      cr_expect(LivenessAt(hub, 1) == node_liveness::kAlive);
      TickUntil(&hub, now + milliseconds(600));
      cr_expect(LivenessAt(hub, 1) == node_liveness::kSilent);
    }
  }
}

Test(roster_hub, changes_of_load_are_told_at_a_bounded_rate) {
  struct row {
    std::uint32_t step;  // in 1/256 of a slot, of one slot
    std::size_t most;
    std::size_t least;
  };
  for (const row& each : {row{64, 21, 15}, row{1, 6, 4}, row{0, 0, 0}}) {
    roster_hub hub(roster_hub_settings(), 5, kStart);
    caller node(&hub, Record(1));
    caller other(&hub, Record(2));
    other.Announce(kStart);
    std::size_t told = 0;
    // Ten seconds, four announcements a second.
    for (int i = 1; i <= 40; ++i) {
      const time_point now = kStart + i * milliseconds(250);
      TickUntil(&hub, now);
      node.record.load += each.step;
      node.record.sequence += each.step == 0 ? 0 : 1;
      node.Announce(now);
      told += Entries(other.Announce(now));
    }
    cr_expect(told <= each.most && told >= each.least,
              "steps of %u were told %zu times", each.step, told);
  }
}

Test(roster_hub, cold_time_runs_on_at_the_hub) {
  roster_hub hub(roster_hub_settings(), 5, kStart);
  node_record record = Record(1);
  record.cold_remaining = seconds(3);
  caller node(&hub, record);
  TickUntil(&hub, kStart + seconds(1));
  const time_point now = kStart + seconds(1);
  caller other(&hub, Record(2), now);
  other.position = 0;
  const auto updates = other.Announce(now);
  const auto entries = DecodeEntries(updates.at(0).entries, nullptr);
  bool found = false;
  for (const told_entry& each : *entries) {
    if (each.record.where != Where(1)) continue;
    found = true;
    cr_expect(each.record.cold_remaining == seconds(2));
  }
  cr_expect(found);
}

Test(roster_hub, a_change_among_many_nodes_costs_one_entry) {
  constexpr std::uint32_t kNodes = 20000;
  roster_hub hub(roster_hub_settings(), 5, kStart);
  std::vector<caller> nodes;
  nodes.reserve(kNodes);
  for (std::uint32_t i = 0; i < kNodes; ++i)
    nodes.emplace_back(&hub, Record(i));
  hub.OnTick(kStart + milliseconds(1));
  caller reader(&hub, Record(kNodes));
  // The whole roster, in answers of bounded size.
  std::size_t entries = 0;
  std::size_t answers = 0;
  reader.position = 0;
  for (bool is_whole = false; !is_whole; ++answers) {
    const auto updates = reader.Announce(kStart + milliseconds(1));
    cr_assert(updates.size() <= 24);
    entries += Entries(updates);
    is_whole = updates.back().to == updates.back().newest;
    cr_expect(updates.back().announce_interval >= seconds(10));
  }
  cr_expect(entries == kNodes + 1, "%zu entries", entries);
  cr_expect(answers < 200, "%zu answers", answers);
  nodes[7].record.condition = target_condition::kDraining;
  ++nodes[7].record.sequence;
  nodes[7].Announce(kStart + milliseconds(2));
  cr_expect(Entries(reader.Announce(kStart + milliseconds(2))) == 1);
}

// A member and hubs whose updates the test writes.
class told_member {
 public:
  explicit told_member(std::size_t hubs, bool wants_set = false)
      : member(Settings(hubs, wants_set), Record(1), kStart) {
    instances.assign(hubs, 0);
    for (std::size_t i = 0; i < hubs; ++i) instances[i] = 70 + i;
    numbers.resize(hubs);
    now = kStart;
    Keep(member.OnTick(now));
  }

  static roster_member_settings Settings(std::size_t hubs, bool wants_set) {
    roster_member_settings settings;
    for (std::size_t i = 0; i < hubs; ++i)
      settings.seeds.push_back(Where(100 + static_cast<std::uint32_t>(i)));
    settings.wants_set = wants_set;
    return settings;
  }

  void Keep(const roster_member::actions& actions) {
    for (const roster_action& action : actions) {
      const auto* sent = std::get_if<roster_send>(&action);
      if (sent == nullptr) continue;
      const auto message = DecodeAnnounce(sent->bytes, nullptr);
      if (!message) continue;
      ++announced;
      for (std::size_t i = 0; i < numbers.size(); ++i)
        if (sent->to == Where(100 + static_cast<std::uint32_t>(i)))
          numbers[i] = message->number;
    }
  }

  // Until then the hubs in `answering` answer with no news.
  void RunUntil(time_point end, const std::vector<std::size_t>& answering) {
    while (member.next_wake() < end) {
      now = member.next_wake();
      Keep(member.OnTick(now));
      for (const std::size_t hub : answering) Tell(hub, {}, 0);
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

  // `ahead`: by how much the hub's newest position is past this update.
  void Tell(std::size_t hub, const std::vector<told_entry>& entries,
            std::uint64_t ahead) {
    roster_update update = Update(hub);
    entry_writer writer;
    for (const told_entry& each : entries)
      writer.Add(each.record, each.liveness, duration(0));
    update.from = positions[hub];
    positions[hub] += entries.size();
    update.to = positions[hub];
    update.newest = update.to + ahead;
    update.entries = writer.Take();
    Give(hub, update);
  }

  void Give(std::size_t hub, const roster_update& update) {
    Keep(member.OnMessage(Where(100 + static_cast<std::uint32_t>(hub)),
                          Encode(update), now));
  }

  node_liveness LivenessOf(std::uint32_t index) const {
    return member.entries().at(Where(index)).liveness;
  }

  roster_member member;
  std::vector<std::uint64_t> instances;
  std::vector<std::uint64_t> numbers;  // of the last announcement
  std::map<std::size_t, std::uint64_t> positions;
  std::size_t announced = 0;
  time_point now;
};

constexpr node_liveness kAlive = node_liveness::kAlive;
constexpr node_liveness kSilent = node_liveness::kSilent;

Test(roster_member, is_silent_only_if_every_hub_in_touch_says_so) {
  struct row {
    const char* name;
    std::vector<node_liveness> said;  // by each hub
    node_liveness result;
  };
  for (const row& each : {row{"all hear it", {kAlive, kAlive}, kAlive},
                          row{"one hears it", {kSilent, kAlive}, kAlive},
                          row{"the other", {kAlive, kSilent}, kAlive},
                          row{"none hears it", {kSilent, kSilent}, kSilent},
                          row{"one knows it", {kAlive}, kAlive},
                          row{"one lost it", {kSilent}, kSilent}}) {
    told_member test(2);
    for (std::size_t hub = 0; hub < 2; ++hub) {
      std::vector<told_entry> entries;
      if (hub < each.said.size())
        entries.push_back({Record(5), each.said[hub]});
      test.Tell(hub, entries, 0);
    }
    cr_expect(test.LivenessOf(5) == each.result, "%s", each.name);
  }
}

Test(roster_member, a_hub_that_is_back_counts_once_it_has_told_all) {
  told_member test(2);
  test.Tell(0, {{Record(5), kAlive}}, 0);
  test.Tell(1, {{Record(5), kSilent}}, 0);
  cr_expect(test.LivenessOf(5) == kAlive);
  test.RunUntil(test.now + seconds(3), {1});
  cr_expect(test.LivenessOf(5) == kSilent, "the hub that heard it is lost");
  test.Tell(0, {{Record(6), kAlive}}, 1);
  cr_expect(test.LivenessOf(5) == kSilent, "what it said may be old");
  test.Tell(0, {{Record(7), kAlive}}, 0);
  cr_expect(test.LivenessOf(5) == kAlive);
}

Test(roster_member, the_last_state_stays_while_no_hub_answers) {
  told_member test(2);
  test.Tell(0, {{Record(5), kAlive}, {Record(6), kSilent}}, 0);
  cr_expect(test.member.IsInTouch(test.now));
  test.RunUntil(test.now + seconds(30), {});
  cr_expect(!test.member.IsInTouch(test.now));
  cr_expect(test.LivenessOf(5) == kAlive);
  cr_expect(test.LivenessOf(6) == kSilent);
}

Test(roster_member, absence_counts_at_a_settled_hub_only) {
  told_member test(1);
  test.Tell(0, {{Record(5), kAlive}}, 0);
  // The hub starts anew, and knows nobody.
  test.instances[0] = 90;
  test.positions[0] = 0;
  test.RunUntil(test.now + milliseconds(300), {});
  roster_update update = test.Update(0);
  update.settled = false;
  test.Give(0, update);
  cr_expect(test.LivenessOf(5) == kAlive);
  test.Give(0, test.Update(0));
  cr_expect(test.LivenessOf(5) == kSilent);
}

Test(roster_member, an_update_that_was_late_changes_nothing) {
  told_member test(1);
  test.Tell(0, {{Record(5), kAlive}}, 0);
  roster_update late = test.Update(0);
  entry_writer writer;
  writer.Add(Record(6), kAlive, duration(0));
  late.from = 1;
  late.to = late.newest = 2;
  late.entries = writer.Take();
  test.RunUntil(test.now + seconds(2), {});
  test.Give(0, late);
  cr_expect(test.member.entries().count(Where(6)) == 0);
  cr_expect(!test.member.IsInTouch(test.now));
}

Test(roster_member, urgent_changes_are_repeated_until_answered) {
  struct row {
    bool answered;
    std::size_t most;
    std::size_t least;
  };
  for (const row& each : {row{false, 5, 4}, row{true, 2, 1}}) {
    told_member test(1);
    test.Tell(0, {}, 0);
    test.RunUntil(test.now + milliseconds(30), {});
    test.announced = 0;
    node_record record = test.member.own();
    record.condition = target_condition::kDraining;
    test.Keep(test.member.SetOwn(record, test.now));
    cr_expect(test.announced == 1, "at once");
    if (each.answered) test.Tell(0, {}, 0);
    test.RunUntil(test.now + milliseconds(200), {});
    cr_expect(test.announced <= each.most && test.announced >= each.least,
              "announced %zu times", test.announced);
  }
}

Test(roster_member, changes_of_load_wait_for_the_next_announcement) {
  told_member test(1);
  test.Tell(0, {}, 0);
  const std::uint64_t sequence = test.member.own().sequence;
  node_record record = test.member.own();
  cr_expect(test.member.SetOwn(record, test.now).empty());
  cr_expect(test.member.own().sequence == sequence);
  record.load = 80;
  cr_expect(test.member.SetOwn(record, test.now).empty());
  cr_expect(test.member.own().sequence == sequence + 1);
  record.leaving = true;
  cr_expect(!test.member.SetOwn(record, test.now).empty());
  record.leaving = false;
  test.member.SetOwn(record, test.now);
  cr_expect(test.member.own().leaving, "leaving is final");
}

Test(roster_member, a_live_start_goes_above_what_is_held) {
  told_member test(1);
  roster_update update = test.Update(0);
  update.superseded = 5000;
  test.Give(0, update);
  const std::uint64_t raised = test.member.own().generation;
  cr_expect(raised > 5000);
  test.Give(0, update);
  cr_expect(test.member.own().generation == raised);
  // The own record, as an earlier start left it.
  test.Tell(0, {{Record(1, raised + 9), kSilent}}, 0);
  cr_expect(test.member.own().generation > raised + 9);
}

Test(roster_member, a_hub_that_holds_an_earlier_start_is_told_the_later_one) {
  told_member test(2);
  test.Tell(0, {{Record(5, 200), kAlive}}, 0);
  test.Tell(0, {{Record(5, 200), kSilent}}, 0);
  test.Tell(1, {{Record(5, 150), kAlive}}, 0);
  cr_expect(test.LivenessOf(5) == kSilent);
  std::size_t disputes = 0;
  for (int i = 0; i < 4; ++i) {
    for (const roster_action& action :
         test.member.OnTick(test.member.next_wake())) {
      const auto* sent = std::get_if<roster_send>(&action);
      if (sent == nullptr) continue;
      const auto message = DecodeAnnounce(sent->bytes, nullptr);
      if (message->disputes.empty()) continue;
      ++disputes;
      cr_expect(sent->to == Where(101));
      cr_expect(message->disputes[0].where == Where(5));
      cr_expect(message->disputes[0].generation == 200);
    }
  }
  cr_expect(disputes > 0);
}

Test(roster_member, a_confirmation_is_no_later_than_the_question) {
  struct row {
    duration on_the_way;  // from the announcement to the update's arrival
    duration held;        // of it, at the hub
    duration age;         // of the question
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
    told_member test(1);
    roster_update update = test.Update(0);
    update.echo_age = each.held;
    update.confirmed = set_confirmation{each.version, each.age};
    test.now += each.on_the_way;
    test.Give(0, update);
    cr_expect(test.member.confirmed().has_value() ==
              each.confirmed.has_value());
    if (each.confirmed)
      cr_expect(*test.member.confirmed() == kStart + *each.confirmed);
  }
}

roster_world CalmWorld(std::uint64_t seed = 3) {
  world_settings settings;
  settings.seed = seed;
  return roster_world(settings);
}

Test(roster_world, all_know_all_soon) {
  roster_world world = CalmWorld();
  world.RunFor(seconds(4));
  world.Publish(3);
  world.RunFor(milliseconds(400));
  cr_expect(world.CheckQuiet().empty(), "%s", world.CheckQuiet().c_str());
  world.SetRecord(5, target_condition::kDraining, 7);
  world.RunFor(milliseconds(100));
  cr_expect(world.CheckQuiet().empty(), "%s", world.CheckQuiet().c_str());
}

Test(roster_world, a_node_heard_by_one_hub_is_alive_to_all) {
  roster_world world = CalmWorld();
  world.RunFor(seconds(4));
  for (const std::size_t control : {std::size_t{0}, std::size_t{1}}) {
    world.Cut(5, control, true);
    world.Cut(control, 5, true);
  }
  world.RunFor(seconds(20));
  cr_expect(world.CheckQuiet().empty(), "%s", world.CheckQuiet().c_str());
  world.Cut(5, 2, true);
  world.RunFor(seconds(3));
  cr_expect(!world.CheckQuiet().empty());
}

Test(roster_world, nodes_stay_alive_while_control_vms_stop_or_start) {
  for (const bool restart : {false, true}) {
    roster_world world = CalmWorld();
    world.RunFor(seconds(4));
    world.Kill(6);
    for (std::size_t i = 0; i < 3; ++i) {
      if (restart) {
        world.Kill(i);
        world.Start(i, "", duration(0));
      } else {
        world.Freeze(i);
      }
    }
    for (int step = 0; step < 60; ++step) {
      world.RunFor(milliseconds(100));
      if (step == 20 && !restart)
        for (std::size_t i = 0; i < 3; ++i) world.Thaw(i);
      for (const auto& [where, entry] : world.At(4)->member->entries()) {
        if (where == world.At(6)->where) continue;
        cr_assert(entry.liveness == kAlive, "%s after %d ms",
                  ToString(where).c_str(), step * 100);
      }
    }
    cr_expect(world.CheckQuiet().empty(), "%s", world.CheckQuiet().c_str());
  }
}

// Nobody but members knows the earlier start, whose wall clock was ahead.
Test(roster_world, an_address_is_used_again_behind_a_slow_clock) {
  roster_world world = CalmWorld();
  world.RunFor(seconds(4));
  for (std::size_t i = 0; i < 3; ++i) world.Kill(i);
  world.Kill(6);
  world.RunFor(milliseconds(100));
  world.Start(6, "another-service", -std::chrono::minutes(10));
  for (std::size_t i = 0; i < 3; ++i) world.Start(i, "", duration(0));
  world.RunFor(seconds(4));
  cr_expect(world.CheckQuiet().empty(), "%s", world.CheckQuiet().c_str());
  cr_expect(world.broken().empty(), "%s", world.broken().c_str());
}

}  // namespace
}  // namespace tamaracklatch
