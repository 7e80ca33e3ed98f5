// Processes the membership reports of relays at the leader: batches joins and
// drains for the log and decides which reported losses to propose. A target
// that only one relay reports silent may be unreachable for that relay alone:
// beyond a share of a zone's targets a loss must be reported by a second relay
// too, or must not be contradicted for a longer time.
//
//   loss_detector detector(settings);
//   detector.OnReport(report, view, now);
//   for (auto& action : detector.OnTick(view, now)) ...;   // at next_wake()
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
  // Time over which changes are collected into one log entry.
  duration batch_interval = std::chrono::milliseconds(300);
  // A target that one relay reports silent has this long to renew its lease at
  // another relay.
  duration move_grace = std::chrono::seconds(4);
  // Share of a zone's targets that may be removed within `window` on the
  // reports of a single relay; at least one.
  double single_reporter_share = 0.25;
  duration window = std::chrono::seconds(60);
  // A target that no relay reports alive for this long is removed even if only
  // one relay reports it silent.
  duration confirmation_timeout = std::chrono::seconds(60);
  std::size_t max_batch = 1024;  // joins and losses each in one log entry
};

// The batch must be proposed to the log.
struct propose_membership {
  membership_batch batch;
};

// Losses that are not proposed for lack of confirmation. Returned once for each
// target, summed by reporting relay and zone.
struct report_unconfirmed_losses {
  std::string relay;  // empty: detected by absence_detector
  zone_name zone;
  std::size_t targets = 0;
};

using loss_action = std::variant<propose_membership, report_unconfirmed_losses>;

// Used by the leading control VM.
class loss_detector {
 public:
  explicit loss_detector(const loss_settings& settings);

  // Takes a relay's report. Returns the silent targets that another relay holds
  // a lease for; they go into the answer. Joins beyond max_batch are dropped,
  // and reported again by the relay. Refusals of joins come from the log's
  // outcome, through OnRefused().
  std::vector<target_key> OnReport(const membership_report& report,
                                   const cluster_view& view, time_point now);

  // The log refused these joins. A refusal is returned by RefusalsFor() for
  // some seconds to any relay that reports the target.
  void OnRefused(const std::vector<refused_target>& refused, time_point now);
  std::vector<refused_target> RefusalsFor(const membership_report& report,
                                          time_point now);

  // An operator drains a target; proposed with the next tick.
  void Drain(const target_key& key, time_point now);

  // Returns the actions that are due; nothing before next_wake().
  std::vector<loss_action> OnTick(const cluster_view& view, time_point now);
  time_point next_wake() const { return next_; }

  // Called when this VM does not lead: discards everything. Relays report
  // everything again to the next leader.
  void Reset();

 private:
  // A member that is reported silent.
  struct suspected_loss {
    zone_name zone;
    time_point since;                 // the first report
    std::set<std::string> reporters;  // relays that report it
    // The last proposal; proposed again if the log lost it.
    std::optional<time_point> proposed_at;
    bool unconfirmed = false;  // reported as such already
  };

  // A loss that was proposed on the reports of one relay.
  struct single_reporter_loss {
    std::string relay;
    zone_name zone;
    time_point at;
  };

  std::vector<target_key> SuspectedKeys() const;
  void TrimHolders(const cluster_view& view);
  // Whether the loss may be proposed. Counts it against single_reporter_share
  // if that is what allows it.
  bool MayRemove(const suspected_loss& suspected, const cluster_view& view,
                 time_point now);
  void AddUnconfirmed(const suspected_loss& suspected,
                      std::vector<report_unconfirmed_losses>* unconfirmed);
  // Losses in the window proposed on the reports of this relay alone.
  std::size_t CountReportedOnlyBy(const std::string& relay,
                                  const zone_name& zone) const;
  // The same for any single relay.
  std::size_t CountSingleReporterLosses(const zone_name& zone) const;

  // A refused join, returned to relays until `until`.
  struct refusal {
    refused_target target;
    time_point until;
  };

  loss_settings settings_;
  std::map<target_key, refusal> refusals_;
  membership_batch pending_;
  std::map<target_key, suspected_loss> suspected_losses_;
  // The relay that last reported a target alive. Above twice the members plus
  // kHolderSlack entries, those that are not members are removed.
  std::map<target_key, std::string> holders_;
  // In settings_.window, oldest first.
  std::deque<single_reporter_loss> single_reporter_losses_;
  time_point next_ = time_point::max();  // of the next due tick
};

}  // namespace tamaracklatch
