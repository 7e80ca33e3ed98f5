// The leases that a relay holds for targets of its zone. Renewals are answered
// here; only joins, drains and losses are reported to the control VMs. Reports
// are batched and repeated until the relay's local view shows the changes.
//
//   lease_table leases(settings);
//   auto answer = leases.OnRenewal(renewal, view, now);   // send it back
//   if (auto report = leases.OnTick(view, now)) ...;      // to a control VM
//   leases.OnReportAnswer(answer, now);
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/membership/announcement.h"

namespace tamaracklatch {

struct lease_settings {
  vm_name relay;                              // this VM
  zone_name zone;                             // of this VM
  duration lease = std::chrono::seconds(10);  // length of a granted lease
  duration report_delay = std::chrono::milliseconds(200);  // collects a batch
  // Interval at which a report is repeated until the view shows the changes.
  duration report_interval = std::chrono::seconds(2);
  // A lease acquired within this time is reported even if the view contains
  // the target, because another relay may report the target as lost.
  duration rereport_age = std::chrono::seconds(60);
  std::size_t max_leases = 4096;
  std::size_t max_batch = 512;  // targets in one report
};

// Used by every VM that acts as a relay, balancers and control VMs.
class lease_table {
 public:
  explicit lease_table(const lease_settings& settings);

  // Grants, renews or refuses a lease. Refuses new targets with kLeaseTableFull
  // at max_leases, and targets that the service document does not allow.
  lease_answer OnRenewal(const lease_renewal& renewal, const cluster_view& view,
                         time_point now);

  // Expires leases and returns the report that is due, if any. Targets beyond
  // max_batch wait for a later report.
  std::optional<membership_report> OnTick(const cluster_view& view,
                                          time_point now);
  time_point next_wake() const;

  // Takes the leader's answer: refusals, leases held elsewhere, and the receipt
  // of the last report.
  void OnReportAnswer(const membership_answer& answer, time_point now);

  std::size_t size() const { return leases_.size(); }

 private:
  // One target's lease.
  struct lease_state {
    target_announcement target;
    time_point acquired_at;
    time_point expires;
    bool received = false;  // the leader has received the current `target`
    result_code refusal = result_code::kOk;  // by the control VMs
    std::uint64_t newest_generation = 0;
    time_point refused_until;  // then the target is reported again
  };

  // Checks the target against the service document in the view. Sets `code` and
  // returns the detail, empty if the target is allowed.
  std::string RejectionReason(const target_announcement& target,
                              const cluster_view& view,
                              result_code* code) const;
  bool NeedsReport(const lease_state& lease, const target_record* record,
                   time_point now) const;
  // Keys of the leases and the silent targets.
  std::vector<target_key> KnownKeys() const;
  void ExpireLeases(time_point now);
  void ScheduleReport(time_point at);

  lease_settings settings_;
  std::map<target_key, lease_state> leases_;
  std::map<target_key, time_point> silent_;  // with the time of lease expiry
  std::uint64_t number_ = 0;                 // of the last report
  std::uint64_t term_ = 0;                   // of the last known leader
  std::vector<target_key> reported_;         // as alive, in the last report
  time_point next_report_ = time_point::max();
};

}  // namespace tamaracklatch
