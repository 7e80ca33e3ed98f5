// Settings of the programs, as plain values. Each program reads one file of
// JSON with comments; a running process is made of these and never reads them
// again.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/transport/link_codec.h"

namespace tamaracklatch {

// How much a process logs; each level includes those after it.
enum class log_level : std::uint8_t { kTrace, kDebug, kInfo, kWarning, kError };

// The level's name as settings write it: "info".
std::string_view ToString(log_level level);

// What every process needs.
struct process_settings {
  std::string name;  // unique among all processes of the system
  vm_name vm;
  zone_name zone;
  std::string region = "default";
  tamaracklatch::link_key link_key{};  // zero until the key file is read, where
                                       // link_key_file names one
  std::string link_key_file;  // path; empty where the settings hold the key
  std::string data_folder;    // empty in a process that keeps no files
  std::string timeline_file;  // empty: no time line is written
  std::uint64_t timeline_file_bytes =
      64ULL << 20U;  // a time line file is rotated at this size
  log_level level = log_level::kInfo;
  // Of links: a frame is sent at least this often, a link without frames for
  // the silence limit is closed, a connection must open within its limit.
  std::chrono::milliseconds link_heartbeat{1000};
  std::chrono::milliseconds link_silence{5000};
  std::chrono::milliseconds link_connect{3000};
};

// One control VM.
struct voter_settings {
  std::string name;  // the name of its process
  endpoint links;    // TCP
  endpoint http;     // TCP
};

// One bearer token and what it may change.
struct operator_settings {
  std::string token;
  std::vector<std::string> services;  // names, or "*" alone for all

  bool MayChange(std::string_view service) const;
};

struct controld_settings {
  process_settings process;
  endpoint listen_links;  // TCP: other control VMs, relays and nodes; may be
                          // a wildcard, others use the voter's entry
  endpoint listen_http;   // TCP: operators and metrics
  std::vector<voter_settings> voters;  // itself among them; an odd number
  std::vector<operator_settings> operators;
};

struct balancerd_settings {
  process_settings process;
  endpoint listen_http;  // TCP: metrics
  endpoint packets;      // UDP: envelopes from target daemons
  std::optional<endpoint>
      listen_links;  // TCP; present where it may relay revisions to others
  std::optional<endpoint>
      encapsulated;  // UDP; present where the fabric sends IP packets
  std::vector<endpoint> control;  // links of the control VMs
  std::uint32_t flow_cache_entries = 262144;
};

// Where the target beside the daemon takes its work; one of them at least.
struct target_endpoints {
  std::optional<endpoint> udp;           // datagrams
  std::optional<endpoint> tcp;           // relayed connections
  std::optional<endpoint> http;          // requests
  std::optional<endpoint> encapsulated;  // UDP: the kernel's FOU port
};

struct targetd_settings {
  process_settings process;
  std::string service;
  endpoint listen_http;  // TCP: metrics
  endpoint packets;      // UDP: envelopes; announced
  endpoint relay;        // TCP: relayed connections and links; announced
  endpoint requests;     // TCP: HTTP of the request plane; announced
  target_endpoints target;
  std::uint32_t capacity = 1;     // slots of the target
  std::vector<endpoint> control;  // links of the control VMs
};

// Largest settings file that is read, in bytes.
inline constexpr std::size_t kMaxSettingsBytes = 1024 * 1024;

// Read and check the text of one program's settings, without touching a file.
// On failure they return nothing and add every fault found to `failures`, each
// with path, value and reason, and the nearest known key for an unknown one.
std::optional<controld_settings> ParseControldSettings(
    std::string_view text, std::vector<failure>* failures);
std::optional<balancerd_settings> ParseBalancerdSettings(
    std::string_view text, std::vector<failure>* failures);
std::optional<targetd_settings> ParseTargetdSettings(
    std::string_view text, std::vector<failure>* failures);

// Read the file at `path`, check it, and read the link key file that it names,
// relative to the folder of `path`.
std::optional<controld_settings> LoadControldSettings(
    const std::string& path, std::vector<failure>* failures);
std::optional<balancerd_settings> LoadBalancerdSettings(
    const std::string& path, std::vector<failure>* failures);
std::optional<targetd_settings> LoadTargetdSettings(
    const std::string& path, std::vector<failure>* failures);

// The whole file, of at most kMaxSettingsBytes.
std::optional<std::string> ReadFile(const std::string& path,
                                    failure* last_failure);

// Reads a link key: 64 hexadecimal digits, white space around them allowed.
std::optional<link_key> ParseLinkKey(std::string_view text,
                                     failure* last_failure);

}  // namespace tamaracklatch
