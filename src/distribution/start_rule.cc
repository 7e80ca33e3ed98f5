// Queries and evaluation of their answers when a node starts.
#include "tamaracklatch/distribution/start_rule.h"

#include <algorithm>

namespace tamaracklatch {
namespace {

// Maximum number of peers that are queried: enough that a few outdated ones
// don't decide, as required() takes the highest answer of a majority.
constexpr std::size_t kMaxPeers = 15;

bool Contains(const std::vector<relay_contact>& list, const std::string& name) {
  return std::any_of(
      list.begin(), list.end(),
      [&](const relay_contact& contact) { return contact.name == name; });
}

}  // namespace

start_rule::start_rule(const relay_settings& settings, time_point now)
    : control_(settings.control),
      self_(settings.self.name),
      control_only_period_(settings.control_only_period),
      confirm_interval_(settings.confirm_interval),
      started_(now),
      next_round_(now) {
  for (const relay_contact& peer : settings.peers) AddPeer(peer);
}

std::vector<start_rule::query> start_rule::OnTick(time_point now) {
  std::vector<query> queries;
  if (required() || now < next_round_) return queries;
  next_round_ = now + confirm_interval_;
  ++round_;
  for (const relay_contact& contact : control_)
    queries.push_back({contact, {round_}});
  queries_peers_ = now - started_ >= control_only_period_;
  if (!queries_peers_) return queries;
  for (const relay_contact& peer : peers_) queries.push_back({peer, {round_}});
  return queries;
}

void start_rule::OnAnswer(const std::string& from,
                          const confirm_answer& answer) {
  if (answer.number == 0 || answer.number > round_) return;
  if (answer.by_quorum) {
    if (Contains(control_, from) && !quorum_) quorum_ = answer.at;
    return;
  }
  if (!Contains(peers_, from)) return;
  revision& known = peer_answers_[from];
  known = std::max(known, answer.at);
}

void start_rule::AddPeer(const relay_contact& peer) {
  if (peer.name == self_ || peer.where.port == 0) return;
  if (peers_.size() >= kMaxPeers || Contains(peers_, peer.name)) return;
  if (Contains(control_, peer.name)) return;
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
  if (!queries_peers_ || 2 * peer_answers_.size() <= peers_.size())
    return std::nullopt;
  revision newest;
  for (const auto& [name, at] : peer_answers_) newest = std::max(newest, at);
  return newest;
}

}  // namespace tamaracklatch
