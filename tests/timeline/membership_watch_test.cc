// Tests of the events of targets that join, drain and leave.
#include "tamaracklatch/timeline/membership_watch.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace tamaracklatch {
namespace {

target_put Put(std::uint32_t index, target_state state) {
  target_record target;
  target.id = {index, 1};
  target.service = {1};
  target.vm = "vm-" + std::to_string(index);
  target.zone = "kl-1";
  target.state = state;
  return {target};
}

service_put Service() {
  service_document document;
  document.service = "booking-desk";
  return {{{1}, document}};
}

struct watch_row {
  const char* name;
  view_change change;
  std::vector<event_id> events;
};

// Each row follows the one before.
const std::vector<watch_row> kRows{
    {"service", Service(), {}},
    {"join", Put(1, target_state::kServing), {event_id::kTargetJoined}},
    {"the same again", Put(1, target_state::kServing), {}},
    {"drain", Put(1, target_state::kDraining), {event_id::kTargetDraining}},
    {"drain again", Put(1, target_state::kDraining), {}},
    {"another joins and drains at once",
     Put(2, target_state::kDraining),
     {event_id::kTargetJoined, event_id::kTargetDraining}},
    {"left", target_removed{{1, 1}}, {event_id::kTargetLeft}},
    {"left again", target_removed{{1, 1}}, {}},
    {"never known", target_removed{{7, 1}}, {}},
};

Test(membership_watch, tells_what_changed) {
  membership_watch watch;
  revision at{1};
  for (const watch_row& row : kRows) {
    const std::vector<event> events = watch.OnChanges({at, {row.change}});
    cr_assert(events.size() == row.events.size(), "%s", row.name);
    for (std::size_t i = 0; i < events.size(); ++i) {
      cr_expect(events[i].id == row.events[i], "%s", row.name);
      cr_expect(events[i].at == at && events[i].service == "booking-desk");
      cr_expect(events[i].peer.rfind("vm-", 0) == 0, "%s", row.name);
    }
    ++at.value;
  }
}

Test(membership_watch, a_snapshot_tells_nothing_but_is_known) {
  cluster_view view;
  view.Apply({{2}, {Service(), Put(1, target_state::kServing)}});
  membership_watch watch;
  watch.Reset(view);
  const auto events = watch.OnChanges(
      {{3}, {Put(1, target_state::kServing), target_removed{{1, 1}}}});
  cr_assert(events.size() == 1);
  cr_expect(events[0].id == event_id::kTargetLeft);
  cr_expect(events[0].service == "booking-desk");
}

}  // namespace
}  // namespace tamaracklatch
