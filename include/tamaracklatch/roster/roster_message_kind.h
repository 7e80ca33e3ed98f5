// Tells datagrams of the roster from others on the same socket.
#pragma once

#include <string_view>

namespace tamaracklatch {

// Whether a datagram is of the roster: its first byte is from 0xa0 to 0xaf.
bool IsRosterMessage(std::string_view bytes);
// Whether a datagram of the roster is for a hub; else it is for a member.
bool IsForHub(std::string_view bytes);

}  // namespace tamaracklatch
