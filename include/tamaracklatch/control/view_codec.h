// Writing and reading of view changes as messages, log entries and snapshots
// carry them.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {

// Writes a target's record as one array.
void WriteTarget(wire_writer* writer, const target_record& target);

// Reads what WriteTarget wrote; a fault shows in reader->ok().
target_record ReadTarget(wire_reader* reader);

// One change as a message of its own. Documents travel as canonical text.
std::string EncodeChange(const view_change& change);

// Reads what EncodeChange wrote; nothing on malformed bytes.
std::optional<view_change> DecodeChange(std::string_view bytes);

}  // namespace tamaracklatch
