// The messages of the membership slice as one frame: a number that names the
// message, then its bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "tamaracklatch/membership/announcement.h"

namespace tamaracklatch {

using membership_message = std::variant<lease_renewal, lease_answer,
                                        membership_report, membership_answer>;

std::string EncodeMembershipFrame(const membership_message& message);

// Nothing on malformed bytes.
std::optional<membership_message> DecodeMembershipFrame(std::string_view bytes);

}  // namespace tamaracklatch
