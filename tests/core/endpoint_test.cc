// Tests of addresses, ranges and endpoints.
#include "tamaracklatch/core/endpoint.h"

#include <string>
#include <vector>

#include "support/property.h"

namespace tamaracklatch {
namespace {

Test(endpoint, round_trips) {
  for (const char* text : {"127.0.0.1:80", "[fd00::1]:65535", "10.1.2.3:0"}) {
    failure why;
    const auto parsed = ParseEndpoint(text, &why);
    cr_assert(parsed.has_value(), "%s: %s", text, why.reason.c_str());
    cr_expect(ToString(*parsed) == text);
  }
}

Test(endpoint, bad_texts_are_refused) {
  for (const char* text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                           "localhost:1", "fd00::1:80", "1.2.3:4"}) {
    failure why;
    cr_expect(!ParseEndpoint(text, &why), "%s was accepted", text);
    cr_expect(why.code != result_code::kOk);
  }
}

struct range_row {
  const char* range;
  const char* address;
  bool contained;
};

Test(range, contains) {
  const std::vector<range_row> rows{
      {"10.0.0.0/8", "10.255.1.1", true}, {"10.0.0.0/8", "11.0.0.0", false},
      {"0.0.0.0/0", "1.2.3.4", true},     {"0.0.0.0/0", "fd00::1", false},
      {"fd00::/16", "fd00:1::", true},    {"127.0.0.1/32", "127.0.0.2", false}};
  for (const range_row& row : rows) {
    const auto range = ParseIpRange(row.range, nullptr);
    const auto address = ParseIpAddress(row.address, nullptr);
    cr_assert(range && address);
    cr_expect(range->Contains(*address) == row.contained, "%s in %s",
              row.address, row.range);
    cr_expect(ToString(*range) == row.range);
  }
}

Test(flow, hash_differs_by_every_part) {
  const flow_key base{MakeV4(1), MakeV4(2), 3, 4, ip_protocol::kUdp};
  flow_key other = base;
  other.protocol = ip_protocol::kTcp;
  cr_expect(HashFlow(base) != HashFlow(other));
  other = base;
  other.source_port = 4;
  other.destination_port = 3;
  cr_expect(HashFlow(base) != HashFlow(other));
  cr_expect(HashFlow(base) == HashFlow(flow_key(base)));
}

}  // namespace
}  // namespace tamaracklatch
