// Tests of log lines: valid JSON from any event, and what reads back.
#include "timeline/log_line.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "support/property.h"
#include "tamaracklatch/timeline/log_merge.h"

namespace tamaracklatch {
namespace {

constexpr wall_time kStart{duration(1'796'377'260'123'456)};
const log_time kWhen{time_point(std::chrono::seconds(7)), kStart};

struct text_row {
  std::string text;
  std::string json;
};

Test(log_line, texts) {
  const std::string bad = "\xEF\xBF\xBD";
  const std::vector<text_row> rows{
      {"", "\"\""},
      {"plain", "\"plain\""},
      {"a\"b\\c\n\t", R"("a\"b\\c\n\u0009")"},
      {std::string("\0", 1), R"("\u0000")"},
      {"caf\xC3\xA9 \xF0\x9F\x8D\x82", "\"caf\xC3\xA9 \xF0\x9F\x8D\x82\""},
      {"\xFF", "\"" + bad + "\""},
      {"\xC3", "\"" + bad + "\""},
      {"\xC0\x80", "\"" + bad + bad + "\""},
      {"\xED\xA0\x80", "\"" + bad + bad + bad + "\""},
      {"\xF4\x90\x80\x80", "\"" + bad + bad + bad + bad + "\""},
  };
  for (const text_row& row : rows) {
    fmt::memory_buffer line;
    AppendJsonText(row.text, &line);
    cr_expect(fmt::to_string(line) == row.json, "%s", row.json.c_str());
  }
}

// Bytes of every length and value, cut anywhere.
std::string AnyBytes() {
  const auto bytes = *rc::gen::container<std::vector<std::uint8_t>>(
      rc::gen::arbitrary<std::uint8_t>());
  std::string text(bytes.begin(), bytes.end());
  const auto copies = *rc::gen::inRange(1, 60);
  std::string result;
  for (int i = 0; i < copies; ++i) result += text;
  return result;
}

Test(log_line, any_bytes_make_valid_json) {
  test::CheckProperty("valid JSON", [] {
    log_line_writer writer({AnyBytes(), AnyBytes(), AnyBytes()});
    event what;
    what.id = static_cast<event_id>(*rc::gen::arbitrary<std::uint16_t>());
    what.code = static_cast<result_code>(*rc::gen::arbitrary<std::uint16_t>());
    for (std::string event::*text :
         {&event::service, &event::request, &event::submission, &event::peer,
          &event::detail, &event::route}) {
      what.*text = AnyBytes();
    }
    what.inputs = {{AnyBytes(), AnyBytes()}};
    const std::string line(writer.Write(what, "info", kWhen));
    RC_ASSERT(line.find('\n') == std::string::npos);
    const auto json = nlohmann::json::parse(line, nullptr, false);
    RC_ASSERT(json.is_object());
  });
}

Test(log_line, reads_back) {
  log_line_writer writer({"desk-1", "kl-1", "10.1.0.11:7720"});
  event what;
  what.id = event_id::kOpeningPassed;
  what.at = {12};
  what.version = 6;
  what.service = "booking-desk";
  what.route = "desk";
  what.key = flow_key{MakeV4(0x0a090001), MakeV4(0x0a4d0001), 40112, 80,
                      ip_protocol::kTcp};
  what.peer = "10.1.0.12:7720";
  what.code = result_code::kTargetFull;
  what.detail = "copy 0";
  what.inputs = {{"full", true},
                 {"load", std::int64_t{96}},
                 {"share", 0.25},
                 {"why", std::string("waiting")}};
  const auto entry =
      ParseLogLine(writer.Write(what, "warning", kWhen), nullptr);
  cr_assert(entry.has_value());
  cr_expect(entry->process == "desk-1" && entry->zone == "kl-1" &&
            entry->node == "10.1.0.11:7720");
  cr_expect(entry->wall == kStart - duration(456));
  const event& again = entry->what;
  cr_expect(again.id == what.id && again.at == what.at && again.version == 6 &&
            again.service == what.service && again.route == what.route &&
            again.peer == what.peer && again.code == what.code &&
            again.detail == what.detail);
  cr_expect(again.key == what.key && again.flow == HashFlow(*what.key));
  cr_expect(again.inputs == what.inputs);
}

Test(log_line, times_and_numbers) {
  log_line_writer writer({"p", "z", ""});
  event what;
  what.inputs = {{"none", std::numeric_limits<double>::quiet_NaN()}};
  for (const int step : {0, 1, 999, 1000, 1001, 500}) {
    const wall_time wall = kStart + std::chrono::milliseconds(step);
    const auto json =
        nlohmann::json::parse(writer.Write(what, "info", {kWhen.steady, wall}));
    const auto entry = ParseLogLine(json.dump(), nullptr);
    cr_assert(entry.has_value());
    cr_expect(entry->wall ==
              std::chrono::floor<std::chrono::milliseconds>(wall));
    cr_expect(json["steady_ms"] == 7000);
    cr_expect(json["inputs"]["none"].is_null());
  }
}

Test(log_line, long_texts_and_many_inputs_are_cut) {
  log_line_writer writer({"p", "z", ""});
  event what;
  what.detail = std::string(100 * kMaxLogText, 'x');
  for (int i = 0; i < 1000; ++i)
    what.inputs.push_back({std::to_string(i), std::int64_t{i}});
  const auto json = nlohmann::json::parse(writer.Write(what, "info", kWhen));
  cr_expect(json["detail"].get<std::string>().size() == kMaxLogText);
  cr_expect(json["inputs"].size() == kMaxLogInputs);
}

}  // namespace
}  // namespace tamaracklatch
