// Decides when a node that starts may serve: once it has the newest revision as
// confirmed by the control quorum, or, if the quorum can't be reached, by a
// majority of the known peers. This keeps a restarted node from serving an old
// configuration.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tamaracklatch/distribution/relay_settings.h"

namespace tamaracklatch {

// Used by relay_node from its construction until it may serve.
class start_rule {
 public:
  // A request to send.
  struct query {
    relay_contact to;
    confirm_request request;
  };

  start_rule(const relay_settings& settings, time_point now);

  // Returns the requests that are due: one to each control VM, and, after
  // relay_settings::control_only_period, one to each peer.
  std::vector<query> OnTick(time_point now);
  time_point next_wake() const { return next_round_; }

  // Called for each answer. Answers to earlier rounds count too, because an
  // accepted revision stays accepted.
  void OnAnswer(const std::string& from, const confirm_answer& answer);

  // Adds a node to query. Ignored if it can't relay, is a control VM or this
  // node, or if there are 15 peers already.
  void AddPeer(const relay_contact& peer);

  // Returns the peer of that name, or null.
  const relay_contact* FindPeer(const std::string& name) const;

  // Returns the lowest revision with which the node may serve; nothing while it
  // is not confirmed.
  std::optional<revision> required() const;
  // Whether the control quorum confirmed required(), not the peers.
  bool by_quorum() const { return quorum_.has_value(); }

 private:
  std::vector<relay_contact> control_;
  std::vector<relay_contact> peers_;
  std::string self_;
  duration control_only_period_;
  duration confirm_interval_;
  time_point started_;
  time_point next_round_;
  bool queries_peers_ = false;
  std::uint64_t round_ = 0;
  std::optional<revision> quorum_;
  // The highest answer of each peer. Invariant: holds only peers in `peers_`.
  std::map<std::string, revision> peer_answers_;
};

}  // namespace tamaracklatch
