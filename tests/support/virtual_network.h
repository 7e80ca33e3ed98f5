// Relay nodes in one process and in virtual time, joined by links that lose,
// repeat, delay and reorder messages. Every message is encoded and decoded.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "tamaracklatch/distribution/relay_node.h"

namespace tamaracklatch::test {

struct network_settings {
  duration one_way = std::chrono::microseconds(3500);
  duration jitter = std::chrono::microseconds(500);
  double loss = 0.0;    // share of the messages
  double repeat = 0.0;  // share of the messages
  double late = 0.0;    // share of the messages, late by up to a second
  std::uint64_t seed = 1;
};

// What one node sent and received.
struct traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;  // encoded, with kHeaderBytes each
};

// IP, TCP and frame headers of one small message.
inline constexpr std::size_t kHeaderBytes = 48;

class virtual_network {
 public:
  // One process.
  struct process {
    relay_settings settings;
    std::unique_ptr<relay_node> node;  // null while it is stopped
    traffic sent;
    traffic received;
    std::uint64_t starts = 0;
    bool hears_quorum = true;  // at a source
    time_point wake = time_point::max();
  };

  explicit virtual_network(const network_settings& settings)
      : settings_(settings), random_(settings.seed) {}

  // Called with each action that is not a message.
  std::function<void(process&, const relay_action&)> on_action;
  // Whether messages from one to the other are lost just now.
  std::function<bool(const process& from, const process& to)> is_cut;

  time_point now() const { return now_; }
  // The newest published revision, as the voters confirm it.
  revision newest() const { return newest_; }

  process& Add(relay_settings settings) {
    const std::string name = settings.self.name;
    auto added = std::make_unique<process>();
    added->settings = std::move(settings);
    process& one = *added;
    processes_[name] = std::move(added);
    Start(name);
    return one;
  }

  process& At(const std::string& name) { return *processes_.at(name); }
  std::map<std::string, std::unique_ptr<process>>& all() { return processes_; }

  void Start(const std::string& name) {
    process& one = At(name);
    ++one.starts;
    one.settings.self.started = incarnation{random_() | 1U};
    one.node = std::make_unique<relay_node>(one.settings, random_(), now_);
    Tick(&one);
  }

  void Stop(const std::string& name) {
    At(name).node.reset();
    At(name).wake = time_point::max();
  }

  // The control quorum has accepted these changes; all sources apply them.
  void Publish(const revision_changes& changes) {
    newest_ = changes.at;
    for (auto& [name, one] : processes_) {
      if (!one->settings.is_source || !one->node || !one->hears_quorum)
        continue;
      one->node->OnQuorumReached(now_);
      Perform(one.get(), one->node->Publish(changes, now_));
    }
  }

  // Gives the sources that missed changes the whole view.
  void ResetSource(const std::string& name, const cluster_view& view) {
    process& one = At(name);
    one.node->OnQuorumReached(now_);
    Perform(&one, one.node->Reset(view, now_));
  }

  void RunUntil(time_point end) {
    while (!queue_.empty() && queue_.top().at <= end) {
      item next = queue_.top();
      queue_.pop();
      now_ = next.at;
      Deliver(next);
    }
    now_ = end;
  }
  void RunFor(duration span) { RunUntil(now_ + span); }

  // The process that handles an event; for measurements of time.
  std::uint64_t events() const { return events_; }

  // Ticks after which the next wake-up did not lie ahead.
  std::uint64_t late_wakes() const { return late_wakes_; }

 private:
  // A message on its way, or, without bytes, a wake-up.
  struct item {
    time_point at;
    std::uint64_t order = 0;
    std::string from;
    process* to = nullptr;
    std::shared_ptr<const std::string> bytes;
    friend bool operator<(const item& left, const item& right) {
      return left.at != right.at ? left.at > right.at
                                 : left.order > right.order;
    }
  };

  void Deliver(const item& next) {
    process& one = *next.to;
    if (!one.node) return;
    ++events_;
    if (one.settings.is_source && one.hears_quorum)
      one.node->OnQuorumReached(now_);
    if (!next.bytes) {
      if (one.wake != next.at) return;
      one.wake = time_point::max();
      Perform(&one, one.node->OnTick(now_));
      if (one.node->next_wake() <= now_) ++late_wakes_;
      return;
    }
    ++one.received.messages;
    one.received.bytes += next.bytes->size() + kHeaderBytes;
    const auto message = DecodeRelayMessage(*next.bytes);
    if (message) Perform(&one, one.node->OnMessage(next.from, *message, now_));
  }

  void Tick(process* one) { Perform(one, one->node->OnTick(now_)); }

  void Perform(process* one, const relay_node::actions& actions) {
    for (const relay_action& action : actions) {
      if (const auto* sent = std::get_if<relay_send>(&action)) {
        SendFrom(one, *sent);
      } else if (const auto* check = std::get_if<quorum_check>(&action)) {
        if (one->hears_quorum && one->node->known() == newest_)
          Perform(one, one->node->OnQuorumChecked(check->peer, check->number,
                                                  newest_));
      } else if (on_action) {
        on_action(*one, action);
      }
    }
    ScheduleWake(one);
  }

  void ScheduleWake(process* one) {
    const time_point wake =
        std::max(one->node->next_wake(), now_ + duration(1));
    if (wake >= one->wake) return;
    one->wake = wake;
    queue_.push({wake, order_++, "", one, nullptr});
  }

  void SendFrom(process* from, const relay_send& sent) {
    const auto bytes =
        std::make_shared<const std::string>(Encode(sent.message));
    ++from->sent.messages;
    from->sent.bytes += bytes->size() + kHeaderBytes;
    const auto found = processes_.find(sent.peer);
    if (found == processes_.end()) return;
    process* to = found->second.get();
    if (is_cut && is_cut(*from, *to)) return;
    if (!Happens(settings_.loss)) Schedule(from, to, bytes);
    if (Happens(settings_.repeat)) Schedule(from, to, bytes);
  }

  void Schedule(process* from, process* to,
                const std::shared_ptr<const std::string>& bytes) {
    duration delay = settings_.one_way + UpTo(settings_.jitter);
    if (Happens(settings_.late)) delay += UpTo(std::chrono::seconds(1));
    queue_.push({now_ + delay, order_++, from->settings.self.name, to, bytes});
  }

  bool Happens(double share) {
    return share > 0.0 &&
           static_cast<double>(random_() >> 11U) * 0x1.0p-53 < share;
  }

  duration UpTo(duration most) {
    return duration(static_cast<std::int64_t>(
        random_() % static_cast<std::uint64_t>(most.count() + 1)));
  }

  network_settings settings_;
  random_source random_;
  time_point now_ = time_point(std::chrono::hours(1));
  revision newest_;
  std::uint64_t order_ = 0;
  std::uint64_t events_ = 0;
  std::uint64_t late_wakes_ = 0;
  std::map<std::string, std::unique_ptr<process>> processes_;
  std::priority_queue<item> queue_;
};

// A document of a service on one address, with `more` names of zones to give
// it a size.
inline service_document MakeDocument(const std::string& name,
                                     std::uint64_t version,
                                     std::uint32_t address,
                                     std::size_t more = 0) {
  service_document document;
  document.service = name;
  document.version = version;
  document.addresses.push_back(
      {{MakeV4(address), 443}, ip_protocol::kTcp, port_kind::kTcpRelay});
  for (std::size_t i = 0; i < more; ++i) {
    document.eligible.zones.push_back("availability-zone-" + std::to_string(i));
  }
  return document;
}

inline target_record MakeTarget(std::uint32_t index, service_id service,
                                const zone_name& zone) {
  target_record target;
  target.id = {index, 1};
  target.service = service;
  target.started = incarnation{index + 1};
  target.vm = "target-" + std::to_string(index);
  target.zone = zone;
  target.packets = {MakeV4(0x0a000000 + index), 7000};
  target.relay = {MakeV4(0x0a000000 + index), 7001};
  target.requests = {MakeV4(0x0a000000 + index), 7002};
  target.capacity = 4;
  return target;
}

// A zone's relays and control VMs as settings.
inline relay_contact MakeContact(const std::string& name, const zone_name& zone,
                                 std::uint32_t address) {
  return {name, zone, {MakeV4(address), 7100}, 0};
}

}  // namespace tamaracklatch::test
