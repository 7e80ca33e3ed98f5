// The start rule.
#include "tamaracklatch/distribution/start_rule.h"

#include <algorithm>

namespace tamaracklatch {
namespace {

// Peers that are asked: enough that a few stale ones are outvoted.
constexpr std::size_t kMaxPeers = 15;

bool Names(const std::vector<relay_contact>& list, const std::string& name) {
  return std::any_of(
      list.begin(), list.end(),
      [&](const relay_contact& contact) { return contact.name == name; });
}

}  // namespace

start_rule::start_rule(const relay_settings& settings, time_point now)
    : control_(settings.control),
      self_(settings.self.name),
      patience_(settings.confirm_patience),
      interval_(settings.confirm_interval),
      started_(now),
      next_ask_(now) {
  for (const relay_contact& peer : settings.peers) AddPeer(peer);
}

std::vector<start_rule::question> start_rule::OnTick(time_point now) {
  std::vector<question> questions;
  if (required() || now < next_ask_) return questions;
  next_ask_ = now + interval_;
  ++round_;
  for (const relay_contact& contact : control_)
    questions.push_back({contact, {round_}});
  asks_peers_ = now - started_ >= patience_;
  if (!asks_peers_) return questions;
  for (const relay_contact& peer : peers_)
    questions.push_back({peer, {round_}});
  return questions;
}

void start_rule::OnAnswer(const std::string& from,
                          const confirm_answer& answer) {
  if (answer.number == 0 || answer.number > round_) return;
  if (answer.by_quorum) {
    if (Names(control_, from) && !quorum_) quorum_ = answer.at;
    return;
  }
  if (!Names(peers_, from)) return;
  revision& known = peer_answers_[from];
  known = std::max(known, answer.at);
}

void start_rule::AddPeer(const relay_contact& peer) {
  if (peer.name == self_ || peer.where.port == 0) return;
  if (peers_.size() >= kMaxPeers || Names(peers_, peer.name)) return;
  if (Names(control_, peer.name)) return;
  peers_.push_back(peer);
}

const relay_contact* start_rule::FindPeer(const std::string& name) const {
  const auto found = std::find_if(
      peers_.begin(), peers_.end(),
      [&](const relay_contact& peer) { return peer.name == name; });
  return found == peers_.end() ? nullptr : &*found;
}

std::optional<revision> start_rule::required() const {
  if (quorum_) return quorum_;
  if (!asks_peers_ || 2 * peer_answers_.size() <= peers_.size())
    return std::nullopt;
  revision newest;
  for (const auto& [name, at] : peer_answers_) newest = std::max(newest, at);
  return newest;
}

}  // namespace tamaracklatch
