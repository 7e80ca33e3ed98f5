// The commands of the replicated log of the control VMs.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "tamaracklatch/control/known_nodes.h"
#include "tamaracklatch/membership/announcement.h"

namespace tamaracklatch {

// A service's team submits its document.
struct submit_document {
  std::string canonical_text;
  std::string submitter;  // who sent it, for the history
};

// An operator replaces the whole document set.
struct replace_document_set {
  std::string encoded_set;  // EncodeDocumentSet
  std::string source_text;  // as the operator sent it, byte for byte
  std::string submitter;    // who sent it, for the history
  std::uint64_t version = 0;
};

using control_body = std::variant<submit_document, membership_batch,
                                  replace_document_set, known_nodes_batch>;

// One log entry.
struct control_command {
  // Drawn by the VM that proposes it, so that it knows its own entry again.
  std::uint64_t tag = 0;
  control_body body;
};

std::string Encode(const control_command& command);

// Nothing on malformed bytes.
std::optional<control_command> DecodeCommand(std::string_view bytes);

}  // namespace tamaracklatch
