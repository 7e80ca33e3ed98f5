// When a node that starts may serve: once it has the newest revision, as the
// control quorum confirms it, or, if that can't be reached, as a majority of
// the peers that it can ask does. So a restart brings no old configuration
// back.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tamaracklatch/distribution/relay_settings.h"

namespace tamaracklatch {

class start_rule {
 public:
  // One question to send.
  struct question {
    relay_contact to;
    confirm_request request;
  };

  start_rule(const relay_settings& settings, time_point now);

  // The questions that are due.
  std::vector<question> OnTick(time_point now);
  time_point next_wake() const { return next_ask_; }

  // Answers to earlier rounds count too: a revision once accepted stays.
  void OnAnswer(const std::string& from, const confirm_answer& answer);

  // A node that has been heard of, and may be asked.
  void AddPeer(const relay_contact& peer);

  // A peer that may be asked, or null.
  const relay_contact* FindPeer(const std::string& name) const;

  // The revision from which on the node may serve, once it is known.
  std::optional<revision> required() const;
  bool by_quorum() const { return quorum_.has_value(); }

 private:
  std::vector<relay_contact> control_;
  std::vector<relay_contact> peers_;
  std::string self_;
  duration patience_;
  duration interval_;
  time_point started_;
  time_point next_ask_;
  bool asks_peers_ = false;
  std::uint64_t round_ = 0;
  std::optional<revision> quorum_;
  // Invariant: only peers in `peers_`, each at its highest answer.
  std::map<std::string, revision> peer_answers_;
};

}  // namespace tamaracklatch
