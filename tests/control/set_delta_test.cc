// Tests of deltas between document sets: applying them gives exactly the bytes
// of the later set, and deltas that do not apply are refused.
#include "tamaracklatch/control/set_delta.h"

#include <string>
#include <string_view>
#include <vector>

#include "control/document_sets.h"
#include "support/property.h"

namespace tamaracklatch {
namespace {

// A set with few versions, routes and contents, so that sets overlap.
document_set RandomSet() {
  return test::MakeSet(*rc::gen::inRange<std::uint64_t>(1, 1000),
                       *rc::gen::inRange<std::uint32_t>(0, 30),
                       *rc::gen::inRange<std::uint32_t>(0, 3));
}

Test(control, deltas_lead_to_the_exact_bytes) {
  test::CheckProperty("deltas of any sets", []() {
    const document_set base = RandomSet();
    std::vector<std::string> deltas;
    document_set last = base;
    const int count = *rc::gen::inRange(1, 5);
    for (int i = 0; i < count; ++i) {
      const document_set next =
          *rc::gen::arbitrary<bool>() ? test::LaterSet(last) : RandomSet();
      deltas.push_back(EncodeSetDelta(last, next));
      last = next;
    }
    const std::string joined = JoinSetDeltas({deltas.begin(), deltas.end()});
    RC_ASSERT(ApplySetDeltas(base, joined) == EncodeDocumentSet(last));

    // On another base, or malformed, the result may be any; it must not crash.
    ApplySetDeltas(RandomSet(), joined);
    ApplySetDeltas(base, test::BrokenBytes(joined));
  });
}

Test(control, a_delta_that_does_not_fit_gives_nothing) {
  const document_set none;
  const document_set small = test::MakeSet(1, 2);
  const document_set large = test::MakeSet(2, 40);
  document_set bare = large;
  bare.services.clear();
  struct row {
    const char* name;
    document_set base;
    std::string joined;
  };
  const std::string grown = EncodeSetDelta(large, test::MakeSet(3, 40));
  const std::vector<row> rows = {
      {"no deltas", small, JoinSetDeltas({})},
      {"no message", small, ""},
      {"runs past the base", small, JoinSetDeltas({grown})},
      {"an empty base", none, JoinSetDeltas({grown})},
      {"routes without their services", bare, JoinSetDeltas({grown})},
      {"a second delta of another base", small,
       JoinSetDeltas({EncodeSetDelta(small, small), grown})},
  };
  for (const row& each : rows)
    cr_expect(!ApplySetDeltas(each.base, each.joined), "%s", each.name);
}

}  // namespace
}  // namespace tamaracklatch
