// Encodes view changes for messages to the nodes, and target records for these
// and for snapshots of the control state.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {

// Writes a target record as one array.
void WriteTarget(wire_writer* writer, const target_record& target);

// Reads what WriteTarget wrote; a fault shows in reader->ok().
target_record ReadTarget(wire_reader* reader);

// Encodes one change as a message. A document is encoded as its canonical text.
std::string EncodeChange(const view_change& change);

// Decodes what EncodeChange wrote; nothing on malformed bytes.
std::optional<view_change> DecodeChange(std::string_view bytes);

}  // namespace tamaracklatch
