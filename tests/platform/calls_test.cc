// Tests of settings, desired states and servers' calls.
#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

#include "desired_state.h"
#include "operator_calls.h"
#include "settings.h"
#include "target_calls.h"

namespace tamaracklatch {
namespace {

struct state_row {
  const char* text;
  const char* fault;  // part of the first one; empty: valid
};

const std::vector<state_row> kStates{
    {R"({"version":3,"services":[{"name":"a"}],"routes":[{"name":"r",
        "host":"10.9.0.1","pathPrefix":"/80/","timeoutMs":5,"service":"a"}]})",
     ""},
    {R"({"version":3,"services":[{"name":"a"},{"name":"b"}],"routes":[
        {"name":"r","host":"10.9.0.1","pathPrefix":"/80/","timeoutMs":5,
         "backends":[{"service":"a","weight":9},{"service":"b","weight":0}]}],
        "limits":{"idleTimeoutMs":15000}})",
     ""},
    {R"({"version":3,"services":[{"name":"b","coldPerS":0.5},{"name":"a"},
        {"name":"a","coldPerS":3,"coldStartS":2}],"routes":[{"name":"r",
        "host":"10.9.0.1","pathPrefix":"/80/","service":"a","priority":9,
        "targetLatencyMs":2.5}]})",
     ""},
    {R"({"version":3,"services":[{"name":"a","coldPerS":-1}],"routes":[]})",
     "services[0].coldPerS: must be"},
    {R"({"version":3,"services":[{"name":"a","coldPerS":"1"}],"routes":[]})",
     "services[0].coldPerS: must be"},
    {R"({"version":3,"services":[{"name":"a"}],"routes":[{"name":"r",
        "host":"10.9.0.1","pathPrefix":"/80/","service":"a","priority":-1}]})",
     "routes[0].priority: must be"},
    {R"({"version":3,"services":[{"name":"a"}],"routes":[{"name":"r",
        "host":"10.9.0.1","pathPrefix":"/80/","service":"a",
        "targetLatencyMs":"soon"}]})",
     "routes[0].targetLatencyMs: must be"},
    {R"({"version":3,"services":[],"routes":[]})", ""},
    {R"({"version":3,"services":[],"rou)", "no JSON object"},
    {R"([])", "no JSON object"},
    {R"({"services":[],"routes":[]})", "version: is missing"},
    {R"({"version":-1,"services":[],"routes":[]})", "version: must be"},
    {R"({"version":1.5,"services":[],"routes":[]})", "version: must be"},
    {R"({"version":1,"routes":[]})", "services: must be a list"},
    {R"({"version":1,"services":[]})", "routes: must be a list"},
    {R"({"version":3,"services":[{"name":"a"}],"routes":[{"name":"r",
        "host":"10.9.0.1","pathPrefix":"/80/","timeoutMs":0,"service":"a"}]})",
     "routes[0].timeoutMs: must be"},
    {R"({"version":3,"services":[{"name":"a"}],"routes":[{"name":"r",
        "host":"10.9.0.1","pathPrefix":"/80/","timeoutMs":5,"service":"b"}]})",
     "b"},
    {R"({"version":3,"services":[{"name":"a"}],"routes":[{"name":"r",
        "host":"10.9.0.1","pathPrefix":"/80/","timeoutMs":5,"service":"a"},
        {"name":"s","host":"10.9.0.1","pathPrefix":"/80/","timeoutMs":5,
        "service":"a"}]})",
     "10.9.0.1:80"},
    {R"({"version":3,"services":[{"name":"a"}],"routes":[{"name":"r",
        "host":"10.9.0.1","pathPrefix":"/80/","timeoutMs":5,
        "backends":[{"service":"a","weight":0}]}]})",
     "weight"},
    {R"({"version":3,"services":[{"name":"a"}],"routes":[{"name":"r",
        "host":"x","pathPrefix":"/80/","timeoutMs":5,"service":"a"}]})",
     "routes[0].host"},
    {R"({"version":3,"services":[{"name":"a"}],"routes":[{"name":"r",
        "host":"10.9.0.1","pathPrefix":"/80000/","timeoutMs":5,
        "service":"a"}]})",
     "routes[0].pathPrefix"},
};

Test(desired_state, valid_ones_are_read_and_faults_are_named) {
  for (const state_row& row : kStates) {
    std::vector<failure> failures;
    const auto set = ReadDesiredState(row.text, &failures);
    const std::string expected = row.fault;
    if (expected.empty()) {
      cr_expect(set.has_value(), "%s", row.text);
      cr_expect(failures.empty());
      continue;
    }
    cr_expect(!set.has_value(), "%s", row.text);
    cr_assert(!failures.empty());
    cr_expect(failures.front().code == result_code::kSetInvalid);
    cr_expect(failures.front().reason.find(expected) != std::string::npos,
              "%s: %s", row.text, failures.front().reason.c_str());
  }
}

Test(desired_state, keeps_places_shares_and_the_idle_limit) {
  std::vector<failure> failures;
  const auto set = ReadDesiredState(kStates[1].text, &failures);
  cr_assert(set.has_value());
  cr_expect_eq(set->version, 3);
  cr_expect(set->routes.front().where ==
            *ParseEndpoint("10.9.0.1:80", nullptr));
  const std::vector<service_share> shares{{"a", 9}, {"b", 0}};
  cr_expect(set->routes.front().shares == shares);
  cr_expect(set->idle_timeout == std::chrono::seconds(15));
}

Test(desired_state, keeps_urgency_latency_and_cold_limits) {
  std::vector<failure> failures;
  const auto set = ReadDesiredState(kStates[2].text, &failures);
  cr_assert(set.has_value());
  cr_expect_eq(set->routes.front().urgency, kMaxUrgency);
  cr_expect(set->routes.front().target_latency ==
            std::chrono::microseconds(2500));
  const std::vector<cold_limit> limits{{"a", 3}, {"b", 0.5}};
  cr_expect(set->cold_limits == limits);
}

// Guards against bad orders that are proposed, and good ones that are refused.
Test(operator_calls, reads_orders_for_known_zones_only) {
  const std::string umlauts =
      "%c3%bc%c3%bc%c3%bc%c3%bc%c3%bc%c3%bc%c3%bc%c3%bc%c3%bc%c3%bc";
  const std::string long_zone(400, 'z');
  struct row {
    std::string path;
    const char* method;
    const char* body;
    unsigned status;  // 0: accepted
    std::string zone;
  };
  const std::vector<row> rows{
      {"/evacuate/z-1/begin", "POST", "", 0, "z-1"},
      {"/evacuate/z-1/finish", "POST", "", 0, "z-1"},
      {"/evacuate/z%2d%31/begin", "POST", "", 0, "z-1"},
      {"/evacuate/z-2/begin", "POST", "", 422, ""},
      {"/evacuate/" + long_zone + "/begin", "POST", "", 0, long_zone},
      {"/evacuate/" + long_zone + "z/begin", "POST", "", 422, ""},
      {"/evacuate/" + umlauts + "/begin", "POST", "", 0, "üüüüüüüüüü"},
      {"/evacuate/z-1/begin", "GET", "", 405, ""},
      {"/evacuate/z-1/begin", "POST", "{}", 400, ""},
      {"/evacuate/z-1/stop", "POST", "", 404, ""},
      {"/evacuate/z-1/begin/", "POST", "", 404, ""},
      {"/evacuate//begin", "POST", "", 404, ""},
      {"/evacuate/z-1", "POST", "", 404, ""},
      {"/evacuate/", "POST", "", 404, ""},
      {"/evacuate/%zz/begin", "POST", "", 404, ""},
      {"/evacuate/z-1%3/begin", "POST", "", 404, ""},
  };
  for (const row& each : rows) {
    cr_expect(IsZoneOrderPath(each.path));
    const zone_order_call call = ReadZoneOrder(
        {each.method, each.path, "", {}, each.body},
        [&](const zone_name& zone) {
          return zone == "z-1" || zone == long_zone || zone == "üüüüüüüüüü";
        });
    cr_expect_eq(call.status, each.status, "%s", each.path.c_str());
    cr_expect_eq(call.order.zone, each.zone);
    cr_expect_eq(call.order.evacuated,
                 each.status == 0 && each.path.back() == 'n');
    cr_expect((call.refusal.code == result_code::kOk) == (each.status == 0));
  }
  cr_expect(!IsZoneOrderPath("/evacuate"));
}

struct beat_row {
  const char* body;
  bool is_read;
};

const std::vector<beat_row> kBeats{
    {R"({"service":"a","address":"10.0.0.9:80","zone":"z","version":"v1",
        "maxConcurrency":4,"state":"ready","coldRemainingMs":120,"seq":4,
        "born":1700000000000})",
     true},
    {R"({"service":"a","address":"10.0.0.9:80","maxConcurrency":4,
        "state":"draining","coldRemainingMs":0,"seq":4,"born":1})",
     true},
    {R"({"service":"a","address":"10.0.0.9:80","maxConcurrency":4,
        "state":"asleep","coldRemainingMs":0,"seq":4,"born":1})",
     false},
    {R"({"service":7,"address":"10.0.0.9:80","maxConcurrency":4,
        "state":"ready","coldRemainingMs":0,"seq":4,"born":1})",
     false},
    {R"({"service":"a","address":"here","maxConcurrency":4,
        "state":"ready","coldRemainingMs":0,"seq":4,"born":1})",
     false},
    {R"({"service":"a","address":"10.0.0.9:80","maxConcurrency":"4",
        "state":"ready","coldRemainingMs":0,"seq":4,"born":1})",
     false},
    {R"({"service":"a","address":"10.0.0.9:80","maxConcurrency":4,
        "state":"ready","coldRemainingMs":0,"seq":-4,"born":1})",
     false},
    {R"({"service":"a","address":"10.0.0.9:80","maxConcurrency":4,
        "state":"ready","coldRemainingMs":0,"seq":4})",
     false},
    {R"({"service":"a","address":"10.0.0.9:70000","maxConcurrency":4,
        "state":"ready","coldRemainingMs":0,"seq":4,"born":1})",
     false},
    {R"({"service":"a","address":"10.0.0.9:80","maxConcurrency":4,
        "state":"ready","coldRemainingMs":0,"seq":18446744073709551615,
        "born":1})",
     false},
    {R"({"service":"a","address":"10.0.0.9:80","maxConcurrency":4,
        "state":"ready","coldRemainingMs":0,"seq":4,"born":1e999})",
     false},
    {R"({"service":"a","address":"10.0.0.9:80","maxConcurrency":1e30,
        "state":"ready","coldRemainingMs":0,"seq":4,"born":1})",
     false},
    {"\xff\xfe", false},
    {"", false},
};

// Whole but for a field that nobody reads.
std::string NestedBeat(std::size_t depth) {
  return R"({"service":"a","address":"10.0.0.9:80","maxConcurrency":4,
      "state":"ready","coldRemainingMs":0,"seq":4,"born":1,"other":)" +
         std::string(depth, '[') + std::string(depth, ']') + "}";
}

Test(target_calls, refuses_a_heartbeat_nested_too_deeply) {
  cr_expect(ReadHeartbeat("i-1", NestedBeat(20), nullptr).has_value());
  for (const std::size_t depth : {40U, 1000U, 500000U}) {
    failure why;
    cr_expect(!ReadHeartbeat("i-1", NestedBeat(depth), &why));
    cr_expect(why.code == result_code::kHeartbeatMalformed);
  }
}

Test(target_calls, reads_whole_heartbeats_only) {
  for (const beat_row& row : kBeats) {
    failure why;
    const auto report = ReadHeartbeat("i-1", row.body, &why);
    cr_expect(report.has_value() == row.is_read, "%s", row.body);
    if (!report) cr_expect(why.code == result_code::kHeartbeatMalformed);
  }
  const auto report = ReadHeartbeat("i-1", kBeats.front().body, nullptr);
  cr_expect_eq(report->id, "i-1");
  cr_expect_eq(report->slots, 4);
  cr_expect_eq(report->sequence, 4);
  cr_expect_eq(report->start, 1700000000000);
  cr_expect(report->cold_remaining == std::chrono::milliseconds(120));
  cr_expect(!report->draining);
}

Test(target_calls, finds_the_instance_in_a_path) {
  cr_expect_eq(InstanceOf("/instances/i-1/heartbeat", "heartbeat"), "i-1");
  cr_expect_eq(InstanceOf("/instances/i-1/deregister", "heartbeat"), "");
  cr_expect_eq(InstanceOf("/instances/i-1", "heartbeat"), "");
  cr_expect_eq(InstanceOf("/other", "heartbeat"), "");
}

Test(settings, names_every_fault_and_ignores_unknown_fields) {
  std::vector<failure> failures;
  cr_expect(!ReadPlatformSettings("{", &failures));
  cr_expect_eq(failures.size(), 1);
  failures.clear();
  cr_expect(!ReadPlatformSettings(
      R"({"ip":"nowhere","bindAddrs":{"control":"x"},"new":1,"zones":[]})",
      &failures));
  cr_expect_eq(failures.size(), 4);  // ip, control, the ports, the zones
  failures.clear();
  const auto settings = ReadPlatformSettings(
      R"({"nodeName":"n","zone":"z","ip":"10.0.0.2","new":{"a":[]},
          "bindAddrs":{"control":"10.0.0.2:81"},"dataDir":null,
          "internalPortRange":[7000,7001],"bootstrap":true,
          "seedNodes":["10.0.0.2:81","10.0.0.3:81"],
          "zones":{"z":"north","y":"south"},
          "faultTolerance":{"machines":2},"bounds":{"graceS":4.5}})",
      &failures);
  cr_assert(settings.has_value());
  cr_expect(settings->bootstrap);
  cr_expect(settings->zones == std::set<std::string>({"y", "z"}));
  cr_expect_eq(settings->tolerated_machines, 2);
  cr_expect(settings->grace == std::chrono::milliseconds(4500));
  const std::vector<endpoint> seeds{*ParseEndpoint("10.0.0.2:7000", nullptr),
                                    *ParseEndpoint("10.0.0.3:7000", nullptr)};
  cr_expect(settings->InternalSeeds() == seeds);
}

}  // namespace
}  // namespace tamaracklatch
