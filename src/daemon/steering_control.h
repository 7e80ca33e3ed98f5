// The control VM of an installation whose desired state is one document set: a
// voter of the replicated log that heals its own group, a hub of the roster,
// and the operators' doors for sets and for the evacuation of zones. The calls
// come from an adapter.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "daemon/consensus_agent.h"
#include "daemon/gate_door.h"
#include "daemon/process_frame.h"
#include "daemon/roster_agent.h"
#include "tamaracklatch/control/control_state.h"
#include "tamaracklatch/control/document_set_handler.h"
#include "tamaracklatch/control/zone_order_handler.h"
#include "transport/link_hub.h"

namespace tamaracklatch {

struct steering_control_settings {
  process_settings process;     // named by the text of `cluster`
  endpoint cluster;             // UDP: roster; TCP: links of the log
  endpoint listen_http;         // TCP: calls that the adapter answers, metrics
  std::vector<endpoint> seeds;  // cluster endpoints of control VMs
  bool founds = false;  // the first start of all; the seeds found the log
  std::uint32_t tolerated_losses = 1;  // of control VMs at once
  duration heartbeat_interval = std::chrono::milliseconds(75);  // of the leader
  duration election_timeout = std::chrono::milliseconds(300);
  std::set<zone_name> zones;  // known besides those of the roster; may be empty
};

// An operator's answer, as the adapter writes it.
using set_answer_handler = std::function<void(const set_answer&)>;
using zone_order_reply = std::function<void(const zone_order_answer&)>;
using set_read_handler = std::function<void(const set_read_answer&)>;

class steering_control : public roster_listener,
                         public control_listener,
                         public replicated_state_machine {
 public:
  explicit steering_control(const steering_control_settings& settings);

  // Runs until a stop; returns the exit code. `handler` answers HTTP calls.
  int Run(http_handler handler);

  // An operator replaces the set.
  void Order(const set_replacement& order, set_answer_handler reply);
  // An operator asks for the newest set.
  void Read(set_read_handler reply);
  // Tells of an order that the adapter refused.
  void TellRefused(const std::vector<failure>& failures);

  // An operator orders the evacuation of a zone, or its end. The zone has to be
  // known.
  void OrderZone(const set_zone_evacuation& order,
                 const zone_order_reply& reply);
  // Tells of an order for a zone that the adapter refused.
  void TellZoneOrderRefused(const failure& why);

  // Whether the settings, a node of the roster or the rules in force name the
  // zone. The rules count so that an evacuation can always be ended.
  bool IsKnownZone(const zone_name& zone) const;

  // Where the operators reach the control VM of that name, if it is known.
  std::optional<endpoint> OperatorsOf(const vm_name& name) const;

  process_frame& frame() { return frame_; }
  roster_agent& roster() { return roster_; }

  void OnRosterChanged(const roster_entry& entry) override;
  void OnSetReceived(const set_received&) override {}
  void OnPlacementRules(const placement_rules&) override {}

  void OnApplied(const command_outcome& outcome,
                 const revision_changes& changes) override;

  void Apply(revision index, std::string_view command) override;
  std::string Snapshot() override { return state_.Snapshot(); }
  bool Restore(std::string_view snapshot, failure* last_failure) override;

 private:
  log_leadership Standing() const;
  void TellAnswer(const set_answer& answer);
  void TellZoneOrder(event_id id, result_code code, std::string detail);
  // Gives the rules to the roster if they are newer than the published ones.
  void PublishRules();
  void PublishSet(bool is_next);
  void ConfirmSet();
  void Tick();

  steering_control_settings settings_;
  process_frame frame_;
  link_hub hub_;
  control_state state_;
  consensus_agent consensus_;
  roster_agent roster_;
  gate_door<document_set_handler> door_;
  gate_door<zone_order_handler> zone_door_;
  std::uint64_t published_ = 0;        // version told to the roster
  std::uint64_t published_rules_ = 0;  // revision told to the roster
};

}  // namespace tamaracklatch
