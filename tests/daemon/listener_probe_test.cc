// What a probe of a listener finds, with sockets on the loopback address.
#include "daemon/listener_probe.h"

#include <criterion/criterion.h>
#include <sys/socket.h>

#include <optional>
#include <vector>

#include "transport/link.h"

namespace tamaracklatch {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

struct probe_fixture {
  probe_result Probe(std::uint16_t port, milliseconds limit) {
    std::optional<probe_result> found;
    probe.Start({MakeV4(0x7f000001), port}, limit,
                [&](probe_result result) { found = result; });
    loop.restart();
    loop.run();
    cr_assert(found.has_value() && !probe.IsRunning());
    return *found;
  }

  asio::io_context loop;
  listener_probe probe{&loop};
  tcp::acceptor acceptor{loop,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::uint16_t port = acceptor.local_endpoint().port();
};

Test(listener_probe, tells_a_listener_from_none) {
  probe_fixture fixture;
  for (int times = 0; times < 2; ++times) {
    cr_expect(fixture.Probe(fixture.port, milliseconds(10000)) ==
              probe_result::kListening);
  }
  fixture.acceptor.close();
  cr_expect(fixture.Probe(fixture.port, milliseconds(10000)) ==
            probe_result::kNoListener);
}

// A listener whose queue is full drops the connection without an answer, so a
// probe without an answer must not count as one without a listener.
Test(listener_probe, knows_nothing_where_nobody_answers) {
  probe_fixture fixture;
  cr_assert(listen(fixture.acceptor.native_handle(), 0) == 0);
  probe_result found = probe_result::kListening;
  std::vector<tcp::socket> waiting;
  constexpr int kMost = 64;  // more than the queue has room for
  for (int i = 0; i < kMost && found == probe_result::kListening; ++i) {
    waiting.emplace_back(fixture.loop);
    waiting.back().open(tcp::v4());
    waiting.back().non_blocking(true);
    asio::error_code in_progress;
    waiting.back().connect(fixture.acceptor.local_endpoint(), in_progress);
    found = fixture.Probe(fixture.port, milliseconds(50));
  }
  cr_expect(found == probe_result::kUnknown);
  // What is left of that probe does not end the next one.
  fixture.acceptor.close();
  cr_expect(fixture.Probe(fixture.port, milliseconds(10000)) ==
            probe_result::kNoListener);
}

}  // namespace
}  // namespace tamaracklatch
