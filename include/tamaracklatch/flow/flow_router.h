// The balancer's decision: to which target daemon a packet goes. It keeps no
// truth: the placements follow from the view, and the cache of owners may be
// lost at any time.
//
//   flow_router router({.self = my_udp_endpoint});
//   router.Reset(view, now);               // then Apply(step, now)
//   routed_packet out;                     // used again for each packet
//   if (router.Route(datagram, now, &out) == result_code::kOk)
//     EncodeEnvelope(out.what, key, &bytes), Send(out.to, bytes);
//   // an envelope that came back from a target daemon:
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

struct flow_router_settings {
  endpoint self;  // where hints and answers come back
  std::size_t max_cached_flows = std::size_t{1} << 21U;
  std::chrono::seconds cached_for{3600};  // an unused entry counts this long
};

// One packet on its way. `what.payload` refers to the packet's bytes.
struct routed_packet {
  endpoint to;     // the target daemon's UDP endpoint
  endpoint relay;  // its TCP endpoint, for a relayed connection
  envelope what;
};

// Send the payload to the caller, from the service's address.
struct send_to_caller {
  flow_key key;
  std::string_view bytes;
};

// The flow is gone: tell the caller in the way of its port, and forget what the
// daemon keeps for it.
struct reset_caller {
  flow_key key;
  target_id by;
  std::string_view
      bytes;  // for encapsulated TCP the IP packet to send, or empty
};

// The envelope changed the cache only, or was refused.
struct nothing_to_send {
  result_code code = result_code::kOk;
};

using router_action =
    std::variant<nothing_to_send, send_to_caller, reset_caller>;

// One balancer. Not safe for use by several threads.
class flow_router {
 public:
  explicit flow_router(const flow_router_settings& settings);
  ~flow_router();

  void Reset(const cluster_view& view, time_point now);
  void Apply(const revision_changes& step, time_point now);
  revision at() const { return table_.at(); }
  const placement_table& table() const { return table_; }

  // Decides on a packet by its destination address. kOk: `out` is filled. Else
  // kAddressUnknown or kNoOpenTarget, and the packet is dropped. A relayed
  // connection is routed as a packet with opens == kYes and no bytes.
  result_code Route(const packet& what, time_point now, routed_packet* out);

  // Takes an envelope from a target daemon. Views refer to `what`.
  router_action OnEnvelope(const envelope& what, time_point now);

  const router_counters& counters() const { return counters_; }
  std::size_t cached_flows() const;
  // Memory of the cache, in bytes.
  std::size_t CacheBytes() const;

 private:
  struct listening_service {
    service_id id;
    const placed_service* service = nullptr;
  };
  struct address_key {
    endpoint where;
    ip_protocol protocol;
    friend bool operator==(const address_key& left, const address_key& right) {
      return left.where == right.where && left.protocol == right.protocol;
    }
  };
  struct address_hash {
    std::size_t operator()(const address_key& key) const noexcept;
  };

  void ListAddresses();
  void ListCandidates(const placed_service& service, std::uint64_t hash,
                      time_point now, envelope* what) const;
  const placed_target* AnyTarget(const placed_service& service,
                                 std::uint64_t hash) const;
  bool IsGone(target_id id) const;
  std::uint32_t Ticks(time_point now) const;

  flow_router_settings settings_;
  placement_table table_;
  std::unordered_map<address_key, listening_service, address_hash> addresses_;
  std::unique_ptr<class owner_cache> cache_;
  // Targets whose address answered that they are not there, until the view
  // says so.
  std::set<target_id> gone_;
  router_counters counters_;
};

}  // namespace tamaracklatch
