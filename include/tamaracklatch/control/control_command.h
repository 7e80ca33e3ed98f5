// The commands in the replicated log of the control VMs, and their encoding.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "tamaracklatch/control/known_nodes.h"
#include "tamaracklatch/core/abbreviated_name.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/membership/announcement.h"

namespace tamaracklatch {

// A service team submits the document of its service.
struct submit_document {
  std::string canonical_text;
  std::string submitter;  // the token's holder; kept in the history
};

// An operator replaces the whole document set.
struct replace_document_set {
  std::string encoded_set;    // EncodeDocumentSet
  std::string source_text;    // as the operator sent it, byte for byte
  std::string submitter;      // the token's holder; kept with the set
  std::uint64_t version = 0;  // of the set
};

// Maximum size of a zone's name in an order's entry, in bytes.
inline constexpr std::size_t kMaxOrderedZoneBytes = kMaxAbbreviatedName;

// An operator orders that a zone gets no new openings, or withdraws that order.
// An entry whose zone is empty or longer than kMaxOrderedZoneBytes is
// malformed.
struct set_zone_evacuation {
  zone_name zone;  // abbreviated in an entry, as AbbreviateName returns it
  bool evacuated = false;
  std::string submitter;  // the token's holder
};

using control_body =
    std::variant<submit_document, membership_batch, replace_document_set,
                 known_nodes_batch, set_zone_evacuation>;

// One log entry.
struct control_command {
  // Random number chosen by the VM that proposes the entry, by which this VM
  // recognizes the entry when it is applied.
  std::uint64_t tag = 0;
  control_body body;
};

// The command as the bytes of a log entry.
std::string Encode(const control_command& command);

// Decodes what Encode wrote; nothing on malformed bytes.
std::optional<control_command> DecodeCommand(std::string_view bytes);

}  // namespace tamaracklatch
