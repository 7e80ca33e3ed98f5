// The leader's view of membership reports: batches joins and drains for the
// log, and doubts losses. What one relay alone reports silent may be its own
// partition: beyond a share of a zone's targets a loss needs a second relay
// that reports it too, or a longer time in which nobody reports the target
// alive.
//
//   loss_judge judge(settings);
//   judge.OnReport(report, view, now);
//   for (auto& action : judge.OnTick(view, now)) ...;   // at next_wake()
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/core/event.h"
#include "tamaracklatch/membership/announcement.h"

namespace tamaracklatch {

struct loss_settings {
  duration batch_interval = std::chrono::milliseconds(300);
  // A target that is lost to one relay is given this long to renew at another.
  duration move_grace = std::chrono::seconds(4);
  // Targets of a zone that one relay alone may take out in `window`: this
  // share, at least one.
  double single_witness_share = 0.25;
  duration window = std::chrono::seconds(60);
  duration doubt_patience = std::chrono::seconds(60);
  std::size_t max_batch = 1024;  // targets in one log entry
};

// Give to the log.
struct propose_membership {
  membership_batch batch;
};

// Targets whose loss is doubted, once for each relay and zone in a row.
struct doubt_losses {
  std::string relay;
  zone_name zone;
  std::size_t targets = 0;
};

using loss_action = std::variant<propose_membership, doubt_losses>;

class loss_judge {
 public:
  explicit loss_judge(const loss_settings& settings);

  // Returns the silent ones that another relay holds, for the answer. Refusals
  // of joins come from the log's outcome.
  std::vector<target_key> OnReport(const membership_report& report,
                                   const cluster_view& view, time_point now);

  // The log did not take these in. They are told to whoever reports them next.
  void OnRefused(const std::vector<refused_target>& refused, time_point now);
  std::vector<refused_target> RefusalsFor(const membership_report& report,
                                          time_point now);

  // An operator drains a target.
  void Drain(const target_key& key, time_point now);

  std::vector<loss_action> OnTick(const cluster_view& view, time_point now);
  time_point next_wake() const { return next_; }

  // This VM stops leading: everything is reported again to the next one.
  void Reset();

 private:
  // A target that is reported silent.
  struct suspicion {
    zone_name zone;
    time_point since;
    std::set<std::string> witnesses;     // relays that report it
    std::optional<time_point> proposed;  // again, if the log lost it
    bool doubted = false;
  };

  // A loss that was taken on one relay's word.
  struct single_loss {
    std::string relay;
    zone_name zone;
    time_point at;
  };

  std::vector<target_key> SuspectedKeys() const;
  void BoundHolders(const cluster_view& view);
  bool MayTakeOut(const suspicion& suspected, const cluster_view& view,
                  time_point now);
  void Doubt(const suspicion& suspected, std::vector<doubt_losses>* doubted);
  std::size_t TakenOnWordOf(const std::string& relay,
                            const zone_name& zone) const;
  std::size_t TakenInZone(const zone_name& zone) const;

  // A refusal that was not yet told for long.
  struct refusal {
    refused_target target;
    time_point until;
  };

  loss_settings settings_;
  std::map<target_key, refusal> refusals_;
  membership_batch pending_;
  std::map<target_key, suspicion> suspicions_;
  // The relay that last reported a target alive. Bounded by the members and
  // kHolderSlack: those that are no members are dropped when it grows.
  std::map<target_key, std::string> holders_;
  std::deque<single_loss> single_losses_;  // in the window
  time_point next_ = time_point::max();
};

}  // namespace tamaracklatch
