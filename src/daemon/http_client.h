// A blocking HTTP/1.1 client for the command line, with one deadline over the
// whole exchange.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "daemon/http_server.h"
#include "tamaracklatch/core/endpoint.h"

namespace tamaracklatch {

// Sends a request and reads the whole answer. On failure returns nothing and
// says why: kLinkClosed where nothing was sent, kOutcomeUnknown where the
// server may have acted.
std::optional<http_response> HttpExchange(const endpoint& server,
                                          const http_request& request,
                                          std::chrono::milliseconds timeout,
                                          failure* last_failure);

}  // namespace tamaracklatch
