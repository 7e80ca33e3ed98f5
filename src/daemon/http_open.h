// Opening of the HTTP servers on the event loop. For their sources only.
#pragma once

#include <exception>
#include <memory>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// Starts to listen. On failure says why, drops the server and returns false.
template <typename Server>
bool OpenHttpServer(std::unique_ptr<Server>* server, const endpoint& where,
                    failure* last_failure) {
  try {
    (*server)->open_sync();
  } catch (const std::exception& error) {
    server->reset();
    SetFailure(last_failure, result_code::kBindFailed,
               ToString(where) + ": " + error.what());
    return false;
  }
  return true;
}

}  // namespace tamaracklatch
