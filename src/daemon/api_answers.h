// The form of the answers of the operators' API, and what its requests carry.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "daemon/http_server.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// The name and the number of a result, as every answer begins.
nlohmann::json ResultJson(result_code code);

http_response JsonAnswer(unsigned status, const nlohmann::json& body);

// An answer with a result and what a person should know.
http_response ErrorAnswer(unsigned status, result_code code,
                          const std::string& detail);

// Adds the list "faults", cut short where it is very long.
void AddFaults(const std::vector<failure>& failures, nlohmann::json* body);

// The token of the request; empty where it has none.
std::string BearerToken(const http_request& request);

}  // namespace tamaracklatch
