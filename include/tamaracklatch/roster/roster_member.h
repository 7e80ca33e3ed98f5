// A node's part in the roster; it runs in every process. It announces its own
// record to all control VMs that it knows, keeps what these hubs tell of all
// others, and fetches the newest document set. No hub: the last state stays.
//
//   roster_member member(settings, own_record, now);
//   for (auto& action : member.OnTick(now)) Perform(action);  // at next_wake()
//   for (auto& action : member.OnMessage(from, bytes, now)) Perform(action);
//   for (auto& action : member.SetOwn(record, now)) Perform(action);
//
// A node is alive if some hub in touch hears it, silent if none does. What a
// hub says counts from when it has told all changes up to its newest position
// until it is lost.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "tamaracklatch/control/document_set.h"
#include "tamaracklatch/core/event.h"
#include "tamaracklatch/core/fixed_histogram.h"
#include "tamaracklatch/roster/node_record.h"

namespace tamaracklatch {

class set_fetcher;
struct roster_update;
struct told_entry;

struct roster_member_settings {
  std::vector<endpoint> seeds;  // of control VMs, as the settings give them
  bool wants_set = false;       // fetches document sets
  duration announce_interval = std::chrono::milliseconds(250);
  // A hub that has not answered for this long tells nothing any more.
  duration hub_silence = std::chrono::milliseconds(1500);
  // A node that is gone or silent is forgotten after this long.
  duration memory = std::chrono::seconds(90);
  // A confirmation older than this counts as lost, for events.
  duration confirmation_lapse = std::chrono::seconds(3);
};

// Send the bytes as one datagram.
struct roster_send {
  endpoint to;
  std::string bytes;
};

// The entry is new or changed; or was forgotten, with liveness kGone.
struct roster_changed {
  roster_entry entry;
};

// A higher document set has been fetched.
struct set_received {
  document_set set;
};

struct roster_report {
  event what;
};

using roster_action =
    std::variant<roster_send, roster_changed, set_received, roster_report>;

// Counted by a member, for /metrics.
struct roster_member_counters {
  std::uint64_t malformed = 0;  // datagrams that could not be read
  // From an urgent change of the own record until the first hub has told that
  // it knows it.
  span_histogram announced;
  span_histogram fetched;  // from hearing of a set until it is held
};

// Invariants: the version of the set never falls; of one endpoint only the
// newest record is kept.
class roster_member {
 public:
  using actions = std::vector<roster_action>;

  roster_member(const roster_member_settings& settings, const node_record& own,
                time_point now);
  ~roster_member();
  roster_member(roster_member&&) noexcept;
  roster_member& operator=(roster_member&&) noexcept;

  actions OnTick(time_point now);
  time_point next_wake() const;
  actions OnMessage(const endpoint& from, std::string_view bytes,
                    time_point now);

  // The own record; sequence and generation are kept by the member. A change of
  // condition, service or leaving is announced at once, others with the next
  // announcement.
  actions SetOwn(const node_record& record, time_point now);
  const node_record& own() const { return own_; }

  // Adds seeds, as after a change of the settings; none is taken away.
  void AddSeeds(const std::vector<endpoint>& seeds);

  const std::map<endpoint, roster_entry>& entries() const { return entries_; }

  // The newest set applied; version 0 before the first.
  const document_set& set() const { return set_; }

  // When the control quorum last confirmed, as a hub told, that no set above
  // set().version was accepted before; nothing if never.
  std::optional<time_point> confirmed() const { return confirmed_; }

  // Whether some hub answers, and has told its whole roster.
  bool IsInTouch(time_point now) const;

  // Hubs that answer and have told their whole roster.
  std::size_t hubs_in_touch(time_point now) const;
  const roster_member_counters& counters() const { return counters_; }

 private:
  // Hubs as a set of bits; one with no bit left is not used.
  using hub_mask = std::uint64_t;

  // A control VM that announcements go to.
  struct hub_link {
    endpoint where;
    hub_mask bit = 0;
    bool is_seed = false;

    // What it said last.
    std::uint64_t instance = 0;  // 0: nothing yet
    std::uint64_t position = 0;
    std::uint64_t base = 0;  // its newest position when we knew nothing
    std::uint64_t stamp = 0;
    time_point stamped;  // when that came
    duration interval{0};
    std::uint64_t set_version = 0;
    std::uint64_t set_size = 0;
    std::uint64_t set_hash = 0;
    std::optional<std::pair<std::uint64_t, time_point>> confirmed;
    bool settled = false;

    bool answers = false;
    bool is_whole = false;  // told all up to its newest position since
    time_point heard;       // when it surely ran
    time_point heard_run;   // the same, as run time

    // Announcements.
    static constexpr std::size_t kKept = 32;
    std::array<time_point, kKept> sent{};  // by number
    std::uint64_t first_number = 0;
    std::uint64_t number = 0;   // of the last sent
    std::uint64_t echoed = 0;   // highest that came back
    std::uint64_t awaited = 0;  // first with the newest urgent change
    std::uint32_t repeats = 0;  // of it, still to send
    std::uint32_t unanswered = 0;
    time_point last_sent;
    time_point next;
  };

  // Which hubs say what of an entry's start.
  struct claims {
    hub_mask alive = 0;
    hub_mask silent = 0;
  };

  void Notice(time_point now);
  void AddLink(const endpoint& where, bool is_seed, time_point now);
  void DropLink(const endpoint& where, time_point now, actions* out);
  void FollowControls(time_point now, actions* out);
  void ForgetClaims(hub_link* link, time_point now, actions* out);
  duration Silence(const hub_link& link) const;
  duration Memory() const;
  time_point Run(time_point now) const { return now - held_up_; }
  duration Pause(const hub_link& link) const;
  void Announce(hub_link* link, time_point now, actions* out);
  void AnnounceSoon(hub_link* link, time_point now, actions* out);
  void AnnounceDue(time_point now, actions* out);
  void CheckLinks(time_point now, actions* out);
  void OnUpdate(hub_link* link, const roster_update& update, time_point now,
                actions* out);
  void OnPart(const endpoint& from, std::string_view bytes, time_point now,
              actions* out);
  bool ApplyEntries(hub_link* link, const roster_update& update, time_point now,
                    actions* out);
  void ApplyEntry(hub_link* link, const told_entry& told, time_point now,
                  actions* out);
  void StartEntry(roster_entry* entry, const told_entry& told, time_point now,
                  actions* out);
  void RaiseGeneration(std::uint64_t held, time_point now, actions* out);
  void SetWhole(hub_link* link, bool whole);
  void Reconsider(time_point now, actions* out);
  node_liveness Judge(const roster_entry& entry, const claims& said) const;
  bool SetLiveness(roster_entry* entry, node_liveness liveness, time_point now,
                   actions* out);
  void ForgetOld(time_point now, actions* out);
  void ConfirmFrom(const hub_link& link, time_point now, actions* out);
  void Fetch(time_point now, actions* out);
  void Report(event_id id, const node_record& record, const std::string& detail,
              actions* out) const;

  roster_member_settings settings_;
  node_record own_;
  time_point own_made_;  // from when its cold_remaining counts
  std::map<endpoint, roster_entry> entries_;
  std::map<endpoint, claims> claims_;  // the same keys as entries_
  std::map<endpoint, hub_link> links_;
  hub_mask used_bits_ = 0;
  hub_mask whole_ = 0;    // hubs whose word counts
  hub_mask settled_ = 0;  // of these, those that have heard all nodes
  // When a settled hub that has told its whole roster was last heard.
  std::optional<time_point> settled_heard_;
  bool reconsider_ = false;  // whose word counts has changed
  bool controls_changed_ = false;
  // Hubs that say of an endpoint that an earlier start than ours is alive.
  std::map<endpoint, hub_mask> disputes_;
  // Entries that became silent or gone, with the time to forget them.
  std::deque<std::pair<time_point, endpoint>> fading_;
  time_point called_;  // last
  // For how long calls came late. It does not count for a hub's silence: run
  // time is the time less this.
  duration held_up_{0};
  document_set set_;
  std::optional<time_point> confirmed_;
  std::unique_ptr<set_fetcher> fetcher_;
  // When the own record changed that no hub has told to know; none: all do.
  std::optional<time_point> unannounced_;
  // When the newest set that is told of but not held was first told of.
  std::optional<time_point> told_of_set_;
  roster_member_counters counters_;
};

}  // namespace tamaracklatch
