// A stand-in for a target, for trials and demonstrations: echoes datagrams and
// lines, naming itself, and answers HTTP requests with slots and faults.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <asio.hpp>
#include <functional>
#include <optional>
#include <string>

#include "stand_in/echo_service.h"
#include "stand_in/http_target.h"

// The flag macros define names that the linter does not know.
// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(name, "target", "Name of the target, in its answers.");
DEFINE_string(service, "service", "Name of the service, in its answers.");
DEFINE_string(udp, "", "ADDRESS:PORT of the UDP echo; empty for none.");
DEFINE_string(tcp, "", "ADDRESS:PORT of the TCP echo; empty for none.");
DEFINE_string(http, "", "ADDRESS:PORT of the HTTP part; empty for none.");
DEFINE_uint32(slots, 4, "Requests worked on at once.");
DEFINE_uint32(queue, 4, "Requests that wait inside; more are shed.");
DEFINE_uint32(work_ms, 50, "Work of a request that names none.");
DEFINE_uint32(cold_s, 0, "Seconds of slow work after the start.");
DEFINE_uint32(load_lag_s, 0, "Age of what /load tells, in seconds.");
DEFINE_bool(load_lies, false, "Whether /load always says idle.");
// NOLINTEND(readability-identifier-naming)

namespace tamaracklatch {
namespace {

constexpr std::chrono::milliseconds kDrainLook{50};

// Reads a flag's endpoint. Returns false when it is given but wrong.
bool ReadEndpoint(const std::string& text, std::optional<endpoint>* where) {
  if (text.empty()) return true;
  failure why;
  *where = ParseEndpoint(text, &why);
  if (!*where) fmt::print(stderr, "{}\n", ToString(why));
  return where->has_value();
}

http_target_settings HttpSettings(const endpoint& listen) {
  http_target_settings settings;
  settings.name = FLAGS_name;
  settings.listen = listen;
  settings.slots = std::max(1U, FLAGS_slots);
  settings.queue = FLAGS_queue;
  settings.work = std::chrono::milliseconds(FLAGS_work_ms);
  settings.cold = std::chrono::seconds(FLAGS_cold_s);
  settings.load_lag = std::chrono::seconds(FLAGS_load_lag_s);
  settings.load_lies = FLAGS_load_lies;
  return settings;
}

int Run() {
  echo_settings settings;
  settings.name = FLAGS_name;
  settings.service = FLAGS_service;
  if (!ReadEndpoint(FLAGS_udp, &settings.udp)) return 2;
  if (!ReadEndpoint(FLAGS_tcp, &settings.tcp)) return 2;
  asio::io_context loop;
  echo_service echo(&loop, settings);
  failure why;
  if (!echo.Start(&why)) {
    fmt::print(stderr, "{}\n", ToString(why));
    return 1;
  }
  std::optional<endpoint> http;
  if (!ReadEndpoint(FLAGS_http, &http)) return 2;
  std::optional<http_target> target;
  if (http) {
    target.emplace(&loop, HttpSettings(*http));
    if (!target->Start(&why)) {
      fmt::print(stderr, "{}\n", ToString(why));
      return 1;
    }
  }
  asio::signal_set signals(loop, SIGINT, SIGTERM);
  asio::steady_timer drained(loop);
  // Finishes what runs, then ends.
  const std::function<void()> end_when_idle = [&] {
    if (!target || target->idle()) {
      loop.stop();
      return;
    }
    drained.expires_after(kDrainLook);
    drained.async_wait([&](const std::error_code&) { end_when_idle(); });
  };
  signals.async_wait([&](const std::error_code&, int) {
    echo.Drain();
    if (target) target->Drain();
    end_when_idle();
  });
  loop.run();
  return 0;
}

}  // namespace
}  // namespace tamaracklatch

int main(int argument_count, char** arguments) {
  gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
  return tamaracklatch::Run();
}
