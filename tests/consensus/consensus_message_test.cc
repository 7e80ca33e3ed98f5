// Encoding of consensus messages: every kind survives a round trip, and
// malformed bytes are rejected.
#include "tamaracklatch/consensus/consensus_message.h"

#include <criterion/criterion.h>

#include "support/property.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch::test {
namespace {

voter_configuration Voters() {
  voter_configuration configuration;
  configuration.voters = {{{"a", {1}}, {}}, {{"b", {2}}, {7}}};
  configuration.learners = {{{"c", {3}}, {9}}};
  return configuration;
}

std::vector<consensus_body> AllKinds() {
  const log_entry command{{6}, {2}, entry_kind::kCommand, "text"};
  const log_entry change{
      {7}, {2}, entry_kind::kConfiguration, EncodeConfiguration(Voters())};
  return {vote_request{{3}, true, {9}, {2}},
          vote_reply{{3}, false, true},
          append_request{{3}, {5}, {2}, {4}, 8, 1, {command, change}},
          append_reply{{3}, true, {7}, 8, 1},
          snapshot_chunk{{3}, 8, 1, {50}, {2}, Voters(), 10, 99, 4, "part"},
          snapshot_reply{{3}, 8, 1, {50}, 8, true, false},
          join_request{},
          join_invitation{Voters()},
          log_exists{{"a", "b"}},
          read_request{4},
          read_reply{4, true, {12}}};
}

Test(consensus_message, every_kind_round_trips) {
  const auto kinds = AllKinds();
  cr_assert_eq(kinds.size(), std::variant_size_v<consensus_body>);
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    const consensus_message message{{11}, {"a", {1}}, {"b", {2}}, kinds[i]};
    const std::string bytes = EncodeConsensusMessage(message);
    failure reason;
    const auto read = DecodeConsensusMessage(bytes, &reason);
    cr_assert(read.has_value(), "kind %zu", i);
    cr_assert_eq(read->body.index(), i);
    cr_assert_eq(EncodeConsensusMessage(*read), bytes, "kind %zu", i);
  }
}

Test(consensus_message, truncated_messages_are_rejected) {
  for (const consensus_body& body : AllKinds()) {
    const std::string bytes =
        EncodeConsensusMessage({{11}, {"a", {1}}, {"b", {2}}, body});
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      failure reason;
      cr_assert(!DecodeConsensusMessage(bytes.substr(0, size), &reason));
      cr_assert(reason.code == result_code::kFrameMalformed);
    }
  }
}

Test(consensus_message, contradictory_values_are_rejected) {
  append_request gap{{3}, {5}, {2}, {4}, 8, 1, {}};
  gap.entries = {{{7}, {2}, entry_kind::kCommand, ""}};
  append_request falling{{3}, {5}, {2}, {4}, 8, 1, {}};
  falling.entries = {{{6}, {1}, entry_kind::kCommand, ""}};
  append_request later{{3}, {5}, {2}, {4}, 8, 1, {}};
  later.entries = {{{6}, {4}, entry_kind::kCommand, ""}};
  append_request garbage{{3}, {5}, {2}, {4}, 8, 1, {}};
  garbage.entries = {{{6}, {2}, entry_kind::kConfiguration, "garbage"}};
  const snapshot_chunk beyond{{3}, 8, 1, {50}, {2}, {}, 10, 99, 8, "part"};
  voter_configuration unsorted = Voters();
  std::swap(unsorted.voters[0], unsorted.voters[1]);
  voter_configuration twice = Voters();
  twice.learners.push_back(twice.voters[1]);
  const std::vector<consensus_body> rows{gap,
                                         falling,
                                         later,
                                         garbage,
                                         beyond,
                                         join_invitation{unsorted},
                                         join_invitation{twice}};
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const std::string bytes =
        EncodeConsensusMessage({{11}, {"a", {1}}, {"b", {2}}, rows[i]});
    cr_assert(!DecodeConsensusMessage(bytes, nullptr), "row %zu", i);
  }
}

Test(consensus_message, damaged_bytes_are_decoded_or_rejected) {
  CheckProperty("damaged messages are read or refused", [] {
    const auto kinds = AllKinds();
    const auto kind = *rc::gen::inRange<std::size_t>(0, kinds.size());
    std::string bytes =
        EncodeConsensusMessage({{11}, {"a", {1}}, {"b", {2}}, kinds[kind]});
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
    const auto read = DecodeConsensusMessage(bytes, nullptr);
    if (read) RC_ASSERT(read->body.index() < kinds.size());
  });
}

}  // namespace
}  // namespace tamaracklatch::test
