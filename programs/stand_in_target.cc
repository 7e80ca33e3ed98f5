// A stand-in for a target, for trials and demonstrations: echoes datagrams and
// lines, naming itself.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <asio.hpp>
#include <optional>
#include <string>

#include "stand_in/echo_service.h"

// The flag macros define names that the linter does not know.
// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(name, "target", "Name of the target, in its answers.");
DEFINE_string(service, "service", "Name of the service, in its answers.");
DEFINE_string(udp, "", "ADDRESS:PORT of the UDP echo; empty for none.");
DEFINE_string(tcp, "", "ADDRESS:PORT of the TCP echo; empty for none.");
// NOLINTEND(readability-identifier-naming)

namespace tamaracklatch {
namespace {

// Reads a flag's endpoint. Returns false when it is given but wrong.
bool ReadEndpoint(const std::string& text, std::optional<endpoint>* where) {
  if (text.empty()) return true;
  failure why;
  *where = ParseEndpoint(text, &why);
  if (!*where) fmt::print(stderr, "{}\n", ToString(why));
  return where->has_value();
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
  asio::signal_set signals(loop, SIGINT, SIGTERM);
  signals.async_wait([&](const std::error_code&, int) { loop.stop(); });
  loop.run();
  return 0;
}

}  // namespace
}  // namespace tamaracklatch

int main(int argument_count, char** arguments) {
  gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
  return tamaracklatch::Run();
}
