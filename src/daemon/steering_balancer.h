// The balancer for flows whose answers leave the target's VM directly: takes
// callers' segments and sends each to one target daemon. A packet format and
// the calls of an installation come from an adapter.
#pragma once

#include <string>
#include <vector>

#include "daemon/graceful_stop.h"
#include "daemon/process_frame.h"
#include "daemon/roster_agent.h"
#include "daemon/udp_port.h"
#include "tamaracklatch/steering/segment.h"
#include "tamaracklatch/steering/segment_router.h"

namespace tamaracklatch {

struct steering_balancer_settings {
  process_settings process;
  endpoint ingress;             // UDP: segments of callers
  endpoint cluster;             // UDP: roster and hints
  endpoint listen_http;         // TCP: calls that the adapter answers, metrics
  std::vector<endpoint> seeds;  // UDP: control VMs
  std::uint16_t caller_port = 0;  // UDP: where callers take segments
  // An accepted document set must be in force within this.
  duration propagation_limit = std::chrono::seconds(3);
  duration stop_limit = std::chrono::seconds(5);  // of a graceful stop
  duration max_flow_age = std::chrono::seconds(60);
};

class steering_balancer : public roster_listener {
 public:
  // `codec` must outlive the balancer.
  steering_balancer(const steering_balancer_settings& settings,
                    const segment_codec* codec);

  // Runs until a graceful stop is done; returns the exit code. `handler`
  // answers HTTP calls.
  int Run(http_handler handler);

  // Whether new flows should come here: a confirmed view is held, and no stop
  // has begun.
  bool IsReady() const { return ready_; }

  process_frame& frame() { return frame_; }
  roster_agent& roster() { return roster_; }

  void OnRosterChanged(const roster_entry& entry) override;
  void OnSetReceived(const set_received& received) override;
  void OnPlacementRules(const placement_rules& rules) override;

 private:
  void OnSegment(const endpoint& from, std::string_view bytes);
  void OnHint(const endpoint& from, std::string_view bytes);
  void Do(const forward_segment& action, const segment& what);
  void Do(const refuse_segment& action, const segment& what);
  void Do(const drop_segment& action, const segment& what);
  void CountRefused(result_code code);
  void Export();
  bool IsViewConfirmed(time_point now) const;
  void Check();
  void BeginStop();
  void SetReady(bool ready, const std::string& why);

  steering_balancer_settings settings_;
  const segment_codec* codec_;
  process_frame frame_;
  roster_agent roster_;
  segment_router router_;
  udp_port ingress_;
  std::string buffer_;  // of the datagram being sent
  // A view that was confirmed once stays good enough to serve by until a stop.
  bool ready_ = false;
  graceful_stop stop_;
};

}  // namespace tamaracklatch
