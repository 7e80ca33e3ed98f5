// The leases that a relay holds for targets of its zone. Renewals end here;
// only joins, drains and losses go on to the control VMs, batched, again and
// again until the relay's own view shows them.
//
//   lease_table leases(settings);
//   auto answer = leases.OnRenewal(renewal, view, now);   // send it back
//   if (auto report = leases.OnTick(view, now)) ...;      // to a control VM
//   leases.OnReportAnswer(answer);
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/membership/announcement.h"

namespace tamaracklatch {

struct lease_settings {
  vm_name relay;
  zone_name zone;
  duration lease = std::chrono::seconds(10);
  duration report_delay = std::chrono::milliseconds(200);  // collects a batch
  duration report_interval = std::chrono::seconds(2);      // until shown
  // A lease taken this recently is reported even where the view has the
  // target: another relay may believe that it is lost.
  duration recent = std::chrono::seconds(60);
  std::size_t max_leases = 4096;
  std::size_t max_batch = 512;  // targets in one report
};

class lease_table {
 public:
  explicit lease_table(const lease_settings& settings);

  lease_answer OnRenewal(const lease_renewal& renewal, const cluster_view& view,
                         time_point now);

  // The report that is due, if any.
  std::optional<membership_report> OnTick(const cluster_view& view,
                                          time_point now);
  time_point next_wake() const;

  void OnReportAnswer(const membership_answer& answer, time_point now);

  std::size_t size() const { return leases_.size(); }

 private:
  // One target's lease.
  struct lease_state {
    target_announcement target;
    time_point acquired;
    time_point expires;
    bool received = false;  // the leader has received `target` as it is now
    result_code refusal = result_code::kOk;
    std::uint64_t newest_generation = 0;
    time_point refused_until;  // after this the control VMs are asked again
  };

  std::string TargetFault(const target_announcement& target,
                          const cluster_view& view, result_code* code) const;
  bool NeedsReport(const lease_state& lease, const target_record* shown,
                   time_point now) const;
  std::vector<target_key> KnownKeys() const;
  void ExpireLeases(time_point now);
  void ScheduleReport(time_point at);

  lease_settings settings_;
  std::map<target_key, lease_state> leases_;
  std::map<target_key, time_point> silent_;  // with the time of expiry
  std::uint64_t number_ = 0;
  std::uint64_t term_ = 0;
  std::vector<target_key> reported_;  // alive in the report `number_`
  time_point next_report_ = time_point::max();
};

}  // namespace tamaracklatch
