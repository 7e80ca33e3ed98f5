// The replicated state machine of the control VMs: the accepted documents and
// document set, the targets that are members, the names of the known nodes and
// the placement rules.
// The same entries in the same order give the same state, snapshot bytes and
// outcomes on every VM.
//
//   control_state state(&listener);  // OnApplied receives each outcome
//   state.Apply(revision{7}, Encode(command));  // from the log, in order
//   const cluster_view& view = state.view();
//   std::string bytes = state.Snapshot();  // other.Restore(bytes, &error)
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/control/control_command.h"
#include "tamaracklatch/control/placement_rules.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// One accepted version of a service's document.
struct history_entry {
  std::uint64_t version = 0;
  std::uint64_t hash = 0;  // DocumentHash
  revision accepted;       // at which it was accepted
  std::string submitter;   // the token's holder
};

// The document set that is held: the one with the highest version of all in the
// log.
struct accepted_set {
  std::uint64_t version = 0;
  revision accepted;        // at which it was accepted
  std::string encoded_set;  // EncodeDocumentSet
  std::string source_text;  // as the operator sent it, byte for byte
  std::string submitter;    // the token's holder
};

// The result of applying one log entry. A document that is submitted again gets
// the `accepted` of its first submission.
struct command_outcome {
  std::uint64_t tag = 0;  // of the command; 0 for a malformed entry
  result_code code = result_code::kOk;
  revision accepted;                 // of the submission; 0 when refused
  std::string service;               // of the submission
  std::uint64_t version = 0;         // of the submission
  std::uint64_t newest_version = 0;  // accepted for the service so far
  // With kVersionConflict, and with kVersionStale while the version is in the
  // history: DocumentHash of the content accepted under the submitted version.
  std::uint64_t winner_hash = 0;
  std::string detail;                   // of a refusal, for people to read
  std::vector<refused_target> refused;  // joins of the entry that were refused
  // After a document set: the version that is held now, and whether this entry
  // put it there. A set at or below the held version is not an error.
  std::optional<std::uint64_t> set_version;
  bool set_accepted = false;
  // After an order to evacuate a zone or to end its evacuation: the revision of
  // the rules that contain it. An order that changes nothing is not an error.
  std::optional<std::uint64_t> rules_revision;
};

// Receives the outcome of every entry, in the order of the log.
class control_listener {
 public:
  virtual ~control_listener() = default;
  // Called at the end of control_state::Apply. `changes` is empty when the
  // entry did not change the view.
  virtual void OnApplied(const command_outcome& outcome,
                         const revision_changes& changes) = 0;
};

// Applies the entries of the log. The daemon of a control VM holds one;
// Snapshot and Restore move it between VMs and restarts.
class control_state {
 public:
  // `listener` must outlive the state; may be null.
  explicit control_state(control_listener* listener = nullptr);

  // Applies the entry at revision `at`, which is above those of all entries
  // applied before. A malformed entry changes nothing but `applied`.
  void Apply(revision at, std::string_view command);

  // The whole state as bytes; equal states give equal bytes.
  std::string Snapshot() const;

  // Replaces the state by that of a snapshot. On malformed bytes returns false,
  // keeps the state and sets `last_failure`.
  bool Restore(std::string_view bytes, failure* last_failure);

  // The services and targets as of the last entry that changed them.
  const cluster_view& view() const { return view_; }

  // Revision of the newest entry applied, whether or not it changed anything.
  revision applied() const { return applied_; }

  // The document set that is held; null before the first. The object is
  // immutable: a newer set is a new object.
  std::shared_ptr<const accepted_set> held_set() const { return set_; }

  // The names of the nodes that are not targets.
  const known_nodes& nodes() const { return nodes_; }

  // The evacuated zones and the cold limits of the held set. Their encoded size
  // is at most kMaxEncodedRulesBytes.
  const placement_rules& rules() const { return rules_; }

  // The outcome that Apply would give this document now, without applying it.
  // A resend has `accepted` set already; an acceptable new version has kOk and
  // no `accepted`.
  command_outcome Evaluate(const submit_document& submission) const;

  // Accepted submissions of a service, oldest first, at most the last
  // kMaxHistory. Empty for an unknown service.
  std::vector<history_entry> History(const std::string& service) const;

 private:
  // One service; its parsed document is in the view.
  struct service_state {
    service_id id;
    std::string canonical_text;
    std::deque<history_entry> history;  // never empty; the newest at the end
  };

  // State of a target that is not part of the view.
  struct target_membership {
    std::uint64_t generation = 0;  // highest announced for this start
    // It drains only because the document no longer makes it eligible; a later
    // document can end this drain.
    bool drained_by_document = false;
  };

  // One slot of the target table.
  // Invariant: `sequence` counts the uses of the slot and never decreases, so
  // that no target_id is used twice.
  struct target_slot {
    std::uint32_t sequence = 0;
    bool used = false;
  };

  // Each applies one kind of command, completes `outcome` and adds to `changes`
  // what it changes in the view.
  void Perform(const submit_document& body, command_outcome* outcome,
               revision_changes* changes);
  void Perform(const membership_batch& body, command_outcome* outcome,
               revision_changes* changes);
  void Perform(const replace_document_set& body, command_outcome* outcome,
               revision_changes* changes);
  void Perform(const known_nodes_batch& body, command_outcome* outcome,
               revision_changes* changes);
  void Perform(const set_zone_evacuation& body, command_outcome* outcome,
               revision_changes* changes);
  void Join(const target_announcement& join, command_outcome* outcome,
            revision_changes* changes);
  void Update(target_id id, target_record announced, std::uint64_t generation,
              revision_changes* changes);
  void Drain(const target_key& key, revision_changes* changes);
  void Remove(target_id id, revision_changes* changes);
  void DrainIneligible(const service_record& service,
                       revision_changes* changes);
  void ApplyChange(view_change change, revision_changes* changes);
  void PutTarget(const target_record& target, revision_changes* changes);
  // The member with exactly this start; nothing if it is not a member.
  std::optional<target_id> FindTarget(const target_key& key) const;
  // The id of a new target, in the free slot with the lowest index.
  target_id AllocateSlot();
  // Null for an unknown service.
  const service_state* FindServiceState(const std::string& service) const;
  // Whether no service but `owner` owns an address of the document; if one
  // does, `taken` is set to the address.
  bool AreAddressesAvailable(const service_document& document, service_id owner,
                             std::string* taken) const;
  void RebuildIndexes();

  // An address with its protocol; one service at a time owns it.
  struct address_key {
    endpoint where;
    ip_protocol protocol;
    friend bool operator<(const address_key& left, const address_key& right) {
      return left.where != right.where ? left.where < right.where
                                       : left.protocol < right.protocol;
    }
  };

  // A VM has at most one target in each service.
  struct vm_service_key {
    vm_name vm;
    service_id service;
    friend bool operator<(const vm_service_key& left,
                          const vm_service_key& right) {
      return left.vm != right.vm ? left.vm < right.vm
                                 : left.service < right.service;
    }
  };

  control_listener* listener_;
  revision applied_;
  cluster_view view_;
  std::shared_ptr<const accepted_set> set_;        // its version only rises
  std::map<std::string, service_state> services_;  // by name
  known_nodes nodes_;
  placement_rules rules_;
  std::map<target_id, target_membership> memberships_;  // one for each target
  std::vector<target_slot> slots_;                      // by target_id::index

  // Indexes over the members above; RebuildIndexes derives them after Restore.
  std::map<address_key, service_id> address_owners_;
  std::map<vm_service_key, target_id> targets_by_vm_;
  std::map<endpoint, target_id> packet_endpoints_;
  std::vector<std::uint32_t> free_slots_;  // a heap with the lowest on top
};

// Accepted submissions kept for each service; the oldest is dropped first.
inline constexpr std::size_t kMaxHistory = 32;

}  // namespace tamaracklatch
