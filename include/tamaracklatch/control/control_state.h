// The replicated state of the control VMs: which documents and which document
// set were accepted, which targets are members and which nodes are known. The
// same entries in the same order give the same state, bytes and answers on
// every VM.
//
//   control_state state(&listener);           // OnApplied tells each outcome
//   state.Apply(revision{7}, Encode(command));  // from the log, in order
//   const cluster_view& view = state.view();
//   std::string bytes = state.Snapshot();     // other.Restore(bytes, &why)
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
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// One accepted submission of a service.
struct history_entry {
  std::uint64_t version = 0;
  std::uint64_t hash = 0;  // DocumentHash
  revision accepted;
  std::string submitter;
};

// The document set with the highest version of all accepted.
struct accepted_set {
  std::uint64_t version = 0;
  revision accepted;
  std::string encoded_set;  // EncodeDocumentSet
  std::string source_text;  // as the operator sent it, byte for byte
  std::string submitter;
};

// The answer to one log entry. The same document gets the same `accepted`
// again.
struct command_outcome {
  std::uint64_t tag = 0;
  result_code code = result_code::kOk;
  revision accepted;                 // of the submission; 0 when refused
  std::string service;               // of the submission
  std::uint64_t version = 0;         // of the submission
  std::uint64_t newest_version = 0;  // accepted for the service by now
  std::uint64_t winner_hash = 0;     // with kVersionConflict
  std::string detail;                // for a person
  std::vector<refused_target> refused;
  // Of a document set: the version that is held now, and whether it is this
  // entry's.
  std::optional<std::uint64_t> set_version;
  bool set_taken = false;
};

// Hears of every entry, in order.
class control_listener {
 public:
  virtual ~control_listener() = default;
  // `changes` is empty when the entry changed nothing.
  virtual void OnApplied(const command_outcome& outcome,
                         const revision_changes& changes) = 0;
};

class control_state {
 public:
  // `listener` outlives the state; may be null.
  explicit control_state(control_listener* listener = nullptr);

  // Applies the entry at `at`, which is above all before it.
  void Apply(revision at, std::string_view command);

  // The whole state; equal states give equal bytes.
  std::string Snapshot() const;

  // Replaces the state. On malformed bytes returns false, leaves the state
  // and says why.
  bool Restore(std::string_view bytes, failure* last_failure);

  const cluster_view& view() const { return view_; }

  // The newest entry applied, whether or not it changed anything.
  revision applied() const { return applied_; }

  // The document set that is held; null before the first. It never changes
  // once it is handed out.
  std::shared_ptr<const accepted_set> held_set() const { return set_; }

  const known_nodes& nodes() const { return nodes_; }

  // What Apply would answer to this document now, without applying it.
  command_outcome Judge(const submit_document& submission) const;

  // Accepted submissions of a service, the oldest first, at most
  // kMaxHistory. Nothing for an unknown service.
  std::vector<history_entry> History(const std::string& service) const;

 private:
  // One service; its document is in the view.
  struct service_state {
    service_id id;
    std::string canonical_text;
    std::deque<history_entry> history;  // ends with the accepted one
  };

  // What the view's record of a target does not tell.
  struct target_extra {
    std::uint64_t generation = 0;
    bool drained_by_document = false;  // not eligible any more
  };

  // One slot of the target table.
  // Invariant: `sequence` counts the uses so far, never falls.
  struct target_slot {
    std::uint32_t sequence = 0;
    bool used = false;
  };

  void Perform(const submit_document& body, command_outcome* outcome,
               revision_changes* changes);
  void Perform(const membership_batch& body, command_outcome* outcome,
               revision_changes* changes);
  void Perform(const replace_document_set& body, command_outcome* outcome,
               revision_changes* changes);
  void Perform(const known_nodes_batch& body, command_outcome* outcome,
               revision_changes* changes);
  void Join(const target_announcement& join, command_outcome* outcome,
            revision_changes* changes);
  void Update(target_id id, target_record wanted, std::uint64_t generation,
              revision_changes* changes);
  void Drain(const target_key& key, revision_changes* changes);
  void Remove(target_id id, revision_changes* changes);
  void DrainIneligible(const service_record& service,
                       revision_changes* changes);
  void Change(view_change change, revision_changes* changes);
  void PutTarget(const target_record& target, revision_changes* changes);
  std::optional<target_id> FindTarget(const target_key& key) const;
  target_id TakeSlot();
  const service_state* Find(const std::string& service) const;
  bool OwnsAddresses(const service_document& document, service_id owner,
                     std::string* taken) const;
  void RebuildIndexes();

  // An address with its protocol, as services own them.
  struct address_key {
    endpoint where;
    ip_protocol protocol;
    friend bool operator<(const address_key& left, const address_key& right) {
      return left.where != right.where ? left.where < right.where
                                       : left.protocol < right.protocol;
    }
  };

  // A VM's place in a service: one target at a time.
  struct place_key {
    vm_name vm;
    service_id service;
    friend bool operator<(const place_key& left, const place_key& right) {
      return left.vm != right.vm ? left.vm < right.vm
                                 : left.service < right.service;
    }
  };

  control_listener* listener_;
  revision applied_;
  cluster_view view_;
  std::shared_ptr<const accepted_set> set_;        // versions only rise
  std::map<std::string, service_state> services_;  // by name
  known_nodes nodes_;
  std::map<target_id, target_extra> extras_;  // one for each target
  std::vector<target_slot> slots_;            // by target_id::index

  // Indexes, rebuilt after Restore.
  std::map<address_key, service_id> owners_;
  std::map<place_key, target_id> places_;
  std::map<endpoint, target_id> packet_endpoints_;
  std::vector<std::uint32_t> free_slots_;  // a heap, the lowest first
};

// Accepted submissions that are remembered for each service.
inline constexpr std::size_t kMaxHistory = 32;

}  // namespace tamaracklatch
