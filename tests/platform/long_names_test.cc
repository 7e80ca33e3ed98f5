// Tests that processes take names of any length, which the platform does not
// limit.
#include <criterion/criterion.h>

#include <string>

#include "daemon/steering_control.h"
#include "daemon/steering_target.h"
#include "operator_calls.h"
#include "packet_format.h"
#include "tamaracklatch/core/abbreviated_name.h"

namespace tamaracklatch {
namespace {

endpoint LoopbackAt(std::uint16_t port) { return {MakeV4(0x7f000001), port}; }

process_settings SettingsOf(const std::string& name) {
  process_settings settings;
  settings.name = name;
  settings.vm = name;
  settings.zone = name;
  settings.region = name;
  return settings;
}

// Guards against a target daemon that aborts at its start: of a service, zone
// or VM with a long name, no request was served.
Test(long_names, target_daemons_start_and_announce_them) {
  const packet_format codec;
  for (const std::size_t size : {1U, 128U, 129U, 256U, 400U}) {
    const std::string name(size, 'n');
    steering_target_settings settings;
    settings.process = SettingsOf(name);
    settings.service = name;
    settings.target = LoopbackAt(80);
    settings.cluster = LoopbackAt(7720);
    steering_target daemon(settings, &codec);
    target_report report;
    report.id = name;
    report.service = name;
    report.where = settings.target;
    report.sequence = 1;
    report.start = 1;
    cr_expect(daemon.OnReport(report) == result_code::kOk, "%zu bytes", size);
    const node_record& own = daemon.roster().member().local_record();
    cr_expect(own.service == AbbreviateName(name));
    cr_expect(own.zone == AbbreviateName(name));
    cr_expect(own.condition == target_condition::kReady);
    report.service.back() = 'm';
    cr_expect(daemon.OnReport(report) == result_code::kHeartbeatForeign);
  }
}

// Guards against a call that gets no answer because the reason of its refusal
// quotes bytes that are no UTF-8.
Test(long_names, orders_for_unknown_zones_are_refused_at_once) {
  steering_control_settings settings;
  settings.cluster = LoopbackAt(7720);
  settings.process = SettingsOf(std::string(400, 'n'));
  settings.process.data_folder = "unused";
  steering_control daemon(settings);
  cr_expect(daemon.IsKnownZone(settings.process.zone));
  for (const std::string& zone :
       {std::string("%ff"), std::string(399, 'n'), std::string("%c3%bc")}) {
    unsigned status = 0;
    AnswerOperatorCall(
        &daemon, {"POST", "/evacuate/" + zone + "/begin", "", {}, ""},
        [&](const http_response& response) { status = response.status; });
    cr_expect_eq(status, 422U, "%s: %u", zone.c_str(), status);
  }
}

}  // namespace
}  // namespace tamaracklatch
