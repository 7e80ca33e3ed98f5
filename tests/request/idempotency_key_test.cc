// Tests of idempotency keys: RFC 9562's own example, round trips and texts that
// are no key.
#include "tamaracklatch/request/idempotency_key.h"

#include <string>

#include "support/property.h"

namespace tamaracklatch {
namespace {

Test(key, reads_the_example_of_rfc_9562) {
  // Appendix A.6: minted on 22 February 2022 at 2:22:22 p.m., UTC-5.
  for (const char* text : {"017F22E2-79B0-7CC3-98C4-DC0C0C07398F",
                           "\"017f22e2-79b0-7cc3-98c4-dc0c0c07398f\""}) {
    failure why;
    const auto key = ParseIdempotencyKey(text, &why);
    cr_assert(key.has_value(), "%s", why.reason.c_str());
    cr_expect(key->Minted() ==
              wall_time(std::chrono::milliseconds(1645557742000)));
    cr_expect(ToString(*key) == "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
  }
}

Test(key, other_texts_are_refused) {
  for (const char* text :
       {"", "017F22E2", "017F22E2-79B0-4CC3-98C4-DC0C0C07398F",
        "017F22E2-79B0-7CC3-D8C4-DC0C0C07398F",
        "017F22E2-79B0-7CC3-18C4-DC0C0C07398F",
        "017F22E2-79B0-7CC3-98C4-DC0C0C07398G",
        "017F22E2079B0-7CC3-98C4-DC0C0C07398F",
        "017F22E2-79B0-7CC3-98C4-DC0C0C07398FF",
        "\"017F22E2-79B0-7CC3-98C4-DC0C0C07398F"}) {
    failure why;
    cr_expect(!ParseIdempotencyKey(text, &why), "%s was accepted", text);
    cr_expect(why.code == result_code::kKeyMalformed);
  }
}

Test(key, minted_keys_are_read_again) {
  test::CheckProperty(
      "minted keys round trip",
      [](std::uint32_t seconds, std::uint64_t high, std::uint64_t low) {
        const wall_time now{std::chrono::seconds(seconds)};
        const idempotency_key key = MintKey(now, high, low);
        const auto read = ParseIdempotencyKey(ToString(key), nullptr);
        RC_ASSERT(read.has_value());
        RC_ASSERT(*read == key);
        RC_ASSERT(read->Minted() == now);
      });
}

}  // namespace
}  // namespace tamaracklatch
