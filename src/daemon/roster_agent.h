// The roster slice in a daemon: runs a roster_member, and at a control VM a
// roster_hub, over the UDP port that the system's processes share with steered
// segments.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "daemon/process_frame.h"
#include "daemon/udp_port.h"
#include "tamaracklatch/roster/roster_hub.h"
#include "tamaracklatch/roster/roster_member.h"

namespace tamaracklatch {

// Hears of the roster. Called on the event loop.
class roster_listener {
 public:
  virtual ~roster_listener() = default;
  virtual void OnRosterChanged(const roster_entry& entry) = 0;
  virtual void OnSetReceived(const set_received& received) = 0;
  virtual void OnPlacementRules(const placement_rules& rules) = 0;
};

// The own record of a process that starts now.
node_record MakeOwnRecord(const process_frame& frame, node_role role,
                          const endpoint& where);

class roster_agent {
 public:
  using segment_handler =
      std::function<void(const endpoint& from, std::string_view bytes)>;

  // `frame` and `listener` must outlive the agent. `on_segment` takes what is
  // no message of the roster; it may be empty.
  roster_agent(process_frame* frame, const roster_member_settings& settings,
               const node_record& own, roster_listener* listener,
               segment_handler on_segment);

  // Also runs a hub here. Call before Start().
  void AddHub(const roster_hub_settings& settings);

  // Opens the own endpoint. On failure returns false and says why.
  bool Start(failure* last_failure);

  // Tells the new own record.
  void SetOwn(const node_record& record);
  void AddSeeds(const std::vector<endpoint>& seeds) { member_.AddSeeds(seeds); }

  // Sends a datagram from the shared port.
  bool Send(const endpoint& to, std::string_view bytes) {
    return port_.Send(to, bytes);
  }

  const roster_member& member() const { return member_; }

  // At a control VM.
  void SetDocuments(std::uint64_t version, std::string bytes, bool is_next);
  void SetPlacementRules(const placement_rules& rules);
  void OnQuorumConfirmed(std::uint64_t version, std::uint64_t rules_revision,
                         time_point asked);

 private:
  void OnDatagram(const endpoint& from, std::string_view bytes);
  void Perform(const roster_member::actions& actions);
  void Do(const roster_send& action);
  void Do(const roster_changed& action);
  void Do(const rules_received& action);
  void Do(const set_received& action);
  void Do(const roster_report& action);
  void SendAll(const roster_hub::sends& sends);
  void Schedule();
  void OnTimer();
  void Export() const;

  process_frame* frame_;
  roster_listener* listener_;
  segment_handler on_segment_;
  roster_member member_;
  std::unique_ptr<roster_hub> hub_;  // null where none runs here
  udp_port port_;
  asio::steady_timer timer_;
  time_point armed_ = time_point::max();  // when the timer is to fire
};

}  // namespace tamaracklatch
