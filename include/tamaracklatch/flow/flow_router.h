// The balancer's routing decision: to which target daemon a packet goes. It has
// no authoritative state: placements are computed from the view, and the cache
// of flow owners may be lost at any time.
//
//   flow_router router({.self = my_udp_endpoint});
//   router.Reset(view, now);               // then Apply(step, now)
//   routed_packet out;                     // reused for each packet
//   if (router.Route(datagram, now, &out) == result_code::kOk)
//     EncodeEnvelope(out.message, key, &bytes), Send(out.to, bytes);
//   // for each envelope received from a target daemon:
//   router_action action = router.OnEnvelope(received, now);
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/core/time.h"
#include "tamaracklatch/flow/envelope.h"
#include "tamaracklatch/flow/flow_counters.h"
#include "tamaracklatch/flow/packet.h"
#include "tamaracklatch/placement/placement_table.h"

namespace tamaracklatch {

// Settings of one flow_router.
struct flow_router_settings {
  endpoint self;  // where this balancer receives hints and answers
  // Upper limit of the owner cache, in entries.
  std::size_t max_cached_flows = std::size_t{1} << 21U;
  // Cached owners expire after this time without use.
  std::chrono::seconds cache_idle_limit{3600};
};

// A packet and where to send it. `message.payload` refers to the bytes of the
// packet given to Route.
struct routed_packet {
  endpoint to;     // the target daemon's UDP endpoint
  endpoint relay;  // its TCP endpoint, for a relayed connection
  envelope message;
};

// Action: send the bytes to the caller, from the service's address.
struct send_to_caller {
  flow_key key;
  std::string_view bytes;
};

// Action: the flow does not exist. Reset the caller as its kind of port allows,
// and remove the daemon's state for the flow.
struct reset_caller {
  flow_key key;
  target_id target;  // the target that sent the reset
  // The IP packet to send to the caller, for encapsulated TCP; else empty.
  std::string_view bytes;
};

// Action: none. The envelope only changed the cache, or was refused with
// `code`.
struct nothing_to_send {
  result_code code = result_code::kOk;
};

// What the balancer must do after flow_router::OnEnvelope.
using router_action =
    std::variant<nothing_to_send, send_to_caller, reset_caller>;

// Routes the packets of one balancer. Not thread-safe.
class flow_router {
 public:
  explicit flow_router(const flow_router_settings& settings);
  ~flow_router();

  // Replaces the view, or applies one step to it, as in placement_table.
  void Reset(const cluster_view& view, time_point now);
  void Apply(const revision_changes& step, time_point now);
  // The revision of the current view.
  revision at() const { return table_.at(); }
  const placement_table& table() const { return table_; }

  // Routes a packet by its destination address. On kOk `out` is filled; on
  // kAddressUnknown or kNoOpenTarget the caller drops the packet. A relayed
  // connection is routed as a packet with opens == kYes and no bytes.
  result_code Route(const packet& received, time_point now, routed_packet* out);

  // Handles an envelope from a target daemon. Views in the action refer to the
  // payload of `message`.
  router_action OnEnvelope(const envelope& message, time_point now);

  const router_counters& counters() const { return counters_; }
  // Entries of the owner cache, including expired ones not yet removed.
  std::size_t cached_flows() const;
  // Memory of the cache, in bytes.
  std::size_t CacheBytes() const;

 private:
  // The service that owns an address; `service` points into table_.
  struct listening_service {
    service_id id;
    const placed_service* service = nullptr;
  };
  struct address_key {
    endpoint destination;
    ip_protocol protocol;
    friend bool operator==(const address_key& left, const address_key& right) {
      return left.destination == right.destination &&
             left.protocol == right.protocol;
    }
  };
  struct address_hash {
    std::size_t operator()(const address_key& key) const noexcept;
  };

  // Rebuilds addresses_ from the services of the view.
  void IndexAddresses();
  // Fills the candidates with the current ones of the flow's bucket, then its
  // owners of the last kSettleTime; absent targets are left out.
  void ListCandidates(const placed_service& service, std::uint64_t hash,
                      time_point now, envelope* message) const;
  // A target chosen by hash that is not known to be absent, or null.
  const placed_target* FallbackTarget(const placed_service& service,
                                      std::uint64_t hash) const;
  // Whether the target was reported absent from its endpoint.
  bool IsAbsent(target_id id) const;
  std::uint32_t CacheTick(time_point now) const;

  flow_router_settings settings_;
  placement_table table_;
  std::unordered_map<address_key, listening_service, address_hash> addresses_;
  std::unique_ptr<class owner_cache> cache_;
  // Targets reported absent by a kInvalidate envelope from their endpoint. An
  // entry is removed when the view removes the target. At most
  // kMaxAbsentTargets.
  std::set<target_id> absent_targets_;
  router_counters counters_;
};

}  // namespace tamaracklatch
