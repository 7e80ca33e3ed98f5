// Turns orders into proposals, and the log's progress into answers.
#include "tamaracklatch/control/zone_order_handler.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "tamaracklatch/core/abbreviated_name.h"

namespace tamaracklatch {
namespace {

zone_order_answer Refusal(result_code code, std::string reason) {
  zone_order_answer answer;
  answer.code = code;
  answer.reason = std::move(reason);
  return answer;
}

}  // namespace

zone_order_handler::zone_order_handler(
    const zone_order_handler_settings& settings, std::uint64_t seed)
    : settings_(settings), random_(seed) {}

std::uint64_t zone_order_handler::NewTag() {
  std::uint64_t tag = random_();
  while (tag == 0 || proposals_.count(tag) != 0) tag = random_();
  return tag;
}

zone_order_handler::actions zone_order_handler::Order(
    std::uint64_t request, const set_zone_evacuation& order,
    const log_leadership& leadership, time_point now) {
  const auto refuse = [&](result_code code, std::string reason) -> actions {
    zone_order_answer answer = Refusal(code, std::move(reason));
    answer.request = request;
    if (code == result_code::kNotLeader) answer.leader = leadership.leader;
    return {std::move(answer)};
  };
  if (order.zone.empty()) {
    return refuse(result_code::kZoneOrderMalformed, "the zone's name is empty");
  }
  if (!leadership.is_leader) {
    return refuse(result_code::kNotLeader,
                  leadership.leader.empty()
                      ? "no leader is known; send the order again"
                      : leadership.leader + " is the leader");
  }
  if (waiting_ >= settings_.max_waiting) {
    return refuse(
        result_code::kTooManyWaiting,
        fmt::format("{} orders are waiting; send the order again", waiting_));
  }
  ++waiting_;
  const waiting_order waiting{request, now + settings_.timeout};
  set_zone_evacuation body = order;
  body.zone = AbbreviateName(order.zone);
  const zone_name zone = body.zone;
  control_command command;
  command.body = std::move(body);
  std::string untagged = Encode(command);
  const auto newest = newest_.find(zone);
  if (newest != newest_.end()) {
    const auto pending = proposals_.find(newest->second);
    if (pending != proposals_.end() && pending->second.command == untagged) {
      pending->second.orders.push_back(waiting);
      return {};
    }
  }
  command.tag = NewTag();
  newest_[zone] = command.tag;
  proposals_[command.tag] = {zone, std::move(untagged), {waiting}};
  return {propose_command{command.tag, Encode(command)}};
}

void zone_order_handler::Finish(std::uint64_t tag, zone_order_answer answer,
                                actions* answers) {
  const auto found = proposals_.find(tag);
  if (found == proposals_.end()) return;
  for (const waiting_order& order : found->second.orders) {
    answer.request = order.request;
    answers->push_back(answer);
  }
  waiting_ -= found->second.orders.size();
  const auto newest = newest_.find(found->second.zone);
  if (newest != newest_.end() && newest->second == tag) newest_.erase(newest);
  proposals_.erase(found);
}

zone_order_handler::actions zone_order_handler::FinishAll(
    const std::string& reason) {
  actions answers;
  while (!proposals_.empty()) {
    Finish(proposals_.begin()->first,
           Refusal(result_code::kOutcomeUnknown, reason), &answers);
  }
  return answers;
}

zone_order_handler::actions zone_order_handler::OnProposalRefused(
    std::uint64_t tag, const failure& refusal) {
  actions answers;
  Finish(tag, Refusal(refusal.code, refusal.reason), &answers);
  return answers;
}

zone_order_handler::actions zone_order_handler::OnApplied(
    const command_outcome& outcome) {
  actions answers;
  zone_order_answer answer = Refusal(outcome.code, outcome.detail);
  answer.rules_revision = outcome.rules_revision.value_or(0);
  Finish(outcome.tag, std::move(answer), &answers);
  return answers;
}

zone_order_handler::actions zone_order_handler::OnRestored() {
  return FinishAll("a snapshot replaced the state");
}

zone_order_handler::actions zone_order_handler::OnLeadershipLost() {
  return FinishAll(
      "leadership was lost before the entry was known to be committed");
}

zone_order_handler::actions zone_order_handler::OnTick(time_point now) {
  actions answers;
  for (auto at = proposals_.begin(); at != proposals_.end();) {
    const std::uint64_t tag = at->first;
    auto& orders = (at++)->second.orders;
    // Orders are in the sequence of their deadlines.
    while (!orders.empty() && orders.front().deadline <= now) {
      zone_order_answer answer =
          Refusal(result_code::kOutcomeUnknown,
                  "the entry was not known to be committed in time");
      answer.request = orders.front().request;
      answers.push_back(std::move(answer));
      orders.erase(orders.begin());
      --waiting_;
    }
    if (orders.empty()) Finish(tag, {}, &answers);
  }
  return answers;
}

time_point zone_order_handler::next_wake() const {
  time_point wake = time_point::max();
  for (const auto& [tag, pending] : proposals_)
    wake = std::min(wake, pending.orders.front().deadline);
  return wake;
}

unsigned zone_order_handler::HttpStatus(result_code code) {
  switch (code) {
    case result_code::kOk:
      return 200;
    case result_code::kZoneOrderMalformed:
      return 400;
    case result_code::kZoneUnknown:
    case result_code::kRulesTooLarge:
      return 422;
    default:
      return 503;
  }
}

}  // namespace tamaracklatch
