// Reading of the values that the settings of several programs share, and the
// checks across settings.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/checked_json.h"
#include "tamaracklatch/daemon/settings.h"

namespace tamaracklatch {

// Kind of socket that a setting opens.
enum class socket_kind : std::uint8_t { kUdp, kTcp };

// A socket that the process will open, by the setting that names it.
struct listening_socket {
  std::string key;
  socket_kind kind;
  endpoint where;
};

// Reads a name: letters, digits, '-', '_' and '.'.
std::string ReadNameSetting(checked_json* reader, const std::string& key,
                            const std::optional<std::string>& fallback = {});

// Reads an endpoint with a port above 0. An absent key gives nothing, and is a
// fault where `required`.
std::optional<endpoint> ReadEndpointSetting(checked_json* reader,
                                            const std::string& key,
                                            bool required);

// Like ReadEndpointSetting, for an endpoint that others are told: a wildcard
// address is a fault.
std::optional<endpoint> ReadAnnouncedEndpoint(checked_json* reader,
                                              const std::string& key,
                                              bool required);

// The announced endpoint under the key; a zero one after a fault.
endpoint ReadAnnouncedEndpoint(checked_json* reader, const std::string& key);

// The endpoint under the key; a zero one after a fault.
endpoint ReadRequiredEndpoint(checked_json* reader, const std::string& key);

// Reads the list "control": at least one endpoint, none twice.
std::vector<endpoint> ReadControl(checked_json* reader);

// Reads what every process needs.
process_settings ReadProcess(checked_json* reader, bool keeps_files);

// Reports two sockets that can't both be opened.
void CheckSockets(checked_json* reader,
                  const std::vector<listening_socket>& sockets);

}  // namespace tamaracklatch
