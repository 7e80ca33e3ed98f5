// Tests of the roster messages: encoded values are decoded unchanged, and
// malformed bytes are refused without any other effect. Also tests the
// set_fetcher.
#include "roster/roster_messages.h"

#include <string>
#include <vector>

#include "roster/set_fetcher.h"
#include "support/property.h"
#include "tamaracklatch/core/hash.h"
#include "tamaracklatch/roster/roster_hub.h"
#include "tamaracklatch/roster/roster_member.h"

namespace tamaracklatch {
namespace {

node_record MakeRecord(std::uint32_t index, std::uint64_t generation) {
  node_record record;
  record.where = {MakeV4(0x0a000000 + index), 7000};
  record.generation = generation;
  record.sequence = 7;
  record.zone = "zone-a";
  record.operators = {MakeV4(0x0a000000 + index), 80};
  record.service = "desk";
  record.condition = target_condition::kReady;
  record.slots = 4;
  record.load = 300;
  record.cold_remaining = std::chrono::milliseconds(1500);
  record.target_start = 1234567;
  return record;
}

bool IsSame(const node_record& left, const node_record& right) {
  return left.IsSameStart(right) && left.sequence == right.sequence &&
         left.role == right.role && left.zone == right.zone &&
         left.leaving == right.leaving && left.operators == right.operators &&
         left.service == right.service && left.condition == right.condition &&
         left.slots == right.slots && left.load == right.load &&
         left.cold_remaining == right.cold_remaining &&
         left.target_start == right.target_start &&
         left.may_have_target == right.may_have_target &&
         left.service_time == right.service_time &&
         left.outdated_set == right.outdated_set;
}

Test(roster_messages, reads_what_was_written) {
  test::CheckProperty(
      "messages survive", [](std::uint64_t first, std::uint64_t second,
                             std::uint32_t third, bool flag) {
        roster_announce announce;
        announce.number = first;
        announce.instance = second;
        announce.stamp = first ^ second;
        announce.stamp_age = duration(third);
        announce.position = third;
        announce.record = MakeRecord(third, first % kMaxGeneration + 1);
        announce.record.leaving = flag;
        announce.record.may_have_target = !flag;
        announce.record.service_time = third % (kMaxServiceTime + 1);
        announce.record.outdated_set = second % 2 == 0 ? first : 0;
        announce.conflicts.push_back({MakeRecord(third, 1).where, third});
        announce.rules_revision = flag ? second : 0;
        const auto read_announce = DecodeAnnounce(Encode(announce), nullptr);
        RC_ASSERT(read_announce.has_value());
        RC_ASSERT(read_announce->number == first);
        RC_ASSERT(read_announce->stamp_age == duration(third));
        RC_ASSERT(IsSame(read_announce->record, announce.record));
        RC_ASSERT(read_announce->conflicts[0].generation == third);
        RC_ASSERT(read_announce->rules_revision == announce.rules_revision);

        entry_writer writer;
        const node_liveness liveness =
            flag ? node_liveness::kGone : node_liveness::kSilent;
        RC_ASSERT(writer.Add(announce.record, liveness, duration(third)));
        roster_update update;
        update.instance = second | 1U;
        update.echo = first;
        update.from = third;
        update.to = std::uint64_t{third} + 1;
        update.newest = update.to;
        update.settled = flag;
        update.documents = {first, third % kMaxSetBytes, second};
        if (flag)
          update.confirmed = set_confirmation{second, duration(third), first};
        update.rules_revision = third;
        update.entries = writer.Take();
        const auto read_update = DecodeUpdate(Encode(update), nullptr);
        RC_ASSERT(read_update.has_value());
        RC_ASSERT(read_update->documents == update.documents);
        RC_ASSERT(read_update->confirmed.has_value() == flag);
        RC_ASSERT(!flag || read_update->confirmed->rules_revision == first);
        RC_ASSERT(read_update->rules_revision == third);
        const auto entries = DecodeEntries(read_update->entries, nullptr);
        RC_ASSERT(entries.has_value() && entries->size() == 1U);
        RC_ASSERT((*entries)[0].liveness == liveness);
        RC_ASSERT((*entries)[0].record.cold_remaining == duration(third));
        RC_ASSERT((*entries)[0].record.may_have_target == !flag);
        RC_ASSERT((*entries)[0].record.service_time ==
                  announce.record.service_time);
        RC_ASSERT((*entries)[0].record.outdated_set ==
                  announce.record.outdated_set);
      });
}

Test(roster_messages, an_update_with_the_largest_numbers_fits_a_datagram) {
  entry_writer writer;
  node_record record = MakeRecord(1, kMaxGeneration);
  record.where.address.bytes.fill(0xfd);
  record.operators = record.where;
  record.zone.assign(kMaxNodeName, 'z');
  record.service.assign(kMaxNodeName, 's');
  record.sequence = record.target_start = record.outdated_set = UINT64_MAX;
  std::size_t count = 0;
  while (writer.Add(record, node_liveness::kAlive, duration(0))) ++count;
  cr_expect(count >= 2, "%zu entries", count);
  roster_update update;
  update.instance = update.echo = update.stamp = UINT64_MAX;
  update.from = update.to = update.newest = update.evicted = UINT64_MAX;
  update.echo_age = update.announce_interval = std::chrono::hours(24);
  update.superseding_generation = kMaxGeneration;
  update.documents = {UINT64_MAX, kMaxSetBytes, UINT64_MAX};
  update.confirmed =
      set_confirmation{UINT64_MAX, std::chrono::hours(24), UINT64_MAX};
  update.rules_revision = UINT64_MAX;
  update.entries = writer.Take();
  std::string bytes = Encode(update);
  cr_expect(bytes.size() <= kMaxRosterDatagram, "%zu bytes", bytes.size());
  cr_expect(DecodeUpdate(bytes, nullptr).has_value());
  // Shorter records may use all bytes for entries.
  update.entries.assign(kMaxEntryBytes, 'e');
  bytes = Encode(update);
  cr_expect(bytes.size() <= kMaxRosterDatagram, "%zu bytes", bytes.size());
  placement_rules rules;
  rules.revision = UINT64_MAX;
  rules.evacuated_zones = {zone_name(kMaxEncodedRulesBytes - 15, 'z')};
  bytes = Encode(rules);
  cr_expect(bytes.size() == kMaxEncodedRulesBytes + 1, "%zu", bytes.size());
  cr_expect(DecodeRules(bytes, nullptr).has_value());
}

// Guards against misreading messages of a version without revisions of rules,
// and against bytes for rules where there are none.
Test(roster_messages, revisions_of_rules_are_absent_while_there_are_none) {
  roster_announce announce;
  announce.record = MakeRecord(1, 1);
  roster_update update;
  update.instance = 1;
  update.confirmed = set_confirmation();
  // An array of 7 elements and one of 19, as in earlier versions.
  const std::string short_announce = Encode(announce);
  const std::string short_update = Encode(update);
  cr_expect(short_announce.compare(1, 1, "\x97") == 0);
  cr_expect(short_update.compare(1, 3, std::string("\xdc\x00\x13", 3)) == 0);
  cr_expect(DecodeAnnounce(short_announce, nullptr)->rules_revision == 0);
  const auto read = DecodeUpdate(short_update, nullptr);
  cr_expect(read->rules_revision == 0 && read->confirmed->rules_revision == 0);
  announce.rules_revision = update.rules_revision = 5;
  cr_expect(Encode(announce).size() == short_announce.size() + 1);
  cr_expect(Encode(update).size() == short_update.size() + 2);
}

// Guards against misreading the record of a version without may_have_target.
Test(roster_messages, a_record_of_an_earlier_version_may_have_a_target) {
  roster_announce announce;
  announce.record = MakeRecord(1, 1);
  announce.record.may_have_target = false;
  std::string bytes = Encode(announce);
  // The array of the record gets 15 elements; the last one stands before the
  // empty list of conflicts.
  const std::size_t head = bytes.find(std::string("\xdc\x00\x10", 3));
  cr_assert(head != std::string::npos);
  bytes.replace(head, 3, "\x9f");
  bytes.erase(bytes.size() - 2, 1);
  const auto read = DecodeAnnounce(bytes, nullptr);
  cr_assert(read.has_value());
  cr_expect(read->record.may_have_target);
  announce.record.may_have_target = true;
  cr_expect(IsSame(read->record, announce.record));

  entry_writer writer;
  announce.record.may_have_target = false;
  cr_assert(writer.Add(announce.record, node_liveness::kSilent, duration(0)));
  std::string entry = writer.Take();
  cr_assert(entry.compare(0, 4, std::string("\x91\xdc\x00\x11", 4)) == 0);
  entry[3] = '\x10';
  entry.pop_back();
  const auto entries = DecodeEntries(entry, nullptr);
  cr_assert(entries.has_value() && entries->size() == 1);
  cr_expect((*entries)[0].liveness == node_liveness::kSilent);
  cr_expect((*entries)[0].record.may_have_target);
}

// Guards against records that a version without outdated_set misreads: it
// follows all that such a version knows, and is absent while it is 0.
Test(roster_messages, a_replaced_set_follows_the_service_time) {
  roster_announce announce;
  announce.record = MakeRecord(1, 1);
  const std::string plain = Encode(announce);
  announce.record.service_time = 40;
  const std::string timed = Encode(announce);
  cr_expect_eq(timed.size(), plain.size() + 1);
  announce.record.outdated_set = 9;
  const std::string outdated = Encode(announce);
  // Before it, but for the count of elements, all is as without it; the empty
  // list of conflicts is last.
  cr_assert_eq(outdated.size(), timed.size() + 1);
  cr_expect(outdated.substr(timed.size() - 1) == std::string("\x09\x90", 2));
  std::string cut = outdated;
  const std::size_t head = cut.find(std::string("\xdc\x00\x12", 3));
  cr_assert(head != std::string::npos);
  cut[head + 2] = '\x11';
  cut.erase(cut.size() - 2, 1);
  cr_expect(cut == timed);
  announce.record.service_time = 0;
  const auto read = DecodeAnnounce(Encode(announce), nullptr);
  cr_assert(read.has_value());
  cr_expect(IsSame(read->record, announce.record));
}

Test(roster_messages, the_first_byte_identifies_the_receiver) {
  struct row {
    std::string bytes;
    bool is_roster;
    bool is_for_hub;
  };
  const std::vector<row> rows = {
      {"", false, false},
      {Encode(set_fetch()), true, true},
      {Encode(set_part()), true, false},
      {Encode(placement_rules()), true, false},
      {Encode(roster_announce()), true, true},
      {Encode(roster_update()), true, false},
      {"\x9f", false, false},
      {"\xb0", false, false},
  };
  for (const row& each : rows) {
    cr_expect(IsRosterMessage(each.bytes) == each.is_roster);
    cr_expect(IsForHub(each.bytes) == each.is_for_hub);
  }
}

Test(roster_messages, invalid_values_are_refused) {
  const auto is_refused = [](const roster_announce& message) {
    failure why;
    return !DecodeAnnounce(Encode(message), &why) &&
           why.code == result_code::kRosterMessageMalformed;
  };
  roster_announce announce;
  announce.record = MakeRecord(1, 1);
  cr_expect(!is_refused(announce));
  roster_announce wrong = announce;
  wrong.record.generation = 0;
  cr_expect(is_refused(wrong));
  wrong = announce;
  wrong.record.generation = kMaxGeneration + 1;
  cr_expect(is_refused(wrong));
  wrong = announce;
  wrong.record.where.port = 0;
  cr_expect(is_refused(wrong));
  wrong = announce;
  wrong.record.zone.assign(kMaxNodeName + 1, 'z');
  cr_expect(is_refused(wrong));
  wrong = announce;
  wrong.conflicts.resize(kMaxConflicts + 1);
  cr_expect(is_refused(wrong));

  roster_update update;
  update.instance = 1;
  cr_expect(DecodeUpdate(Encode(update), nullptr).has_value());
  update.to = 1;  // past the newest
  cr_expect(!DecodeUpdate(Encode(update), nullptr));
  update.newest = 2;
  update.from = 2;  // past `to`
  cr_expect(!DecodeUpdate(Encode(update), nullptr));

  set_part part;
  part.size = 3;
  part.bytes = "abcd";
  cr_expect(!DecodePart(Encode(part), nullptr));

  entry_writer writer;
  writer.Add(MakeRecord(1, 1), node_liveness::kGone, duration(0));
  cr_expect(!DecodeEntries(writer.Take(), nullptr), "gone without leaving");
}

// Arbitrary bytes after a valid kind, and messages with one byte changed or cut
// short.
Test(roster_messages, arbitrary_bytes_change_nothing) {
  const time_point start(std::chrono::hours(1));
  test::CheckProperty("arbitrary bytes", [&](const std::string& bytes,
                                             std::uint8_t changed,
                                             std::uint8_t value) {
    roster_member_settings settings;
    const endpoint control = MakeRecord(9, 1).where;
    settings.seeds = {control};
    settings.wants_set = true;
    roster_member member(settings, MakeRecord(1, 1), start);
    roster_hub hub(roster_hub_settings(), 5, start);
    const auto feed = [&](const std::string& each) {
      hub.OnMessage(control, each, start);
      member.OnMessage(control, each, start);
      DecodeEntries(each, nullptr);
    };
    for (const roster_kind kind :
         {roster_kind::kAnnounce, roster_kind::kFetch, roster_kind::kUpdate,
          roster_kind::kPart, roster_kind::kRules})
      feed(std::string(1, static_cast<char>(kind)) + bytes);
    feed(bytes);
    RC_ASSERT(hub.entries().empty());
    RC_ASSERT(member.entries().empty());

    roster_announce announce;
    announce.record = MakeRecord(2, 5);
    entry_writer writer;
    writer.Add(announce.record, node_liveness::kAlive, duration(0));
    roster_update update;
    update.instance = 5;
    update.echo = 2;
    update.to = update.newest = 1;
    update.entries = writer.Take();
    member.OnTick(start);
    placement_rules rules;
    rules.revision = 3;
    rules.evacuated_zones = {"zone-a"};
    for (std::string each : {Encode(announce), Encode(update), Encode(rules)}) {
      each[changed % each.size()] = static_cast<char>(value);
      feed(each);
      feed(each.substr(0, value % each.size()));
    }
  });
}

// A hub that replies to the requests of a set_fetcher.
class set_holder {
 public:
  explicit set_holder(std::size_t size) {
    for (std::size_t i = 0; i < size; ++i)
      bytes.push_back(static_cast<char>(HashPair(size, i)));
    head = {4, size, HashBytes(bytes.data(), size)};
  }
  set_part PartFor(const roster_send& sent) const {
    const auto fetch = DecodeFetch(sent.bytes, nullptr);
    cr_assert(fetch && fetch->version == head.version);
    return {head.version, bytes.size(), fetch->offset,
            bytes.substr(fetch->offset, kMaxSetPart)};
  }
  std::string bytes;
  set_head head;
};

Test(set_fetcher, fetches_sets_of_every_size_despite_loss) {
  const endpoint first = MakeRecord(1, 1).where;
  const endpoint second = MakeRecord(2, 1).where;
  const endpoint unreachable = MakeRecord(3, 1).where;
  for (const std::size_t size :
       {std::size_t{1}, kMaxSetPart, kMaxSetPart + 1, kMaxSetBytes}) {
    const set_holder holder(size);
    set_fetcher fetcher;
    time_point now(std::chrono::hours(1));
    std::vector<roster_send> in_flight =
        fetcher.SetSources({{unreachable, holder.head},
                            {first, holder.head},
                            {second, holder.head}},
                           3, now);
    std::optional<fetched_bytes> complete;
    std::uint64_t step = 0;
    while (!complete) {
      cr_assert(in_flight.size() <= 2 * 16, "%zu parts at once",
                in_flight.size());
      cr_assert(now < time_point(std::chrono::hours(2)));
      std::vector<roster_send> next;
      for (const roster_send& sent : in_flight) {
        if (sent.to == unreachable || HashPair(++step, size) % 5 == 0) continue;
        for (roster_send& more : fetcher.OnPart(holder.PartFor(sent),
                                                document_set(), now, &complete))
          next.push_back(std::move(more));
      }
      if (next.empty() && !complete) {
        now = fetcher.next_wake();
        next = fetcher.OnTick(now);
      }
      in_flight = std::move(next);
    }
    cr_expect(complete->bytes == holder.bytes, "a set of %zu bytes", size);
  }
}

Test(set_fetcher, a_set_with_another_hash_is_not_used) {
  const endpoint hub = MakeRecord(1, 1).where;
  set_holder holder(3000);
  set_holder other = holder;
  other.bytes[1500] ^= 1;
  set_fetcher fetcher;
  const time_point now(std::chrono::hours(1));
  std::optional<fetched_bytes> complete;
  const auto requested = fetcher.SetSources({{hub, holder.head}}, 0, now);
  cr_expect(requested.size() == 3);
  for (const roster_send& sent : requested)
    fetcher.OnPart(other.PartFor(sent), document_set(), now, &complete);
  cr_expect(!complete);
  // Requested again, after a delay.
  cr_expect(fetcher.next_wake() > now);
  const auto again = fetcher.OnTick(fetcher.next_wake());
  cr_expect(again.size() == 3);
  for (const roster_send& sent : again)
    fetcher.OnPart(holder.PartFor(sent), document_set(), now, &complete);
  cr_expect(complete && complete->bytes == holder.bytes);
}

Test(set_fetcher, a_higher_set_replaces_the_one_being_fetched) {
  const endpoint hub = MakeRecord(1, 1).where;
  set_holder low(5000);
  set_holder high(4000);
  high.head.version = 5;
  set_fetcher fetcher;
  const time_point now(std::chrono::hours(1));
  std::optional<fetched_bytes> complete;
  const auto requested = fetcher.SetSources({{hub, low.head}}, 0, now);
  const auto newer = fetcher.SetSources({{hub, high.head}}, 0, now);
  cr_expect(fetcher.head() == high.head);
  for (const roster_send& sent : requested)
    fetcher.OnPart(low.PartFor(sent), document_set(), now, &complete);
  cr_expect(!complete);
  for (const roster_send& sent : newer)
    fetcher.OnPart(high.PartFor(sent), document_set(), now, &complete);
  cr_expect(complete && complete->bytes == high.bytes);
  cr_expect(fetcher.SetSources({{hub, high.head}}, 5, now).empty());
  cr_expect(fetcher.next_wake() == time_point::max());
}

}  // namespace
}  // namespace tamaracklatch
