// Writing and reading of the values that several messages and files share.
#pragma once

#include "tamaracklatch/consensus/consensus_types.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {

void WriteMember(wire_writer* writer, const member_id& id);
member_id ReadMember(wire_reader* reader);

void WriteConfiguration(wire_writer* writer,
                        const voter_configuration& configuration);
// Returns false for a configuration that is malformed, too large or breaks its
// invariants.
bool ReadConfiguration(wire_reader* reader, voter_configuration* configuration);

void WriteEntry(wire_writer* writer, const log_entry& entry);
// Returns false for an entry that is malformed, or has a configuration that is.
bool ReadEntry(wire_reader* reader, log_entry* entry);

}  // namespace tamaracklatch
