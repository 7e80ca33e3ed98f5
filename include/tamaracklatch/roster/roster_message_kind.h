// Distinguishes roster messages from other datagrams on a shared UDP socket.
#pragma once

#include <string_view>

namespace tamaracklatch {

// Whether a datagram is a roster message: its first byte is from 0xa0 to 0xaf.
bool IsRosterMessage(std::string_view bytes);
// Whether a roster message is addressed to a hub; otherwise it is for a member.
bool IsForHub(std::string_view bytes);

}  // namespace tamaracklatch
