// Tests of the in-force tracker beside the golden session.
#include "tamaracklatch/control/in_force_tracker.h"

#include <criterion/criterion.h>

namespace tamaracklatch {
namespace {

std::vector<progress> AllAt(revision at, const node_identity& node) {
  return {{at, 1, HashIdentity(node)}};
}

// A resend of an accepted document is answered with its old revision, while a
// newer one is watched already. This once ended every control VM.
Test(in_force, a_resend_changes_nothing) {
  in_force_tracker tracker({});
  const node_identity node{"balancer-1", incarnation{1}};
  tracker.OnAccepted(revision{2});
  tracker.OnAccepted(revision{6});
  tracker.OnAccepted(revision{2});
  tracker.OnAccepted(revision{6});
  const auto reached =
      tracker.Update(AllAt(revision{6}, node), {node}, {}, time_point());
  cr_assert(reached.size() == 2);
  cr_expect(reached[0] == revision{2} && reached[1] == revision{6});
  cr_expect(tracker.Status(revision{6}).everywhere_since.has_value());
}

}  // namespace
}  // namespace tamaracklatch
