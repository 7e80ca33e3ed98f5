// The relayed connections of a target daemon: reads the opening of each, lets
// the owner of flows decide, and carries the bytes between the balancer and the
// target.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

#include "daemon/process_frame.h"
#include "daemon/relay_protocol.h"
#include "daemon/stream_pair.h"
#include "daemon/target_datagrams.h"
#include "tamaracklatch/flow/flow_owner.h"

namespace tamaracklatch {

// Decides on an opening; called once for each.
class relay_judge {
 public:
  virtual ~relay_judge() = default;
  // An encoded envelope that asks to open a flow. The judge calls Accept, Pass
  // or Refuse of the relay in turn.
  virtual relay_answer JudgeRelay(const std::string& encoded,
                                  flow_key* key) = 0;
  virtual void OnRelayEnded(const flow_key& key) = 0;
};

class target_relay {
 public:
  // `target` is the target's TCP endpoint.
  target_relay(process_frame* frame, const endpoint& target,
               relay_judge* judge);
  ~target_relay();

  // Starts to accept. On failure returns false and says why.
  bool Listen(const endpoint& where, failure* last_failure);

  // Resets both ends of a connection.
  void Close(const flow_key& key);

  // Tells the progress of every connection.
  void ReportProgress(const std::function<void(const flow_key&,
                                               const relay_progress&)>& report);

  std::size_t size() const { return pairs_.size(); }

 private:
  class opening;

  void Accept();
  void Carry(const flow_key& key, asio::ip::tcp::socket balancer,
             asio::ip::tcp::socket target, std::string first);

  process_frame* frame_;
  endpoint target_;
  relay_judge* judge_;
  asio::ip::tcp::acceptor acceptor_;
  std::unordered_map<flow_key, std::shared_ptr<stream_pair>, flow_key_hash>
      pairs_;
};

}  // namespace tamaracklatch
